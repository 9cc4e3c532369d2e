"""Recognises callers that return after a refusal, at any gateway, by the time that they have left.

Callers of one route mostly wait for the same time in all. One that returns has spent part of it.
"""

from __future__ import annotations

WINDOW_S = 10.0  # over which the longest time left is remembered; two windows are kept
# A refused caller has lost at least the shortest Retry-After; others differ by a few ms.
MIN_SPENT_S = 0.04


class UsualTime:
    """The time that callers of one route have when they first call."""

    def __init__(self) -> None:
        self.window = 0
        self.longest = 0.0
        self.longest_before = 0.0

    def is_returning(self, left_s: float, now: float) -> bool:
        """Record the time that a caller has left; return whether it has spent part of it."""
        window = int(now // WINDOW_S)
        if window != self.window:
            self.longest_before = self.longest if window == self.window + 1 else 0.0
            self.longest, self.window = 0.0, window
        self.longest = max(self.longest, left_s)
        return left_s < max(self.longest, self.longest_before) - MIN_SPENT_S


__all__ = ["UsualTime"]
