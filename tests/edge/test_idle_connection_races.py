"""Idle connections that break just as a request that may run once is sent on them.

The kernel tells whether the endpoint can have read anything. If it cannot, the request is sent
again; refusing it would cost a call for each connection that an endpoint closes at rest. If it can,
the request is not sent again, and its caller gets no promise that it has not run.
"""

from __future__ import annotations

import select
import socket
import struct
import threading
from collections import Counter
from contextlib import suppress
from random import Random

import pytest

from threadramp.edge.connection_pool import ConnectionPool
from threadramp.edge.forward import Forwarder
from threadramp.edge.job import Ending, Job
from threadramp.fleet.clock import Clock, steady_s
from threadramp.fleet.fleet_view import FleetSnapshot, FleetView
from threadramp.fleet.model import Endpoint, PoolShare, Route, RouteKind
from threadramp.policy.endpoint_choice import EndpointSelector
from threadramp.policy.retries import RetryBudget

COUNT = 8
RESET = struct.pack("ii", 1, 0)  # SO_LINGER: reset at close
BODIES = [b"", b"short", b"x" * 12_000_000]


def end(connection: socket.socket) -> None:
    """Close a connection, which ends its stream."""
    connection.close()


def reset(connection: socket.socket) -> None:
    """Reset a connection."""
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
    connection.close()


class IdleEndpoint:
    """Answers requests; breaks its connections at rest, or after it has read a request."""

    def __init__(self) -> None:
        self.listener = socket.create_server(("127.0.0.1", 0))
        host, port = self.listener.getsockname()
        self.endpoint = Endpoint(f"i-{port}", "p", f"{host}:{port}", "a", 6)
        self.runs: Counter[str] = Counter()
        self.break_after_request = None
        self.break_at_rest = end
        self.resets_unread = False
        self.wakeup = socket.socketpair()
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        with suppress(OSError):
            while True:
                connection, _ = self.listener.accept()
                threading.Thread(target=self._serve, args=(connection,), daemon=True).start()

    def _serve(self, connection: socket.socket) -> None:
        with suppress(OSError):
            while not self._is_to_break(connection):
                if self.resets_unread:
                    reset(connection)
                    return
                head = self._read_request(connection)
                name = head.partition("X-Attempt-Id: ")[2].partition("\r\n")[0]
                if name:  # a health check has none
                    self.runs[name] += 1
                    if self.break_after_request is not None:
                        self.break_after_request(connection)
                        return
                answer = f"HTTP/1.1 200 OK\r\nX-Server-Stamp: s\r\nX-Attempt-Id: {name}\r\n"
                connection.sendall(f"{answer}Content-Length: 2\r\n\r\nok".encode())
            self.break_at_rest(connection)

    def _is_to_break(self, connection: socket.socket) -> bool:
        """Wait for the next request; true if the connection is to be broken instead."""
        found, _, _ = select.select([connection, self.wakeup[0]], [], [])
        if self.wakeup[0] not in found:
            return False
        self.wakeup[0].recv(1)
        return True

    def _read_request(self, connection: socket.socket) -> str:
        head, body = b"", b""
        while b"\r\n\r\n" not in head:
            head += receive(connection)
        head, _, body = head.partition(b"\r\n\r\n")
        size = int(head.lower().partition(b"content-length: ")[2].partition(b"\r\n")[0] or 0)
        left = size - len(body)
        while left > 0:
            left -= len(receive(connection))
        return head.decode()

    def close(self) -> None:
        """Accept no more connections."""
        self.listener.close()

    def break_idle(self) -> None:
        """Break the idle connection."""
        self.wakeup[1].send(b"x")


def receive(connection: socket.socket) -> bytes:
    data = connection.recv(262_144)
    if not data:
        raise ConnectionError
    return data


