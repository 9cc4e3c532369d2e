"""Fixtures of an engine that may answer twice, and of its runner's client."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from tests.runner.test_weight_loader import facts
from threadramp.fleet.clock import Clock
from threadramp.platform.standins.stuttering import StutteringFront
from threadramp.runner.engine import Engine

if TYPE_CHECKING:
    from collections.abc import Iterator


@pytest.fixture
def front(engine_address: str) -> Iterator[StutteringFront]:
    made = StutteringFront(engine_address)
    yield made
    made.close()


@pytest.fixture
def own_engine(front: StutteringFront) -> Engine:
    made = Engine(front.address, "p", "box-1", Clock())
    made.learn(facts())
    return made
