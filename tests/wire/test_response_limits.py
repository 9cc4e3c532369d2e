"""Limits of bytes, memory and time for responses."""

from __future__ import annotations

import tracemalloc

import pytest
from urllib3.exceptions import HTTPError, ReadTimeoutError

from tests.endless import BODIES, NOT_STREAMS, assert_was_stopped, result_within
from tests.stuttering import LATE, Stutterer, response
from threadramp.platform.standins.endless import Endless, EndlessServer
from threadramp.policy.response_buffers import ResponseBuffers
from threadramp.wire.lines import response_lines
from threadramp.wire.response_limits import (
    BoundedConnection,
    EndlessResponseError,
    Part,
    process_limits,
)

TIME_S = 0.1
BUFFER_BYTES = 1_000_000
MAX_PEAK_BYTES = 4_000_000  # of the reader and the stand-in, which runs in this process


@pytest.fixture
def counted(monkeypatch) -> list[tuple[str, str]]:
    found: list[tuple[str, str]] = []
    monkeypatch.setattr(process_limits, "count", lambda *one: found.append(one))
    return found


@pytest.fixture
def buffers(monkeypatch) -> ResponseBuffers:
    made = ResponseBuffers(BUFFER_BYTES)
    monkeypatch.setattr(process_limits, "buffers", made)
    monkeypatch.setattr("threadramp.wire.response_limits.BODY_EXTRA_S", TIME_S)
    return made


@pytest.fixture
def endless():
    servers = []

    def start(*args) -> EndlessServer:
        servers.append(EndlessServer(*args))
        return servers[-1]

    yield start
    for server in servers:
        server.close()


def read_response(address: str, time_s: float) -> bytes:
    host, _, port = address.partition(":")
    connection = BoundedConnection(host, int(port), timeout=time_s)
    try:
        connection.request("GET", "/")
        return connection.getresponse().data
    finally:
        connection.close()


def error_of(server: EndlessServer, time_s: float) -> EndlessResponseError:
    with pytest.raises(EndlessResponseError) as caught:
        read_response(server.address, time_s)
    return caught.value


@pytest.mark.parametrize("kind", NOT_STREAMS)
def test_slow_bytes_end_at_the_deadline(endless, buffers, counted, kind):
    server = endless(kind, True)
    error = result_within(2 * TIME_S, lambda: error_of(server, TIME_S))
    assert error.too_slow or kind is Endless.LENGTH
    assert counted == [("response_without_end", error.kind)]
    assert_was_stopped(server)


@pytest.mark.parametrize("kind", NOT_STREAMS)
def test_fast_bytes_end_at_a_size_of_the_head_or_body(endless, buffers, counted, kind):
    server = endless(kind)
    error = result_within(10.0, lambda: error_of(server, 10.0))
    assert not error.too_slow
    assert error.part is (Part.BODY if kind in BODIES else Part.HEAD)
    assert counted == [("response_without_end", error.kind)]
    assert buffers.held == 0
    assert_was_stopped(server)


@pytest.mark.parametrize("kind", BODIES)
def test_memory_stays_bounded_whatever_the_framing(endless, buffers, kind):
    """A list of tiny chunks took ten times the memory of the body, and a stated size was allocated
    before its bytes came.
    """
    server = endless(kind)
    tracemalloc.start()
    try:
        error_of(server, 10.0)
        assert tracemalloc.get_traced_memory()[1] < MAX_PEAK_BYTES
    finally:
        tracemalloc.stop()


def test_silence_is_a_timeout_and_not_a_response_without_end(counted):
    """A retry on a new connection depends on it."""
    server = Stutterer(lambda number, request: b"", LATE)
    with pytest.raises((TimeoutError, ReadTimeoutError)):
        read_response(server.address, TIME_S)
    assert counted == []
    server.close()


def test_a_response_that_fits_is_read(buffers):
    body = bytes(BUFFER_BYTES // 2)
    server = Stutterer(lambda number, request: response(body), LATE)
    assert read_response(server.address, 5.0) == body
    assert buffers.held == 0
    server.close()


def test_a_line_of_a_stream_is_bounded(endless):
    server = endless(Endless.CHUNKED_EVENT)
    host, _, port = server.address.partition(":")
    connection = BoundedConnection(host, int(port), timeout=5.0)
    connection.request("GET", "/", preload_content=False)
    with pytest.raises(HTTPError):
        list(response_lines(connection.getresponse()))
    connection.close()
    assert_was_stopped(server)
