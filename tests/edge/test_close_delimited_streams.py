"""Streams that end with their connection: what looks complete to the caller is complete."""

from __future__ import annotations

import http.client
import socket
from dataclasses import replace
from random import Random

import pytest

from tests.edge.closing_engine import EVENT_COUNT, ClosingEngine, Ending, events, framed_size
from tests.edge.test_streaming import StreamingGateway
from threadramp.edge import streaming
from threadramp.edge.job import Ending as OutcomeKind
from threadramp.fleet.clock import steady_s
from threadramp.fleet.fleet_view import FleetSnapshot
from threadramp.wire.response_limits import Framing

TEXT = events(1, EVENT_COUNT)
BOUNDARIES = [len(events(1, n)) for n in range(EVENT_COUNT + 1)]
SEED = 7
CUTS_PER_CASE = 12


@pytest.fixture
def gateway():
    made = StreamingGateway(None)
    yield made
    made.server.server.stop()


@pytest.fixture
def serve_engines(gateway):
    engines = []

    def serve(*made: ClosingEngine) -> None:
        engines.extend(made)
        endpoints = {one.endpoint.instance: one.endpoint for one in made}
        gateway.picture.snapshot = FleetSnapshot(endpoints=endpoints)
        gateway.outcomes.clear()

    yield serve
    for one in engines:
        one.close()


def read(gateway, **headers) -> tuple[bytes, bool]:
    """Return the events that the caller received, and whether they look complete."""
    try:
        status, body, _ = gateway.read(**headers)
    except http.client.IncompleteRead as error:
        return error.partial, False
    except (http.client.HTTPException, ConnectionError):
        return b"", False
    return body, status == 200


@pytest.mark.parametrize("resumable", [True, False])
@pytest.mark.parametrize("crashes", [True, False], ids=["crashes", "lives"])
@pytest.mark.parametrize("resets", [True, False], ids=["reset", "closed"])
@pytest.mark.parametrize("framing", list(Framing))
def test_a_stream_that_looks_complete_has_its_last_event(
    gateway, serve_engines, framing, resets, crashes, resumable
):
    """Else a caller takes the events before a crash, or before an early close, for all."""
    gateway.route["resumable"] = resumable
    random = Random(f"{SEED} {framing} {resets} {crashes} {resumable}")
    size = framed_size(framing, TEXT)
    drawn = random.sample(range(size), CUTS_PER_CASE)
    cuts = sorted({*drawn, *BOUNDARIES[:-1]})
    short, incomplete = [], []
    for number, cut in enumerate(cuts):
        ending = Ending(cut, resets, crashes)
        first = ClosingEngine(2 * number, framing, (ending,))
        others = [ClosingEngine(2 * number + 1, framing)] if resumable and crashes else []
        serve_engines(first, *others)
        body, is_complete = read(gateway)
        assert TEXT.startswith(body)
        is_last_resort = (
            framing is Framing.CLOSE and cut in BOUNDARIES and not (resets or crashes or resumable)
        )
        if is_complete and body != TEXT and not is_last_resort:
            short.append(cut)
        if not is_complete and (resumable or is_last_resort):
            incomplete.append(cut)
    assert (short, incomplete) == ([], [])


@pytest.mark.parametrize("resumable", [True, False])
@pytest.mark.parametrize("framing", list(Framing))
def test_a_whole_stream_of_an_endpoint_that_lives_is_complete(
    gateway, serve_engines, framing, resumable
):
    gateway.route["resumable"] = resumable
    engine = ClosingEngine(1, framing)
    serve_engines(engine)
    assert read(gateway) == (TEXT, True)
    is_closed = framing is Framing.CLOSE
    assert engine.after == [0] + [3, 3] * (is_closed and resumable)
    assert engine.checks == int(is_closed and not resumable)
    assert gateway.outcomes[0].ending is OutcomeKind.STREAMED


def test_the_end_of_a_resumable_stream_waits_for_a_full_endpoint(gateway, serve_engines):
    """Else a whole stream would be cut since its end could not be confirmed at once."""
    gateway.route["attempts"] = 1
    engine = ClosingEngine(1, Framing.CLOSE, rejections=12)
    serve_engines(engine)
    assert read(gateway) == (TEXT, True)
    assert engine.after == [0, 3, 3]


