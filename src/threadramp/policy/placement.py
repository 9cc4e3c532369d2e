"""Where the samples of a step go, and when a slow one gets a second attempt."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from threadramp.config.registry import Registry

if TYPE_CHECKING:
    from collections.abc import Sequence

PLACEMENTS: Registry[type[Placement]] = Registry()


@dataclass
class EndpointCapacity:
    """How many more samples an endpoint takes, and which groups it has."""

    endpoint: str
    free: int
    load: int
    groups: set[str]


class Placement:
    """Base of the placements."""

    def choose(self, group: str, rooms: Sequence[EndpointCapacity]) -> EndpointCapacity | None:
        """Return where a sample of ``group`` goes, or none while no endpoint has room."""
        raise NotImplementedError


@PLACEMENTS.register("least_loaded")
class LeastLoaded(Placement):
    """The endpoint with the most room."""

    def choose(self, group: str, rooms: Sequence[EndpointCapacity]) -> EndpointCapacity | None:
        """Return where a sample of ``group`` goes, or none while no endpoint has room."""
        open_rooms = [room for room in rooms if room.free > 0]
        return max(open_rooms, key=lambda room: (room.free, room.endpoint), default=None)


@PLACEMENTS.register("siblings")
class Siblings(LeastLoaded):
    """An endpoint that has siblings of the group while it has room, else the least loaded."""

    def choose(self, group: str, rooms: Sequence[EndpointCapacity]) -> EndpointCapacity | None:
        """Return where a sample of ``group`` goes, or none while no endpoint has room."""
        kin = [room for room in rooms if group in room.groups]
        return super().choose(group, kin) or super().choose(group, rooms)


__all__ = ["LeastLoaded", "PLACEMENTS", "Placement", "EndpointCapacity", "Siblings"]
