"""Forwarding of requests to endpoints, against stand-ins."""

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
from threadramp.fleet.fleet_view import FleetSnapshot, FleetView
from threadramp.fleet.model import Configuration, Endpoint, PoolShare, Route, RouteKind
from threadramp.platform.standins.endpoint import PlatformEngine
from threadramp.policy.endpoint_choice import EndpointSelector
from threadramp.policy.retries import RetryBudget


class EndpointPool:
    """The endpoints of one pool and a forwarder to them."""

    def __init__(self, serve):
        self.serve = serve
        self.request_count = 0
        self.fleet_view = FleetView()
        self.connections = ConnectionPool()
        self.standins: list[PlatformEngine] = []
        self.endpoints: dict[str, Endpoint] = {}
        self.choice = EndpointSelector(Random(1))
        self.forwarder = Forwarder(
            self.fleet_view, self.connections, self.choice, RetryBudget(), Clock()
        )

    def add(self, address: str = "", **faults) -> PlatformEngine:
        instance = f"i-{len(self.standins)}"
        standin = PlatformEngine({"instance": instance, **faults})
        self.standins.append(standin)
        place = address or self.serve(standin)
        self.endpoints[instance] = Endpoint(instance, "p", place, "a", 6)
        self.fleet_view.snapshot = FleetSnapshot(endpoints=dict(self.endpoints))
        return standin

    def run(self, kind=RouteKind.REPEATABLE, attempts=3, time_s=2.0, target_s=1.0, **more):
        route = Route("r", "h", "/", kind, (PoolShare("p", 1.0),), 2.0, target_s, attempts)
        self.request_count += 1
        # Each request of a caller has its own id.
        request_id = "req" if self.request_count == 1 else f"req-{self.request_count}"
        job = Job(
            request_id, "POST", "/a/b", (("Host", "h"), ("X-Attempt-Id", request_id)), b"body",
            route, steady_s() + time_s, **more,
        )  # fmt: skip
        return self.forwarder.run(job)

    @property
    def runs(self) -> int:
        return sum(len(one.runs) for one in self.standins)


@pytest.fixture
def pool(serve) -> EndpointPool:
    return EndpointPool(serve)


def test_the_complete_response_is_returned(pool):
    pool.add()
    outcome = pool.run()
    assert outcome.ending is Ending.ANSWERED
    assert (outcome.response.head.status, outcome.response.body) == (200, b"i-0 answers req")
    assert outcome.response.head.signature == "sig-req"


def test_a_connection_is_used_again(pool):
    pool.add()
    for _ in range(5):
        pool.run()
    assert pool.connections.opened == 1


def test_a_rejection_goes_to_another_endpoint_and_costs_no_attempt(pool):
    pool.add(reject=1)
    pool.add(reject=1)
    assert pool.run(RouteKind.ONCE, attempts=1).ending is Ending.ANSWERED
    assert pool.runs == 1


def test_full_endpoints_are_reported_at_once_with_a_retry_time(pool):
    pool.add(reject=99)
    started = steady_s()
    outcome = pool.run(RouteKind.ONCE)
    assert outcome.ending is Ending.NOT_RUN
    assert outcome.retry_after_s > 0
    assert steady_s() - started < 0.5
    assert pool.runs == 0


def test_without_endpoints_a_request_is_not_run(pool):
    assert pool.run().ending is Ending.NOT_RUN


def test_a_failure_of_a_repeatable_request_is_tried_elsewhere(pool):
    pool.add(fail=9)
    pool.add()
    for _ in range(6):
        assert pool.run().response.head.status == 200


def test_a_request_that_runs_once_is_not_tried_elsewhere_after_it_ran(pool):
    pool.add(other_id=1)
    pool.add(other_id=1)
    assert pool.run(RouteKind.ONCE).ending is Ending.UNKNOWN
    assert pool.runs == 1


def test_a_response_to_another_request_is_never_passed_on(pool):
    pool.add(other_id=1)
    pool.add(other_id=1)
    outcome = pool.run(attempts=3)
    assert outcome.ending is not Ending.ANSWERED or outcome.response.body.endswith(b"answers req")


def test_no_more_endpoints_than_allowed_run_a_request(pool):
    for _ in range(4):
        pool.add(fail=9)
    outcome = pool.run(attempts=2)
    assert outcome.response.head.status == 500
    assert pool.runs == 2


def test_a_dead_endpoint_is_passed_over(pool):
    pool.add(address="127.0.0.1:1")
    pool.add()
    for _ in range(4):
        assert pool.run(RouteKind.ONCE).ending is Ending.ANSWERED


def test_the_deadline_is_kept(pool):
    pool.add(hold_s=5.0)
    started = steady_s()
    assert pool.run(time_s=0.4).ending is Ending.TIMED_OUT
    assert steady_s() - started < 0.6


def test_a_slow_repeatable_request_is_hedged_at_a_second_endpoint(pool):
    pool.add(hold_s=1.5)
    pool.add()
    started = steady_s()
    outcomes = [pool.run(target_s=0.2) for _ in range(4)]
    assert all(outcome.ending is Ending.ANSWERED for outcome in outcomes)
    assert steady_s() - started < 1.5


def test_a_disconnected_caller_ends_the_work(pool):
    pool.add(hold_s=3.0)
    ours, theirs = socket.socketpair()
    threading.Timer(0.2, theirs.close).start()
    started = steady_s()
    assert pool.run(caller_socket=ours).ending is Ending.CALLER_DISCONNECTED
    assert steady_s() - started < 0.6
    ours.close()


