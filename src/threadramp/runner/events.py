"""Takes the events of a sample's stream apart, whatever pieces its bytes come in."""

from __future__ import annotations

import re
from dataclasses import dataclass

from threadramp.platform.headers import version_line, whole_number

_END = re.compile(rb"(\r?\n\r?\n)")


@dataclass(frozen=True)
class Event:
    """One event of a stream.

    :param number: counts from 1 over the whole text of the sample
    :param version: of the weights, from this event on; 0 if it names none
    :param raw: its bytes as they came
    """

    number: int
    text: str
    version: int
    raw: bytes


class EventReader:
    """Collects bytes and returns whole events."""

    def __init__(self) -> None:
        self.pending = b""

    def feed(self, data: bytes) -> list[Event]:
        """Add bytes; returns the events that are whole now."""
        *parts, self.pending = _END.split(self.pending + data)
        blocks = zip(parts[::2], parts[1::2], strict=True)
        return [_event(block, end) for block, end in blocks if block.strip()]

    @property
    def is_between_events(self) -> bool:
        """Return whether no part of an event is left over."""
        return not self.pending.strip()


def _event(block: bytes, end: bytes) -> Event:
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
