"""Budgets that keep retries and writes from feeding a storm."""

from __future__ import annotations


class TokenBucket:
    """A budget that refills at a steady rate.

    :param rate: tokens a second
    :param burst: most tokens that are saved up
    """

    def __init__(self, rate: float, burst: float, now: float) -> None:
        self.rate = rate
        self.burst = burst
        self.tokens = burst
        self.filled = now

    def take(self, now: float) -> bool:
        """Spend one token, if there is one."""
        self.tokens = min(self.burst, self.tokens + (now - self.filled) * self.rate)
        self.filled = now
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


class RetryBudget:
    """Retries as a share of first attempts.

    :param share: retries that each first attempt pays for
    :param burst: most retries that are saved up
    """

    def __init__(self, share: float = 0.2, burst: float = 10.0) -> None:
        self.share = share
        self.burst = burst
        self.saved = burst

    def record_first_attempt(self) -> None:
        """Note a first attempt."""
        self.saved = min(self.burst, self.saved + self.share)

    def retry(self) -> bool:
        """Spend one retry, if there is one."""
        if self.saved < 1:
            return False
        self.saved -= 1
        return True


__all__ = ["RetryBudget", "TokenBucket"]
