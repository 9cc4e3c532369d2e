"""Fixtures: a proxy that may send duplicate responses, and an engine client behind it."""

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
def proxy(engine_address: str) -> Iterator[StutteringFront]:
    made = StutteringFront(engine_address)
    yield made
    made.close()


@pytest.fixture
def own_engine(proxy: StutteringFront) -> Engine:
    made = Engine(proxy.address, "p", "box-1", Clock())
    made.update_facts(facts())
    return made
