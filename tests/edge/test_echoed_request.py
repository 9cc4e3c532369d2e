"""A response body that contains the head of its own request, as from an echoing endpoint."""

from __future__ import annotations

from random import Random

import pytest

from tests.stuttering import Stutterer, header_of, response
from threadramp.edge.connection_pool import ConnectionPool
from threadramp.edge.forward import Forwarder
from threadramp.edge.job import Ending, Job
from threadramp.fleet.clock import Clock, steady_s
from threadramp.fleet.fleet_view import FleetSnapshot, FleetView
from threadramp.fleet.model import Endpoint, PoolShare, Route, RouteKind
from threadramp.policy.endpoint_choice import EndpointSelector
from threadramp.policy.retries import RetryBudget


@pytest.mark.parametrize("kind", [RouteKind.ONCE, RouteKind.REPEATABLE])
def test_a_response_that_echoes_the_request_head_is_passed_on(kind):
    """The connection is new, so the body cannot contain bytes of an earlier response."""

    def answer(number: int, request: bytes) -> bytes:
        body = b"you sent:\r\nPOST /x HTTP/1.1\r\n" + request.partition(b"\r\n")[2]
        return response(body, X_Attempt_Id=header_of(request, "X-Attempt-Id"), X_Server_Stamp="s")

    endpoint = Stutterer(answer, "soon")
    picture = FleetView()
    picture.snapshot = FleetSnapshot(
        endpoints={"i-1": Endpoint("i-1", "p", endpoint.address, "a", 6)}
    )
    forwarder = Forwarder(
        picture, ConnectionPool(), EndpointSelector(Random(1)), RetryBudget(), Clock()
    )
    route = Route("r", "h", "/", kind, (PoolShare("p", 1.0),), 2.0, 1.0, 2)
    headers = (("Host", "h"), ("X-Attempt-Id", "r1"))
    try:
        outcome = forwarder.run(Job("r1", "POST", "/x", headers, b"q", route, steady_s() + 2.0))
    finally:
        endpoint.close()
    assert outcome.ending is Ending.ANSWERED
    assert outcome.response.head.status == 200
