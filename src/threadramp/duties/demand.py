"""What is open at one gateway, for the size of pools that follow demand."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from threadramp.core.lot_book import Phase

if TYPE_CHECKING:
    from threadramp.fleet.picture import Belief, Picture
    from threadramp.lots.owned import OwnedLots
    from threadramp.policy.endpoint_choice import EndpointSelector

Open = dict[str, dict[str, float]]  # by pool and data centre


class DemandCounting:
    """Counts open requests of callers, and samples that run or wait."""

    def __init__(self, picture: Picture, choice: EndpointSelector, owned: OwnedLots) -> None:
        self.picture = picture
        self.choice = choice
        self.owned = owned

    def open(self) -> Open:
        """Return what is open now; nothing where no pool follows demand."""
        belief = self.picture.belief
        configuration = belief.configuration
        if configuration is None:
            return {}
        pools = [name for name, pool in configuration.pools.items() if pool.autoscale is not None]
        found = {name: self._calls(name, belief) for name in pools}
        if pools:
            self._add_samples(found, belief)
        return {name: dict(row) for name, row in found.items()}

    def _calls(self, pool: str, belief: Belief) -> Counter[str]:
        row: Counter[str] = Counter()
        for endpoint in belief.in_pool(pool):
            row[endpoint.data_centre] += self.choice.open_requests(endpoint)
        return row

    def _add_samples(self, found: dict[str, Counter[str]], belief: Belief) -> None:
        """Count the samples of own lots, spread over the pool's data centres."""
        for lot in self.owned.open():
            route = belief.configuration.route_for(lot.book.lot.host, lot.book.lot.path)
            pool = route.shares[0].pool if route is not None else ""
            if pool not in found:
                continue
            with self.owned.lock:
                states = list(lot.book.states.values())
            wanted = sum(state.phase in (Phase.RUNNING, Phase.WAITING) for state in states)
            places = {one.data_centre for one in belief.in_pool(pool)}
            for place in places:
                found[pool][place] += wanted / len(places)


__all__ = ["DemandCounting", "Open"]
