"""An unexpected error in the middle of a stream to a caller."""

from __future__ import annotations

import http.client
from types import SimpleNamespace

import pytest

from threadramp.edge.handler import EdgeHandler
from threadramp.edge.server import EdgeServer
from threadramp.fleet.model import CallerLimits
from threadramp.report.metrics import Metrics


def test_a_stream_ended_by_an_error_does_not_look_complete():
    """Unless the handler cuts the connection, the server ends the chunked body as if complete."""

    def serve(request) -> None:
        headers = [("X-Server-Stamp", "s"), ("Content-Type", "text/event-stream")]
        request.start_response(200, headers, "", close=False)
        request.write(b"id: 1\ndata: a\n\n")
        raise RuntimeError("unforeseen")

    handler = SimpleNamespace(_serve=serve, metrics=Metrics("t"))
    server = EdgeServer(
        "127.0.0.1:0", lambda request: EdgeHandler.handle(handler, request), 2, CallerLimits()
    )
    try:
        line = http.client.HTTPConnection(*server.server.bind_addr, timeout=5)
        line.request("POST", "/a", b"q", {"Host": "h", "X-Attempt-Id": "r"})
        with pytest.raises(http.client.IncompleteRead):
            line.getresponse().read()
    finally:
        server.server.stop()
