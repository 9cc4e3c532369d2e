"""Budgets that limit retries and writes under overload."""

from __future__ import annotations


class TokenBucket:
    """A token bucket that refills at a constant rate.

    :param rate: tokens per second
    :param burst: capacity in tokens
    """

    def __init__(self, rate: float, burst: float, now: float) -> None:
        self.rate = rate
        self.burst = burst
        self.tokens = burst
        self.refilled_at = now

    def take(self, now: float) -> bool:
        """Take one token; returns false if there is none."""
        self.tokens = min(self.burst, self.tokens + (now - self.refilled_at) * self.rate)
        self.refilled_at = now
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


class RetryBudget:
    """Limits retries to a share of the first attempts.

    :param share: retries that each first attempt adds to the budget
    :param burst: maximum of the saved retries
    """

    def __init__(self, share: float = 0.2, burst: float = 10.0) -> None:
        self.share = share
        self.burst = burst
        self.saved = burst

    def record_first_attempt(self) -> None:
        """Record a first attempt."""
        self.saved = min(self.burst, self.saved + self.share)

    def retry(self) -> bool:
        """Take one retry; returns false if there is none."""
        if self.saved < 1:
            return False
        self.saved -= 1
        return True


__all__ = ["RetryBudget", "TokenBucket"]
