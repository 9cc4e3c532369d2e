"""How many calls a gateway has open at a pool."""

from __future__ import annotations

from random import Random

import pytest

from threadramp.policy.concurrency_limit import (
    BURST_BOUND,
    LIMITS,
    MAX_BOUND,
    MIN_BOUND,
    MIN_LIMIT,
    Answer,
    PoolState,
    pressure,
)

WORK_S = 0.04
TARGET_S = 0.2


def state(found: float, in_flight=1, age_s=0.0, since_s=0.0, at=100.0) -> PoolState:
    return PoolState(at, found, True, age_s, in_flight, since_s)


def standing(seed: int = 1):
    """Return a limit that has seen a standing queue."""
    limit = LIMITS["expected_wait"](Random(seed))
    limit.allows(state(5.0, at=90.0))
    return limit


def test_the_pressure_is_the_part_of_the_time_that_waiting_takes():
    assert pressure(0.0, WORK_S, TARGET_S) == 0.0
    assert pressure(0.06, WORK_S, TARGET_S) == pytest.approx(0.5)
    assert pressure(0.01, 0.15, TARGET_S) == float("inf")


@pytest.mark.parametrize("name", sorted(LIMITS))
def test_no_limit_refuses_a_first_call_to_idle_endpoints(name):
    assert LIMITS[name](Random(1)).allows(state(0.0, in_flight=0, age_s=99.0, since_s=99.0))


def test_calls_are_sent_less_often_the_longer_they_would_wait():
    """With one fixed bound all gateways started and stopped sending at the same time."""
    limit = standing()
    middle = (MIN_BOUND + MAX_BOUND) / 2
    assert not any(limit.allows(state(MAX_BOUND + 0.01)) for _ in range(100))
    allowed = sum(standing(seed).allows(state(middle)) for seed in range(99))
    assert 30 < allowed < 70


def test_a_short_queue_is_left_alone_and_a_standing_one_is_reduced():
    """At nine tenths of the capacity every tenth call was refused for a queue of some ms."""
    limit = LIMITS["expected_wait"](Random(1))
    assert limit.allows(state(0.0, at=100.0))
    assert limit.allows(state(BURST_BOUND, at=100.04))
    assert not limit.allows(state(BURST_BOUND, at=100.3))
    assert limit.allows(state(MIN_BOUND, at=100.4))
    assert limit.allows(state(BURST_BOUND, at=100.44))


def test_a_gateway_without_open_calls_learns_the_load_by_one():
    """After an overload it refused calls while all endpoints had free slots."""
    limit = standing()
    assert not limit.allows(state(5.0, in_flight=0, age_s=0.01))
    assert limit.allows(state(5.0, in_flight=0, age_s=0.2))
    assert not limit.allows(state(5.0, in_flight=1, age_s=0.2))


def play(name: str, latency_s, answers: int = 400) -> list[float]:
    """Return the values of a limit while answers arrive one after the other."""
    limit = LIMITS[name](Random(1))
    values = []
    now = 0.0
    for number in range(answers):
        now += 0.02
        found = latency_s(number)
        load = pressure(max(0.0, found - WORK_S), WORK_S, TARGET_S)
        limit.record(Answer(found, load, False, round(limit.value), TARGET_S), now)
        values.append(limit.value)
    return values


@pytest.mark.parametrize("name", ["reported_queue", "latency_gradient"])
def test_a_limit_falls_as_answers_get_slower_and_rises_again(name):
    values = play(name, lambda number: 0.18 if 100 <= number < 200 else 0.04)
    assert values[199] < values[99] / 4
    assert values[-1] > 2 * values[199]


@pytest.mark.parametrize("name", ["reported_queue", "latency_gradient"])
def test_a_rejection_reduces_the_limit_and_is_no_short_latency(name):
    """Rejections come at once: they passed for the shortest latency, and the limit never rose."""
    limit = LIMITS[name](Random(1))
    for number in range(50):
        limit.record(Answer(0.004, 0.0, True, 4, TARGET_S), number * 0.1)
    assert limit.value == MIN_LIMIT
    for number in range(50, 100):
        limit.record(Answer(WORK_S, 0.0, False, 1, TARGET_S), number * 0.1)
    assert limit.value > 1.0


@pytest.mark.parametrize("name", ["reported_queue", "latency_gradient"])
def test_a_limit_below_one_is_a_pace(name):
    limit = LIMITS[name](Random(1))
    limit.value = MIN_LIMIT
    assert not limit.allows(state(0.0, in_flight=0, since_s=0.1))
    assert limit.allows(state(0.0, in_flight=0, since_s=0.6))


def test_without_reports_the_gradient_decides():
    limit = LIMITS["adaptive"](Random(1))
    limit.gradient.value = 1.0
    assert limit.allows(PoolState(1.0, 0.0, True, 0.0, 5, 0.0))
    assert not limit.allows(PoolState(1.0, 0.0, False, 0.0, 5, 0.0))


def test_slow_answers_never_stop_a_gateway_from_having_one_open_call():
    """On a busy machine, short latencies varied, and single calls to idle endpoints got 503."""
    limit = LIMITS["latency_gradient"](Random(1))
    for number in range(200):
        limit.record(Answer(0.3 if number % 3 else 0.002, 0.0, False, 1, TARGET_S), number * 0.4)
        assert limit.allows(state(0.0, in_flight=0, since_s=0.0))


def test_latencies_well_within_the_target_reduce_nothing():
    limit = LIMITS["latency_gradient"](Random(1))
    for number in range(200):
        latency_s = 0.001 if number < 20 else 0.25 * TARGET_S
        limit.record(Answer(latency_s, 0.0, False, 4, TARGET_S), number * 0.4)
    assert limit.value >= 4.0


def test_the_least_urgent_of_many_priorities_is_not_starved():
    """With ten priorities the last one was refused at the slightest pressure."""
    limit = standing()
    at_low_pressure = PoolState(100.0, 0.2 * MIN_BOUND, True, 0.0, 1, 0.0, 9)
    assert all(limit.allows(at_low_pressure) for _ in range(50))
