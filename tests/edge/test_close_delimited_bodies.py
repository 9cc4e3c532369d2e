"""Whole responses that end with their connection."""

from __future__ import annotations

import socket
import struct
import time
from random import Random

import pytest

from tests.edge.closing_engine import ClosingEngine, Ending
from threadramp.edge.connection_pool import ConnectionPool
from threadramp.edge.exchange import ExchangeError
from threadramp.edge.forward import Forwarder
from threadramp.edge.job import Ending as OutcomeKind
from threadramp.edge.job import Job, Outcome
from threadramp.fleet.clock import Clock, steady_s
from threadramp.fleet.fleet_view import FleetSnapshot, FleetView
from threadramp.fleet.model import Endpoint, PoolShare, Route, RouteKind
from threadramp.policy.endpoint_choice import EndpointSelector
from threadramp.policy.retries import RetryBudget
from threadramp.wire.response_limits import Framing

BODY = b"a whole body of some bytes"
CUTS = [0, 1, 13, len(BODY) - 1, len(BODY)]
RESET = struct.pack("ii", 1, 0)  # SO_LINGER: reset at close
RESET_S = 0.05  # until a reset on the loopback has arrived


@pytest.fixture
def call():
    """Sends one request to engines behind one forwarder."""
    engines = []

    def send(*made: ClosingEngine, kind: RouteKind = RouteKind.ONCE, attempts: int = 3) -> Outcome:
        engines.extend(made)
        view = FleetView()
        view.snapshot = FleetSnapshot(endpoints={one.instance: one.endpoint for one in made})
        forwarder = Forwarder(
            view, ConnectionPool(), EndpointSelector(Random(1)), RetryBudget(), Clock()
        )
        route = Route("r", "h", "/", kind, (PoolShare("p", 1.0),), 4.0, 3.0, attempts)
        headers = (("Host", "h"), ("X-Attempt-Id", "r1"))
        return forwarder.run(Job("r1", "POST", "/x", headers, b"q", route, steady_s() + 4.0))

    yield send
    for one in engines:
        one.close()


@pytest.mark.parametrize("kind", [RouteKind.ONCE, RouteKind.REPEATABLE])
@pytest.mark.parametrize("cut", CUTS)
@pytest.mark.parametrize("resets", [True, False], ids=["reset", "closed"])
@pytest.mark.parametrize("framing", list(Framing))
@pytest.mark.parametrize("restarts_as", ["", "i-next"], ids=["down", "replaced"])
def test_a_body_cut_by_a_crash_is_not_passed_on(call, kind, cut, resets, framing, restarts_as):
    """The kernel closes the connections of a killed process regularly."""
    ending = Ending(cut, resets, crashes=True)
    engine = ClosingEngine(1, framing, (ending,), BODY, restarts_as=restarts_as)
    outcome = call(engine, kind=kind, attempts=1)
    if outcome.ending is OutcomeKind.ANSWERED:
        assert outcome.response.body == BODY
        assert framing is not Framing.CLOSE
    else:
        assert outcome.ending is OutcomeKind.UNKNOWN


def test_a_repeatable_request_cut_by_a_crash_is_answered_by_another_endpoint(call):
    """A crash that looked like the end of the body was answered with a part of it."""
    ending = (Ending(5, crashes=True),)
    engines = [ClosingEngine(n, Framing.CLOSE, ending, BODY) for n in (1, 2)]
    engines[1].endings.clear()
    outcome = call(*engines, kind=RouteKind.REPEATABLE)
    assert (outcome.ending, outcome.response.body) == (OutcomeKind.ANSWERED, BODY)


@pytest.mark.parametrize("status", [200, 404, 500])
@pytest.mark.parametrize("body", [b"", BODY])
def test_a_body_of_an_endpoint_that_lives_is_passed_on(call, body, status):
    engine = ClosingEngine(1, Framing.CLOSE, body=body, status=status)
    outcome = call(engine)
    assert outcome.ending is OutcomeKind.ANSWERED
    assert (outcome.response.head.status, outcome.response.body) == (status, body)
    assert engine.checks == 1


@pytest.mark.parametrize("framing", [Framing.CHUNKED, Framing.LENGTH])
def test_a_framed_response_costs_no_check(call, framing):
    engine = ClosingEngine(1, framing, body=BODY)
    assert call(engine).ending is OutcomeKind.ANSWERED
    assert engine.checks == 0


def test_a_body_of_a_service_that_lets_the_check_wait_is_passed_on(call):
    """A plain service may let the check wait for a slot, as a request."""
    engine = ClosingEngine(1, Framing.CLOSE, body=BODY)
    engine.is_silent = True
    assert call(engine).ending is OutcomeKind.ANSWERED


def test_an_error_page_cut_by_a_crash_is_not_passed_on(call):
    engine = ClosingEngine(1, Framing.CLOSE, (Ending(5, crashes=True),), BODY, status=500)
    assert call(engine).ending is OutcomeKind.UNKNOWN


@pytest.mark.parametrize("copies", [-1, 11, 20, 40])
@pytest.mark.parametrize("cut", CUTS)
def test_a_copy_of_the_response_does_not_become_part_of_the_body(call, cut, copies):
    """Of a copy that was cut within its head, the first connection passed on all bytes."""
    engine = ClosingEngine(1, Framing.CLOSE, (Ending(cut, copies=copies),), BODY)
    outcome = call(engine)
    assert outcome.response is None or BODY.startswith(outcome.response.body)
    if copies < 0:
        assert outcome.response is None or outcome.response.body == BODY


@pytest.mark.parametrize("body", [b"", BODY])
def test_a_body_with_a_whole_copy_behind_it_is_passed_on(call, body):
    """A request that may run once ended as unknown, although its response was whole."""
    engine = ClosingEngine(1, Framing.CLOSE, (Ending(copies=-1),), body)
    outcome = call(engine)
    assert (outcome.ending, outcome.response.body) == (OutcomeKind.ANSWERED, body)
    assert engine.after == [0]


def test_a_copy_that_names_another_request_is_not_taken_for_one(call):
    """Else a response to another request that has the same body would confirm this one."""
    other = b"HTTP/1.1 200 Answer\r\nX-Attempt-Id: r2\r\nX-Server-Stamp: s\r\n\r\n"
    engine = ClosingEngine(1, Framing.CLOSE, body=BODY + other + BODY)
    assert call(engine).ending is OutcomeKind.UNKNOWN


@pytest.mark.parametrize("framing", ["", "Content-Length: 9\r\n", "Transfer-Encoding: chunked\r\n"])
def test_a_reset_that_a_failed_send_reported_still_cuts_the_response(framing):
    """The kernel reports a reset once, so the next read showed a regular end."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        host, port = listener.getsockname()
        endpoint = Endpoint("i-1", "p", f"{host}:{port}", "a", 6)
        exchange = ConnectionPool().acquire(endpoint, 0.0, 1.0)
        peer, _ = listener.accept()
        head = f"HTTP/1.1 200 OK\r\nX-Attempt-Id: r\r\nX-Server-Stamp: s\r\n{framing}\r\n"
        peer.sendall(head.encode() + b"part")
        peer.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        peer.close()
        time.sleep(RESET_S)
        with pytest.raises(ExchangeError) as failure:
            exchange.send("POST", "/", {"Host": "h", "X-Attempt-Id": "r"}, b"x", defers_rest=True)
            exchange.read_body(exchange.read_head(1.0), 1.0)
        assert failure.value.broken
