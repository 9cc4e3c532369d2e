"""Endpoints that send a response once more in the place of the next one."""

from __future__ import annotations

from random import Random

import pytest

from tests.stuttering import LATE, Stutterer, header_of, response
from threadramp.edge.connection_pool import ConnectionPool
from threadramp.edge.forward import Forwarder
from threadramp.edge.job import Ending, Job
from threadramp.fleet.clock import Clock, steady_s
from threadramp.fleet.model import Endpoint, PoolShare, Route, RouteKind
from threadramp.fleet.picture import Belief, Picture
from threadramp.policy.endpoint_choice import EndpointChoice
from threadramp.policy.retries import RetryBudget

REQUESTS = 30


def answered(number: int, request: bytes) -> bytes:
    """Return a signed response that names its request, with the request's body."""
    body = request.partition(b"\r\n\r\n")[2]
    ident = header_of(request, "X-Attempt-Id")
    return response(body, X_Attempt_Id=ident, X_Server_Stamp="s")


@pytest.fixture
def stutterer():
    made = Stutterer(answered, LATE)
    yield made
    made.close()


@pytest.fixture
def endpoint(stutterer) -> Endpoint:
    return Endpoint("i-1", "p", stutterer.address, "a", 6)


@pytest.fixture
def forwarder(endpoint) -> Forwarder:
    picture = Picture()
    picture.belief = Belief(endpoints={"i-1": endpoint})
    choice = EndpointChoice(Random(1))
    return Forwarder(picture, ConnectionPool(), choice, RetryBudget(), Clock())


def job(ident: str, body: bytes, time_s: float = 2.0) -> Job:
    route = Route("r", "h", "/", RouteKind.ONCE, (PoolShare("p", 1.0),), 2.0, 1.0, 3)
    headers = (("Host", "h"), ("X-Attempt-Id", ident))
    return Job(ident, "POST", "/x", headers, body, route, steady_s() + time_s)


@pytest.mark.parametrize("size", [1, 100_000])
def test_a_request_that_may_run_once_gets_the_response_behind_a_duplicate(
    forwarder, stutterer, size: int
) -> None:
    """Every second request was answered 502 though its own response followed."""
    for number in range(REQUESTS):
        body = f"{number} ".encode() * size
        outcome = forwarder.run(job(f"r{number}", body))
        assert outcome.ending is Ending.ANSWERED
        assert outcome.response.body == body
    assert len(stutterer.requests) == REQUESTS


def test_a_connection_that_brought_a_duplicate_is_not_kept(forwarder, stutterer) -> None:
    """Each connection would bring one duplicate more for each request."""
    for number in range(4):
        forwarder.run(job(f"r{number}", b"x"))
    assert len(stutterer.connections) == 2


def test_responses_that_repeat_none_of_this_connection_are_not_skipped(endpoint) -> None:
    """The response of a request that was never sent here tells nothing of what follows it."""
    connections = ConnectionPool()
    first = connections.acquire(endpoint, steady_s(), 1.0, request_id="r1")
    first.send("POST", "/x", {"Host": "h", "X-Attempt-Id": "r1"}, b"q")
    first.read(1.0)
    first.connection.carried.clear()
    first.send("POST", "/x", {"Host": "h", "X-Attempt-Id": "r2"}, b"q")
    found = first.read_own_head(1.0)
    assert found.headers["X-Attempt-Id"] == "r1"


def test_a_request_whose_own_response_stays_out_ends_with_its_time(forwarder, stutterer) -> None:
    """Behind a duplicate a request must not wait for longer than its caller does."""
    stutterer.answer = lambda number, request: b"" if number == 2 else answered(number, request)
    assert forwarder.run(job("r1", b"x")).ending is Ending.ANSWERED
    began = steady_s()
    assert forwarder.run(job("r2", b"x", time_s=0.5)).ending is Ending.TIME_OVER
    assert steady_s() - began < 1.0
