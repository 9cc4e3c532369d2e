"""Decides which waiting sample goes first when several trainers share a pool.

The load that it answers: trainers hand in more samples at once than the pool has slots. Each lot is
run by the gateway that took it, and a gateway whose samples end learns first of the free slots. So
a lot that began to run kept its slots, down to its shortest samples, while the longest samples of
another trainer's lot waited and made that lot late.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from threadramp.config.registry import Registry

if TYPE_CHECKING:
    from collections.abc import Sequence

ORDERS: Registry[type[SampleOrder]] = Registry()

# A sample that must start within this time waits at a sidecar rather than at its gateway, so that
# it gets the next free slot whichever lot the ended sample belongs to.
URGENT_S = 1.0
MAX_QUEUED_URGENT = 2  # at each sidecar, beyond its slots; as many as it accepts


@dataclass(frozen=True)
class WaitingSample:
    """A sample that waits for a slot.

    :param lot: the lot that it belongs to
    :param last_runner: sidecar that ran it last, empty if there was none
    :param due: time at which its lot is due
    :param run_s: expected seconds that it runs
    """

    lot: Any
    sample: str
    last_runner: str
    due: float
    run_s: float

    @property
    def latest_start(self) -> float:
        """Return the time by which it must start for its lot to be whole when it is due."""
        return self.due - self.run_s


class SampleOrder:
    """Base of the orders."""

    def sorted(self, waiting: Sequence[WaitingSample]) -> list[WaitingSample]:
        """Return the samples, the one that goes first at the front.

        :param waiting: those of one lot together, the longest first
        """
        raise NotImplementedError

    def expected_s(self, run_s: float) -> float:
        """Return the time of the run that sidecars go by, 0 if they go by the lot's due time."""
        return 0.0

    def queued(self, latest_start: float, now: float) -> int:
        """Return how many samples may wait at a sidecar beyond its slots."""
        return 0


@ORDERS.register("due")
class DueOrder(SampleOrder):
    """Lot by lot, the one that is due first at the front."""

    def sorted(self, waiting: Sequence[WaitingSample]) -> list[WaitingSample]:
        """Return the samples lot by lot."""
        return sorted(waiting, key=lambda one: one.due)


@ORDERS.register("latest_start")
class LatestStartOrder(SampleOrder):
    """By the time at which a sample must start, whichever lot it belongs to."""

    def sorted(self, waiting: Sequence[WaitingSample]) -> list[WaitingSample]:
        """Return the samples by their latest start."""
        return sorted(waiting, key=lambda one: one.latest_start)

    def expected_s(self, run_s: float) -> float:
        """Return the expected time of the run."""
        return run_s

    def queued(self, latest_start: float, now: float) -> int:
        """Return how many samples may wait at a sidecar beyond its slots."""
        return MAX_QUEUED_URGENT if latest_start - now <= URGENT_S else 0


__all__ = ["ORDERS", "LatestStartOrder", "SampleOrder", "WaitingSample"]
