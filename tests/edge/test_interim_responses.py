"""Interim (1xx) responses of endpoints."""

from __future__ import annotations

from random import Random

import pytest

from tests.stuttering import LATE, Stutterer, header_of, response
from threadramp.edge.connection_pool import ConnectionPool
from threadramp.edge.forward import Forwarder
from threadramp.edge.job import Job
from threadramp.fleet.clock import Clock, steady_s
from threadramp.fleet.fleet_view import FleetSnapshot, FleetView
from threadramp.fleet.model import Endpoint, PoolShare, Route, RouteKind
from threadramp.policy.endpoint_choice import EndpointSelector
from threadramp.policy.retries import RetryBudget


@pytest.mark.parametrize("interim", [b"102 Processing", b"103 Early Hints"])
def test_an_interim_response_is_not_the_response(interim):
    """http.client skips only status 100; any other was passed on as the complete response."""

    def answer(number: int, request: bytes) -> bytes:
        own = {"X_Attempt_Id": header_of(request, "X-Attempt-Id"), "X_Server_Stamp": "s"}
        return b"HTTP/1.1 " + interim + b"\r\n\r\n" + response(b"body", **own)

    endpoint = Stutterer(answer, LATE)
    picture = FleetView()
    picture.snapshot = FleetSnapshot(
        endpoints={"i-1": Endpoint("i-1", "p", endpoint.address, "a", 6)}
    )
    forwarder = Forwarder(
        picture, ConnectionPool(), EndpointSelector(Random(1)), RetryBudget(), Clock()
    )
    route = Route("r", "h", "/", RouteKind.ONCE, (PoolShare("p", 1.0),), 2.0, 1.0, 1)
    headers = (("Host", "h"), ("X-Attempt-Id", "r1"))
    try:
        outcome = forwarder.run(Job("r1", "POST", "/x", headers, b"q", route, steady_s() + 2.0))
    finally:
        endpoint.close()
    assert outcome.response is None or outcome.response.head.status == 200
