"""Whether the platform's store answers this process."""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING

from threadramp.report.log import log_state

if TYPE_CHECKING:
    from collections.abc import Callable

    from threadramp.fleet.clock import Clock

# Longer than between two answers where a renewal's connection went silent: 0.8 s until it is sent
# and as long until it is given up. Entries lapse after 2.2 s without a renewal at the least.
AWAY_S = 1.9


class StoreHealth:
    """Notes answers and failures; tells when the store goes away and comes back.

    It also came back where no call failed but none was answered for so long that entries may have
    lapsed.

    :param unheard_s: that long; for a process that doubts no entries and asks less often, never
    """

    def __init__(self, clock: Clock, silence_limit_s: float = AWAY_S) -> None:
        self.clock = clock
        self.silence_limit_s = silence_limit_s
        self.away_since: float | None = None
        self.returned_at = 0.0
        self.confirmed_at: float | None = None
        self.lock = threading.Lock()
        self.on_return: list[Callable[[float], None]] = []

    @property
    def is_away(self) -> bool:
        """Return whether the last call failed."""
        return self.away_since is not None

    def confirmed_ago_s(self) -> float | None:
        """Return the seconds since the store last answered, none if it does not now."""
        with self.lock:
            if self.confirmed_at is None or self.away_since is not None:
                return None
            return self.clock.now() - self.confirmed_at

    def observe(self, error: Exception | None) -> None:
        """Note how a call on our own way to the store went; none if it was answered."""
        if error is None:
            self.record_answer(self.clock.now())
        else:
            self.record_failure(self.clock.now(), error)

    def record_failure(self, now: float, error: Exception) -> None:
        """Note a call without an answer."""
        with self.lock:
            first = self.away_since is None
            if first:
                self.away_since = now
        if first:
            log_state("store_lost", error=str(error))

    def record_answer(self, now: float) -> None:
        """Note an answer that came on our own way to the store."""
        with self.lock:
            since, self.away_since = self.away_since, None
            if since is None and self._was_unheard(now):
                since = self.confirmed_at
            self.confirmed_at = now
            if since is not None:
                self.returned_at = now
        if since is not None:
            log_state("store_regained", away_s=round(now - since, 3))
            for tell in self.on_return:
                tell(now)

    def was_away(self) -> bool:
        """Return whether the store may be away, or was for so long that entries may have lapsed."""
        with self.lock:
            heard = self.confirmed_at is not None and self.away_since is None
            return not heard or self._was_unheard(self.clock.now())

    def _was_unheard(self, now: float) -> bool:
        return self.confirmed_at is not None and now - self.confirmed_at > self.silence_limit_s


__all__ = ["AWAY_S", "StoreHealth"]
