"""When the store counts as away, and as back."""

from __future__ import annotations

from math import inf

import pytest

from threadramp.fleet.store_health import AWAY_S, StoreHealth
from threadramp.platform.store_model import StoreUnknownError


@pytest.fixture
def health(clock) -> StoreHealth:
    return StoreHealth(clock)


@pytest.fixture
def returns(health) -> list[float]:
    found: list[float] = []
    health.on_return.append(found.append)
    return found


def test_a_store_that_never_answered_may_be_away(health):
    assert health.was_away()


def test_it_returns_after_a_failed_call(health, returns, clock):
    health.record_answer(clock.now())
    health.record_failure(clock.now(), StoreUnknownError("away"))
    assert health.was_away()
    clock.at += 0.5
    health.record_answer(clock.now())
    assert returns == [clock.now()]
    assert not health.was_away()


def test_it_returns_where_none_was_answered_for_long_though_no_call_failed(health, returns, clock):
    """A call that stays out on a kept connection is sent again before it counts as failed."""
    health.record_answer(clock.now())
    clock.at += AWAY_S + 0.1
    assert health.was_away()
    health.record_answer(clock.now())
    assert returns == [clock.now()]


def test_a_renewal_that_was_sent_twice_is_no_absence(health, returns, clock):
    health.record_answer(clock.now())
    clock.at += AWAY_S - 0.1
    health.record_answer(clock.now())
    assert returns == []
    assert not health.was_away()


def test_one_that_asks_seldom_takes_no_pause_for_an_absence(clock):
    """Sidecars of a large fleet renew each 9 s, and each renewal was told as a return."""
    health = StoreHealth(clock, silence_limit_s=inf)
    returns: list[float] = []
    health.on_return.append(returns.append)
    health.record_answer(clock.now())
    clock.at += 9.0
    health.record_answer(clock.now())
    assert returns == []
