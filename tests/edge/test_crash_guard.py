"""Requests under which endpoints end, at one gateway, against stand-ins that crash.

The incident is told in ``tests/serve/test_crashes.py``; here stand its parts: what counts as an
end, how many endpoints one id may end, who is held back and who is not.
"""

from __future__ import annotations

import threading
import time
from random import Random

import pytest

from threadramp.edge.attempt_loop import REJECTED_PAUSE_S, REJECTED_ROUNDS, Attempts
from threadramp.edge.connection_pool import ConnectionPool
from threadramp.edge.forward import Forwarder
from threadramp.edge.job import Ending, Job
from threadramp.fleet.clock import Clock, steady_s
from threadramp.fleet.model import Endpoint, PoolShare, Route, RouteKind, Start
from threadramp.fleet.picture import Belief, Picture
from threadramp.platform.standins.crashing import CrashingEndpoint
from threadramp.policy.crash_book import TRIALS_AFTER_S, Verdict
from threadramp.policy.endpoint_choice import EndpointChoice
from threadramp.policy.fingerprint import fingerprint
from threadramp.policy.retries import RetryBudget

COUNT = 6


class Crowd:
    """One gateway's forwarder and a pool whose endpoints crash and stay away for long."""

    def __init__(self) -> None:
        self.picture = Picture()
        self.standins = [CrashingEndpoint(f"c{n}", back_s=60.0) for n in range(COUNT)]
        self.list_all()
        self.forwarder = Forwarder(
            self.picture, ConnectionPool(), EndpointChoice(Random(2)), RetryBudget(), Clock()
        )
        self.guard = self.forwarder.guard
        self.guard.claim = lambda fingerprint, trial: True

    def list_all(self, leaving: bool = False) -> None:
        rows = {
            one.instance: Endpoint(one.instance, "p", one.address, "a", 6, leaving)
            for one in self.standins
        }
        self.picture.belief = Belief(endpoints=rows)

    def run(self, target="/crashes", attempts=5, target_s=1.0, kind=RouteKind.REPEATABLE):
        route = Route("r", "h", "/", kind, (PoolShare("p", 1.0),), 2.0, target_s, attempts)
        job = Job("id", "POST", target, (("Host", "h"),), b"", route, steady_s() + 2.0)
        return self.forwarder.run(job)

    @property
    def crashes(self) -> int:
        return sum(len(one.crashed_at) for one in self.standins)

    def verdict(self, target="/crashes") -> Verdict:
        return self.guard.assess(lambda: _fingerprint(target)).verdict


def _fingerprint(target: str) -> bytes:
    return fingerprint("h", "POST", target, "", b"")


@pytest.fixture
def crowd():
    made = Crowd()
    yield made
    for one in made.standins:
        one.close()


def test_one_id_ends_two_endpoints_and_is_told_that_it_may_have_run(crowd):
    assert crowd.run().ending is Ending.UNKNOWN
    assert crowd.crashes == 2


def test_the_third_endpoint_is_the_last_and_the_next_id_is_refused_at_once(crowd):
    crowd.run()
    assert crowd.run().ending is Ending.UNKNOWN
    assert crowd.crashes == 3
    started = steady_s()
    outcome = crowd.run()
    assert (outcome.ending, crowd.crashes) == (Ending.NOT_RUN, 3)
    assert steady_s() - started < 0.05
    assert 0 < outcome.retry_after_s <= TRIALS_AFTER_S[0]


def test_no_second_endpoint_is_asked_beside_the_first_once_one_has_ended(crowd):
    for one in crowd.standins:
        one.run_s = 0.3
    crowd.run(target_s=10.0)
    begun = len([1 for one in crowd.standins for _ in one.begun])
    crowd.run(target_s=0.1)
    assert len([1 for one in crowd.standins for _ in one.begun]) == begun + 1


def test_a_request_that_runs_once_ends_one_endpoint(crowd):
    assert crowd.run(kind=RouteKind.ONCE).ending is Ending.UNKNOWN
    assert crowd.crashes == 1


def test_a_crash_on_a_kept_connection_is_no_dropped_connection(crowd):
    for _ in range(30):
        crowd.run("/calm")
    assert crowd.forwarder.connections.idle
    crowd.run()
    assert crowd.crashes == 2
    assert crowd.verdict() is Verdict.APART


def test_a_connection_that_is_cut_is_held_against_nobody(crowd):
    for one in crowd.standins:
        one.engine.faults["hold_s"] = 0.2
    threading.Timer(0.1, lambda: [one.cut() for one in crowd.standins]).start()
    assert crowd.run("/calm", target_s=5.0).ending is Ending.ANSWERED
    assert crowd.guard.book.is_empty


