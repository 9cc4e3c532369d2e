"""A fleet whose configuration sends samples to engines, for tests without a network."""

from __future__ import annotations

from typing import TYPE_CHECKING

from threadramp.fleet.fleet_view import FleetSnapshot, FleetView
from threadramp.fleet.model import Configuration, Endpoint, Pool, PoolShare, Route, RouteKind

if TYPE_CHECKING:
    from collections.abc import Iterable

HOST = "models.example"
POOL = "engines"
PATH = "/run/"


def route(*pools: str, prefix: str = PATH, weights: tuple[float, ...] = ()) -> Route:
    """Return a route for samples; its pools count alike without weights."""
    shares = zip(pools, weights or (1.0,) * len(pools), strict=True)
    return Route(
        f"to {pools}", HOST, prefix, RouteKind.SAMPLES, tuple(PoolShare(*one) for one in shares),
        timeout_s=10.0, target_s=0.4, max_attempts=3,
    )  # fmt: skip


def routed_view(
    engines: Iterable[str] = (), *routes: Route, pool: str = POOL, revision: int = 5
) -> FleetView:
    """Return a fleet view with routes and engines.

    :param engines: addresses of the engines of ``pool``
    :param routes: one route to ``pool`` if there is none
    """
    found = FleetView()
    reconfigure(found, *(routes or (route(pool),)), revision=revision)
    set_engines(found, dict.fromkeys(engines, pool))
    return found


def reconfigure(fleet_view: FleetView, *routes: Route, revision: int) -> None:
    """Put a configuration with these routes in force."""
    names = {share.pool for one in routes for share in one.shares} | {POOL}
    pools = {name: Pool(name, models=("m",)) for name in names}
    fleet_view.snapshot = _replaced(
        fleet_view.snapshot,
        configuration=Configuration(revision, tuple(routes), pools),
        configuration_revision=revision,
    )


def set_engines(fleet_view: FleetView, pools: dict[str, str]) -> None:
    """Set the listed engines: pools by address."""
    endpoints = {
        f"i-{address}": Endpoint(f"i-{address}", pool, address, "a", 6)
        for address, pool in pools.items()
    }
    fleet_view.snapshot = _replaced(fleet_view.snapshot, endpoints=endpoints)


def _replaced(snapshot: FleetSnapshot, **fields: object) -> FleetSnapshot:
    kept = {name: getattr(snapshot, name) for name in FleetSnapshot.__dataclass_fields__}
    return FleetSnapshot(**{**kept, **fields})
