"""When the store counts as unreachable, and as recovered."""

from __future__ import annotations

from math import inf

import pytest

from threadramp.fleet.store_health import UNREACHABLE_AFTER_S, StoreHealth
from threadramp.platform.store_model import StoreUnknownError


@pytest.fixture
def health(clock) -> StoreHealth:
    return StoreHealth(clock)


@pytest.fixture
def returns(health) -> list[float]:
    found: list[float] = []
    health.on_recovery.append(found.append)
    return found


def test_a_store_that_never_answered_may_be_unreachable(health):
    assert health.was_unreachable()


def test_it_recovers_after_a_failed_call(health, returns, clock):
    health.record_answer(clock.now())
    health.record_failure(clock.now(), StoreUnknownError("unreachable"))
    assert health.was_unreachable()
    clock.at += 0.5
    health.record_answer(clock.now())
    assert returns == [clock.now()]
    assert not health.was_unreachable()


def test_it_recovers_if_no_call_was_answered_for_long_though_none_failed(health, returns, clock):
    """A call that gets no answer on an idle connection is retried before it counts as failed."""
    health.record_answer(clock.now())
    clock.at += UNREACHABLE_AFTER_S + 0.1
    assert health.was_unreachable()
    health.record_answer(clock.now())
    assert returns == [clock.now()]


def test_a_retried_renewal_is_no_outage(health, returns, clock):
    health.record_answer(clock.now())
    clock.at += UNREACHABLE_AFTER_S - 0.1
    health.record_answer(clock.now())
    assert returns == []
    assert not health.was_unreachable()


def test_a_process_that_rarely_calls_takes_no_pause_for_an_outage(clock):
    """Sidecars of a large fleet renew each 9 s, and each renewal was reported as a recovery."""
    health = StoreHealth(clock, silence_limit_s=inf)
    returns: list[float] = []
    health.on_recovery.append(returns.append)
    health.record_answer(clock.now())
    clock.at += 9.0
    health.record_answer(clock.now())
    assert returns == []
