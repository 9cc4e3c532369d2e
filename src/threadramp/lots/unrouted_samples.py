"""Gives up samples whose route was dropped from the configuration.

No endpoint may run them, so their trainer is told at once instead of at its deadline. A route that
comes back within the time that a configuration takes to apply counts as never gone: an operator may
replace it by two versions in a row, and gateways may see only one of them. A result is final, so a
route that comes back later finds only the samples of lots that were accepted since.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from threadramp.report.log import log_state

if TYPE_CHECKING:
    from threadramp.fleet.clock import Clock
    from threadramp.lots.owned import OwnedLot, OwnedLots
    from threadramp.lots.sample_routes import SampleRoutes


class UnroutedSamples:
    """The samples of the owned lots that no route covers.

    :param grace_s: seconds for which a route must be gone
    :ivar since: when a sample was first seen without a route, by lot and sample
    """

    def __init__(
        self, owned: OwnedLots, routes: SampleRoutes, clock: Clock, grace_s: float
    ) -> None:
        self.owned = owned
        self.routes = routes
        self.clock = clock
        self.grace_s = grace_s
        self.since: dict[tuple[str, str], float] = {}

    def run_once(self) -> None:
        """Give up the samples that have waited without a route for too long.

        Those that an engine has begun may finish.
        """
        now = self.clock.now()
        lots = self.owned.open()
        self.since = {
            (lot.lot_id, sample): self.since.get((lot.lot_id, sample), now)
            for lot in lots
            for sample in self.routes.of(lot.tracker.lot).without_route
        }
        for lot in lots if self.since else ():
            overdue = [
                sample
                for (lot_id, sample), since in self.since.items()
                if lot_id == lot.lot_id and now - since >= self.grace_s
            ]
            self._give_up(lot, overdue, now)

    def _give_up(self, lot: OwnedLot, samples: list[str], now: float) -> None:
        with self.owned.lock:
            given_up = lot.tracker.give_up_waiting(samples, now)
        if given_up:
            log_state(
                "samples_without_route",
                lot=lot.lot_id,
                samples=given_up,
                configuration_revision=self.routes.of(lot.tracker.lot).revision,
            )


__all__ = ["UnroutedSamples"]
