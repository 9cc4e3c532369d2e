"""What operators declare and what endpoints say of themselves, in our own words."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterable

    from threadramp.fleet.organisations import Organisations


class RouteKind(Enum):
    """How the requests of a route may be treated."""

    REPEATABLE = "repeatable"
    ONCE = "once"
    STREAM = "stream"
    SAMPLES = "samples"


@dataclass(frozen=True)
class PoolShare:
    """A pool that serves a part of a route, by weight."""

    pool: str
    weight: float


@dataclass(frozen=True)
class Route:
    """Where requests with a host and a path prefix go.

    :param timeout_s: a caller gets its final answer no later than this
    :param target_s: an answer within this time earns its full worth
    :param max_attempts: most endpoints that one request of a caller is sent to
    :param resumable: whether a stream may go on at another endpoint
    :param result_target_s: results of a lot are due this long after its hand-in
    :param give_up_s: a sample may be given up this long after its hand-in
    :param one_version: whether all of a sample must come from one version of the weights
    :param public: whether callers need no key
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    shares: tuple[PoolShare, ...]
    timeout_s: float
    target_s: float
    max_attempts: int = 1
    priority: int = 0
    resumable: bool = False
    result_target_s: float = 0.0
    give_up_s: float = 0.0
    one_version: bool = False
    public: bool = False

    @property
    def may_repeat(self) -> bool:
        """Return whether a request may run more than once."""
        resumes = self.kind is RouteKind.STREAM and self.resumable
        return resumes or self.kind in (RouteKind.REPEATABLE, RouteKind.SAMPLES)


@dataclass(frozen=True)
class Pool:
    """Endpoints that serve the same.

    :param slots: requests that one endpoint runs at once, 0 if not known
    :param memory_tokens: tokens that an engine's memory holds, 0 if it is no engine
    :param models: names of the models that its engines hold
    :param autoscale: bounds of its size, none if that is not ours to order
    """

    name: str
    health_path: str = "/"
    max_connections: int = 64
    slots: int = 0
    memory_tokens: int = 0
    models: tuple[str, ...] = ()
    autoscale: Autoscale | None = None


@dataclass(frozen=True)
class Autoscale:
    """How many endpoints a pool may have in each data centre.

    :param boot_s: until an endpoint that was ordered serves
    """

    min_replicas: int
    max_replicas: int
    boot_s: float


@dataclass(frozen=True)
class CallerLimits:
    """What a caller may send, and how long it may rest."""

    header_bytes: int = 16_384
    body_bytes: int = 33_554_432
    header_s: float = 3.0
    idle_s: float = 15.0


@dataclass(frozen=True)
class Configuration:
    """The whole configuration as the operator last accepted it.

    :param organisations: that may call, none if anybody may
    """

    version: int = 0
    routes: tuple[Route, ...] = ()
    pools: dict[str, Pool] = field(default_factory=dict)
    limits: CallerLimits = CallerLimits()
    organisations: Organisations | None = None

    def route_for(self, host: str, path: str) -> Route | None:
        """Return the route of a host with the longest prefix that begins the path."""
        best: Route | None = None
        for route in self.routes:
            if route.host != host or not path.startswith(route.prefix):
                continue
            if best is None or len(route.prefix) > len(best.prefix):
                best = route
        return best

    def accepts_anonymous_lots(self, host: str) -> bool:
        """Return whether a host has a public route for lots, so that some belong to nobody."""
        return any(
            route.public and route.kind is RouteKind.SAMPLES and route.host == host
            for route in self.routes
        )


class Incarnation(NamedTuple):
    """One start of an endpoint; what was learned of it holds for no other one.

    The same id may come back with another start, which knows nothing of the one before.

    :param instance: id under which it lists itself, and by which requests name it
    :param born: when it started, in Unix milliseconds by its own clock, 0 if it does not tell
    """

    instance: str
    born: int = 0

    def started_before(self, other: Incarnation) -> bool:
        """Return whether both tell when they started, and this one did so before."""
        return 0 < self.born < other.born


@dataclass(frozen=True)
class Endpoint:
    """One start of an endpoint, as it lists itself.

    :param instance: its id, by which requests name it
    :param leaving: whether it wants no new work
    :param revision: the store's revision at which its entry last changed
    :param born: when it started, in Unix milliseconds, 0 if it does not tell
    """

    instance: str
    pool: str
    address: str
    data_centre: str
    slots: int = 0
    leaving: bool = False
    revision: int = 0
    born: int = 0

    @property
    def incarnation(self) -> Incarnation:
        """Return which start it is; all that is remembered of an endpoint is kept by this."""
        return Incarnation(self.instance, self.born)

    def is_superseded_by(self, other: Endpoint) -> bool:
        """Return whether another start at the same place came after this one.

        By when they started, where both tell; a start that is over may write once more behind the
        next one. Else by which entry changed last.
        """
        if self.born and other.born and self.born != other.born:
            return self.born < other.born
        return self.revision < other.revision


def newest_by_address(endpoints: Iterable[Endpoint]) -> dict[str, Endpoint]:
    """Return endpoints by instance, of each address only the newest start.

    The entry of a start that is over stays for some heartbeats beside that of the next one.
    """
    newest: dict[str, Endpoint] = {}
    for endpoint in endpoints:
        held = newest.get(endpoint.address)
        if held is None or held.is_superseded_by(endpoint):
            newest[endpoint.address] = endpoint
    return {endpoint.instance: endpoint for endpoint in newest.values()}


@dataclass(frozen=True)
class WeightTarget:
    """The version that all engines are to hold of one model.

    :param revision: the store's revision at which it was named; orders are fenced by it
    """

    model: str
    version: int
    revision: int


@dataclass(frozen=True)
class RetireRequest:
    """The operator wants a box emptied."""

    box: str
    within_s: float
    revision: int


__all__ = [
    "Autoscale",
    "CallerLimits",
    "Configuration",
    "RetireRequest",
    "Endpoint",
    "Pool",
    "PoolShare",
    "Route",
    "RouteKind",
    "Incarnation",
    "WeightTarget",
    "newest_by_address",
]
