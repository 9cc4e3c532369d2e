"""Reading threadramp's own settings file."""

from __future__ import annotations

from pathlib import Path

import pytest

from threadramp.config.findings import FindingsError
from threadramp.serve.service_settings import (
    AdmissionSettings,
    LotSettings,
    ServiceSettings,
    read_service_settings,
)

DEPLOYED = Path(__file__).parents[2] / "deploy" / "threadramp.toml"


def test_the_deployed_file_is_valid():
    deployed = ServiceSettings(
        lots=LotSettings(order="latest_start"),
        admission=AdmissionSettings("adaptive", "expected_time"),
    )
    assert read_service_settings(DEPLOYED) == deployed


def test_without_a_file_the_defaults_apply(tmp_path):
    assert read_service_settings(tmp_path / "none.toml").weights.versions_apart == 1


@pytest.mark.parametrize(
    ("text", "place"),
    [
        ("[weights]\nversions_apart = 3\n", "weights.versions_apart"),
        ('[weights]\nversions_apart = "two"\n', "weights.versions_apart"),
        ("[weights]\nversion_apart = 2\n", "version_apart"),
        ('[lots]\nlisting = "sometimes"\n', "lots.listing"),
        ('[lots]\norder = "any"\n', "lots.order"),
        ('[admission]\nlimit = "some"\n', "admission.limit"),
        ('[admission]\nchoice = "any"\n', "admission.choice"),
        ("[admission]\nweights = { a = 0.0 }\n", "admission.weights"),
        ("[other]\n", "other"),
        ("[weights\n", "own.toml"),
    ],
)
def test_invalid_settings_are_rejected_with_their_place(tmp_path, text, place):
    path = tmp_path / "own.toml"
    path.write_text(text)
    with pytest.raises(FindingsError) as failure:
        read_service_settings(path)
    assert place in str(failure.value.findings[0])
