"""Compares texts and streams byte for byte with what engines generated for them."""

from __future__ import annotations

import http.client
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from tests.serve.fleet import PORTS

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable, Sequence

    from tests.serve.fleet import Box
    from threadramp.platform.standins.endpoint import MadeEvent, PlatformEngine


@dataclass(frozen=True)
class CallersStream:
    """A stream as its caller received it.

    :param lines: data of the events that came whole
    :param status: 0 if there was no response
    :param is_whole: whether it looks complete: its last chunk came
    :param rest: bytes behind the last whole event
    """

    status: int
    lines: tuple[str, ...]
    is_whole: bool
    rest: bytes


def events_for(engines: Iterable[PlatformEngine], sample: str) -> list[MadeEvent]:
    """Return all events that engines generated for a sample."""
    found = []
    for engine in engines:
        with engine.lock:
            found += engine.made.get(sample, [])
    return found


def text_errors(
    text: str, versions: Sequence[int], generated: Collection[MadeEvent], events: int
) -> list[str]:
    """Return the errors in the text of a result and in its list of versions.

    Each line must be one that an engine generated for the sample under this line number. Where the
    lines of another run begin, that run must have been asked to resume after the previous line.

    :param generated: all events generated for the sample of the result
    :param events: number of events in a complete text
    """
    lines = text.split("\n") if text else []
    if len(lines) != events:
        return [f"{len(lines)} lines instead of {events}"]
    found = line_errors(lines, generated)
    by_line = {(event.number, event.line): event for event in generated}
    if not found:
        generated_under = {by_line[row].version for row in enumerate(lines, start=1)}
        if set(versions) != generated_under:
            found.append(f"versions {sorted(versions)}, generated under {sorted(generated_under)}")
    return found


def line_errors(lines: Sequence[str], generated: Iterable[MadeEvent]) -> list[str]:
    """Return the errors in lines of which the first one is that of event 1."""
    by_line = {(event.number, event.line): event for event in generated}
    found = []
    run = ""
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
    return found


def result_errors(row: dict[str, Any], engines: Iterable[PlatformEngine], events: int) -> list[str]:
    """Return the errors in a listed result that should have succeeded, its score included.

    :param engines: those that may have run its sample, with ``marked`` events
    :param events: number of events in a complete text
    """
    name = row["id"]
    if row["state"] != "succeeded":
        return [f"{name}: {row['state']}"]
    found = text_errors(row["text"], row["versions"], events_for(engines, name), events)
    if row.get("score") != "sig-" + name.replace("-s", "-r"):
        found.append(f"score {row.get('score')}")
    return [f"{name}: {each}" for each in found]


def read_stream(
    gateway: Box,
    host: str,
    name: str,
    target: str = "/talk",
    timeout_s: float = 10.0,
    **more: str,
) -> CallersStream:
    """Ask a gateway for a stream and read it until it ends, however it does.

    :param more: further headers
    """
    connection = http.client.HTTPConnection(gateway.ip, PORTS["front"], timeout=timeout_s)
    headers = {"Host": host, "X-Attempt-Id": name, "X-Model": "m", **more}
    status, body, is_whole = 0, b"", False
    try:
        connection.request("POST", target, b"prompt", headers)
        response = connection.getresponse()
        status = response.status
        while data := response.read1(65_536):
            body += data
        is_whole = response.chunked
    except (http.client.HTTPException, OSError):
        pass  # it was cut
    finally:
        connection.close()
    *events, rest = body.split(b"\n\n")
    lines = tuple(_data(event) for event in events)
    return CallersStream(status, lines, is_whole, rest)


def stream_errors(
    stream: CallersStream, name: str, engines: Iterable[PlatformEngine], events: int
) -> list[str]:
    """Return the errors in a stream with status 200; one that looks complete has all events."""
    found = line_errors(stream.lines, events_for(engines, name))
    if stream.is_whole and (len(stream.lines) != events or stream.rest):
        found.append(f"looks complete with {len(stream.lines)} of {events} events {stream.rest!r}")
    return [f"{name}: {each}" for each in found]


def _data(event: bytes) -> str:
    lines = event.decode("utf-8", "replace").split("\n")
    return "\n".join(line.removeprefix("data: ") for line in lines if line.startswith("data: "))


__all__ = [
    "CallersStream",
    "events_for",
    "line_errors",
    "read_stream",
    "result_errors",
    "stream_errors",
    "text_errors",
]
