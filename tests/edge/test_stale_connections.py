"""Endpoints that drop idle connections silently: the next request on one is reset."""

from __future__ import annotations

import socket
import struct
import threading
import time
from contextlib import suppress
from random import Random

import pytest

from threadramp.edge.connection_pool import ConnectionPool
from threadramp.edge.exchange import EndpointResponse, Exchange, ExchangeError
from threadramp.edge.forward import Forwarder
from threadramp.edge.job import Ending, Job
from threadramp.fleet.clock import Clock
from threadramp.fleet.fleet_view import FleetSnapshot, FleetView
from threadramp.fleet.model import Endpoint, PoolShare, Route, RouteKind
from threadramp.platform.engine import REPORT_PATH
from threadramp.policy.endpoint_choice import EndpointSelector
from threadramp.policy.retries import RetryBudget

ANSWER = b"HTTP/1.1 200 OK\r\nX-Server-Stamp: s\r\nContent-Length: 2\r\n\r\nok"
RESET = struct.pack("ii", 1, 0)  # SO_LINGER: reset at close


def read_request(connection: socket.socket) -> bytes:
    """Read a complete request and return its head; head and body may arrive separately."""
    found = b""
    while b"\r\n\r\n" not in found:
        found += connection.recv(65_536)
    head, _, body = found.partition(b"\r\n\r\n")
    named = [line for line in head.lower().split(b"\r\n") if line.startswith(b"content-length:")]
    length = int(named[0].partition(b":")[2]) if named else 0
    while len(body) < length:
        body += connection.recv(65_536)
    return head


class DroppingEndpoint:
    """Answers the first request of each connection and resets it at the second."""

    def __init__(self) -> None:
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.requests = 0
        threading.Thread(target=self._accept, daemon=True).start()

    @property
    def endpoint(self) -> Endpoint:
        host, port = self.listener.getsockname()
        return Endpoint(f"i-{port}", "p", f"{host}:{port}", "a", 6)

    def _accept(self) -> None:
        with suppress(OSError):
            while True:
                connection, _ = self.listener.accept()
                threading.Thread(target=self._serve, args=(connection,), daemon=True).start()

    def _serve(self, connection: socket.socket) -> None:
        # A gateway queries the report of an endpoint that broke a connection; that runs nothing.
        self.requests += REPORT_PATH.encode() not in read_request(connection)
        connection.sendall(ANSWER)
        connection.recv(65_536)  # the first bytes of the second request
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        connection.close()


@pytest.fixture
def dropping():
    made = [DroppingEndpoint(), DroppingEndpoint()]
    yield made
    for one in made:
        one.listener.close()


def run_exchange(exchange: Exchange) -> EndpointResponse:
    exchange.send("POST", "/", {"Host": "h"}, b"q")
    return exchange.read(1.0)


def test_a_dropped_idle_connection_is_not_an_endpoint_failure(dropping):
    connections = ConnectionPool()
    exchange = connections.acquire(dropping[0].endpoint, 0.0, 1.0)
    connections.release(exchange, run_exchange(exchange), 0.0)
    with pytest.raises(ExchangeError) as failure:
        run_exchange(connections.acquire(dropping[0].endpoint, 0.0, 1.0))
    assert failure.value.stale
    assert failure.value.sent


def test_a_new_connection_that_breaks_is_not_stale(dropping):
    exchange = ConnectionPool().acquire(dropping[0].endpoint, 0.0, 1.0)
    run_exchange(exchange)
    with pytest.raises(ExchangeError) as failure:
        run_exchange(exchange)
    assert not failure.value.stale


def test_a_request_that_may_run_once_is_not_sent_again_after_its_bytes_left(dropping):
    picture = FleetView()
    only = dropping[0].endpoint
    picture.snapshot = FleetSnapshot(endpoints={only.instance: only})
    forwarder = Forwarder(
        picture, ConnectionPool(), EndpointSelector(Random(1)), RetryBudget(), Clock()
    )
    route = Route("r", "h", "/", RouteKind.ONCE, (PoolShare("p", 1.0),), 2.0, 1.0, 3)
    endings = []
    for _ in range(6):
        until = time.monotonic() + 2.0
        job = Job("req", "POST", "/", (("Host", "h"),), b"", route, until)
        endings.append(forwarder.run(job).ending)
    assert set(endings) <= {Ending.ANSWERED, Ending.UNKNOWN}
    assert dropping[0].requests == endings.count(Ending.ANSWERED)


def test_an_endpoint_is_not_avoided_for_an_idle_connection_that_it_dropped(dropping):
    picture = FleetView()
    endpoints = {one.endpoint.instance: one.endpoint for one in dropping}
    picture.snapshot = FleetSnapshot(endpoints=endpoints)
    choice = EndpointSelector(Random(1))
    forwarder = Forwarder(picture, ConnectionPool(), choice, RetryBudget(), Clock())
    route = Route("r", "h", "/", RouteKind.REPEATABLE, (PoolShare("p", 1.0),), 2.0, 1.0, 3)
    for _ in range(8):
        until = time.monotonic() + 2.0
        outcome = forwarder.run(Job("req", "POST", "/", (("Host", "h"),), b"q", route, until))
        assert outcome.ending is Ending.ANSWERED
    assert sum(one.requests for one in dropping) == 8
    assert all(record.suspended_until == 0.0 for record in choice.records.values())
