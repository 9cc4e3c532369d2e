"""Places the samples of a step on endpoints."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from threadramp.config.registry import Registry

if TYPE_CHECKING:
    from collections.abc import Sequence

PLACEMENTS: Registry[type[Placement]] = Registry()


@dataclass
class EndpointCapacity:
    """The free slots and the load of an endpoint, and the groups of which it has samples."""

    endpoint: str
    free: int
    load: int
    groups: set[str]


class Placement:
    """Base of the placement policies."""

    def choose(self, group: str, endpoints: Sequence[EndpointCapacity]) -> EndpointCapacity | None:
        """Return the endpoint for a sample of ``group``, none if no endpoint has free slots."""
        raise NotImplementedError


@PLACEMENTS.register("least_loaded")
class LeastLoaded(Placement):
    """Places a sample on the endpoint with the most free slots."""

    def choose(self, group: str, endpoints: Sequence[EndpointCapacity]) -> EndpointCapacity | None:
        """Return the endpoint for a sample of ``group``, none if no endpoint has free slots."""
        available = [endpoint for endpoint in endpoints if endpoint.free > 0]
        return max(available, key=lambda endpoint: (endpoint.free, endpoint.endpoint), default=None)


@PLACEMENTS.register("siblings")
class Siblings(LeastLoaded):
    """Prefers an endpoint with samples of the same group, else takes the least loaded one."""

    def choose(self, group: str, endpoints: Sequence[EndpointCapacity]) -> EndpointCapacity | None:
        """Return the endpoint for a sample of ``group``, none if no endpoint has free slots."""
        siblings = [endpoint for endpoint in endpoints if group in endpoint.groups]
        return super().choose(group, siblings) or super().choose(group, endpoints)


__all__ = ["PLACEMENTS", "EndpointCapacity", "LeastLoaded", "Placement", "Siblings"]
