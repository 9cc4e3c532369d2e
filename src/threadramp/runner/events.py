"""Parses the events of a sample's stream, independent of how its bytes are split into reads."""

from __future__ import annotations

import re
from dataclasses import dataclass
from enum import Enum

from threadramp.platform.headers import holds_head, version_line, whole_number

MAX_END_BYTES = 4
STATUS_LINE = b"HTTP/1."  # no line of an event begins so
_END = re.compile(rb"(\r?\n\r?\n)")


@dataclass(frozen=True)
class Event:
    """One event of a stream.

    :param number: position in the text of the sample, from 1
    :param version: weight version from this event on, 0 if the event has none
    :param raw: its bytes as received
    """

    number: int
    text: str
    version: int
    raw: bytes


class OtherResponse(Enum):
    """Where the head of another response was found in a stream."""

    NONE = "none"
    BETWEEN_EVENTS = "between events"
    WITHIN_EVENT = "within an event"


class EventReader:
    """Buffers bytes and returns complete events.

    An engine may send a response twice, the second time behind the first or behind a part of it.
    Where nothing but the connection ends a stream, the second is in the stream of the first.

    :param stops_at_response: whether the stream ends at the head of another response between two
        events; one within an event ends any stream
    :ivar other_response: where such a head was found; neither it nor what follows is returned
    :ivar rest: the bytes from such a head on, if it was between two events
    """

    def __init__(self, stops_at_response: bool = False) -> None:
        self.pending = bytearray()
        self.stops_at_response = stops_at_response
        self.other_response = OtherResponse.NONE
        self.rest = b""

    def feed(self, data: bytes) -> list[Event]:
        """Add bytes and return the events that are complete now."""
        if self.other_response is not OtherResponse.NONE:
            return []
        events = self._complete_events(data)
        if self.other_response is OtherResponse.NONE and self._begins_response(self.pending):
            self.other_response = OtherResponse.BETWEEN_EVENTS
        if self.other_response is not OtherResponse.NONE:
            self.rest = bytes(self.pending)
            self.pending.clear()
        return events

    def _complete_events(self, data: bytes) -> list[Event]:
        searched = max(0, len(self.pending) - MAX_END_BYTES)
        self.pending += data
        if not _END.search(self.pending, searched):  # else a long event takes quadratic time
            return []
        *parts, rest = _END.split(bytes(self.pending))
        self.pending = bytearray(rest)
        events = []
        for index, (block, end) in enumerate(zip(parts[::2], parts[1::2], strict=True)):
            if not block.strip():
                continue
            self.other_response = self._other_response_in(block + end)
            if self.other_response is not OtherResponse.NONE:
                self.pending = bytearray(b"".join([*parts[2 * index :], rest]))
                break
            events.append(_parse_event(block, end))
        return events

    @property
    def is_between_events(self) -> bool:
        """Return whether no incomplete event is buffered or was cut by another response."""
        if self.other_response is OtherResponse.WITHIN_EVENT:
            return False
        rest = self.pending.strip()
        return not rest or (self.stops_at_response and STATUS_LINE.startswith(rest))

    def _other_response_in(self, block: bytes) -> OtherResponse:
        if self._begins_response(block):
            return OtherResponse.BETWEEN_EVENTS
        # What an event quotes of a head stands behind the names of its fields.
        if STATUS_LINE in block and holds_head(block):
            return OtherResponse.WITHIN_EVENT
        return OtherResponse.NONE

    def _begins_response(self, data: bytes | bytearray) -> bool:
        return self.stops_at_response and data.lstrip().startswith(STATUS_LINE)


def _parse_event(block: bytes, end: bytes) -> Event:
    number = 0
    version = 0
    lines = []
    for line in block.decode("utf-8", "replace").replace("\r\n", "\n").split("\n"):
        name, _, value = line.partition(":")
        value = value.removeprefix(" ")
        if name == "data":
            lines.append(value)
        elif name == "id":
            number = whole_number(value)
        else:
            version = version_line(line) or version
    return Event(number, "\n".join(lines), version, block + end)


__all__ = ["Event", "EventReader", "OtherResponse"]
