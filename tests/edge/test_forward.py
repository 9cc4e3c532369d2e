"""Requests on their way to endpoints, against stand-ins."""

from __future__ import annotations

import socket
import threading
from dataclasses import replace
from random import Random

import pytest

from threadramp.edge.connection_pool import ConnectionPool
from threadramp.edge.forward import Forwarder
from threadramp.edge.job import Ending, Job
from threadramp.fleet.clock import Clock, steady_s
from threadramp.fleet.model import Endpoint, PoolShare, Route, RouteKind
from threadramp.fleet.picture import Belief, Picture
from threadramp.platform.standins.endpoint import PlatformEngine
from threadramp.policy.endpoint_choice import EndpointChoice
from threadramp.policy.retries import RetryBudget


class Fleet:
    """Endpoints of one pool and a forwarder to them."""

    def __init__(self, serve):
        self.serve = serve
        self.asked = 0
        self.picture = Picture()
        self.connections = ConnectionPool()
        self.standins: list[PlatformEngine] = []
        self.endpoints: dict[str, Endpoint] = {}
        self.choice = EndpointChoice(Random(1))
        self.forwarder = Forwarder(
            self.picture, self.connections, self.choice, RetryBudget(), Clock()
        )

    def add(self, address: str = "", **faults) -> PlatformEngine:
        instance = f"i-{len(self.standins)}"
        standin = PlatformEngine({"instance": instance, **faults})
        self.standins.append(standin)
        place = address or self.serve(standin)
        self.endpoints[instance] = Endpoint(instance, "p", place, "a", 6)
        self.picture.belief = Belief(endpoints=dict(self.endpoints))
        return standin

    def run(self, kind=RouteKind.REPEATABLE, attempts=3, time_s=2.0, target_s=1.0, **more):
        route = Route("r", "h", "/", kind, (PoolShare("p", 1.0),), 2.0, target_s, attempts)
        self.asked += 1
        ident = "req" if self.asked == 1 else f"req-{self.asked}"  # each of a caller has its own
        job = Job(
            ident, "POST", "/a/b", (("Host", "h"), ("X-Attempt-Id", ident)), b"body", route,
            steady_s() + time_s, **more,
        )  # fmt: skip
        return self.forwarder.run(job)

    @property
    def runs(self) -> int:
        return sum(len(one.runs) for one in self.standins)


@pytest.fixture
def fleet(serve) -> Fleet:
    return Fleet(serve)


def test_the_answer_comes_back_whole(fleet):
    fleet.add()
    outcome = fleet.run()
    assert outcome.ending is Ending.ANSWERED
    assert (outcome.response.head.status, outcome.response.body) == (200, b"i-0 answers req")
    assert outcome.response.head.signature == "sig-req"


def test_a_connection_is_used_again(fleet):
    fleet.add()
    for _ in range(5):
        fleet.run()
    assert fleet.connections.opened == 1


def test_a_rejection_goes_to_another_endpoint_and_costs_no_attempt(fleet):
    fleet.add(reject=1)
    fleet.add(reject=1)
    assert fleet.run(RouteKind.ONCE, attempts=1).ending is Ending.ANSWERED
    assert fleet.runs == 1


def test_full_endpoints_are_told_at_once_with_when_to_come_back(fleet):
    fleet.add(reject=99)
    started = steady_s()
    outcome = fleet.run(RouteKind.ONCE)
    assert outcome.ending is Ending.NOT_RUN
    assert outcome.retry_after_s > 0
    assert steady_s() - started < 0.5
    assert fleet.runs == 0


def test_no_endpoint_is_not_run(fleet):
    assert fleet.run().ending is Ending.NOT_RUN


def test_a_failure_of_a_repeatable_request_is_tried_elsewhere(fleet):
    fleet.add(fail=9)
    fleet.add()
    for _ in range(6):
        assert fleet.run().response.head.status == 200


def test_a_request_that_runs_once_is_not_tried_elsewhere_after_it_ran(fleet):
    fleet.add(other_id=1)
    fleet.add(other_id=1)
    assert fleet.run(RouteKind.ONCE).ending is Ending.UNKNOWN
    assert fleet.runs == 1


def test_an_answer_to_another_request_is_never_passed_on(fleet):
    fleet.add(other_id=1)
    fleet.add(other_id=1)
    outcome = fleet.run(attempts=3)
    assert outcome.ending is not Ending.ANSWERED or outcome.response.body.endswith(b"answers req")


def test_no_more_endpoints_than_allowed_run_a_request(fleet):
    for _ in range(4):
        fleet.add(fail=9)
    outcome = fleet.run(attempts=2)
    assert outcome.response.head.status == 500
    assert fleet.runs == 2


def test_a_dead_endpoint_is_passed_over(fleet):
    fleet.add(address="127.0.0.1:1")
    fleet.add()
    for _ in range(4):
        assert fleet.run(RouteKind.ONCE).ending is Ending.ANSWERED


def test_time_is_kept(fleet):
    fleet.add(hold_s=5.0)
    started = steady_s()
    assert fleet.run(time_s=0.4).ending is Ending.TIME_OVER
    assert steady_s() - started < 0.6


