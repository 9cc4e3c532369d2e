"""How many slots a sidecar keeps free for calls while rollouts run."""

from __future__ import annotations

from threadramp.config.registry import Registry

RESERVES: Registry[type[ReservePolicy]] = Registry()


class ReservePolicy:
    """Base of the reserve policies: keep nothing free."""

    def record_arrival(self, now: float) -> None:
        """Note the arrival of a call."""

    def reserved_slots(self, slots: int, running: int, now: float) -> int:
        """Return how many free slots a new rollout must leave."""
        return 0


@RESERVES.register("none")
class NoReserve(ReservePolicy):
    """Keep nothing free; rollouts give way when a call waits."""


@RESERVES.register("recent")
class RecentReserve(ReservePolicy):
    """Keep one slot free for a while after a call has arrived.

    :param hold_s: how long after an arrival
    """

    def __init__(self, hold_s: float = 2.0) -> None:
        self.hold_s = hold_s
        self.last = float("-inf")

    def record_arrival(self, now: float) -> None:
        """Note the arrival of a call."""
        self.last = now

    def reserved_slots(self, slots: int, running: int, now: float) -> int:
        """Return how many free slots a new rollout must leave."""
        return 1 if slots > 1 and now - self.last < self.hold_s else 0


__all__ = ["NoReserve", "RESERVES", "RecentReserve", "ReservePolicy"]
