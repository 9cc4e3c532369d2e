"""Parses the events of a sample's stream, independent of how its bytes are split into reads."""

from __future__ import annotations

import re
from dataclasses import dataclass

from threadramp.platform.headers import version_line, whole_number

MAX_END_BYTES = 4
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


class EventReader:
    """Buffers bytes and returns complete events."""

    def __init__(self) -> None:
        self.pending = bytearray()

    def feed(self, data: bytes) -> list[Event]:
        """Add bytes and return the events that are complete now."""
        searched = max(0, len(self.pending) - MAX_END_BYTES)
        self.pending += data
        if not _END.search(self.pending, searched):  # else a long event takes quadratic time
            return []
        *parts, rest = _END.split(bytes(self.pending))
        self.pending = bytearray(rest)
        blocks = zip(parts[::2], parts[1::2], strict=True)
        return [_parse_event(block, end) for block, end in blocks if block.strip()]

    @property
    def is_between_events(self) -> bool:
        """Return whether no incomplete event is buffered."""
        return not self.pending.strip()


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


__all__ = ["Event", "EventReader"]
