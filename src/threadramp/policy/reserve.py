"""Decides how many slots a sidecar reserves for calls while rollouts run."""

from __future__ import annotations

from threadramp.config.registry import Registry

RESERVES: Registry[type[ReservePolicy]] = Registry()


class ReservePolicy:
    """Base of the reserve policies; reserves nothing."""

    def record_arrival(self, now: float) -> None:
        """Record the arrival of a call."""

    def reserved_slots(self, slots: int, running: int, now: float) -> int:
        """Return how many free slots a new rollout must leave."""
        return 0


@RESERVES.register("none")
class NoReserve(ReservePolicy):
    """Reserves nothing; rollouts give way when a call waits."""


@RESERVES.register("recent")
class RecentReserve(ReservePolicy):
    """Reserves one slot for a while after a call has arrived.

    :param hold_s: seconds after the last arrival
    """

    def __init__(self, hold_s: float = 2.0) -> None:
        self.hold_s = hold_s
        self.last_arrival = float("-inf")

    def record_arrival(self, now: float) -> None:
        """Record the arrival of a call."""
        self.last_arrival = now

    def reserved_slots(self, slots: int, running: int, now: float) -> int:
        """Return how many free slots a new rollout must leave."""
        return 1 if slots > 1 and now - self.last_arrival < self.hold_s else 0


__all__ = ["NoReserve", "RESERVES", "RecentReserve", "ReservePolicy"]
