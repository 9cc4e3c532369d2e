"""Requests that crash endpoints, at one gateway, against stand-ins that crash.

``tests/serve/test_crashes.py`` describes the incident. Tested here are its parts: what counts as a
crash, how many endpoints one id may crash, and which requests are held back.
"""

from __future__ import annotations

import threading
import time
from random import Random

import pytest

from threadramp.edge.attempt_loop import MAX_REJECTION_ROUNDS, REJECTION_PAUSE_S, AttemptLoop
from threadramp.edge.connection_pool import ConnectionPool
from threadramp.edge.forward import Forwarder
from threadramp.edge.job import Ending, Job
from threadramp.fleet.clock import Clock, steady_s
from threadramp.fleet.fleet_view import FleetSnapshot, FleetView
from threadramp.fleet.model import Endpoint, Incarnation, PoolShare, Route, RouteKind
from threadramp.platform.standins.crashing import CrashingEndpoint
from threadramp.policy.crash_tracker import OWED_DELAYS_S, TRIAL_DELAYS_S, SuspicionLevel
from threadramp.policy.endpoint_choice import EndpointSelector
from threadramp.policy.fingerprint import fingerprint
from threadramp.policy.retries import RetryBudget

ENDPOINT_COUNT = 6


class CrashingPool:
    """One gateway's forwarder and a pool whose endpoints stay down after a crash."""

    def __init__(self) -> None:
        self.picture = FleetView()
        self.standins = [CrashingEndpoint(f"c{n}", back_s=60.0) for n in range(ENDPOINT_COUNT)]
        self.list_all()
        self.forwarder = Forwarder(
            self.picture, ConnectionPool(), EndpointSelector(Random(2)), RetryBudget(), Clock()
        )
        self.guard = self.forwarder.guard
        self.guard.claim = lambda fingerprint, trial: True

    def list_all(self, leaving: bool = False) -> None:
        rows = {
            one.instance: Endpoint(one.instance, "p", one.address, "a", 6, leaving)
            for one in self.standins
        }
        self.picture.snapshot = FleetSnapshot(endpoints=rows)

    def run(
        self,
        target="/crashes",
        attempts=5,
        target_s=1.0,
        kind=RouteKind.REPEATABLE,
        owed=False,
    ):
        route = Route("r", "h", "/", kind, (PoolShare("p", 1.0),), 2.0, target_s, attempts)
        job = Job("id", "POST", target, (("Host", "h"),), b"", route, steady_s() + 2.0, owed=owed)
        return self.forwarder.run(job)

    @property
    def crashes(self) -> int:
        return sum(len(one.crashed_at) for one in self.standins)

    def verdict(self, target="/crashes") -> SuspicionLevel:
        return self.guard.assess(lambda: _fingerprint(target)).level


def _fingerprint(target: str) -> bytes:
    return fingerprint("h", "POST", target, "", b"")


@pytest.fixture
def pool():
    made = CrashingPool()
    yield made
    for one in made.standins:
        one.close()


def test_one_id_crashes_two_endpoints_and_its_outcome_is_unknown(pool):
    assert pool.run().ending is Ending.UNKNOWN
    assert pool.crashes == 2


def test_after_three_crashes_the_next_id_is_refused_at_once(pool):
    pool.run()
    assert pool.run().ending is Ending.UNKNOWN
    assert pool.crashes == 3
    started = steady_s()
    outcome = pool.run()
    assert (outcome.ending, pool.crashes) == (Ending.NOT_RUN, 3)
    assert steady_s() - started < 0.05
    assert 0 < outcome.retry_after_s <= TRIAL_DELAYS_S[0]


def test_no_hedged_attempt_is_made_after_a_crash(pool):
    for one in pool.standins:
        one.run_s = 0.3
    pool.run(target_s=10.0)
    begun = len([1 for one in pool.standins for _ in one.begun])
    pool.run(target_s=0.1)
    assert len([1 for one in pool.standins for _ in one.begun]) == begun + 1


def test_a_request_that_may_run_once_crashes_one_endpoint(pool):
    assert pool.run(kind=RouteKind.ONCE).ending is Ending.UNKNOWN
    assert pool.crashes == 1


def test_a_crash_on_a_reused_connection_is_not_taken_for_a_stale_one(pool):
    for _ in range(30):
        pool.run("/calm")
    assert pool.forwarder.connection_pool.idle
    pool.run()
    assert pool.crashes == 2
    assert pool.verdict() is SuspicionLevel.ISOLATED


def test_a_cut_connection_is_attributed_to_no_request(pool):
    for one in pool.standins:
        one.engine.faults["hold_s"] = 0.2
    threading.Timer(0.1, lambda: [one.cut() for one in pool.standins]).start()
    assert pool.run("/calm", target_s=5.0).ending is Ending.ANSWERED
    assert pool.guard.tracker.is_empty


def test_the_crash_of_a_leaving_endpoint_is_attributed_to_no_request(pool):
    for one in pool.standins:
        one.engine.faults["hold_s"] = 0.3

    def leave() -> None:
        pool.list_all(leaving=True)
        for one in pool.standins:
            one.crash()

    threading.Timer(0.1, leave).start()
    pool.run("/calm", target_s=5.0)
    assert pool.guard.tracker.is_empty


