"""Probes distinguish a crashed endpoint from one whose connection was cut."""

from __future__ import annotations

import socket

import pytest

from threadramp.edge.connection_pool import ConnectionPool
from threadramp.edge.endpoint_probe import (
    EndpointState,
    fetch_start_time,
    probe_endpoint,
    probe_without_request,
)
from threadramp.edge.exchange import ExchangeError
from threadramp.fleet.model import Endpoint
from threadramp.platform.headers import caller_of
from threadramp.platform.standins.crashing import CrashingEndpoint, FrontProxy, WhileDown

SLOW_S = 2.0  # the stand-ins share the machine with other work


@pytest.fixture
def crashing():
    built = CrashingEndpoint("x", back_s=60.0)
    yield built
    built.close()


def test_an_endpoint_that_is_too_slow_is_not_taken_for_crashed():
    """Else a crash would be attributed to all requests at a busy endpoint with a late report."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        host, port = listener.getsockname()
        assert probe_endpoint(f"{host}:{port}", 0.05) is EndpointState.LISTENS


def test_an_endpoint_that_is_alive_listens(crashing):
    crashing.cut()
    assert probe_endpoint(crashing.address) is EndpointState.LISTENS


def test_a_crashed_endpoint_has_ended(crashing):
    crashing.crash()
    assert probe_endpoint(crashing.address) is EndpointState.ENDED


def test_an_endpoint_with_a_full_queue_is_unknown():
    """Its accept queue is full, so connecting times out."""
    with socket.socket() as full, socket.socket() as one, socket.socket() as two:
        full.bind(("127.0.0.1", 0))
        full.listen(0)
        for client in (one, two):
            client.setblocking(False)
            client.connect_ex(full.getsockname())
        host, port = full.getsockname()
        assert probe_endpoint(f"{host}:{port}", 0.05) is EndpointState.UNKNOWN


def test_a_crash_shows_as_a_broken_connection_and_a_late_response_does_not(crashing):
    endpoint = Endpoint(crashing.instance, "p", crashing.address, "a")
    exchange = ConnectionPool().acquire(endpoint, 0.0, 1.0)
    exchange.send("POST", "/crashes", {"Host": "h"}, b"")
    with pytest.raises(ExchangeError) as error:
        exchange.read(1.0)
    assert error.value.broken
    crashing.start()
    crashing.engine.faults["hold_s"] = 1.0
    exchange = ConnectionPool().acquire(endpoint, 0.0, 1.0)
    headers = {"Host": "h", "X-Expect-Instance": crashing.instance}
    exchange.send("POST", "/a", headers, b"")
    with pytest.raises(ExchangeError) as error:
        exchange.read(0.05)
    assert not error.value.broken


def test_a_caller_is_identified_by_its_credentials_alone():
    same = [("Authorization", "Bearer a"), ("X-Attempt-Id", "1"), ("Host", "h")]
    other_try = [("X-Attempt-Id", "2"), ("authorization", "Bearer a"), ("User-Agent", "b")]
    assert caller_of(same) == caller_of(other_try) != ""
    assert caller_of([("X-Attempt-Id", "1")]) == ""


@pytest.fixture(params=list(WhileDown), ids=lambda down: down.name)
def proxied(request):
    built = CrashingEndpoint("y", back_s=60.0, front=FrontProxy(request.param))
    yield built
    built.close()


def test_a_proxy_whose_endpoint_is_down_breaks_each_connection(proxied):
    """The proxy runs in this process, so a break may come late; it still counts as one."""
    assert probe_endpoint(proxied.address, SLOW_S) is EndpointState.LISTENS
    proxied.crash()
    for _ in range(20):  # the reset may come before connect returns
        assert probe_endpoint(proxied.address, SLOW_S) is EndpointState.BREAKS


def test_a_responding_endpoint_reports_its_start_time(proxied, crashing):
    first = proxied.born
    assert fetch_start_time(proxied.address) == first
    proxied.crash()
    assert fetch_start_time(proxied.address) is None
    proxied.start()
    assert fetch_start_time(proxied.address) == proxied.born > first
    assert fetch_start_time(crashing.address) == 0


def test_an_error_from_the_proxy_reports_no_start_time(serve, proxied):
    proxied.engine.faults["outage"] = True
    assert fetch_start_time(serve(proxied.engine)) is None


def test_a_probe_without_request_sends_nothing():
    """A plain service ran the query for its report as a request that nobody had sent."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        host, port = listener.getsockname()
        assert probe_without_request(f"{host}:{port}") is EndpointState.LISTENS
        taken, _ = listener.accept()
        with taken:
            assert taken.recv(1) == b""
