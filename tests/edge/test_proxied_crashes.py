"""Requests that crash endpoints behind reverse proxies whose ports stay open, at one gateway.

``tests/serve/test_crashes_behind_ports.py`` describes the incident. Tested here is which requests
are held back: flapping links, full queues and cut connections must confirm no crash.
"""

from __future__ import annotations

import threading
import time

import pytest

from tests.edge.test_crash_guard import CrashingPool, _fingerprint
from tests.serve.fleet import wait_for
from threadramp.edge.job import Ending
from threadramp.fleet.fleet_view import FleetSnapshot
from threadramp.fleet.model import Endpoint
from threadramp.platform.standins.crashing import CrashingEndpoint, FrontProxy, WhileDown
from threadramp.policy.crash_tracker import SuspicionLevel

ENDPOINT_COUNT = 6
DOWN_S = 0.5


class ProxiedPool(CrashingPool):
    """One gateway's forwarder and endpoints behind proxies; their list entries do not change."""

    def __init__(self, back_s: float = DOWN_S) -> None:
        super().__init__()
        for one in self.standins:
            one.close()
        self.standins = [
            CrashingEndpoint(f"f{number}", back_s=back_s, front=FrontProxy())
            for number in range(ENDPOINT_COUNT)
        ]
        self.listed = {
            one.instance: Endpoint(one.instance, "p", one.address, "a", 6, born=one.born)
            for one in self.standins
        }
        self.list_all()

    def list_all(self, leaving: bool = False) -> None:
        rows = getattr(self, "listed", {})
        self.picture.snapshot = FleetSnapshot(endpoints=rows)

    def flap(self, for_s: float) -> None:
        for one in self.standins:
            one.flap(for_s)


@pytest.fixture
def pool():
    made = ProxiedPool()
    yield made
    for one in made.standins:
        one.close()


def run_many(pool, target: str, count: int) -> list:
    """Run requests concurrently and return their outcomes."""
    found: list = []
    threads = [
        threading.Thread(target=lambda n=n: found.append(pool.run(f"{target}/{n}", target_s=5.0)))
        for n in range(count)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return found


def test_three_crashes_are_attributed_before_the_endpoints_are_back(pool):
    pool.run()
    pool.run()
    assert (pool.crashes, pool.verdict()) == (3, SuspicionLevel.REFUSED)
    assert pool.run().ending is Ending.NOT_RUN


def test_three_crashes_stay_confirmed_after_responses_to_others(pool):
    pool.run()
    pool.run()
    wait_for(lambda: not pool.guard.resolver.pending, "all is settled", 3.0)
    for number in range(30):
        pool.run(f"/calm/{number}")
    assert pool.verdict() is SuspicionLevel.REFUSED
    assert all(
        one.is_proven for one in pool.guard.tracker.suspects[_fingerprint("/crashes")].crashes
    )


def test_each_crash_of_one_endpoint_counts(pool):
    """The list entry and the id of the endpoint stay the same."""
    pool.listed = dict(list(pool.listed.items())[:1])
    pool.list_all()
    for number in range(3):
        pool.run(attempts=1)
        wait_for(lambda: not pool.guard.resolver.pending, "it is settled", 3.0)
        assert pool.guard.assess(lambda: _fingerprint("/crashes")).crashes == number + 1
    assert pool.run().ending is Ending.NOT_RUN


def test_an_error_from_the_proxy_clears_no_request(pool):
    """The proxy's 503 for a crashed endpoint was taken for a response of that endpoint."""
    pool.listed = dict(list(pool.listed.items())[:1])
    pool.list_all()
    pool.standins[0].front = FrontProxy(WhileDown.REFUSES)
    for _ in range(3):
        pool.run(attempts=1)
        assert (pool.crashes, pool.verdict()) == (1, SuspicionLevel.SUSPECTED)


def test_a_crash_on_a_reused_connection_is_not_a_stale_connection(pool):
    for _ in range(30):
        pool.run("/calm")
    assert pool.forwarder.connection_pool.idle
    pool.run()
    assert (pool.crashes, pool.verdict()) == (2, SuspicionLevel.ISOLATED)


def test_links_that_flap_convict_nobody(pool):
    """All open and new connections to all endpoints are reset, five times."""
    for one in pool.standins:
        one.engine.faults["hold_s"] = 0.1
    stop = threading.Event()

    def flap() -> None:
        while not stop.wait(0.25):
            pool.flap(0.1)

    thread = threading.Thread(target=flap)
    thread.start()
    for number in range(5):
        run_many(pool, f"/calm/{number}", 6)
    stop.set()
    thread.join()
    wait_for(lambda: not any(one.is_down for one in pool.standins), "the last flap is over")
    wait_for(lambda: not pool.guard.resolver.pending, "all is settled", 3.0)
    tracker = pool.guard.tracker
    assert not [one for one in tracker.suspects.values() if one.standing]
    assert {one.ending for one in run_many(pool, "/calm/0", 6)} == {Ending.ANSWERED}


def test_full_queues_convict_nobody(pool):
    """Each endpoint serves one connection and resets the others.

    A thread that waits for a CPU may take a reset for the break of a started request. That crash is
    retracted as soon as the endpoint has room for the query.
    """
    for one in pool.standins:
        one.most_open = 1
        one.engine.faults["hold_s"] = 0.2
    run_many(pool, "/calm", 24)
    verdicts = [pool.verdict(f"/calm/{number}") for number in range(24)]
    assert SuspicionLevel.REFUSED not in verdicts
    for one in pool.standins:
        one.most_open = None
    wait_for(lambda: not pool.guard.resolver.pending, "all is settled", 3.0)
    assert not [one for one in pool.guard.tracker.suspects.values() if one.standing]


def test_cut_connections_are_attributed_to_no_request(pool):
    for one in pool.standins:
        one.engine.faults["hold_s"] = 0.2
    threading.Timer(0.1, lambda: [one.cut() for one in pool.standins]).start()
    assert {one.ending for one in run_many(pool, "/calm", 6)} == {Ending.ANSWERED}
    assert pool.guard.tracker.is_empty


def test_a_request_sent_while_an_endpoint_is_down_is_not_suspect(pool):
    pool.listed = dict(list(pool.listed.items())[:1])
    pool.list_all()
    pool.run(attempts=1)
    time.sleep(0.05)
    for number in range(5):
        pool.run(f"/calm/{number}", attempts=1)
        assert pool.verdict(f"/calm/{number}") is SuspicionLevel.NONE
    assert pool.verdict() is SuspicionLevel.SUSPECTED


def test_a_request_open_during_a_crash_is_served_and_cleared(pool):
    for one in pool.standins:
        one.run_s = 0.15
        one.engine.faults["hold_s"] = 0.25
    found: list = []
    calm = threading.Thread(target=lambda: found.extend(run_many(pool, "/calm", 12)))
    calm.start()
    time.sleep(0.05)
    pool.run(target_s=5.0)
    calm.join()
    assert sum(one.ending is Ending.ANSWERED for one in found) >= 11
    free = [n for n in range(12) if pool.verdict(f"/calm/{n}") is SuspicionLevel.NONE]
    assert len(free) >= 11
