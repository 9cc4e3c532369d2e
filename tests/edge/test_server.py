"""What the HTTP server takes from callers and for how long, over real sockets."""

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
    """A server with few threads, and connections to it."""

    def __init__(self) -> None:
        self.edge = EdgeServer("127.0.0.1:0", answer_ok, THREADS, LIMITS)
        self.place = self.edge.server.bind_addr

    def connect(self) -> socket.socket:
        return socket.create_connection(self.place, timeout=5.0)

    def ask(self) -> bytes:
        with closing(self.connect()) as caller:
            caller.sendall(REQUEST)
            return caller.recv(4096)


@pytest.fixture
def server():
    built = Server()
    yield built
    built.edge.server.stop()


def ask_on(caller: socket.socket) -> bytes:
    """Send a request on an open connection and return the whole answer."""
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


def drip(caller: socket.socket, data: bytes, gap_s: float) -> None:
    """Send byte by byte until all is sent or the other side closes."""
    for place in range(len(data)):
        try:
            caller.sendall(data[place : place + 1])
        except OSError:
            return
        time.sleep(gap_s)


def rest_of(caller: socket.socket) -> bytes:
    """Return what still comes until the other side closes."""
    found = b""
    try:
        while piece := caller.recv(4096):
            found += piece
    except ConnectionResetError:
        pass  # it closed with bytes of ours unread
    return found


def test_connections_that_say_nothing_hold_no_thread(server):
    silent = [server.connect() for _ in range(THREADS * 3)]
    time.sleep(0.2)
    started = steady_s()
    assert server.ask().startswith(b"HTTP/1.1 200")
    assert steady_s() - started < 0.3  # less than the time allowed for a head
    for caller in silent:
        caller.close()


def test_a_connection_that_said_nothing_first_is_served_later(server):
    with closing(server.connect()) as caller:
        time.sleep(0.3)
        caller.sendall(REQUEST)
        assert caller.recv(4096).startswith(b"HTTP/1.1 200")


def test_a_head_that_comes_too_slowly_is_answered_408(server):
    with closing(server.connect()) as caller:
        started = steady_s()
        drip(caller, REQUEST, 0.05)
        assert rest_of(caller).startswith(b"HTTP/1.1 408")
        assert steady_s() - started < len(REQUEST) * 0.05 + 0.5
    assert server.ask().startswith(b"HTTP/1.1 200")


def test_slow_heads_do_not_keep_others_waiting_beyond_their_time(server):
    slow = [server.connect() for _ in range(THREADS)]
    for caller in slow:
        caller.sendall(REQUEST[:9])
    started = steady_s()
    assert server.ask().startswith(b"HTTP/1.1 200")
    assert steady_s() - started < LIMITS.header_s + 0.4
    for caller in slow:
        caller.close()


def test_the_second_head_on_a_connection_has_its_own_time(server):
    with closing(server.connect()) as caller:
        for _ in range(3):
            assert ask_on(caller).startswith(b"HTTP/1.1 200")
            time.sleep(0.4)


def test_a_head_over_the_limit_is_refused(server):
    with closing(server.connect()) as caller:
        caller.sendall(REQUEST[:-2] + b"X-Long: " + b"x" * 3_000 + b"\r\n\r\n")
        assert rest_of(caller).startswith(b"HTTP/1.1 431")
    assert server.ask().startswith(b"HTTP/1.1 200")


def test_a_request_line_over_the_limit_is_refused(server):
    with closing(server.connect()) as caller:
        caller.sendall(b"GET /" + b"x" * 3_000 + b" HTTP/1.1\r\nHost: h\r\n\r\n")
        assert rest_of(caller).startswith(b"HTTP/1.1 431")


def test_an_idle_connection_is_used_again_and_closed_only_after_its_time(server):
    with closing(server.connect()) as caller:
        assert ask_on(caller).startswith(b"HTTP/1.1 200")
        time.sleep(LIMITS.idle_s * 0.8)
        assert ask_on(caller).startswith(b"HTTP/1.1 200")
        started = steady_s()
        assert rest_of(caller) == b""
        assert LIMITS.idle_s <= steady_s() - started < LIMITS.idle_s + 2.5


def test_changed_limits_hold_for_the_next_request(server):
    server.edge.set_limits(CallerLimits(header_bytes=100_000, header_s=5.0, idle_s=1.0))
    with closing(server.connect()) as caller:
        caller.sendall(REQUEST[:-2] + b"X-Long: " + b"x" * 3_000 + b"\r\n\r\n")
        assert caller.recv(4096).startswith(b"HTTP/1.1 200")


def test_a_body_that_stops_coming_ends_its_connection():
    limits = CallerLimits(header_s=0.5, idle_s=0.5)
    edge = EdgeServer(
        "127.0.0.1:0", lambda request: request.respond(200, body=request.body(100)), 1, limits
    )
    with closing(socket.create_connection(edge.server.bind_addr, timeout=5.0)) as caller:
        caller.sendall(b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nabc")
        started = steady_s()
        rest_of(caller)
        assert steady_s() - started < 4.0
    edge.server.stop()


def test_one_that_closes_reads_nothing_new_and_finishes_what_it_read():
    """A request that came as the process ended was read, passed on and never answered (LOST)."""
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
        assert rest_of(second) == b""
        assert edge.is_busy
        release.set()
        assert first.recv(4096).startswith(b"HTTP/1.1 200")
        wait_until(lambda: not edge.is_busy)
    assert served == ["/a"]
    edge.server.stop()


def test_it_is_busy_while_a_head_is_read(server):
    with closing(server.connect()) as caller:
        caller.sendall(REQUEST[:9])
        wait_until(lambda: server.edge.is_busy)
        caller.sendall(REQUEST[9:])
        wait_until(lambda: not server.edge.is_busy)


def test_a_request_that_waits_for_a_thread_counts_from_when_it_was_there():
    """The time that a caller gives runs on while all threads are busy."""
    waited: list[float] = []

    def answer_slowly(request: CallerRequest) -> None:
        waited.append(steady_s() - request.arrived)
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
