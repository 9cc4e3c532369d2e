"""What an endpoint shows right after it ended a response by a close."""

from __future__ import annotations

import json
import socket
import threading
from contextlib import suppress

import pytest

from threadramp.edge.start_check import StartState, check_start
from threadramp.fleet.clock import steady_s
from threadramp.fleet.model import Endpoint

BORN = 1_700_000_000_000
TIMEOUT_S = 0.4


class Answering:
    """Answers each connection with the next of its responses; none closes it at once."""

    def __init__(self, *responses: bytes | None) -> None:
        self.responses = list(responses)
        self.requests: list[bytes] = []
        self.listener = socket.create_server(("127.0.0.1", 0))
        threading.Thread(target=self._serve, daemon=True).start()

    def _serve(self) -> None:
        with suppress(OSError):
            while True:
                sock, _ = self.listener.accept()
                with sock:
                    many = len(self.responses) > 1
                    response = self.responses.pop(0) if many else self.responses[0]
                    if response is not None:
                        self.requests.append(sock.recv(65_536))
                        sock.sendall(response)

    def check(self, born: int = 0) -> StartState:
        host, port = self.listener.getsockname()
        try:
            return check_start(Endpoint("i-1", "p", f"{host}:{port}", "a", 6, born=born), TIMEOUT_S)
        finally:
            self.listener.close()


def response(status: int, *headers: str, **more: int) -> bytes:
    body = json.dumps({"models": [], "busy": False, "seq": 0, **more}).encode()
    lines = [f"HTTP/1.1 {status} Answer", *headers, f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode() + body


@pytest.mark.parametrize(
    ("answer", "born", "state"),
    [
        (response(200), BORN, StartState.SAME),
        (response(200, born=BORN), BORN, StartState.SAME),
        (response(200, born=BORN), 0, StartState.SAME),
        (response(200, born=BORN + 1), BORN, StartState.OTHER),
        (response(200, "X-Instance-Id: i-1"), 0, StartState.SAME),
        (response(200, "X-Instance-Id: i-2"), 0, StartState.OTHER),
        (response(421), 0, StartState.OTHER),
        (response(404), 0, StartState.SAME),
        (response(503), 0, StartState.BREAKS),
        (response(503, "X-Not-Executed: 1"), 0, StartState.SAME),
        (response(200)[:-1], 0, StartState.BREAKS),
        (None, 0, StartState.BREAKS),
    ],
)
def test_the_response_to_a_check_shows_the_start(answer, born, state):
    """Else a crash that was followed by a new start would confirm a response that it cut."""
    endpoint = Answering(answer)
    assert endpoint.check(born) is state
    assert all(b"\r\nX-Expect-Instance: i-1\r\n" in one for one in endpoint.requests)


def test_a_broken_connection_is_tried_again():
    """An endpoint with many connections resets those beyond its limit."""
    assert Answering(None, response(200)).check() is StartState.SAME


def test_an_endpoint_that_refuses_connections_has_ended():
    endpoint = Answering(None)
    endpoint.listener.shutdown(socket.SHUT_RDWR)
    host, port = endpoint.listener.getsockname()
    endpoint.listener.close()
    started = steady_s()
    assert check_start(Endpoint("i-1", "p", f"{host}:{port}", "a", 6)) is StartState.ENDED
    assert steady_s() - started < TIMEOUT_S


def test_an_endpoint_that_does_not_respond_is_silent():
    with socket.create_server(("127.0.0.1", 0)) as listener:
        host, port = listener.getsockname()
        endpoint = Endpoint("i-1", "p", f"{host}:{port}", "a", 6)
        assert check_start(endpoint, TIMEOUT_S) is StartState.SILENT
