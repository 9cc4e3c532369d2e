"""Requests under which endpoints end behind ports that go on answering, at one gateway.

The incident is told in ``tests/serve/test_crashes_behind_ports.py``; here stands who is held back
and who is not: links that flap, queues that are full and connections that are cut convict nobody.
"""

from __future__ import annotations

import threading
import time

import pytest

from tests.edge.test_crash_guard import Crowd, _fingerprint
from tests.serve.fleet import wait_for
from threadramp.edge.job import Ending
from threadramp.fleet.model import Endpoint
from threadramp.fleet.picture import Belief
from threadramp.platform.standins.crashing import CrashingEndpoint, FrontProxy, WhileDown
from threadramp.policy.crash_book import Verdict

COUNT = 6
AWAY_S = 0.5


class FrontedCrowd(Crowd):
    """A gateway's forwarder and endpoints behind fronts; their entries stay as they were."""

    def __init__(self, back_s: float = AWAY_S) -> None:
        super().__init__()
        for one in self.standins:
            one.close()
        self.standins = [
            CrashingEndpoint(f"f{number}", back_s=back_s, front=FrontProxy())
            for number in range(COUNT)
        ]
        self.listed = {
            one.instance: Endpoint(one.instance, "p", one.address, "a", 6, born=one.born)
            for one in self.standins
        }
        self.list_all()

    def list_all(self, leaving: bool = False) -> None:
        rows = getattr(self, "listed", {})
        self.picture.belief = Belief(endpoints=rows)

    def flap(self, for_s: float) -> None:
        for one in self.standins:
            one.flap(for_s)


@pytest.fixture
def crowd():
    made = FrontedCrowd()
    yield made
    for one in made.standins:
        one.close()


def many(crowd, target: str, count: int) -> list:
    """Run requests at once and return how each ended."""
    found: list = []
    threads = [
        threading.Thread(target=lambda n=n: found.append(crowd.run(f"{target}/{n}", target_s=5.0)))
        for n in range(count)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return found


def test_three_ends_are_held_against_it_before_the_endpoints_are_back(crowd):
    crowd.run()
    crowd.run()
    assert (crowd.crashes, crowd.verdict()) == (3, Verdict.REFUSED)
    assert crowd.run().ending is Ending.NOT_RUN


def test_and_stay_so_once_others_are_answered_there(crowd):
    crowd.run()
    crowd.run()
    wait_for(lambda: not crowd.guard.ends.held, "all is settled", 3.0)
    for number in range(30):
        crowd.run(f"/calm/{number}")
    assert crowd.verdict() is Verdict.REFUSED
    assert all(one.is_proven for one in crowd.guard.book.suspects[_fingerprint("/crashes")].crashes)


def test_ends_of_one_endpoint_count_each(crowd):
    """Its entry stays as it was, and so does its id."""
    crowd.listed = dict(list(crowd.listed.items())[:1])
    crowd.list_all()
    for number in range(3):
        crowd.run(attempts=1)
        wait_for(lambda: not crowd.guard.ends.held, "it is settled", 3.0)
        assert crowd.guard.assess(lambda: _fingerprint("/crashes")).crashes == number + 1
    assert crowd.run().ending is Ending.NOT_RUN


def test_the_refusal_of_a_front_acquits_nothing(crowd):
    """A front's 503 for an endpoint that had ended passed for an answer of that endpoint."""
    crowd.listed = dict(list(crowd.listed.items())[:1])
    crowd.list_all()
    crowd.standins[0].front = FrontProxy(WhileDown.REFUSES)
    for _ in range(3):
        crowd.run(attempts=1)
        assert (crowd.crashes, crowd.verdict()) == (1, Verdict.SUSPECTED)


def test_a_crash_on_a_kept_connection_is_none_that_was_dropped(crowd):
    for _ in range(30):
        crowd.run("/calm")
    assert crowd.forwarder.connections.idle
    crowd.run()
    assert (crowd.crashes, crowd.verdict()) == (2, Verdict.APART)


def test_links_that_flap_convict_nobody(crowd):
    """All that is open and all that is new is reset, at all endpoints, five times."""
    for one in crowd.standins:
        one.engine.faults["hold_s"] = 0.1
    stop = threading.Event()

    def flap() -> None:
        while not stop.wait(0.25):
            crowd.flap(0.1)

    thread = threading.Thread(target=flap)
    thread.start()
    for number in range(5):
        many(crowd, f"/calm/{number}", 6)
    stop.set()
    thread.join()
    wait_for(lambda: not any(one.is_down for one in crowd.standins), "the last flap is over")
    wait_for(lambda: not crowd.guard.ends.held, "all is settled", 3.0)
    book = crowd.guard.book
    assert not [one for one in book.suspects.values() if one.standing]
    assert {one.ending for one in many(crowd, "/calm/0", 6)} == {Ending.ANSWERED}


def test_full_queues_convict_nobody(crowd):
    """Each endpoint serves one connection and resets the others.

    A thread that waits for a processor may take a reset for a break of a request that had begun;
    that is taken back as soon as the endpoint has room for the question.
    """
    for one in crowd.standins:
        one.most_open = 1
        one.engine.faults["hold_s"] = 0.2
    many(crowd, "/calm", 24)
    verdicts = [crowd.verdict(f"/calm/{number}") for number in range(24)]
    assert Verdict.REFUSED not in verdicts
    for one in crowd.standins:
        one.most_open = None
    wait_for(lambda: not crowd.guard.ends.held, "all is settled", 3.0)
    assert not [one for one in crowd.guard.book.suspects.values() if one.standing]


def test_connections_that_are_cut_are_held_against_nobody(crowd):
    for one in crowd.standins:
        one.engine.faults["hold_s"] = 0.2
    threading.Timer(0.1, lambda: [one.cut() for one in crowd.standins]).start()
    assert {one.ending for one in many(crowd, "/calm", 6)} == {Ending.ANSWERED}
    assert crowd.guard.book.is_empty


def test_one_that_comes_while_an_endpoint_is_down_is_not_to_blame(crowd):
    crowd.listed = dict(list(crowd.listed.items())[:1])
    crowd.list_all()
    crowd.run(attempts=1)
    time.sleep(0.05)
    for number in range(5):
        crowd.run(f"/calm/{number}", attempts=1)
        assert crowd.verdict(f"/calm/{number}") is Verdict.FREE
    assert crowd.verdict() is Verdict.SUSPECTED


def test_one_that_stood_beside_is_served_and_acquitted(crowd):
    for one in crowd.standins:
        one.run_s = 0.15
        one.engine.faults["hold_s"] = 0.25
    found: list = []
    calm = threading.Thread(target=lambda: found.extend(many(crowd, "/calm", 12)))
    calm.start()
    time.sleep(0.05)
    crowd.run(target_s=5.0)
    calm.join()
    assert sum(one.ending is Ending.ANSWERED for one in found) >= 11
    free = [n for n in range(12) if crowd.verdict(f"/calm/{n}") is Verdict.FREE]
    assert len(free) >= 11
