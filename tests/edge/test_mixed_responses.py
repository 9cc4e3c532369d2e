"""A body that is filled up by bytes of another response while its own rest is still to come."""

from __future__ import annotations

import time
from contextlib import suppress
from random import Random

import pytest

from tests.stuttering import SOON, Stutterer, _read_request, header_of, response
from threadramp.edge.connection_pool import ConnectionPool
from threadramp.edge.forward import Forwarder
from threadramp.edge.job import Ending, Job
from threadramp.fleet.clock import Clock, steady_s
from threadramp.fleet.fleet_view import FleetSnapshot, FleetView
from threadramp.fleet.model import Endpoint, PoolShare, Route, RouteKind
from threadramp.policy.endpoint_choice import EndpointSelector
from threadramp.policy.retries import RetryBudget

BODY = b"whole-" * 50
OTHER = b"other-" * 50
PAUSE_S = 0.1  # between two segments of a response, which need not arrive in one segment


class MixingEndpoint(Stutterer):
    """Answers the first request; the response to the second contains an earlier response."""

    def __init__(self, headers_of_other: dict[str, str], own_bytes: int, ends: bool) -> None:
        self.headers_of_other = headers_of_other
        self.own_bytes = own_bytes
        self.ends = ends
        super().__init__(lambda number, request: b"", SOON)

    def _serve(self, caller) -> None:
        for number in (1, 2):
            request = _read_request(caller)
            self.requests.append(request)
            own_headers = {
                "X_Attempt_Id": header_of(request, "X-Attempt-Id"),
                "X_Server_Stamp": "s",
            }
            whole = response(BODY, **own_headers)
            if number == 1:
                caller.sendall(whole)
                continue
            cut = len(whole) - len(BODY) + self.own_bytes
            second = response(OTHER, X_Server_Stamp="s", **self.headers_of_other)
            caller.sendall(whole[:cut] + second[: len(BODY) - self.own_bytes])
            time.sleep(PAUSE_S)
            with suppress(OSError):  # it is closed by then
                caller.sendall(second[len(BODY) - self.own_bytes :])
            if not self.ends:
                with suppress(OSError):  # it is closed by then
                    caller.sendall(whole[cut:])


@pytest.mark.parametrize(
    "headers_of_other", [{}, {"X_Attempt_Id": "of-another"}, {"X_Attempt_Id": "r1"}]
)
@pytest.mark.parametrize("own_bytes", [0, 100, 250])
@pytest.mark.parametrize("ends", [False, True], ids=["goes on", "cut short"])
def test_a_body_filled_up_by_another_response_is_not_passed_on(headers_of_other, own_bytes, ends):
    endpoint = MixingEndpoint(headers_of_other, own_bytes, ends)
    picture = FleetView()
    picture.snapshot = FleetSnapshot(
        endpoints={"i-1": Endpoint("i-1", "p", endpoint.address, "a", 6)}
    )
    connections = ConnectionPool()
    forwarder = Forwarder(picture, connections, EndpointSelector(Random(1)), RetryBudget(), Clock())
    route = Route("r", "h", "/", RouteKind.ONCE, (PoolShare("p", 1.0),), 2.0, 1.0, 1)
    try:
        for request_id in ("r1", "r2"):
            headers = (("Host", "h"), ("X-Attempt-Id", request_id))
            job = Job(request_id, "POST", "/x", headers, b"q", route, steady_s() + 2.0)
            outcome = forwarder.run(job)
            if outcome.ending is Ending.ANSWERED:
                assert outcome.response.body == BODY
    finally:
        endpoint.close()
    assert connections.opened == 1


class TruncatingEndpoint(Stutterer):
    """Truncates its response and sends it again at once, complete, on the same connection."""

    def __init__(self, own_bytes: int) -> None:
        self.own_bytes = own_bytes
        super().__init__(lambda number, request: b"", SOON)

    def _serve(self, caller) -> None:
        request = _read_request(caller)
        request_id = header_of(request, "X-Attempt-Id")
        whole = response(BODY, X_Attempt_Id=request_id, X_Server_Stamp="s")
        caller.sendall(whole[: len(whole) - len(BODY) + self.own_bytes] + whole)


@pytest.mark.parametrize("own_bytes", [100, 250, 290])
def test_a_truncated_response_filled_up_by_its_own_copy_is_not_passed_on(own_bytes):
    """On a new connection, in one segment."""
    endpoint = TruncatingEndpoint(own_bytes)
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
    assert outcome.response is None or outcome.response.body == BODY
