"""Counts open requests at one gateway, for pools that scale with demand."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from threadramp.core.lot_tracker import Phase

if TYPE_CHECKING:
    from threadramp.fleet.fleet_view import FleetSnapshot, FleetView
    from threadramp.lots.owned import OwnedLots
    from threadramp.lots.sample_routes import SampleRoutes
    from threadramp.policy.endpoint_choice import EndpointSelector

Open = dict[str, dict[str, float]]  # by pool and data centre


class DemandCounter:
    """Counts open requests of callers, and samples that run or wait."""

    def __init__(
        self,
        fleet_view: FleetView,
        choice: EndpointSelector,
        owned: OwnedLots,
        routes: SampleRoutes,
    ) -> None:
        self.routes = routes
        self.fleet_view = fleet_view
        self.choice = choice
        self.owned = owned

    def open(self) -> Open:
        """Return the open requests; nothing if no pool scales with demand."""
        snapshot = self.fleet_view.snapshot
        configuration = snapshot.configuration
        if configuration is None:
            return {}
        pools = [name for name, pool in configuration.pools.items() if pool.autoscale is not None]
        found = {name: self._open_calls(name, snapshot) for name in pools}
        if pools:
            self._add_samples(found, snapshot)
        return {name: dict(row) for name, row in found.items()}

    def _open_calls(self, pool: str, snapshot: FleetSnapshot) -> Counter[str]:
        row: Counter[str] = Counter()
        for endpoint in snapshot.in_pool(pool):
            row[endpoint.data_centre] += self.choice.open_requests(endpoint)
        return row

    def _add_samples(self, found: dict[str, Counter[str]], snapshot: FleetSnapshot) -> None:
        """Add the samples of owned lots, spread over the pool's data centres."""
        for lot in self.owned.open():
            routes = self.routes.of(lot.tracker.lot)
            with self.owned.lock:
                states = list(lot.tracker.states.values())
            wanted = Counter(
                next(iter(routes.pools_of(state.sample.id)), "")
                for state in states
                if state.phase in (Phase.RUNNING, Phase.WAITING)
            )
            for pool in found.keys() & wanted.keys():
                data_centres = {one.data_centre for one in snapshot.in_pool(pool)}
                for data_centre in data_centres:
                    found[pool][data_centre] += wanted[pool] / len(data_centres)


__all__ = ["DemandCounter", "Open"]
