"""Calls, streams and probes at endpoints that send bytes without end."""

from __future__ import annotations

import http.client
import threading

import pytest

from tests.edge.test_forward import EndpointPool
from tests.edge.test_streaming import StreamingGateway, events
from tests.endless import (
    EVENTS,
    HEADS,
    NOT_STREAMS,
    SLACK_S,
    assert_was_stopped,
    result_within,
)
from tests.stuttering import LATE, Stutterer, header_of, response
from threadramp.edge.endpoint_probe import EndpointState, fetch_start_time, probe_endpoint
from threadramp.edge.job import Ending
from threadramp.fleet.model import RouteKind
from threadramp.platform.standins.endless import Endless, EndlessServer

TIME_S = 0.3
LARGE_BODY = bytes(4_000_000)
MAY_HAVE_RUN = (Ending.UNKNOWN, Ending.TIMED_OUT)


@pytest.fixture
def endless():
    servers = []

    def start(kind: Endless, slow: bool = False, events: int = 0) -> EndlessServer:
        servers.append(EndlessServer(kind, slow, events))
        return servers[-1]

    yield start
    for server in servers:
        server.close()


@pytest.fixture
def pool(serve) -> EndpointPool:
    return EndpointPool(serve)


@pytest.fixture
def gateway(serve):
    built = StreamingGateway(serve)
    built.time_s = 4.0
    yield built
    built.server.server.stop()


@pytest.mark.parametrize("slow", [False, True], ids=["fast", "slow"])
@pytest.mark.parametrize("kind", [*NOT_STREAMS, *EVENTS])
def test_a_call_ends_by_its_deadline_and_may_have_run(pool, endless, kind, slow):
    """Memory grew until the process was killed; slow bytes held a thread as long as they came."""
    server = endless(kind, slow)
    pool.add(server.address)
    outcome = result_within(TIME_S, lambda: pool.run(RouteKind.ONCE, time_s=TIME_S))
    assert outcome.ending in MAY_HAVE_RUN
    assert_was_stopped(server)
    assert len(server.requests) <= 1  # none if the processor was too busy


@pytest.mark.parametrize("slow", [False, True], ids=["fast", "slow"])
@pytest.mark.parametrize("kind", [Endless.HEADER_LINES, Endless.BODY])
def test_a_repeatable_call_is_answered_by_another_endpoint(pool, endless, kind, slow):
    """It used up all of its time at the endpoint in trouble."""
    server = endless(kind, slow)
    pool.add(server.address)
    pool.add()
    while not server.requests:
        outcome = result_within(1.0, lambda: pool.run(time_s=1.0))
        assert outcome.ending is Ending.ANSWERED
        assert outcome.response.body.startswith(b"i-1 answers")
    assert_was_stopped(server)


def test_other_calls_are_answered_while_one_reads_without_end(pool, endless):
    server = endless(Endless.BODY, slow=True)
    pool.add(server.address)
    held = threading.Thread(target=lambda: pool.run(RouteKind.ONCE, time_s=1.0), daemon=True)
    held.start()
    while not server.requests:
        assert held.is_alive()
    other = EndpointPool(pool.serve)
    other.add()
    assert other.run(time_s=1.0).ending is Ending.ANSWERED
    assert held.is_alive()
    held.join(1.0 + SLACK_S)
    assert not held.is_alive()


@pytest.mark.parametrize("slow", [False, True], ids=["fast", "slow"])
@pytest.mark.parametrize("kind", [Endless.HEADER_LINES])
def test_a_stream_whose_head_never_ends_is_answered_as_unknown(gateway, endless, kind, slow):
    gateway.time_s = TIME_S
    gateway.route["resumable"] = False
    server = endless(kind, slow)
    gateway.serve = lambda engine: server.address
    gateway.add()
    assert result_within(TIME_S, gateway.read)[0] == 504
    assert_was_stopped(server)


