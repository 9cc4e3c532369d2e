"""Fixtures: a proxy that may send duplicate responses, and an engine client behind it."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from tests.runner.cutting_engine import CuttingEngine
from tests.runner.test_weight_loader import facts
from threadramp.fleet.clock import Clock
from threadramp.platform.standins.stuttering import StutteringFront
from threadramp.runner import sample_run
from threadramp.runner.engine import Engine

if TYPE_CHECKING:
    from collections.abc import Iterator


@pytest.fixture
def proxy(engine_address: str) -> Iterator[StutteringFront]:
    made = StutteringFront(engine_address)
    yield made
    made.close()


@pytest.fixture
def own_engine(proxy: StutteringFront) -> Engine:
    made = Engine(proxy.address, "p", "box-1", Clock())
    made.update_facts(facts())
    return made


@pytest.fixture
def engine_of(monkeypatch):
    """Make engines whose responses end where a test says."""
    # The result must not depend on how fast the engine answers.
    monkeypatch.setattr(sample_run, "HEAD_TIMEOUT_S", 2.0)
    made = []

    def make(plan) -> CuttingEngine:
        made.append(CuttingEngine(plan))
        return made[-1]

    yield make
    for one in made:
        one.close()


@pytest.fixture
def has_not_crashed(monkeypatch):
    """Send no probes, which would count as connections."""
    monkeypatch.setattr(sample_run, "has_crashed", lambda address, lived_s: False)