class RacingPool(ConnectionPool):
    """Lets something happen to a reused connection between taking and using it."""

    def __init__(self) -> None:
        super().__init__()
        self.break_taken = None
        self.reused = 0

    def acquire(self, *args, **options):
        exchange = super().acquire(*args, **options)
        if exchange.reused and self.break_taken is not None:
            self.reused += 1
            self.break_taken()
            poll = select.poll()
            poll.register(exchange.fileno(), select.POLLIN)
            assert poll.poll(2_000)
        return exchange


class Race:
    """Calls of a route whose requests may run once, on idle connections that break."""

    def __init__(self) -> None:
        self.made = IdleEndpoint()
        self.connections = RacingPool()
        view = FleetView()
        only = self.made.endpoint
        view.snapshot = FleetSnapshot(endpoints={only.instance: only})
        self.forwarder = Forwarder(
            view, self.connections, EndpointSelector(Random(1)), RetryBudget(), Clock()
        )
        self.sent = 0

    def call(self, body: bytes = b"short") -> Ending:
        self.sent += 1
        name = f"req-{self.sent}"
        route = Route("r", "h", "/", RouteKind.ONCE, (PoolShare("p", 1.0),), 4.0, 1.0, 3)
        headers = (("Host", "h"), ("X-Attempt-Id", name))
        job = Job(name, "POST", "/", headers, body, route, steady_s() + 4.0)
        return self.forwarder.run(job).ending

    def calls(self, body: bytes, break_taken=None, break_at_rest=None) -> Counter[Ending]:
        """Make calls, before each of which there is an idle connection.

        :param break_taken: breaks it once it was taken, before anything is sent
        :param break_at_rest: breaks it before the call
        """
        endings: Counter[Ending] = Counter()
        for _ in range(COUNT):
            self.connections.break_taken = None
            assert self.call() is Ending.ANSWERED
            assert self.connections.idle
            if break_at_rest is not None:
                break_at_rest()
                self._wait_until_idle_broken()
            self.connections.break_taken = break_taken
            endings[self.call(body)] += 1
        return endings

    def _wait_until_idle_broken(self) -> None:
        poll = select.poll()
        for queue in self.connections.idle.values():
            for one in queue:
                poll.register(one.connection.sock.fileno(), select.POLLIN)
        assert poll.poll(2_000)


@pytest.fixture
def race():
    made = Race()
    yield made
    made.connections.retain_only(set())
    made.made.close()


@pytest.mark.parametrize("body", BODIES, ids=len)
@pytest.mark.parametrize("how", [end, reset])
def test_a_connection_that_broke_at_rest_is_replaced(race, how, body):
    race.made.break_at_rest = how
    assert race.calls(body, break_at_rest=race.made.break_idle) == {Ending.ANSWERED: COUNT}
    assert set(race.made.runs.values()) == {1}


@pytest.mark.parametrize("body", BODIES, ids=len)
@pytest.mark.parametrize("how", [end, reset])
def test_a_request_on_a_connection_that_broke_before_it_is_sent_again(race, how, body):
    """Without a body it was answered 502, though nobody can have read it."""
    race.made.break_at_rest = how
    assert race.calls(body, break_taken=race.made.break_idle) == {Ending.ANSWERED: COUNT}
    assert race.connections.reused == COUNT
    assert set(race.made.runs.values()) == {1}


@pytest.mark.parametrize("body", BODIES, ids=len)
@pytest.mark.parametrize("how", [end, reset])
def test_a_request_that_was_read_before_the_break_may_have_run(race, how, body):
    endings: Counter[Ending] = Counter()
    for _ in range(COUNT):
        race.made.break_after_request = None
        assert race.call() is Ending.ANSWERED
        race.made.break_after_request = how
        endings[race.call(body)] += 1
    assert endings == {Ending.UNKNOWN: COUNT}
    assert set(race.made.runs.values()) == {1}


def test_a_request_that_was_reset_unread_may_have_run(race):
    """A reset does not tell which bytes were received and read."""
    assert race.call() is Ending.ANSWERED
    race.made.resets_unread = True
    assert race.call() is Ending.UNKNOWN