@pytest.mark.parametrize("slow", [False, True], ids=["fast", "slow"])
@pytest.mark.parametrize("kind", EVENTS)
def test_a_stream_is_cut_behind_its_last_whole_event(gateway, endless, kind, slow):
    """Its thread and the caller's connection were held as long as bytes came."""
    gateway.time_s = TIME_S
    gateway.route["resumable"] = False
    server = endless(kind, slow, events=2)
    gateway.serve = lambda engine: server.address
    gateway.add()

    def read() -> bytes:
        response = gateway.open().getresponse()
        with pytest.raises(http.client.IncompleteRead) as caught:
            response.read()
        return caught.value.partial

    assert result_within(TIME_S, read) == events(1, 2)
    assert gateway.outcomes[0].ending is Ending.CUT
    assert_was_stopped(server)


@pytest.mark.parametrize("slow", [False, True], ids=["fast", "slow"])
def test_a_resumable_stream_goes_on_at_another_engine(gateway, endless, slow):
    """The stall time began again with each byte, so a slow event without end was never left."""
    server = endless(Endless.CHUNKED_EVENT, slow, events=2)
    sound = gateway.serve
    gateway.serve = lambda engine: server.address
    gateway.add()
    gateway.serve = sound
    gateway.add(events=5)
    while not server.requests:
        assert result_within(gateway.time_s, gateway.read)[1] == events(1, 5)
    assert_was_stopped(server)


def test_a_stream_that_ends_with_its_connection_is_relayed(gateway, endless):
    """It was cut before its first event: the connection had already lost its socket."""
    gateway.time_s = TIME_S
    gateway.route["resumable"] = False
    server = endless(Endless.EVENT, slow=True, events=3)
    gateway.serve = lambda engine: server.address
    gateway.add()
    response = gateway.open().getresponse()
    assert response.read(len(events(1, 3))) == events(1, 3)


@pytest.mark.parametrize("kind", HEADS)
@pytest.mark.parametrize("slow", [False, True], ids=["fast", "slow"])
def test_a_probe_ends_in_time_and_shows_no_crash(endless, kind, slow):
    """A request under which an endpoint seems to crash is held back from all others."""
    server = endless(kind, slow)
    state = result_within(0.2, lambda: probe_endpoint(server.address, 0.2))
    assert state is EndpointState.LISTENS
    assert_was_stopped(server)


@pytest.mark.parametrize("kind", [Endless.INTERIM, Endless.CHUNKS])
def test_the_question_for_a_start_time_ends_in_time(endless, kind):
    server = endless(kind, slow=True)
    assert not result_within(0.7, lambda: fetch_start_time(server.address, 0.2))
    assert_was_stopped(server)


def _large_response(number: int, request: bytes) -> bytes:
    own = {"X_Attempt_Id": header_of(request, "X-Attempt-Id"), "X_Server_Stamp": "s"}
    return response(LARGE_BODY, **own)


def test_a_large_sound_response_passes(pool):
    """A page of results, the largest response that is known, has 1 MB."""
    server = Stutterer(_large_response, LATE)
    pool.add(server.address)
    outcome = result_within(4.0, lambda: pool.run(time_s=4.0))
    assert outcome.ending is Ending.ANSWERED
    assert outcome.response.body == LARGE_BODY
    server.close()


def _closing_stream(number: int, request: bytes) -> bytes:
    body = b"".join(b"%x\r\n%s\r\n" % (len(one), one) for one in (events(1, 1), events(2, 2)))
    head = response(
        b"",
        Connection="close",
        Content_Type="text/event-stream",
        Transfer_Encoding="chunked",
        X_Attempt_Id=header_of(request, "X-Attempt-Id"),
        X_Server_Stamp="s",
    )
    return head.replace(b"Content-Length: 0\r\n", b"") + body + b"0\r\n\r\n"


def test_a_whole_stream_on_a_connection_to_be_closed_is_relayed(gateway):
    server = Stutterer(_closing_stream, LATE)
    gateway.route["resumable"] = False
    gateway.serve = lambda engine: server.address
    gateway.add()
    assert result_within(gateway.time_s, gateway.read)[1] == events(1, 2)
    assert gateway.outcomes[0].ending is Ending.STREAMED
    server.close()
