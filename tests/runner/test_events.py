"""Parsing of events, independent of how their bytes are split into reads."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from threadramp.runner.events import EventReader, OtherResponse

STREAM = (
    b"id: 1\ndata: a\n\nx-weight-versions: 7\nid: 2\ndata: b\ndata: c\n\nid: 3\r\ndata:d\r\n\r\n"
)


def read(pieces):
    reader = EventReader()
    return [event for piece in pieces for event in reader.feed(piece)], reader


def test_a_stream_is_parsed_into_events():
    events, reader = read([STREAM])
    assert [(event.number, event.text, event.version) for event in events] == [
        (1, "a", 0),
        (2, "b\nc", 7),
        (3, "d", 0),
    ]
    assert reader.is_between_events


@given(st.lists(st.integers(0, len(STREAM)), max_size=12))
def test_the_split_into_reads_does_not_matter(cuts):
    offsets = [0, *sorted(cuts), len(STREAM)]
    pieces = [STREAM[start:end] for start, end in zip(offsets, offsets[1:], strict=False)]
    assert read(pieces)[0] == read([STREAM])[0]


def test_an_incomplete_event_is_not_returned():
    events, reader = read([b"id: 1\ndata: a\n\nid: 2\ndata: b\n"])
    assert [event.number for event in events] == [1]
    assert not reader.is_between_events


EVENT = b"id: 1\ndata: a\n\n"
HEAD = b"HTTP/1.1 200 OK\r\nX-Attempt-Id: a\r\nContent-Type: text/event-stream\r\n\r\n"
QUOTE = b"id: 2\r\ndata: HTTP/1.1 200 OK\r\ndata: X-Attempt-Id: a\r\ndata:\r\n\r\n"


def in_pieces(stream: bytes, size: int, stops: bool) -> tuple[list, EventReader]:
    reader = EventReader(stops_at_response=stops)
    pieces = [stream[at : at + size] for at in range(0, len(stream), size)]
    return [event.number for piece in pieces for event in reader.feed(piece)], reader


# Guards against events of a second copy that are added to the text of the first.
@pytest.mark.parametrize("size", [1, 2, 7, 50, 1000])
@pytest.mark.parametrize("second", [HEAD + EVENT, HEAD, b"HTTP/1.1 2", b"HTTP/1."])
def test_the_head_of_another_response_ends_a_stream_without_a_length(second, size):
    numbers, reader = in_pieces(EVENT + second, size, True)
    assert numbers == [1]
    assert reader.other_response is OtherResponse.BETWEEN_EVENTS
    assert reader.is_between_events


def test_the_beginning_of_a_status_line_is_no_event():
    _, reader = in_pieces(EVENT + b"HTT", 1000, True)
    assert reader.is_between_events
    _, reader = in_pieces(EVENT + b"HTT", 1000, False)
    assert not reader.is_between_events


# Guards against an event whose rest is the head of the response's second copy.
@pytest.mark.parametrize("size", [1, 7, 1000])
@pytest.mark.parametrize("stops", [False, True])
@pytest.mark.parametrize(
    "part", [b"id: 2\ndata: b", b"id: 2\ndat", b"id: 2\n", b"id: 2\ndata: b\n"]
)
def test_an_event_that_holds_another_response_is_not_returned(part, stops, size):
    numbers, reader = in_pieces(EVENT + part + HEAD + EVENT, size, stops)
    assert numbers == [1]
    assert reader.other_response is OtherResponse.WITHIN_EVENT
    assert not reader.is_between_events


@pytest.mark.parametrize("size", [1, 7, 1000])
@pytest.mark.parametrize("stops", [False, True])
def test_an_event_may_quote_a_head(stops, size):
    numbers, reader = in_pieces(EVENT + QUOTE, size, stops)
    assert numbers == [1, 2]
    assert reader.other_response is OtherResponse.NONE
