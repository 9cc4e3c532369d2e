from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from threadramp.config.settings import check_settings

if TYPE_CHECKING:
    from pathlib import Path

GATEWAY = """
[platform]
kv = "http://127.0.0.1:1"
[auth]
fleet_key = "k"
[gateway]
name = "g"
listen = "127.0.0.1:2"
data_centre = "dc"
"""


def check(tmp_path: Path, text: str):
    path = tmp_path / "settings.toml"
    path.write_text(text)
    return check_settings(str(path))


def test_settings_are_read_with_defaults(tmp_path: Path) -> None:
    settings = check(tmp_path, GATEWAY).ok
    assert settings.gateway.threads == 64
    assert settings.policy.routing == "two_choice"


def test_all_findings_come_together_with_their_places(tmp_path: Path) -> None:
    text = GATEWAY.replace('name = "g"', "nmae = 3").replace('kv = "http://127.0.0.1:1"', "kv = 5")
    text += '[policy]\nrouting = "best"\n[objectives]\nstaleness = 1.5\n[other]\n'
    found = [str(finding) for finding in check(tmp_path, text).error]
    place = f"{tmp_path}/settings.toml: "
    assert found == [
        f"{place}other: unknown table (known: ['platform', 'auth', 'gateway', 'sidecar', "
        "'policy', 'objectives'])",
        f"{place}platform.kv: Expected `str`, got `int`",
        f"{place}gateway.nmae: unknown key (did you mean 'name'?)",
        f"{place}gateway.name: missing",
        f"{place}policy.routing: no policy 'best' (known: round_robin, two_choice)",
        f"{place}objectives.staleness: must lie between 0 and 1, without both",
    ]


@pytest.mark.parametrize(
    ("text", "problem"),
    [
        ("[gateway", "is not TOML"),
        ("[platform]\nkv='x'\n[auth]\nfleet_key='k'\n", "exactly one of the tables"),
    ],
)
def test_unusable_files_are_findings(tmp_path: Path, text: str, problem: str) -> None:
    assert problem in str(check(tmp_path, text).error[-1])


def test_missing_file_is_a_finding(tmp_path: Path) -> None:
    assert "can not be read" in str(check_settings(str(tmp_path / "none.toml")).error[0])
