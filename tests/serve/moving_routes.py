"""Moves, splits and drops the route of lots during a soak test, and checks where samples ran."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING, Any

from threadramp.platform.standins.endpoint import PlatformEngine

if TYPE_CHECKING:
    import threading
    from collections.abc import Callable, Iterator

    from tests.serve.fleet import PlatformFleet
    from threadramp.standins.server import StandIn

USUAL, OTHER, FOREIGN = "engines", "others", "foreign"
CHANGE_INTERVALS_S = (0.3, 1.6)


def split(**weights: float) -> dict[str, Any]:
    """Return the fields of a route that is split between services."""
    return {"trafficSplit": [{"backend": name, "weight": one} for name, one in weights.items()]}


CHANGES: tuple[dict[str, Any], ...] = (
    {},
    {},
    {"backend": OTHER},
    split(engines=1.0, others=1.0),
    split(engines=0.0, others=1.0),
    {"hostname": "dropped.example"},
)


class MovingRoutes:
    """The route of lots, and two more services whose engines serve the same model.

    The configurations name one of them for lots now and then, and the other one never.
    """

    def __init__(self, fleet: PlatformFleet, serve: Callable[[StandIn], str], seed: int) -> None:
        self.fleet = fleet
        self.random = Random(f"routes {seed}")
        self.others = [PlatformEngine({"instance": "i-o0"})]
        self.foreign = [PlatformEngine({"instance": "i-f0"})]
        for service, engines in ((OTHER, self.others), (FOREIGN, self.foreign)):
            fleet.more_engine_pools.append(service)
            for engine in engines:
                fleet.register(engine.instance, service, serve(engine))
        self.drawn: list[dict[str, Any]] = []

    @property
    def engines(self) -> list[PlatformEngine]:
        """Return the engines of both services."""
        return [*self.others, *self.foreign]

    def change_until(self, stopped: threading.Event) -> None:
        """Draw a change of the route at intervals; the next configuration contains it."""
        while not stopped.wait(self.random.uniform(*CHANGE_INTERVALS_S)):
            self.drawn.append(self.random.choice(CHANGES))
            self.fleet.lot_route = self.drawn[-1]
        self.fleet.lot_route = {}

    def find_violations(self) -> Iterator[str]:
        """Report the samples that ran at a service that no configuration named for them."""
        never_named = [*self.foreign]
        if not any(OTHER in repr(change) for change in self.drawn):
            never_named += self.others
        for engine in never_named:
            for run in engine.runs:
                yield f"{run['id']} ran at {engine.instance}, which no route of lots ever named"


__all__ = ["MovingRoutes"]