def test_the_end_of_a_resumable_stream_is_confirmed_by_a_framed_response(gateway, serve_engines):
    engine = ClosingEngine(1, Framing.CLOSE)
    engine.endings.append(Ending(BOUNDARIES[1], crashes=True))
    other = ClosingEngine(2, Framing.LENGTH)
    serve_engines(engine)
    gateway.picture.snapshot = FleetSnapshot(
        endpoints={one.endpoint.instance: one.endpoint for one in (engine, other)}
    )
    assert read(gateway) == (TEXT, True)
    assert len(other.after) == 1
    other.close()


def test_a_leaving_endpoint_is_not_asked_for_more_events(gateway, serve_engines):
    """Rule DRAIN; with no other endpoint, its start is checked instead."""
    engine = ClosingEngine(1, Framing.CLOSE, (Ending(holds=True),))
    serve_engines(engine)
    response = gateway.open().getresponse()
    assert response.read(1)
    leaving = {engine.instance: replace(engine.endpoint, leaving=True)}
    gateway.picture.snapshot = FleetSnapshot(endpoints=leaving)
    engine.released.set()
    assert response.read() == TEXT[1:]
    assert (engine.after, engine.checks) == ([0], 1)


def test_no_more_endpoints_than_allowed_confirm_the_end(gateway, serve_engines):
    """Rule BUDGET: an endpoint that only confirms the end counts as one that ran the stream."""
    gateway.route["attempts"] = 2
    gateway.time_s = 1.5
    engines = [ClosingEngine(n, Framing.CLOSE, rejections=10_000) for n in range(4)]
    for one in engines:
        one.endings = [Ending(BOUNDARIES[1])]
    serve_engines(*engines)
    read(gateway)
    assert sum(bool(one.after) for one in engines) <= 2


@pytest.mark.parametrize("resumable", [True, False])
def test_a_replaced_endpoint_does_not_confirm_the_end(gateway, serve_engines, resumable):
    """The next start listens at the same address before the check."""
    gateway.route["resumable"] = resumable
    gateway.time_s = 1.0
    ending = Ending(BOUNDARIES[2], crashes=True)
    serve_engines(ClosingEngine(1, Framing.CLOSE, (ending,), restarts_as="i-next"))
    assert read(gateway) == (events(1, 2), False)
    assert gateway.outcomes[0].ending is OutcomeKind.CUT


def test_a_silent_endpoint_does_not_confirm_the_end_of_a_stream(gateway, serve_engines):
    gateway.route["resumable"] = False
    engine = ClosingEngine(1, Framing.CLOSE)
    engine.is_silent = True
    serve_engines(engine)
    started = steady_s()
    assert read(gateway) == (TEXT, False)
    assert steady_s() - started < 3.0


@pytest.mark.parametrize("resumable", [True, False])
@pytest.mark.parametrize("copies", [-1, 9, 40, 130])
@pytest.mark.parametrize("cut", [None, *BOUNDARIES[:-1], BOUNDARIES[1] + 9])
def test_a_copy_of_the_response_behind_a_stream_is_not_relayed(
    gateway, serve_engines, cut, copies, resumable
):
    """Else a whole stream never ends, or events of the copy are taken for its own."""
    gateway.route["resumable"] = resumable
    engine = ClosingEngine(1, Framing.CLOSE, (Ending(cut, copies=copies),))
    serve_engines(engine)
    body, is_complete = read(gateway)
    assert TEXT.startswith(body)
    if resumable or cut is None:
        assert (body, is_complete) == (TEXT, True)
    elif copies < 0 or cut not in BOUNDARIES:
        assert not is_complete


@pytest.mark.parametrize("framing", list(Framing))
@pytest.mark.parametrize("resumable", [True, False])
def test_the_stream_of_a_caller_that_half_closed_is_cut(gateway, serve_engines, framing, resumable):
    """The watcher shuts the engine's connection down, which shows a regular end then."""
    gateway.route["resumable"] = resumable
    cut = framed_size(framing, TEXT) if framing is Framing.CLOSE else 30
    engine = ClosingEngine(1, framing, (Ending(cut, holds=True),))
    serve_engines(engine)
    connection = gateway.open()
    response = connection.getresponse()
    connection.sock.shutdown(socket.SHUT_WR)
    with pytest.raises(http.client.IncompleteRead):
        response.read()
    assert engine.after == [0]
    assert gateway.outcomes[0].ending is OutcomeKind.CUT
    assert engine.checks == 0


