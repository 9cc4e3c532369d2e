"""Responses whose connection ends within their head or within the framing of a chunk."""

from __future__ import annotations

import socket
import struct
import threading
from collections.abc import Iterator
from contextlib import contextmanager
from http.client import HTTPException

import pytest
from urllib3.exceptions import HTTPError

from threadramp.edge.connection_pool import ConnectionPool
from threadramp.edge.exchange import Exchange, ExchangeError
from threadramp.fleet.model import Endpoint
from threadramp.wire.response_limits import BoundedConnection, IncompleteHeadError

REQUEST_ID = "r1"
FIELDS = f"HTTP/1.1 200 OK\r\nX-Attempt-Id: {REQUEST_ID}\r\nX-Server-Stamp: 3e1b.07\r\n"
WITH_LENGTH = f"{FIELDS}Content-Length: 4\r\n\r\nbody".encode()
CHUNKED = f"{FIELDS}Transfer-Encoding: chunked\r\n\r\n0004\r\nbody\r\n0\r\n\r\n".encode()
WITHOUT_LENGTH = f"{FIELDS}\r\nbody".encode()
FRAMINGS = {"length": WITH_LENGTH, "chunked": CHUNKED, "close": WITHOUT_LENGTH}
FIRST = b"HTTP/1.1 200 OK\r\nX-Attempt-Id: r0\r\nContent-Length: 0\r\n\r\n"
RESET = struct.pack("ii", 1, 0)  # SO_LINGER: reset at close
RESET_WAIT_S = 0.02  # so that the bytes are read before the reset discards them
TIMEOUT_S = 5.0


@contextmanager
def server_of(*responses: bytes, resets: bool = False) -> Iterator[tuple[str, int]]:
    """Answer one request on one connection with each of these bytes, then end the connection."""
    listener = socket.create_server(("127.0.0.1", 0))

    def serve() -> None:
        connection, _ = listener.accept()
        with connection:
            for response in responses:
                connection.recv(65_536)
                connection.sendall(response)
            if resets:
                threading.Event().wait(RESET_WAIT_S)
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)

    thread = threading.Thread(target=serve)
    thread.start()
    try:
        yield listener.getsockname()
    finally:
        thread.join()
        listener.close()


def read_cut(response: bytes, resets: bool) -> bytes:
    """Return the body of a response that a client of ours takes for complete."""
    with server_of(response, resets=resets) as (host, port):
        connection = BoundedConnection(host, port, timeout=TIMEOUT_S)
        try:
            connection.request("GET", "/")
            return connection.getresponse().data
        finally:
            connection.close()


# Guards against a head without its last lines that counts as that of an empty response.
@pytest.mark.parametrize("resets", [False, True])
@pytest.mark.parametrize("framing", FRAMINGS)
def test_a_response_that_ends_within_its_head_is_an_error(framing, resets):
    whole = FRAMINGS[framing]
    head = whole.index(b"\r\n\r\n") + 4
    for end in range(head):
        with pytest.raises((OSError, HTTPException, HTTPError)) as caught:
            read_cut(whole[:end], resets)
        assert isinstance(caught.value, IncompleteHeadError) == (end > 0), end


# Guards against the first digits of a chunk's size that count as its size, or as the last chunk.
@pytest.mark.parametrize("resets", [False, True])
@pytest.mark.parametrize("framing", ["length", "chunked"])
def test_a_response_that_ends_within_its_body_is_an_error(framing, resets):
    whole = FRAMINGS[framing]
    ends_at = len(whole) if framing == "length" else whole.index(b"\r\n0\r\n") + 5
    for end in range(whole.index(b"\r\n\r\n") + 4, ends_at):
        with pytest.raises((OSError, HTTPException, HTTPError)):
            read_cut(whole[:end], resets)


@pytest.mark.parametrize("framing", FRAMINGS)
def test_a_whole_response_is_read(framing):
    assert read_cut(FRAMINGS[framing], False) == b"body"


def second_exchange(host: str, port: int) -> Exchange:
    """Return an exchange on a connection that carried another request before."""
    endpoint = Endpoint("i-1", "p", f"{host}:{port}", "a", 1)
    pool = ConnectionPool()
    first = pool.acquire(endpoint, 0.0, TIMEOUT_S, request_id="r0")
    first.send("POST", "/", {"X-Attempt-Id": "r0"}, b"")
    pool.release(first, first.read(TIMEOUT_S), 0.0)
    return pool.acquire(endpoint, 0.0, TIMEOUT_S, request_id=REQUEST_ID)


# Guards against a request that ran and is sent again as if its connection had been closed before.
@pytest.mark.parametrize("resets", [False, True])
def test_a_head_that_was_begun_is_no_stale_connection(resets):
    for end in (1, len("HTTP/1.1 200 OK\r\n"), len(FIELDS), len(FIELDS) + 5):
        with server_of(FIRST, WITH_LENGTH[:end], resets=resets) as (host, port):
            exchange = second_exchange(host, port)
            assert exchange.reused
            exchange.send("POST", "/", {"X-Attempt-Id": REQUEST_ID}, b"")
            with pytest.raises(ExchangeError) as caught:
                exchange.read(TIMEOUT_S)
        error = caught.value
        assert (error.stale, error.broken, error.sent) == (False, True, True), end
