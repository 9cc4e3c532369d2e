"""An endpoint that has ended is told from one whose connection was cut."""

from __future__ import annotations

import socket

import pytest

from threadramp.edge.connection_pool import ConnectionPool
from threadramp.edge.endpoint_probe import (
    EndpointState,
    born_at,
    probe_endpoint,
    probe_without_request,
)
from threadramp.edge.exchange import ExchangeError
from threadramp.fleet.model import Endpoint
from threadramp.platform.headers import caller_of
from threadramp.platform.standins.crashing import CrashingEndpoint, FrontProxy, WhileDown

SLOW_S = 2.0  # the stand-ins run beside other work


@pytest.fixture
def crashing():
    made = CrashingEndpoint("x", back_s=60.0)
    yield made
    made.close()


def test_an_endpoint_that_says_nothing_in_time_is_not_taken_as_ended():
    """A busy endpoint that answers its report late would be held against all requests there."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        host, port = listener.getsockname()
        assert probe_endpoint(f"{host}:{port}", 0.05) is EndpointState.LISTENS


def test_one_that_lives_listens(crashing):
    crashing.cut()
    assert probe_endpoint(crashing.address) is EndpointState.LISTENS


def test_one_that_crashed_has_ended(crashing):
    crashing.crash()
    assert probe_endpoint(crashing.address) is EndpointState.ENDED


def test_one_that_does_not_answer_is_not_known():
    """Its queue of new connections is full: no answer comes."""
    with socket.socket() as full, socket.socket() as one, socket.socket() as two:
        full.bind(("127.0.0.1", 0))
        full.listen(0)
        for client in (one, two):
            client.setblocking(False)
            client.connect_ex(full.getsockname())
        host, port = full.getsockname()
        assert probe_endpoint(f"{host}:{port}", 0.05) is EndpointState.UNKNOWN


def test_a_crash_shows_as_a_broken_connection_and_a_late_answer_does_not(crashing):
    endpoint = Endpoint(crashing.instance, "p", crashing.address, "a")
    exchange = ConnectionPool().acquire(endpoint, 0.0, 1.0)
    exchange.send("POST", "/crashes", {"Host": "h"}, b"")
    with pytest.raises(ExchangeError) as found:
        exchange.read(1.0)
    assert found.value.broken
    crashing.start()
    crashing.engine.faults["hold_s"] = 1.0
    exchange = ConnectionPool().acquire(endpoint, 0.0, 1.0)
    headers = {"Host": "h", "X-Expect-Instance": crashing.instance}
    exchange.send("POST", "/a", headers, b"")
    with pytest.raises(ExchangeError) as found:
        exchange.read(0.05)
    assert not found.value.broken


def test_a_caller_is_known_by_what_names_it_alone():
    same = [("Authorization", "Bearer a"), ("X-Attempt-Id", "1"), ("Host", "h")]
    other_try = [("X-Attempt-Id", "2"), ("authorization", "Bearer a"), ("User-Agent", "b")]
    assert caller_of(same) == caller_of(other_try) != ""
    assert caller_of([("X-Attempt-Id", "1")]) == ""


@pytest.fixture(params=list(WhileDown), ids=lambda down: down.name)
def fronted(request):
    made = CrashingEndpoint("y", back_s=60.0, front=FrontProxy(request.param))
    yield made
    made.close()


def test_a_front_whose_endpoint_is_down_breaks_each_connection(fronted):
    """The front runs in this process; a break that comes late is one as well."""
    assert probe_endpoint(fronted.address, SLOW_S) is EndpointState.LISTENS
    fronted.crash()
    for _ in range(20):  # the break may come before this process sees that it was taken
        assert probe_endpoint(fronted.address, SLOW_S) is EndpointState.BREAKS


def test_one_that_answers_tells_its_birth(fronted, crashing):
    first = fronted.born
    assert born_at(fronted.address) == first
    fronted.crash()
    assert born_at(fronted.address) is None
    fronted.start()
    assert born_at(fronted.address) == fronted.born > first
    assert born_at(crashing.address) == 0


def test_a_front_that_answers_for_one_that_is_down_tells_no_birth(serve, fronted):
    fronted.engine.faults["outage"] = True
    assert born_at(serve(fronted.engine)) is None


def test_a_probe_without_request_sends_nothing():
    """A plain service ran the question for its report as a request that nobody had sent."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        host, port = listener.getsockname()
        assert probe_without_request(f"{host}:{port}") is EndpointState.LISTENS
        taken, _ = listener.accept()
        with taken:
            assert taken.recv(1) == b""