def test_a_scoring_error_is_the_response(pool):
    pool.add(fail=1)
    pool.add()
    statuses = {pool.run(retry_errors=False).response.head.status for _ in range(4)}
    assert statuses == {200, 500}
    assert pool.runs == 4


def test_surplus_bytes_close_a_connection(pool):
    """A connection on which bytes arrived after the response is not reused."""
    pool.add()
    pool.run()
    (row,) = pool.connections.idle.values()
    kept = row[0].connection
    peer_closed = socket.socketpair()
    kept.sock.close()
    kept.sock = peer_closed[0]
    peer_closed[1].sendall(b"HTTP/1.1 200 OK\r\n")
    assert pool.run().response.body == b"i-0 answers req-2"
    assert pool.connections.opened == 2


def test_records_of_an_unlisted_endpoint_are_dropped(pool):
    pool.add()
    pool.run()
    assert pool.connections.idle and pool.choice.records
    pool.fleet_view.snapshot = FleetSnapshot()
    pool.forwarder.drop_unlisted()
    assert not pool.connections.idle
    assert not pool.choice.records


def test_a_request_of_a_disconnected_caller_is_not_sent(pool):
    pool.add()
    ours, theirs = socket.socketpair()
    theirs.close()
    assert pool.run(caller_socket=ours).ending is Ending.CALLER_DISCONNECTED
    assert pool.runs == 0


def restart_endpoint(pool, born: int) -> None:
    """List the first endpoint as another incarnation with the same id."""
    again = replace(pool.endpoints["i-0"], born=born)
    pool.endpoints["i-0"] = again
    pool.fleet_view.snapshot = FleetSnapshot(endpoints=dict(pool.endpoints))


def test_records_of_an_incarnation_do_not_apply_to_the_next_one(pool):
    pool.add(fail=1)
    for _ in range(4):
        pool.run()
    pool.choice.record_failure(pool.endpoints["i-0"], steady_s())
    restart_endpoint(pool, 2000)
    pool.forwarder.drop_unlisted()
    assert not pool.connections.idle
    assert not pool.choice.records


def test_a_request_that_failed_at_an_incarnation_may_go_to_the_next_one(pool):
    """With only one endpoint, the caller waited in vain until its deadline."""
    dead = pool.add()
    pool.endpoints["i-0"] = replace(pool.endpoints["i-0"], address="127.0.0.1:1")
    pool.fleet_view.snapshot = FleetSnapshot(endpoints=dict(pool.endpoints))
    choose = pool.choice.choose

    def once_it_failed(endpoints, tried, now, target_s):
        if tried:
            pool.endpoints["i-0"] = replace(
                pool.endpoints["i-0"], address=pool.serve(dead), born=2000
            )
            pool.fleet_view.snapshot = FleetSnapshot(endpoints=dict(pool.endpoints))
        return choose(pool.fleet_view.snapshot.in_pool("p"), tried, now, target_s)

    pool.choice.choose = once_it_failed
    assert pool.run().ending is Ending.ANSWERED


class PausingClock(Clock):
    """A clock that can jump ahead, as after a pause of the process."""

    def __init__(self):
        self.ahead = 0.0

    def now(self) -> float:
        return super().now() + self.ahead


@pytest.mark.parametrize(("attempt_number", "ending"), [(1, Ending.NOT_RUN), (2, Ending.TIMED_OUT)])
def test_a_pause_before_an_attempt_counts_against_the_deadline(
    serve, monkeypatch, attempt_number, ending
):
    """Connecting with a negative timeout raised, and the caller got an internal error."""
    pool = EndpointPool(serve)
    clock = PausingClock()
    pool.forwarder = Forwarder(pool.fleet_view, pool.connections, pool.choice, RetryBudget(), clock)
    pool.add().faults["hold_s"] = 1.5
    pool.add().faults["hold_s"] = 1.5
    chosen = []
    choose = pool.choice.choose

    def choose_and_pause(*args):
        found = choose(*args)
        chosen.append(found)
        if len(chosen) == attempt_number:
            clock.ahead = 10.0
        return found

    monkeypatch.setattr(pool.choice, "choose", choose_and_pause)
    assert pool.run(target_s=0.2).ending is ending
    assert len(chosen) == attempt_number
    assert pool.runs == attempt_number - 1


# Guards against a hedged attempt at the old service, after its route was moved.
def test_an_attempt_after_a_change_goes_to_the_new_pool_of_the_route(pool):
    for _ in range(2):
        pool.add(hold_s=3.0)
    moved = pool.add()
    pool.endpoints["i-2"] = replace(pool.endpoints["i-2"], pool="new")

    def use(name: str, version: int) -> None:
        shares = (PoolShare(name, 1.0),)
        route = Route("r", "h", "/", RouteKind.REPEATABLE, shares, 2.0, 0.4, 3)
        pool.fleet_view.snapshot = FleetSnapshot(
            configuration=Configuration(version, (route,)), endpoints=dict(pool.endpoints)
        )

    use("p", 3)
    change = threading.Timer(0.05, use, ("new", 7))
    change.start()
    outcome = pool.run(target_s=0.4)
    change.join()
    assert outcome.ending is Ending.ANSWERED
    assert (len(moved.runs), pool.runs) == (1, 2)
