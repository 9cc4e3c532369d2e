"""The clock used for ages, leases and deadlines."""

from __future__ import annotations

import re
import time
from pathlib import Path

import pytest

from threadramp.fleet.clock import Clock, steady_s

SOURCES = Path(__file__).parents[2] / "src" / "threadramp"
OF_TESTS = "standins"


def test_it_counts_while_the_box_is_suspended(monkeypatch):
    read = []
    monkeypatch.setattr(time, "clock_gettime", lambda which: read.append(which) or 7.0)
    assert (steady_s(), Clock().now()) == (7.0, 7.0)
    assert read == [time.CLOCK_BOOTTIME] * 2


@pytest.mark.parametrize(
    "path",
    [path for path in SOURCES.rglob("*.py") if OF_TESTS not in path.parts],
    ids=lambda path: str(path.relative_to(SOURCES)),
)
def test_no_module_uses_a_clock_that_stops_during_suspension(path):
    assert not re.search(r"\bmonotonic\(|perf_counter\(", path.read_text(encoding="utf-8"))
