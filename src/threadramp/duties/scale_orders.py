"""Orders how many endpoints the pools have that follow demand, while this box holds the duties."""

from __future__ import annotations

from collections import Counter
from functools import partial
from typing import TYPE_CHECKING

from threadramp.duties.proof import RecentProof
from threadramp.platform.duty_calls import DutyOutcome
from threadramp.policy.scaling import Demand, Scaling
from threadramp.report.log import log_state

if TYPE_CHECKING:
    from threadramp.duties.collecting import UsageCollector
    from threadramp.fleet.model import Pool
    from threadramp.fleet.picture import Picture
    from threadramp.fleet.rights import Right
    from threadramp.platform.duty_calls import DutyCalls
    from threadramp.report.metrics import Metrics

LOOK_S = 5.0  # between two decisions; an endpoint takes tens of seconds to boot
CALLS_A_LOOK = 10  # of those that the platform takes a second from all; the rest follows


class ScaleOrders:
    """The orders of one gateway while it holds the right to the duties."""

    def __init__(
        self,
        right: Right,
        calls: DutyCalls,
        collector: UsageCollector,
        picture: Picture,
        metrics: Metrics,
    ) -> None:
        self.right = right
        self.proof = RecentProof(right)
        self.calls = calls
        self.collector = collector
        self.picture = picture
        self.metrics = metrics
        self.scalings: dict[str, Scaling] = {}
        self.number = 0
        self.ordered: dict[tuple[str, str], int] = {}
        self.looked_at = float("-inf")

    def turn(self, number: int) -> None:
        """Decide now and then, and order what differs from what was ordered before.

        :param number: of the right, which this gateway holds
        """
        now = self.right.clock.now()
        configuration = self.picture.belief.configuration
        if configuration is None or now - self.looked_at < LOOK_S:
            return
        self.looked_at = now
        if number != self.number:
            self.ordered.clear()  # others may have ordered something else since
            self.number = number
        orders = []
        for pool in configuration.pools.values():
            if pool.autoscale is not None:
                orders += self._orders(pool, now)
        for pool, data_centre, count in orders[:CALLS_A_LOOK]:
            if not self.proof.is_there(number):
                return  # what is left differs at the next look again
            self._order(number, pool, data_centre, count)

    def _orders(self, pool: Pool, now: float) -> list[tuple[str, str, int]]:
        """Return what differs from what was ordered before of one pool."""
        scaling = self.scalings.get(pool.name)
        if scaling is None or scaling.bounds != pool.autoscale:
            scaling = self.scalings[pool.name] = Scaling(pool.autoscale)
        decided = scaling.decide(self._demands(pool), now)
        return [
            (pool.name, data_centre, count)
            for data_centre, count in decided.items()
            if self.ordered.get((pool.name, data_centre)) != count
        ]

    def _demands(self, pool: Pool) -> dict[str, Demand]:
        endpoints = [one for one in self.picture.belief.in_pool(pool.name) if not one.leaving]
        serving = Counter(one.data_centre for one in endpoints)
        slots = max((one.slots for one in endpoints), default=pool.slots) or 1
        busy = self.collector.open_at(pool.name)
        return {
            name: Demand(busy.get(name, 0.0), max(count, self._booting(pool, name)), slots)
            for name, count in serving.items()
        }

    def _booting(self, pool: Pool, data_centre: str) -> int:
        return self.ordered.get((pool.name, data_centre), 0)

    def _order(self, number: int, pool: str, data_centre: str, count: int) -> None:
        may_send = partial(self.proof.still_holds, number)
        answer = self.calls.scale(number, pool, data_centre, count, may_send)
        self.metrics.count("scale_order", answer.outcome.value)
        log_state(
            "scale_ordered",
            pool=pool,
            data_centre=data_centre,
            endpoints=count,
            number=number,
            outcome=answer.outcome.value,
            detail=answer.detail,
        )
        if answer.outcome is DutyOutcome.TAKEN:
            self.ordered[pool, data_centre] = count
        elif answer.outcome is DutyOutcome.OLD_NUMBER:
            self.right.doubt()


__all__ = ["ScaleOrders"]
