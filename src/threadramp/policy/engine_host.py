"""Selects the gateway that replaces an engine's sidecar.

A sidecar may be down, frozen, cut off or not deployed while its engine is healthy. Without a
replacement, no sample ever ran where none of our processes was deployed next to the engines.

An engine's own sidecar runs its samples, reads its reports and orders its loads while it is alive,
because reports are up to date and free there. Otherwise a gateway of the same data centre does.
Rendezvous hashing over the live gateways spreads the engines over them, and makes it rare that two
gateways choose differently.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from threadramp.policy.routing import rendezvous

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable

    from threadramp.fleet.fleet_view import Member


def gateway_for_engine(
    engine: str, data_centre: str, gateways: Iterable[Member], unresponsive: Collection[str] = ()
) -> Member | None:
    """Return the gateway that replaces an engine's sidecar, none if no gateway is alive.

    :param engine: address of the engine
    :param data_centre: data centre of the engine; if no gateway is alive there, any other is used
    :param unresponsive: names of gateways that do not answer
    """
    live = {one.name: one for one in gateways if one.name not in unresponsive}
    near = [name for name, one in live.items() if one.data_centre == data_centre]
    chosen = rendezvous(engine, sorted(near or live))
    return live[chosen[0]] if chosen else None


__all__ = ["gateway_for_engine"]
