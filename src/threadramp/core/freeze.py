"""Notice that this process was stopped for a while and has woken up."""

from __future__ import annotations

WAKE_WINDOW_S = 0.5  # requests read this soon after waking may have waited through the freeze


class FreezeDetector:
    """Watches the gaps between observations, which come several times a second.

    :param limit_s: a gap above this counts as a freeze
    """

    def __init__(self, limit_s: float, now: float) -> None:
        self.limit_s = limit_s
        self.last_observed_at = now
        self.woke = float("-inf")
        self.lost_s = 0.0
        self.freezes = 0

    def observe(self, now: float) -> bool:
        """Note the time.

        :returns: whether a freeze has just ended
        """
        gap = now - self.last_observed_at
        self.last_observed_at = now
        if gap <= self.limit_s:
            return False
        self.woke = now
        self.lost_s = gap
        self.freezes += 1
        return True

    def unseen_wait_s(self, now: float) -> float:
        """Return how long a request that is read at ``now`` may have waited unseen."""
        return self.lost_s if now - self.woke <= WAKE_WINDOW_S else 0.0


__all__ = ["FreezeDetector"]
