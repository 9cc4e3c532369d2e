"""The status of the fleet, as sent to operators."""

from __future__ import annotations

import msgspec


class EndpointStatus(msgspec.Struct, frozen=True):
    """The state of one endpoint.

    :param state: ``in service``, ``leaving`` or ``not heard``
    :param revision: configuration revision in force there, -1 if it never reported
    :param weights: verified versions by model
    """

    name: str
    pool: str
    data_centre: str
    state: str
    revision: int
    weights: dict[str, int]
    running: int
    queued: int
    rollouts: int
    slots: int
    problems: tuple[str, ...]


class FleetStatus(msgspec.Struct, frozen=True):
    """The state of the fleet.

    :param in_force: number of endpoints by revision
    """

    gateway: str
    revision: int
    regressed: bool
    in_force: dict[str, int]
    endpoints: tuple[EndpointStatus, ...]


__all__ = ["EndpointStatus", "FleetStatus"]
