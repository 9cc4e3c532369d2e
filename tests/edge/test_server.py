"""Limits of the HTTP server on the size and duration of requests, over real sockets."""

from __future__ import annotations

import socket
import threading
import time
from contextlib import closing
from typing import TYPE_CHECKING

import pytest

from threadramp.edge.server import CallerRequest, EdgeServer
from threadramp.fleet.clock import steady_s
from threadramp.fleet.model import CallerLimits

if TYPE_CHECKING:
    from collections.abc import Callable

THREADS = 2
LIMITS = CallerLimits(header_bytes=2_000, body_bytes=1_000, header_s=0.5, idle_s=1.0)
REQUEST = b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n"


def answer_ok(request: CallerRequest) -> None:
    request.respond(200, body=b"ok")


class Server:
    """A server with few threads, and clients for it."""

    def __init__(self) -> None:
        self.edge = EdgeServer("127.0.0.1:0", answer_ok, THREADS, LIMITS)
        self.address = self.edge.server.bind_addr

    def connect(self) -> socket.socket:
        return socket.create_connection(self.address, timeout=5.0)

    def request(self) -> bytes:
        with closing(self.connect()) as caller:
            caller.sendall(REQUEST)
            return caller.recv(4096)


@pytest.fixture
def server():
    built = Server()
    yield built
    built.edge.server.stop()


def request_on(caller: socket.socket) -> bytes:
    """Send a request on an open connection and return the complete response."""
    caller.sendall(REQUEST)
    found = caller.recv(4096)
    while not found.endswith(b"ok"):
        found += caller.recv(4096)
    return found


def wait_until(condition: Callable[[], object]) -> None:
    """Wait until a condition holds."""
    until = steady_s() + 5.0
    while not condition():
        assert steady_s() < until
        time.sleep(0.01)


def send_slowly(caller: socket.socket, data: bytes, gap_s: float) -> None:
    """Send byte by byte until all is sent or the server closes."""
    for place in range(len(data)):
        try:
            caller.sendall(data[place : place + 1])
        except OSError:
            return
        time.sleep(gap_s)


def read_rest(caller: socket.socket) -> bytes:
    """Return the bytes that arrive until the server closes."""
    found = b""
    try:
        while piece := caller.recv(4096):
            found += piece
    except ConnectionResetError:
        pass  # the server closed with unread bytes
    return found


def test_connections_without_a_request_hold_no_thread(server):
    silent = [server.connect() for _ in range(THREADS * 3)]
    time.sleep(0.2)
    started = steady_s()
    assert server.request().startswith(b"HTTP/1.1 200")
    assert steady_s() - started < 0.3  # less than the timeout for a head
    for caller in silent:
        caller.close()


def test_a_connection_that_is_idle_at_first_is_served_later(server):
    with closing(server.connect()) as caller:
        time.sleep(0.3)
        caller.sendall(REQUEST)
        assert caller.recv(4096).startswith(b"HTTP/1.1 200")


def test_a_head_that_comes_too_slowly_is_answered_408(server):
    with closing(server.connect()) as caller:
        started = steady_s()
        send_slowly(caller, REQUEST, 0.05)
        assert read_rest(caller).startswith(b"HTTP/1.1 408")
        assert steady_s() - started < len(REQUEST) * 0.05 + 0.5
    assert server.request().startswith(b"HTTP/1.1 200")


def test_slow_heads_do_not_block_others_beyond_the_header_timeout(server):
    slow = [server.connect() for _ in range(THREADS)]
    for caller in slow:
        caller.sendall(REQUEST[:9])
    started = steady_s()
    assert server.request().startswith(b"HTTP/1.1 200")
    assert steady_s() - started < LIMITS.header_s + 0.4
    for caller in slow:
        caller.close()


def test_the_second_head_on_a_connection_has_its_own_timeout(server):
    with closing(server.connect()) as caller:
        for _ in range(3):
            assert request_on(caller).startswith(b"HTTP/1.1 200")
            time.sleep(0.4)


