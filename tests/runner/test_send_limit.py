"""How many samples a second a sidecar sends to its engine."""

from __future__ import annotations

from tests.runner.test_runs import begin, order
from threadramp.platform.settings import Bounds
from threadramp.runner.runs import RunTable
from threadramp.runner.send_limit import UNLIMITED, SendLimit
from threadramp.wire.runner import ColdFacts, Facts

BOUNDS = Bounds(cold_overage=1.5, cold_slack=4.5)


def new_limit(clock, left_s: float, is_host: bool = False) -> SendLimit:
    limit = SendLimit(BOUNDS, is_host, clock.now() - 5.0)
    limit.update(Facts(cold=ColdFacts(5.0, left_s, serves_calls=False)), clock.now())
    return limit


def test_a_pool_without_a_rate_has_no_limit(clock):
    limit = SendLimit(BOUNDS, False, clock.now())
    limit.update(Facts(), clock.now())
    assert limit.per_second(clock.now()) == UNLIMITED
    assert all(limit.take(clock.now()) for _ in range(100))


def test_an_engine_that_is_not_known_to_be_cold_gets_no_more_than_a_cold_one_bears(clock):
    """An engine became cold and received 18 samples in a second before anybody reported it."""
    assert new_limit(clock, left_s=0.0).per_second(clock.now()) == 12


def test_a_cold_engine_gets_the_share_of_its_sidecar_until_it_is_warm(clock):
    limit = new_limit(clock, left_s=3.0)
    assert limit.per_second(clock.now()) == 8
    assert new_limit(clock, left_s=3.0, is_host=True).per_second(clock.now()) == 4
    clock.at += 3.1
    assert limit.per_second(clock.now()) == 12


def test_older_facts_do_not_end_the_cold_time(clock):
    """Gateways report at different times; one that has not received the entry yet says nothing."""
    limit = new_limit(clock, left_s=3.0)
    limit.update(Facts(cold=ColdFacts(5.0, 0.0, serves_calls=False)), clock.now())
    assert limit.is_cold(clock.now())


def test_waiting_samples_start_as_room_comes(clock):
    limit = new_limit(clock, left_s=3.0)
    table = RunTable(clock.now, limit)
    table.slots = 12
    table.accepting = True
    assert len(begin(table, *[order(f"s{number}") for number in range(12)])) == 8
    clock.at += 1.01
    assert len(list(iter(table.next_start, None))) == 4