@pytest.mark.parametrize("framing", list(Framing))
def test_a_cut_stream_of_a_caller_with_http_1_0_ends_with_a_reset(gateway, serve_engines, framing):
    """Such a caller gets no chunks, so a regular close would look like the end of the stream."""
    gateway.route["resumable"] = False
    cut = framed_size(framing, events(1, 1))
    cut -= len(b"0\r\n\r\n") if framing is Framing.CHUNKED else 0
    serve_engines(ClosingEngine(1, framing, (Ending(cut, crashes=True),)))
    with socket.create_connection(gateway.address, timeout=10) as caller:
        caller.sendall(b"POST /a HTTP/1.0\r\nHost: h\r\nX-Attempt-Id: req\r\n\r\n")
        with pytest.raises(ConnectionResetError):
            while caller.recv(65_536):
                pass
    assert gateway.outcomes[0].ending is OutcomeKind.CUT


def test_a_whole_stream_of_a_caller_with_http_1_0_ends_with_a_close(gateway, serve_engines):
    serve_engines(ClosingEngine(1, Framing.CHUNKED))
    received = b""
    with socket.create_connection(gateway.address, timeout=10) as caller:
        caller.sendall(b"POST /a HTTP/1.0\r\nHost: h\r\nX-Attempt-Id: req\r\n\r\n")
        while data := caller.recv(65_536):
            received += data
    assert received.endswith(b"\r\n\r\n" + TEXT)


class StartCounter:
    """Counts starts as the usage of an organisation does."""

    def __init__(self) -> None:
        self.count = 0

    def count_sent(self, organisation: str, at: float) -> None:
        self.count += 1

    def uncount(self, organisation: str, at: float) -> None:
        self.count -= 1


@pytest.mark.parametrize("framing", list(Framing))
def test_a_rejection_does_not_retract_an_earlier_start_at_the_same_endpoint(
    gateway, serve_engines, framing
):
    """Else an organisation's usage lacks a stream whose rest its endpoint rejected at first."""
    gateway.route["attempts"] = 1
    counter = gateway.streams.access.usage_counter = StartCounter()
    ending = Ending(framed_size(framing, events(1, 1)) - 1, resets=True)
    engine = ClosingEngine(1, framing, (ending,), rejections=1)
    serve_engines(engine)
    read(gateway)
    assert counter.count == len(engine.after)


# Guards against a stream without any event that looks complete, as two responses were cut.
@pytest.mark.parametrize("cut_count", [2, 3])
def test_responses_that_end_behind_their_heads_are_no_complete_stream(
    gateway, serve_engines, cut_count
):
    gateway.route["resumable"] = True
    endings = (Ending(0, resets=False, crashes=False),) * cut_count
    serve_engines(ClosingEngine(0, Framing.CLOSE, endings))
    assert read(gateway) == (TEXT, True)


# Guards against an endpoint that is asked without pause or end for the first event of a stream.
def test_an_endpoint_whose_responses_are_all_empty_is_asked_a_few_times(gateway, serve_engines):
    gateway.route["resumable"] = True
    engine = ClosingEngine(0, Framing.CLOSE, (Ending(0),) * 50)
    serve_engines(engine)
    assert not read(gateway)[1]
    assert len(engine.after) <= 8


# Guards against ends that are counted for another event than the last one.
def test_an_end_behind_an_earlier_event_does_not_confirm_a_later_one(gateway, serve_engines):
    gateway.route["resumable"] = True
    one_event = len(events(1, 1))
    endings = (Ending(one_event), Ending(0), Ending(one_event, resets=True), Ending(0), Ending(0))
    serve_engines(ClosingEngine(0, Framing.CLOSE, endings))
    body, is_complete = read(gateway)
    assert not is_complete or body == TEXT


# Guards against a stream that looks complete as its endpoint stopped working at its deadline.
@pytest.mark.parametrize("framing", list(Framing))
def test_a_stream_that_ends_at_the_deadline_is_not_complete(
    gateway, serve_engines, framing, monkeypatch
):
    monkeypatch.setattr(streaming, "DEADLINE_MARGIN_S", 60.0)
    serve_engines(ClosingEngine(0, framing))
    assert not read(gateway)[1]
