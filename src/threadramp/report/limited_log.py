"""Bounds how many log lines of each kind a crowd of clients can bring about."""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING, Any

from threadramp.fleet.clock import steady_s

if TYPE_CHECKING:
    from collections.abc import Callable

MAX_LINES = 10  # of a kind in each interval
INTERVAL_S = 1.0


class LimitedLog:
    """Logs a few lines of each kind in an interval, and how many were left out before.

    :param now: returns the time in seconds
    """

    def __init__(self, now: Callable[[], float] = steady_s) -> None:
        self.now = now
        self.lock = threading.Lock()
        self.started_at: dict[str, float] = {}
        self.counts: dict[str, int] = {}

    def log(self, write: Callable[..., None], kind: str, **fields: Any) -> None:
        """Log one line, or only count it if there were many of its kind.

        :param write: writes a line, such as ``log_state``
        """
        left_out = self._count(kind)
        if left_out is None:
            return
        if left_out:
            fields["left_out_before"] = left_out
        write(kind, **fields)

    def _count(self, kind: str) -> int | None:
        """Return how many were left out before this line, none if this one is left out too."""
        now = self.now()
        with self.lock:
            count = self.counts.get(kind, 0)
            if now - self.started_at.get(kind, float("-inf")) >= INTERVAL_S:
                self.started_at[kind] = now
                self.counts[kind] = 1
                return max(0, count - MAX_LINES)
            self.counts[kind] = count + 1
            return 0 if count < MAX_LINES else None


__all__ = ["LimitedLog"]