def test_a_late_repeatable_request_is_sent_to_a_second_endpoint(fleet):
    fleet.add(hold_s=1.5)
    fleet.add()
    started = steady_s()
    outcomes = [fleet.run(target_s=0.2) for _ in range(4)]
    assert all(outcome.ending is Ending.ANSWERED for outcome in outcomes)
    assert steady_s() - started < 1.5


def test_a_caller_that_has_gone_ends_the_work(fleet):
    fleet.add(hold_s=3.0)
    ours, theirs = socket.socketpair()
    threading.Timer(0.2, theirs.close).start()
    started = steady_s()
    assert fleet.run(caller_socket=ours).ending is Ending.CALLER_GONE
    assert steady_s() - started < 0.6
    ours.close()


def test_a_scoring_error_is_the_answer(fleet):
    fleet.add(fail=1)
    fleet.add()
    statuses = {fleet.run(retry_errors=False).response.head.status for _ in range(4)}
    assert statuses == {200, 500}
    assert fleet.runs == 4


def test_surplus_bytes_end_a_connection(fleet):
    """A connection on which something came after the answer is not used again."""
    fleet.add()
    fleet.run()
    (row,) = fleet.connections.idle.values()
    kept = row[0].connection
    peer_closed = socket.socketpair()
    kept.sock.close()
    kept.sock = peer_closed[0]
    peer_closed[1].sendall(b"HTTP/1.1 200 OK\r\n")
    assert fleet.run().response.body == b"i-0 answers req-2"
    assert fleet.connections.opened == 2


def test_what_is_kept_of_an_endpoint_goes_with_it(fleet):
    fleet.add()
    fleet.run()
    assert fleet.connections.idle and fleet.choice.records
    fleet.picture.belief = Belief()
    fleet.forwarder.drop_unlisted()
    assert not fleet.connections.idle
    assert not fleet.choice.records


def test_a_request_of_a_caller_that_left_before_is_not_sent(fleet):
    fleet.add()
    ours, theirs = socket.socketpair()
    theirs.close()
    assert fleet.run(caller_socket=ours).ending is Ending.CALLER_GONE
    assert fleet.runs == 0


def start_anew(fleet, born: int) -> None:
    """List the first endpoint as another start under its id."""
    again = replace(fleet.endpoints["i-0"], born=born)
    fleet.endpoints["i-0"] = again
    fleet.picture.belief = Belief(endpoints=dict(fleet.endpoints))


def test_what_is_known_of_a_start_does_not_hold_for_the_next_one_under_its_id(fleet):
    fleet.add(fail=1)
    for _ in range(4):
        fleet.run()
    fleet.choice.failed(fleet.endpoints["i-0"], steady_s())
    start_anew(fleet, 2000)
    fleet.forwarder.drop_unlisted()
    assert not fleet.connections.idle
    assert not fleet.choice.records


def test_a_request_that_failed_at_a_start_may_go_to_the_next_one_under_its_id(fleet):
    """Where that is the only endpoint, the caller waited for nothing until its time was over."""
    dead = fleet.add()
    fleet.endpoints["i-0"] = replace(fleet.endpoints["i-0"], address="127.0.0.1:1")
    fleet.picture.belief = Belief(endpoints=dict(fleet.endpoints))
    choose = fleet.choice.choose

    def once_it_failed(endpoints, tried, now):
        if tried:
            fleet.endpoints["i-0"] = replace(
                fleet.endpoints["i-0"], address=fleet.serve(dead), born=2000
            )
            fleet.picture.belief = Belief(endpoints=dict(fleet.endpoints))
        return choose(fleet.picture.belief.in_pool("p"), tried, now)

    fleet.choice.choose = once_it_failed
    assert fleet.run().ending is Ending.ANSWERED


class PausingClock(Clock):
    """A clock that goes ahead, as after a pause of the process."""

    def __init__(self):
        self.ahead = 0.0

    def now(self) -> float:
        return super().now() + self.ahead


@pytest.mark.parametrize(("try_number", "ending"), [(1, Ending.NOT_RUN), (2, Ending.TIME_OVER)])
def test_a_pause_before_a_try_is_sent_is_time_that_is_over(serve, monkeypatch, try_number, ending):
    """A connection with a negative limit raised; the caller was answered with an internal error."""
    fleet = Fleet(serve)
    clock = PausingClock()
    fleet.forwarder = Forwarder(
        fleet.picture, fleet.connections, fleet.choice, RetryBudget(), clock
    )
    fleet.add().faults["hold_s"] = 1.5
    fleet.add().faults["hold_s"] = 1.5
    chosen = []
    choose = fleet.choice.choose

    def choose_and_pause(*args):
        found = choose(*args)
        chosen.append(found)
        if len(chosen) == try_number:
            clock.ahead = 10.0
        return found

    monkeypatch.setattr(fleet.choice, "choose", choose_and_pause)
    assert fleet.run(target_s=0.2).ending is ending
    assert len(chosen) == try_number
    assert fleet.runs == try_number - 1
