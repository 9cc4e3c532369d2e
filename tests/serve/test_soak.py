"""The soak under faults, a short while in each run of the tests; ``make soak`` takes longer."""

from __future__ import annotations

import os

import pytest

from tests.serve.soak import Soak

SECONDS = float(os.environ.get("SOAK_S", "12"))
SEEDS = range(1, 1 + int(os.environ.get("SOAK_SEEDS", "2")))


@pytest.mark.parametrize("seed", SEEDS)
def test_nothing_breaks_under_faults(tmp_path, serve, seed):
    soak = Soak(tmp_path, serve, seed)
    try:
        broken = soak.run(SECONDS)
        print(*broken, sep="\n")  # a failure shows the first ones only
        assert broken == []
        assert soak.accepted, "no lot was taken at all"
        assert soak.answered, "no call was answered at all"
    finally:
        print(soak.summary())
        soak.close()
