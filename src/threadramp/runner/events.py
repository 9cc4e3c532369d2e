"""Takes the events of a sample's stream apart, whatever pieces its bytes come in."""

from __future__ import annotations

from dataclasses import dataclass

from threadramp.platform.headers import version_line, whole_number


@dataclass(frozen=True)
class Event:
    """One event of a stream.

    :param number: counts from 1 over the whole text of the sample
    :param version: of the weights, from this event on; 0 if it names none
    """

    number: int
    text: str
    version: int


class EventReader:
    """Collects bytes and returns whole events."""

    def __init__(self) -> None:
        self.pending = b""

    def feed(self, data: bytes) -> list[Event]:
        """Add bytes; returns the events that are whole now."""
        self.pending = (self.pending + data).replace(b"\r\n", b"\n")
        blocks = self.pending.split(b"\n\n")
        self.pending = blocks.pop()
        return [_event(block) for block in blocks if block.strip()]

    @property
    def is_between_events(self) -> bool:
        """Return whether no part of an event is left over."""
        return not self.pending.strip()


def _event(block: bytes) -> Event:
    number = 0
    version = 0
    lines = []
    for line in block.decode("utf-8", "replace").split("\n"):
        name, _, value = line.partition(":")
        value = value.removeprefix(" ")
        if name == "data":
            lines.append(value)
        elif name == "id":
            number = whole_number(value)
        else:
            version = version_line(line) or version
    return Event(number, "\n".join(lines), version)


__all__ = ["Event", "EventReader"]
