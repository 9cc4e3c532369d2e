"""Orders the sizes of pools that scale with demand, while this box holds the duties."""

from __future__ import annotations

from collections import Counter
from functools import partial
from typing import TYPE_CHECKING

from threadramp.duties.verification import RecentVerification
from threadramp.platform.duty_calls import DutyOutcome
from threadramp.policy.scaling import Demand, Scaling
from threadramp.report.log import log_state

if TYPE_CHECKING:
    from threadramp.duties.collecting import UsageCollector
    from threadramp.fleet.fenced_lock import FencedLock
    from threadramp.fleet.fleet_view import FleetView
    from threadramp.fleet.model import Pool
    from threadramp.platform.duty_calls import DutyCalls
    from threadramp.report.metrics import Metrics

DECISION_INTERVAL_S = 5.0  # between two decisions; an endpoint takes tens of seconds to boot
MAX_ORDERS_PER_CYCLE = 10  # part of the calls per second that the platform takes from all callers


class ScaleOrders:
    """The orders of one gateway while it holds the lock for the duties."""

    def __init__(
        self,
        lock: FencedLock,
        calls: DutyCalls,
        collector: UsageCollector,
        fleet_view: FleetView,
        metrics: Metrics,
    ) -> None:
        self.lock = lock
        self.verification = RecentVerification(lock)
        self.calls = calls
        self.collector = collector
        self.fleet_view = fleet_view
        self.metrics = metrics
        self.scalings: dict[str, Scaling] = {}
        self.fencing_token = 0
        self.ordered: dict[tuple[str, str], int] = {}
        self.decided_at = float("-inf")

    def run_once(self, fencing_token: int) -> None:
        """Decide sizes at intervals, and order those that differ from the last order.

        :param fencing_token: of the lock, which this gateway holds
        """
        now = self.lock.clock.now()
        configuration = self.fleet_view.snapshot.configuration
        if configuration is None or now - self.decided_at < DECISION_INTERVAL_S:
            return
        self.decided_at = now
        if fencing_token != self.fencing_token:
            self.ordered.clear()  # other holders may have ordered other sizes since
            self.fencing_token = fencing_token
        orders = []
        for pool in configuration.pools.values():
            if pool.autoscale is not None:
                orders += self._orders(pool, now)
        # The rest follows at later decisions.
        for pool, data_centre, count in orders[:MAX_ORDERS_PER_CYCLE]:
            if not self.verification.verify(fencing_token):
                return  # the remaining ones differ at the next decision as well
            self._order(fencing_token, pool, data_centre, count)

    def _orders(self, pool: Pool, now: float) -> list[tuple[str, str, int]]:
        """Return the sizes of one pool that differ from what was ordered last."""
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
        endpoints = [one for one in self.fleet_view.snapshot.in_pool(pool.name) if not one.leaving]
        serving = Counter(one.data_centre for one in endpoints)
        slots = max((one.slots for one in endpoints), default=pool.slots) or 1
        busy = self.collector.open_at(pool.name)
        return {
            name: Demand(busy.get(name, 0.0), max(count, self._last_ordered(pool, name)), slots)
            for name, count in serving.items()
        }

    def _last_ordered(self, pool: Pool, data_centre: str) -> int:
        return self.ordered.get((pool.name, data_centre), 0)

    def _order(self, fencing_token: int, pool: str, data_centre: str, count: int) -> None:
        may_send = partial(self.verification.is_fresh, fencing_token)
        answer = self.calls.scale(fencing_token, pool, data_centre, count, may_send)
        self.metrics.count("scale_order", answer.outcome.value)
        log_state(
            "scale_ordered",
            pool=pool,
            data_centre=data_centre,
            endpoints=count,
            number=fencing_token,
            outcome=answer.outcome.value,
            detail=answer.detail,
        )
        if answer.outcome is DutyOutcome.TAKEN:
            self.ordered[pool, data_centre] = count
        elif answer.outcome is DutyOutcome.OLD_NUMBER:
            self.lock.invalidate()


__all__ = ["ScaleOrders"]
