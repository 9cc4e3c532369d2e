"""Helpers for tests of responses without end."""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING, TypeVar

from threadramp.platform.standins.endless import Endless, EndlessServer

if TYPE_CHECKING:
    from collections.abc import Callable

T = TypeVar("T")

HEADS = [Endless.STATUS_LINE, Endless.HEADER_LINE, Endless.HEADER_LINES, Endless.INTERIM]
EVENTS = [Endless.EVENT, Endless.CHUNKED_EVENT]
BODIES = [kind for kind in Endless if kind not in (*HEADS, *EVENTS)]
NOT_STREAMS = [*HEADS, *BODIES]
# One of each way in which a response is read; all kinds are played on calls.
SOME = [Endless.HEADER_LINES, Endless.INTERIM, Endless.BODY, Endless.CHUNKS, Endless.TRAILERS]
SLACK_S = 2.0  # on a busy processor, beyond the time that a caller allows
MAX_TAKEN_BYTES = 60_000_000  # with what is queued in the kernel; the stand-in would send 80 MB


def result_within(seconds: float, work: Callable[[], T]) -> T:
    """Return the result of work, which fails if it takes longer."""
    results: list[T] = []
    thread = threading.Thread(target=lambda: results.append(work()), daemon=True)
    thread.start()
    thread.join(seconds + SLACK_S)
    assert results, f"not ended {SLACK_S} s after its time of {seconds} s"
    return results[0]


def assert_was_stopped(server: EndlessServer) -> None:
    """Check that the client took a bounded number of bytes and closed its connection."""
    assert server.closed_by_client.wait(SLACK_S)
    assert server.sent_bytes < MAX_TAKEN_BYTES


__all__ = [
    "BODIES",
    "EVENTS",
    "HEADS",
    "NOT_STREAMS",
    "SLACK_S",
    "SOME",
    "assert_was_stopped",
    "result_within",
]
