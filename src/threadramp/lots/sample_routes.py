"""Which pools the samples of lots may use, by the configuration in force.

A sample is a request of the route with the longest prefix of its own path, from the acceptance of
its lot to its result. Nothing of that is stored with the lot, so whoever runs the lot, and whenever
it places a sample, goes by the newest configuration that it knows.
"""

from __future__ import annotations

from dataclasses import dataclass
from functools import cached_property
from typing import TYPE_CHECKING

from threadramp.policy.routing import weighted_rendezvous

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable, Mapping

    from threadramp.fleet.fleet_view import FleetView
    from threadramp.fleet.model import Configuration, Route
    from threadramp.lots.model import Lot, Sample


@dataclass(frozen=True)
class LotRoutes:
    """The pools that the samples of one lot may use, by one configuration.

    :param configuration: the one that decided, none if none is known
    :param revision: revision of the store at which it was written
    :param pools_by_sample: the pool that the weights of the route assign to the sample's group,
        then the route's other pools; nothing for a sample without a route
    """

    configuration: Configuration | None
    revision: int
    pools_by_sample: Mapping[str, tuple[str, ...]]

    @classmethod
    def from_configuration(
        cls, lot: Lot, configuration: Configuration | None, revision: int
    ) -> LotRoutes:
        """Find the routes of all samples of a lot."""
        found = {}
        if configuration is not None:
            for sample in lot.samples:
                route = configuration.route_for(lot.host, sample.path)
                found[sample.id] = () if route is None else _ordered_pools(route, sample)
        return cls(configuration, revision, found)

    @cached_property
    def pools(self) -> frozenset[str]:
        """Return the pools that any of the samples may use."""
        return frozenset(pool for pools in self.pools_by_sample.values() for pool in pools)

    def pools_of(self, sample: str) -> tuple[str, ...]:
        """Return the pools that a sample may use, the one to prefer first."""
        return self.pools_by_sample.get(sample, ())

    @cached_property
    def without_route(self) -> tuple[str, ...]:
        """Return the samples that no route covers."""
        return tuple(sample for sample, pools in self.pools_by_sample.items() if not pools)


class SampleRoutes:
    """The routes of the open lots; found once for each lot and configuration."""

    def __init__(self, fleet_view: FleetView) -> None:
        self.fleet_view = fleet_view
        self.by_lot: dict[str, LotRoutes] = {}

    def of(self, lot: Lot) -> LotRoutes:
        """Return the routes of a lot by the configuration in force."""
        snapshot = self.fleet_view.snapshot
        known = self.by_lot.get(lot.id)
        if known is None or known.configuration is not snapshot.configuration:
            known = LotRoutes.from_configuration(
                lot, snapshot.configuration, snapshot.configuration_revision
            )
            self.by_lot[lot.id] = known
        return known

    def allows(self, lot: Lot, sample: str, engine: str) -> bool:
        """Return whether a sample may run at the engine at an address."""
        return self.fleet_view.snapshot.pool_at(engine) in self.of(lot).pools_of(sample)

    def retain(self, lots: Iterable[Lot]) -> None:
        """Drop what is known of all other lots."""
        open_lots = {lot.id for lot in lots}
        for lot_id in self.by_lot.keys() - open_lots:
            self.by_lot.pop(lot_id, None)

    def pools_of_all(self, lots: Collection[Lot]) -> frozenset[str]:
        """Return the pools that any sample of these lots may use."""
        return frozenset().union(*(self.of(lot).pools for lot in lots))


def _ordered_pools(route: Route, sample: Sample) -> tuple[str, ...]:
    """Return the pools of a route in the order in which a sample's group prefers them.

    The samples of one group stay together, since they share their prompt.
    """
    weights = {share.pool: share.weight for share in route.open_shares}
    if len(weights) == 1:
        return tuple(weights)
    return tuple(weighted_rendezvous(f"{route.name}\0{sample.group}", weights))


__all__ = ["LotRoutes", "SampleRoutes"]
