"""Compares the text of a result byte for byte with what engines generated for its sample."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from threadramp.platform.standins.endpoint import MadeEvent, PlatformEngine


def events_for(engines: Iterable[PlatformEngine], sample: str) -> list[MadeEvent]:
    """Return all events that engines generated for a sample."""
    found = []
    for engine in engines:
        with engine.lock:
            found += engine.made.get(sample, [])
    return found


def text_errors(
    text: str, versions: Sequence[int], generated: Iterable[MadeEvent], events: int
) -> list[str]:
    """Return the errors in the text of a result and in its list of versions.

    Each line must be one that an engine generated for the sample under this line number. Where the
    lines of another run begin, that run must have been asked to resume after the previous line.

    :param generated: all events generated for the sample of the result
    :param events: number of events in a complete text
    """
    by_line = {(event.number, event.line): event for event in generated}
    lines = text.split("\n")
    if len(lines) != events:
        return [f"{len(lines)} lines instead of {events}"]
    found = []
    run = ""
    generated_under = set()
    for number, line in enumerate(lines, start=1):
        event = by_line.get((number, line))
        if event is None:
            found.append(f"line {number} was never generated for the sample: {line!r}")
            continue
        if event.run != run and event.after != number - 1:
            found.append(
                f"line {number} is from a run that resumed after line {event.after}: {line!r}"
            )
        run = event.run
        generated_under.add(event.version)
    if not found and set(versions) != generated_under:
        found.append(f"versions {sorted(versions)}, generated under {sorted(generated_under)}")
    return found


__all__ = ["events_for", "text_errors"]
