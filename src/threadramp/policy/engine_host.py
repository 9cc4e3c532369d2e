"""Which process runs an engine's samples, reads its report and orders its loads.

The load that this answers: a sidecar that is down, frozen, cut off or not there at all while its
engine is well. Where no box beside the engines had a process of ours, no sample ever ran.

Its own sidecar does while that lives: its report is fresh and free there. Else a gateway of its
data centre, by rendezvous hashing over the living ones, so that two rarely choose the same and the
engines of a data centre are spread over its gateways.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from threadramp.policy.routing import rendezvous

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable

    from threadramp.fleet.fleet_view import Member


def host_of(
    engine: str, data_centre: str, gateways: Iterable[Member], silent: Collection[str] = ()
) -> Member | None:
    """Return the gateway that stands in for an engine's sidecar, none if no gateway is left.

    :param engine: its address
    :param data_centre: in which it stands; where no gateway lives there, any other does
    :param silent: names of gateways that do not answer
    """
    living = {one.name: one for one in gateways if one.name not in silent}
    near = [name for name, one in living.items() if one.data_centre == data_centre]
    chosen = rendezvous(engine, sorted(near or living))
    return living[chosen[0]] if chosen else None


__all__ = ["host_of"]
