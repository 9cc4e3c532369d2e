"""Endpoints that send a duplicate of a response before the next response."""

from __future__ import annotations

from random import Random

import pytest

from tests.stuttering import LATE, Stutterer, header_of, response
from threadramp.edge.connection_pool import ConnectionPool
from threadramp.edge.forward import Forwarder
from threadramp.edge.job import Ending, Job
from threadramp.fleet.clock import Clock, steady_s
from threadramp.fleet.fleet_view import FleetSnapshot, FleetView
from threadramp.fleet.model import Endpoint, PoolShare, Route, RouteKind
from threadramp.policy.endpoint_choice import EndpointSelector
from threadramp.policy.retries import RetryBudget

REQUESTS = 30


def echo_response(number: int, request: bytes) -> bytes:
    """Return a signed response that names its request and echoes the body."""
    body = request.partition(b"\r\n\r\n")[2]
    request_id = header_of(request, "X-Attempt-Id")
    return response(body, X_Attempt_Id=request_id, X_Server_Stamp="s")


@pytest.fixture
def stutterer():
    made = Stutterer(echo_response, LATE)
    yield made
    made.close()


@pytest.fixture
def endpoint(stutterer) -> Endpoint:
    return Endpoint("i-1", "p", stutterer.address, "a", 6)


@pytest.fixture
def forwarder(endpoint) -> Forwarder:
    picture = FleetView()
    picture.snapshot = FleetSnapshot(endpoints={"i-1": endpoint})
    choice = EndpointSelector(Random(1))
    return Forwarder(picture, ConnectionPool(), choice, RetryBudget(), Clock())


def job(request_id: str, body: bytes, time_s: float = 2.0) -> Job:
    route = Route("r", "h", "/", RouteKind.ONCE, (PoolShare("p", 1.0),), 2.0, 1.0, 3)
    headers = (("Host", "h"), ("X-Attempt-Id", request_id))
    return Job(request_id, "POST", "/x", headers, body, route, steady_s() + time_s)


@pytest.mark.parametrize("size", [1, 100_000])
def test_a_request_that_may_run_once_gets_the_response_behind_a_duplicate(
    forwarder, stutterer, size: int
) -> None:
    """Every second request got status 502 although its own response followed."""
    for number in range(REQUESTS):
        body = f"{number} ".encode() * size
        outcome = forwarder.run(job(f"r{number}", body))
        assert outcome.ending is Ending.ANSWERED
        assert outcome.response.body == body
    assert len(stutterer.requests) == REQUESTS


def test_a_connection_that_brought_a_duplicate_is_not_kept(forwarder, stutterer) -> None:
    """Each further request on the connection would bring one more duplicate."""
    for number in range(4):
        forwarder.run(job(f"r{number}", b"x"))
    assert len(stutterer.connections) == 2


def test_responses_that_repeat_none_of_this_connection_are_not_skipped(endpoint) -> None:
    """A response to a request that was never sent here does not imply that another one follows."""
    connections = ConnectionPool()
    first = connections.acquire(endpoint, steady_s(), 1.0, request_id="r1")
    first.send("POST", "/x", {"Host": "h", "X-Attempt-Id": "r1"}, b"q")
    first.read(1.0)
    first.connection.request_ids.clear()
    first.send("POST", "/x", {"Host": "h", "X-Attempt-Id": "r2"}, b"q")
    found = first.read_own_head(1.0)
    assert found.headers["X-Attempt-Id"] == "r1"


def test_a_request_whose_own_response_never_comes_times_out(forwarder, stutterer) -> None:
    """After a duplicate a request must not wait beyond its deadline."""
    stutterer.answer = lambda number, request: (
        b"" if number == 2 else echo_response(number, request)
    )
    assert forwarder.run(job("r1", b"x")).ending is Ending.ANSWERED
    started_at = steady_s()
    assert forwarder.run(job("r2", b"x", time_s=0.5)).ending is Ending.TIMED_OUT
    assert steady_s() - started_at < 1.0
