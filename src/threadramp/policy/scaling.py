"""How many endpoints a pool is to have in each data centre.

The load that this answers: demand that swings over a day, jumps, and an endpoint that serves only
some time after it was ordered while each is paid for by the second. What is ordered is what the
demand is expected to be once a new endpoint serves, with room for its noise; fewer only after the
demand has been lower for a while, so that no wave is followed down and up again.

Grounds (``tests/policy/test_scaling.py``, a day's wave, a jump and an outage in virtual time).
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from math import ceil
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

    from threadramp.fleet.model import Autoscale

BUSY_SHARE = 0.7  # of the places that the demand may take; the rest is for its noise
BUSY_MOST = 0.85  # of the places, before more are ordered; between the two nothing changes
TREND_S = 30.0  # over which the trend is measured; shorter ones follow the noise
LOWER_AFTER_S = 60.0  # for so long the demand must have been lower before fewer are ordered
LEND_SHARE = 0.5  # of what other data centres have free that a full one may count on
MARGIN_S = 5.0  # beyond the time to boot: looks, the call, and its repetition


@dataclass(frozen=True)
class Demand:
    """What a pool has in a data centre now.

    :param busy: places that are taken, and requests that wait for one
    :param endpoints: that serve or were ordered
    :param slots: places of one endpoint
    """

    busy: float
    endpoints: int
    slots: int


class Scaling:
    """Decides for one pool; its state is what it saw, and may be lost.

    :param bounds: in each data centre
    """

    def __init__(self, bounds: Autoscale) -> None:
        self.bounds = bounds
        self.seen: dict[str, deque[tuple[float, float]]] = {}
        self.wanted: dict[str, deque[tuple[float, int]]] = {}

    def decide(self, demands: Mapping[str, Demand], now: float) -> dict[str, int]:
        """Return how many endpoints each data centre is to have.

        :param demands: by data centre; one of which nothing is known is left as it is
        """
        needed = {name: self._needed(name, demand, now) for name, demand in demands.items()}
        return {
            name: self._settled(name, count, demands[name].endpoints, now)
            for name, count in self._lent(needed, demands).items()
        }

    def _needed(self, name: str, demand: Demand, now: float) -> int:
        """Return the endpoints for the demand at the time at which one ordered now serves."""
        seen = self.seen.setdefault(name, deque())
        seen.append((now, demand.busy))
        while seen[0][0] < now - TREND_S:
            seen.popleft()
        ahead = self.bounds.boot_s + MARGIN_S
        expected = max(demand.busy, demand.busy + _slope(seen) * ahead)
        slots = max(1, demand.slots)
        count = ceil(expected / (BUSY_SHARE * slots))
        is_enough = expected <= BUSY_MOST * slots * demand.endpoints
        return min(count, demand.endpoints) if is_enough else count

    def _lent(self, needed: dict[str, int], demands: Mapping[str, Demand]) -> dict[str, int]:
        """Return what is ordered, where one that has its most is served by others as well."""
        most, least = self.bounds.max_replicas, self.bounds.min_replicas
        short = sum(max(0, count - most) for count in needed.values())
        bounded = {name: min(most, max(least, count)) for name, count in needed.items()}
        for name in sorted(bounded, key=lambda one: bounded[one] - demands[one].endpoints):
            more = min(short, int((most - bounded[name]) * LEND_SHARE + 0.5))
            bounded[name] += more
            short -= more
        return bounded

    def _settled(self, name: str, count: int, has: int, now: float) -> int:
        """Return more at once, fewer only what was enough for a while."""
        wanted = self.wanted.setdefault(name, deque())
        wanted.append((now, count))
        while wanted[0][0] < now - LOWER_AFTER_S:
            wanted.popleft()
        if count >= has:
            return count
        is_long = now - wanted[0][0] >= LOWER_AFTER_S * 0.9
        return min(has, max(one for _, one in wanted)) if is_long else has


def _slope(seen: deque[tuple[float, float]]) -> float:
    """Return by how much a demand rises in a second, by the least squares of what was seen."""
    if len(seen) < 3 or seen[-1][0] - seen[0][0] < TREND_S / 3:
        return 0.0
    mean_at = sum(at for at, _ in seen) / len(seen)
    mean = sum(value for _, value in seen) / len(seen)
    spread = sum((at - mean_at) ** 2 for at, _ in seen)
    return sum((at - mean_at) * (value - mean) for at, value in seen) / spread


__all__ = ["Demand", "Scaling"]
