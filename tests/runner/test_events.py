"""Parsing of events, independent of how their bytes are split into reads."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from threadramp.runner.events import EventReader

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