def test_the_end_of_an_endpoint_that_leaves_is_held_against_nobody(crowd):
    for one in crowd.standins:
        one.engine.faults["hold_s"] = 0.3

    def leave() -> None:
        crowd.list_all(leaving=True)
        for one in crowd.standins:
            one.crash()

    threading.Timer(0.1, leave).start()
    crowd.run("/calm", target_s=5.0)
    assert crowd.guard.book.is_empty


def test_one_that_was_beside_a_crash_is_run_again_and_acquitted(crowd):
    for one in crowd.standins:
        one.run_s = 0.15
        one.engine.faults["hold_s"] = 0.25
    found = []
    threads = [
        threading.Thread(target=lambda n=n: found.append(crowd.run(f"/calm/{n}", target_s=5.0)))
        for n in range(12)
    ]
    for thread in threads:
        thread.start()
    time.sleep(0.05)
    crowd.run(target_s=5.0)
    for thread in threads:
        thread.join()
    assert sum(one.ending is Ending.ANSWERED for one in found) >= 11
    answered = [n for n in range(12) if crowd.verdict(f"/calm/{n}") is Verdict.FREE]
    assert len(answered) >= 11


def test_a_trial_that_is_answered_acquits(crowd):
    crowd.run()
    crowd.run()
    clock = crowd.guard.clock
    crowd.guard.clock = Later(clock, TRIALS_AFTER_S[0])
    crowd.run()
    assert (crowd.crashes, crowd.verdict()) == (4, Verdict.REFUSED)
    for one in crowd.standins:
        one.mended = True
    crowd.guard.clock = Later(clock, sum(TRIALS_AFTER_S) + 1.0)
    assert crowd.run().ending is Ending.ANSWERED
    assert crowd.verdict() is Verdict.FREE


def test_a_trial_is_begun_once_also_where_its_connection_is_cut(crowd):
    crowd.run()
    crowd.run()
    crowd.guard.clock = Later(crowd.guard.clock, TRIALS_AFTER_S[0])
    for one in crowd.standins:
        one.crash = one.cut  # it lives on
    begun = sum(len(one.begun) for one in crowd.standins)
    assert crowd.run().ending is Ending.UNKNOWN
    assert sum(len(one.begun) for one in crowd.standins) == begun + 1


@pytest.fixture
def pauses(monkeypatch) -> list[float]:
    """The pauses that requests made before they asked again."""
    made: list[float] = []
    monkeypatch.setattr(Attempts, "_pause", lambda self, seconds: made.append(seconds))
    return made


def test_one_that_finds_other_suspects_everywhere_goes_beside_them_after_a_short_wait(
    crowd, pauses
):
    for one in crowd.standins:
        one.engine.faults["hold_s"] = 0.0
    for one in crowd.standins[:2]:
        crowd.guard.record_crash("id", _fingerprint("/calm"), Start(f"i-before-{one.name}"))
    assert crowd.verdict("/calm") is Verdict.APART
    for one in crowd.standins:
        assert crowd.guard.take_place(Start(one.instance))
    assert crowd.run("/calm").ending is Ending.ANSWERED
    assert pauses == [REJECTED_PAUSE_S] * REJECTED_ROUNDS
    assert crowd.verdict("/calm") is Verdict.FREE


def test_a_refused_request_whose_trial_another_box_has_is_not_sent(crowd):
    crowd.run()
    crowd.run()
    crowd.guard.claim = lambda fingerprint, trial: False
    crowd.guard.clock = Later(crowd.guard.clock, TRIALS_AFTER_S[0])
    begun = sum(len(one.begun) for one in crowd.standins)
    assert crowd.run().ending is Ending.NOT_RUN
    assert sum(len(one.begun) for one in crowd.standins) == begun


def test_where_nobody_listens_the_caller_is_told_at_once(crowd, pauses):
    """Four rounds of refused connections held callers for 0.16 s before."""
    for one in crowd.standins:
        one.crash()
    started = steady_s()
    outcome = crowd.run("/calm")
    assert outcome.ending is Ending.NOT_RUN
    assert outcome.retry_after_s >= 1.0
    assert steady_s() - started < 0.05


def test_nothing_is_worked_out_for_requests_while_none_is_suspected(crowd):
    crowd.guard.book.ruling = None  # it would fail
    assert crowd.run("/calm").ending is Ending.ANSWERED


class Later:
    """A clock some time ahead."""

    def __init__(self, clock, ahead_s: float) -> None:
        self.clock = clock
        self.ahead_s = ahead_s

    def now(self) -> float:
        return self.clock.now()

    def time_of_day(self) -> float:
        return self.clock.time_of_day() + self.ahead_s