def test_a_head_over_the_limit_is_refused(server):
    with closing(server.connect()) as caller:
        caller.sendall(REQUEST[:-2] + b"X-Long: " + b"x" * 3_000 + b"\r\n\r\n")
        assert read_rest(caller).startswith(b"HTTP/1.1 431")
    assert server.request().startswith(b"HTTP/1.1 200")


def test_a_request_line_over_the_limit_is_refused(server):
    with closing(server.connect()) as caller:
        caller.sendall(b"GET /" + b"x" * 3_000 + b" HTTP/1.1\r\nHost: h\r\n\r\n")
        assert read_rest(caller).startswith(b"HTTP/1.1 431")


def test_an_idle_connection_is_reused_and_closed_only_after_its_timeout(server):
    with closing(server.connect()) as caller:
        assert request_on(caller).startswith(b"HTTP/1.1 200")
        time.sleep(LIMITS.idle_s * 0.8)
        assert request_on(caller).startswith(b"HTTP/1.1 200")
        started = steady_s()
        assert read_rest(caller) == b""
        assert LIMITS.idle_s <= steady_s() - started < LIMITS.idle_s + 2.5


def test_changed_limits_hold_for_the_next_request(server):
    server.edge.set_limits(CallerLimits(header_bytes=100_000, header_s=5.0, idle_s=1.0))
    with closing(server.connect()) as caller:
        caller.sendall(REQUEST[:-2] + b"X-Long: " + b"x" * 3_000 + b"\r\n\r\n")
        assert caller.recv(4096).startswith(b"HTTP/1.1 200")


def test_a_stalled_body_closes_its_connection():
    limits = CallerLimits(header_s=0.5, idle_s=0.5)
    edge = EdgeServer(
        "127.0.0.1:0", lambda request: request.respond(200, body=request.read_body(100)), 1, limits
    )
    with closing(socket.create_connection(edge.server.bind_addr, timeout=5.0)) as caller:
        caller.sendall(b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nabc")
        started = steady_s()
        read_rest(caller)
        assert steady_s() - started < 4.0
    edge.server.stop()


def test_a_stopping_server_reads_nothing_new_and_finishes_what_it_read():
    """A request that arrived during shutdown was read, forwarded and never answered (LOST)."""
    release = threading.Event()
    served = []

    def answer(request: CallerRequest) -> None:
        served.append(request.path)
        release.wait(5.0)
        request.respond(200, body=b"ok")

    edge = EdgeServer("127.0.0.1:0", answer, THREADS, LIMITS)
    with (
        closing(socket.create_connection(edge.server.bind_addr, timeout=5.0)) as first,
        closing(socket.create_connection(edge.server.bind_addr, timeout=5.0)) as second,
    ):
        first.sendall(REQUEST)
        wait_until(lambda: served)
        edge.stop_accepting()
        second.sendall(REQUEST)
        assert read_rest(second) == b""
        assert edge.is_busy
        release.set()
        assert first.recv(4096).startswith(b"HTTP/1.1 200")
        wait_until(lambda: not edge.is_busy)
    assert served == ["/a"]
    edge.server.stop()


def test_the_server_is_busy_while_a_head_is_read(server):
    with closing(server.connect()) as caller:
        caller.sendall(REQUEST[:9])
        wait_until(lambda: server.edge.is_busy)
        caller.sendall(REQUEST[9:])
        wait_until(lambda: not server.edge.is_busy)


def test_a_request_that_waits_for_a_thread_counts_from_its_arrival():
    """The caller's deadline counts while all threads are busy."""
    waited: list[float] = []

    def answer_slowly(request: CallerRequest) -> None:
        waited.append(steady_s() - request.arrived_at)
        time.sleep(0.4)
        answer_ok(request)

    edge = EdgeServer("127.0.0.1:0", answer_slowly, 1, LIMITS)
    try:
        callers = [socket.create_connection(edge.server.bind_addr, timeout=5.0) for _ in range(3)]
        for caller in callers:
            caller.sendall(REQUEST)
        for caller in callers:
            assert caller.recv(4096)
            caller.close()
    finally:
        edge.server.stop()
    assert [round(one / 0.4) for one in waited] == [0, 1, 2]
