"""Limits how many samples a second one process sends to an engine that is, or may become, cold."""

from __future__ import annotations

from typing import TYPE_CHECKING

from threadramp.policy.cold_limit import WINDOW_S, ColdRate, SlidingLimit, samples_share
from threadramp.report.log import log_state

if TYPE_CHECKING:
    from threadramp.platform.settings import Bounds
    from threadramp.wire.runner import Facts

UNLIMITED = 1_000_000


class SendLimit:
    """The samples that this process sends to its engine; the methods are thread-safe.

    :param bounds: hold what a cold engine bears beyond the configured rate
    :param is_host: whether this process is a gateway that hosts the engine
    :param started_at: start of the process
    """

    def __init__(self, bounds: Bounds, is_host: bool, started_at: float) -> None:
        self.bounds = bounds
        self.is_host = is_host
        self.cold_until = float("-inf")
        self.rate: ColdRate | None = None
        self.serves_calls = False
        # An earlier process may have sent the whole share within the last second.
        self.sent = SlidingLimit(blocked_until=started_at + WINDOW_S)

    def update(self, facts: Facts, now: float) -> None:
        """Apply the facts of a gateway."""
        cold = facts.cold
        if cold is None:
            self.rate = None
            return
        self.rate = ColdRate(cold.per_s, self.bounds.cold_overage, self.bounds.cold_slack)
        self.serves_calls = cold.serves_calls
        if not cold.left_s:
            return
        was_cold = self.is_cold(now)
        self.cold_until = max(self.cold_until, now + cold.left_s)
        if not was_cold:
            log_state("engine_cold", left_s=cold.left_s, samples_per_s=self.per_second(now))

    def is_cold(self, now: float) -> bool:
        """Return whether the engine is known to be cold."""
        return now < self.cold_until

    def per_second(self, now: float) -> int:
        """Return how many samples may be sent in any second.

        While the engine is not known to be cold, that is all it would bear if it were: it may have
        become cold a moment ago.
        """
        if self.rate is None:
            return UNLIMITED
        if not self.is_cold(now):
            return max(1, self.rate.total)
        return samples_share(self.rate.total, self.serves_calls, self.is_host)

    def has_room(self, now: float) -> bool:
        """Return whether a sample may be sent now."""
        return self.rate is None or self.sent.has_room(self.per_second(now), now)

    def take(self, now: float) -> bool:
        """Record a sample that is about to be sent; returns false if it must wait."""
        return self.rate is None or self.sent.take(self.per_second(now), now)

    def confirm(self, taken_at: float | None, now: float) -> bool:
        """Record the time of sending; returns false if the sample must wait after all.

        :param taken_at: time at which it was taken, none if it was not
        """
        return self.rate is None or self.sent.confirm(taken_at, self.per_second(now), now)


__all__ = ["SendLimit"]
