"""Tracks whether the platform's store answers this process."""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING

from threadramp.report.log import log_state

if TYPE_CHECKING:
    from collections.abc import Callable

    from threadramp.fleet.clock import Clock

# Longer than the gap between two answers if a renewal's connection hangs: 0.8 s until the renewal
# is sent, and as long until it times out. Entries expire 2.2 s after a renewal at the earliest.
UNREACHABLE_AFTER_S = 1.9


class StoreHealth:
    """Records answers and failures; reports when the store becomes unreachable and recovers.

    It also counts as recovered if no call failed, but none was answered for so long that entries
    may have expired.

    :param silence_limit_s: that time; infinite for a process that retains no removed entries and
        calls the store less often
    """

    def __init__(self, clock: Clock, silence_limit_s: float = UNREACHABLE_AFTER_S) -> None:
        self.clock = clock
        self.silence_limit_s = silence_limit_s
        self.unreachable_since: float | None = None
        self.recovered_at = 0.0
        self.confirmed_at: float | None = None
        self.lock = threading.Lock()
        self.on_recovery: list[Callable[[float], None]] = []

    @property
    def is_unreachable(self) -> bool:
        """Return whether the last call to the store failed."""
        return self.unreachable_since is not None

    def confirmed_ago_s(self) -> float | None:
        """Return the seconds since the store last answered, none while it is unreachable."""
        with self.lock:
            if self.confirmed_at is None or self.unreachable_since is not None:
                return None
            return self.clock.now() - self.confirmed_at

    def observe(self, error: Exception | None) -> None:
        """Record the result of a direct call to the store; the error is none if it answered."""
        if error is None:
            self.record_answer(self.clock.now())
        else:
            self.record_failure(self.clock.now(), error)

    def record_failure(self, now: float, error: Exception) -> None:
        """Record a call that got no answer."""
        with self.lock:
            first = self.unreachable_since is None
            if first:
                self.unreachable_since = now
        if first:
            log_state("store_lost", error=str(error))

    def record_answer(self, now: float) -> None:
        """Record an answer to a direct call to the store."""
        with self.lock:
            since, self.unreachable_since = self.unreachable_since, None
            if since is None and self._was_silent(now):
                since = self.confirmed_at
            self.confirmed_at = now
            if since is not None:
                self.recovered_at = now
        if since is not None:
            log_state("store_regained", away_s=round(now - since, 3))
            for notify in self.on_recovery:
                notify(now)

    def was_unreachable(self) -> bool:
        """Return whether the store is or was unreachable so long that entries may have expired."""
        with self.lock:
            answers = self.confirmed_at is not None and self.unreachable_since is None
            return not answers or self._was_silent(self.clock.now())

    def _was_silent(self, now: float) -> bool:
        return self.confirmed_at is not None and now - self.confirmed_at > self.silence_limit_s


__all__ = ["UNREACHABLE_AFTER_S", "StoreHealth"]
