"""The status of the fleet, as it travels to operators."""

from __future__ import annotations

import msgspec


class EndpointStatus(msgspec.Struct, frozen=True):
    """What holds at one endpoint.

    :param state: ``in service``, ``leaving`` or ``not heard``
    :param revision: the configuration in force there, -1 if it was never heard
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
    """What holds in the fleet.

    :param in_force: how many endpoints have each revision
    """

    gateway: str
    revision: int
    regressed: bool
    in_force: dict[str, int]
    endpoints: tuple[EndpointStatus, ...]


__all__ = ["EndpointStatus", "FleetStatus"]