def test_a_request_open_during_a_crash_is_retried_and_cleared(pool):
    for one in pool.standins:
        one.run_s = 0.15
        one.engine.faults["hold_s"] = 0.25
    found = []
    threads = [
        threading.Thread(target=lambda n=n: found.append(pool.run(f"/calm/{n}", target_s=5.0)))
        for n in range(12)
    ]
    for thread in threads:
        thread.start()
    time.sleep(0.05)
    pool.run(target_s=5.0)
    for thread in threads:
        thread.join()
    assert sum(one.ending is Ending.ANSWERED for one in found) >= 11
    answered = [n for n in range(12) if pool.verdict(f"/calm/{n}") is SuspicionLevel.NONE]
    assert len(answered) >= 11


def test_a_trial_with_a_response_clears_the_request(pool):
    pool.run()
    pool.run()
    clock = pool.guard.clock
    pool.guard.clock = LaterClock(clock, TRIAL_DELAYS_S[0])
    pool.run()
    assert (pool.crashes, pool.verdict()) == (4, SuspicionLevel.REFUSED)
    for one in pool.standins:
        one.mended = True
    pool.guard.clock = LaterClock(clock, sum(TRIAL_DELAYS_S) + 1.0)
    assert pool.run().ending is Ending.ANSWERED
    assert pool.verdict() is SuspicionLevel.NONE


def test_a_trial_is_started_once_even_if_its_connection_is_cut(pool):
    pool.run()
    pool.run()
    pool.guard.clock = LaterClock(pool.guard.clock, TRIAL_DELAYS_S[0])
    for one in pool.standins:
        one.crash = one.cut  # it stays alive
    begun = sum(len(one.begun) for one in pool.standins)
    assert pool.run().ending is Ending.UNKNOWN
    assert sum(len(one.begun) for one in pool.standins) == begun + 1


@pytest.fixture
def pauses(monkeypatch) -> list[float]:
    """The pauses of requests before they tried again."""
    made: list[float] = []
    monkeypatch.setattr(AttemptLoop, "_pause", lambda self, seconds: made.append(seconds))
    return made


def test_a_suspect_shares_an_endpoint_after_a_short_wait_if_none_is_free(pool, pauses):
    for one in pool.standins:
        one.engine.faults["hold_s"] = 0.0
    for one in pool.standins[:2]:
        pool.guard.record_crash("id", _fingerprint("/calm"), Incarnation(f"i-before-{one.name}"))
    assert pool.verdict("/calm") is SuspicionLevel.ISOLATED
    for one in pool.standins:
        assert pool.guard.isolate(Incarnation(one.instance))
    assert pool.run("/calm").ending is Ending.ANSWERED
    assert pauses == [REJECTION_PAUSE_S] * MAX_REJECTION_ROUNDS
    assert pool.verdict("/calm") is SuspicionLevel.NONE


def test_a_refused_request_whose_trial_another_box_claimed_is_not_sent(pool):
    pool.run()
    pool.run()
    pool.guard.claim = lambda fingerprint, trial: False
    pool.guard.clock = LaterClock(pool.guard.clock, TRIAL_DELAYS_S[0])
    begun = sum(len(one.begun) for one in pool.standins)
    assert pool.run().ending is Ending.NOT_RUN
    assert sum(len(one.begun) for one in pool.standins) == begun


def test_the_caller_is_refused_at_once_if_no_endpoint_listens(pool, pauses):
    """Four rounds of refused connections used to delay callers by 0.16 s."""
    for one in pool.standins:
        one.crash()
    started = steady_s()
    outcome = pool.run("/calm")
    assert outcome.ending is Ending.NOT_RUN
    assert outcome.retry_after_s >= 1.0
    assert steady_s() - started < 0.05


def test_no_request_is_assessed_while_none_is_suspect(pool):
    pool.guard.tracker.assess = None  # a call would fail
    assert pool.run("/calm").ending is Ending.ANSWERED


def test_a_scoring_call_is_delayed_after_three_crashes_and_sent_again(pool):
    """As a caller's request it was refused for 60 s, or for good without the store."""
    pool.guard.claim = lambda fingerprint, trial: False
    pool.run(owed=True)
    assert pool.run(owed=True).ending is Ending.UNKNOWN
    assert pool.crashes == 3
    held = pool.run(owed=True)
    assert (held.ending, pool.crashes) == (Ending.NOT_RUN, 3)
    assert 0.0 < held.retry_after_s <= OWED_DELAYS_S[0]
    for one in pool.standins:
        one.mended = True
    time.sleep(held.retry_after_s)
    assert pool.run(owed=True).ending is Ending.ANSWERED


def test_a_scoring_call_and_a_request_of_a_caller_that_are_alike_are_judged_apart(pool):
    pool.run()
    pool.run()
    assert pool.run().ending is Ending.NOT_RUN
    assert pool.run(owed=True).ending is Ending.UNKNOWN
    assert pool.crashes > 3
    for one in pool.standins:
        one.mended = True
    assert pool.run(owed=True).ending is Ending.ANSWERED
    assert pool.run().ending is Ending.NOT_RUN


class LaterClock:
    """A clock that is ahead by some time."""

    def __init__(self, clock, ahead_s: float) -> None:
        self.clock = clock
        self.ahead_s = ahead_s

    def now(self) -> float:
        return self.clock.now()

    def time_of_day(self) -> float:
        return self.clock.time_of_day() + self.ahead_s
