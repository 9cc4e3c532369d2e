"""Decides how many endpoints a pool has in each data centre.

Demand varies over the day and jumps. An endpoint serves only some time after it was ordered, and is
billed by the second. The number ordered therefore meets the demand that is expected when a new
endpoint serves, with a margin for noise. It is reduced only after demand has been lower for a
while, so that short dips do not cause endpoints to be removed and ordered again.

Evidence: ``tests/policy/test_scaling.py`` (a daily wave, a jump and an outage in simulated time).
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from math import ceil
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

    from threadramp.fleet.model import Autoscale

TARGET_UTILISATION = 0.7  # of the slots; the rest absorbs noise in the demand
MAX_UTILISATION = 0.85  # above it more endpoints are ordered; between the two nothing changes
TREND_S = 30.0  # window of the trend; a shorter one follows the noise
SCALE_DOWN_AFTER_S = 60.0  # demand must have been lower for this long
SPILL_SHARE = 0.5  # of the spare capacity of other data centres that a full one may use
MARGIN_S = 5.0  # added to the boot time: for polling, the call and one retry of it


@dataclass(frozen=True)
class Demand:
    """The current demand and capacity of a pool in one data centre.

    :param busy: number of slots in use plus number of waiting requests
    :param endpoints: number of endpoints that serve or were ordered
    :param slots: slots of one endpoint
    """

    busy: float
    endpoints: int
    slots: int


class Scaling:
    """Decides for one pool; its state is the recent demand alone, and may be lost.

    :param bounds: minimum, maximum and boot time in each data centre
    """

    def __init__(self, bounds: Autoscale) -> None:
        self.bounds = bounds
        self.history: dict[str, deque[tuple[float, float]]] = {}
        self.recent_targets: dict[str, deque[tuple[float, int]]] = {}

    def decide(self, demands: Mapping[str, Demand], now: float) -> dict[str, int]:
        """Return the target number of endpoints by data centre.

        :param demands: by data centre; one without an entry is left unchanged
        """
        needed = {name: self._needed(name, demand, now) for name, demand in demands.items()}
        return {
            name: self._without_flapping(name, count, demands[name].endpoints, now)
            for name, count in self._with_spill(needed, demands).items()
        }

    def _needed(self, name: str, demand: Demand, now: float) -> int:
        """Return the endpoints needed for the demand when an endpoint ordered now serves."""
        history = self.history.setdefault(name, deque())
        history.append((now, demand.busy))
        while history[0][0] < now - TREND_S:
            history.popleft()
        horizon_s = self.bounds.boot_s + MARGIN_S
        expected = max(demand.busy, demand.busy + _slope(history) * horizon_s)
        slots = max(1, demand.slots)
        count = ceil(expected / (TARGET_UTILISATION * slots))
        is_enough = expected <= MAX_UTILISATION * slots * demand.endpoints
        return min(count, demand.endpoints) if is_enough else count

    def _with_spill(self, needed: dict[str, int], demands: Mapping[str, Demand]) -> dict[str, int]:
        """Return the targets within the bounds; others take over what exceeds a maximum."""
        most, least = self.bounds.max_replicas, self.bounds.min_replicas
        excess = sum(max(0, count - most) for count in needed.values())
        bounded = {name: min(most, max(least, count)) for name, count in needed.items()}
        for name in sorted(bounded, key=lambda one: bounded[one] - demands[one].endpoints):
            more = min(excess, int((most - bounded[name]) * SPILL_SHARE + 0.5))
            bounded[name] += more
            excess -= more
        return bounded

    def _without_flapping(self, name: str, count: int, present: int, now: float) -> int:
        """Return a larger number at once, a smaller one only after it was enough for a while."""
        recent_targets = self.recent_targets.setdefault(name, deque())
        recent_targets.append((now, count))
        while recent_targets[0][0] < now - SCALE_DOWN_AFTER_S:
            recent_targets.popleft()
        if count >= present:
            return count
        is_long = now - recent_targets[0][0] >= SCALE_DOWN_AFTER_S * 0.9
        return min(present, max(one for _, one in recent_targets)) if is_long else present


def _slope(history: deque[tuple[float, float]]) -> float:
    """Return the increase of the demand per second, by linear least squares."""
    if len(history) < 3 or history[-1][0] - history[0][0] < TREND_S / 3:
        return 0.0
    mean_at = sum(at for at, _ in history) / len(history)
    mean = sum(value for _, value in history) / len(history)
    spread = sum((at - mean_at) ** 2 for at, _ in history)
    return sum((at - mean_at) * (value - mean) for at, value in history) / spread


__all__ = ["Demand", "Scaling"]
