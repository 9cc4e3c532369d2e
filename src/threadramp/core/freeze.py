"""Detection of freezes: spans of time in which this process did not run."""

from __future__ import annotations

WAKE_WINDOW_S = 0.5  # requests read this soon after a freeze may have waited since before it


class FreezeDetector:
    """Detects freezes by the gaps between observations, which are made several times a second.

    :param limit_s: gaps above this are freezes
    :ivar woke_at: monotonic time at which the newest freeze was detected
    :ivar last_freeze_s: length of the newest freeze in seconds
    :ivar freezes: number of freezes
    """

    def __init__(self, limit_s: float, now: float) -> None:
        self.limit_s = limit_s
        self.last_observed_at = now
        self.woke_at = float("-inf")
        self.last_freeze_s = 0.0
        self.freezes = 0

    def observe(self, now: float) -> bool:
        """Record the time.

        :returns: whether a freeze has just ended
        """
        gap = now - self.last_observed_at
        self.last_observed_at = now
        if gap <= self.limit_s:
            return False
        self.woke_at = now
        self.last_freeze_s = gap
        self.freezes += 1
        return True

    def unseen_wait_s(self, now: float) -> float:
        """Return how long a request that is read at ``now`` may have waited unseen."""
        return self.last_freeze_s if now - self.woke_at <= WAKE_WINDOW_S else 0.0


__all__ = ["FreezeDetector"]
