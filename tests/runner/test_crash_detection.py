"""A crash of an engine behind a reverse proxy is told from a full or busy engine."""

from __future__ import annotations

import pytest

from threadramp.edge.endpoint_probe import EndpointState
from threadramp.platform.standins.crashing import CrashingEndpoint, FrontProxy, WhileDown
from threadramp.runner.crash_detection import has_crashed

RAN_S = 0.5
AT_ONCE_S = 0.0


@pytest.fixture(params=[None, *map(FrontProxy, WhileDown)], ids=str)
def engine(request):
    made = CrashingEndpoint("x", back_s=60.0, front=request.param)
    yield made
    made.close()


def test_a_live_engine_has_not_crashed(engine):
    engine.cut()
    assert not has_crashed(engine.address, RAN_S)


def test_an_engine_that_crashed_while_running_a_sample_has_crashed(engine):
    engine.crash()
    assert has_crashed(engine.address, RAN_S)


def test_a_sample_that_was_not_begun_is_not_the_cause():
    """The engine was down before, or is full."""
    assert not has_crashed("", AT_ONCE_S, lambda address: EndpointState.BREAKS)


@pytest.mark.parametrize("state", [EndpointState.LISTENS, EndpointState.UNKNOWN])
def test_an_inconclusive_probe_is_no_crash(state):
    assert not has_crashed("", RAN_S, lambda address: state)
