"""A gateway's view of the fleet: configuration, endpoints, members, published versions."""

from __future__ import annotations

import threading
from dataclasses import dataclass, field
from functools import cached_property
from typing import TYPE_CHECKING, Any

import msgspec

from threadramp.fleet.decode_cache import DecodeCache
from threadramp.fleet.latest_incarnations import LatestIncarnations
from threadramp.fleet.mirror import Mirror
from threadramp.fleet.model import (
    Configuration,
    Endpoint,
    Pool,
    RetireRequest,
    WeightTarget,
    newest_per_address,
)
from threadramp.platform.documents import (
    CONFIGURATION_KEY,
    EMPTY_PREFIX,
    ENDPOINT_PREFIX,
    OPERATOR_PREFIX,
    WEIGHTS_PREFIX,
    DocumentError,
    read_configuration,
    read_empty_request,
    read_endpoint,
    read_weight_target,
)
from threadramp.report.log import log_state

if TYPE_CHECKING:
    from collections.abc import Callable

    from threadramp.platform.store_model import Item

MEMBER_PREFIX = "member/"
# Keys that gateways store beside the member list, so that they are listed and watched with it.
NON_MEMBER_PREFIX = MEMBER_PREFIX + "."
CRASHES_PREFIX = NON_MEMBER_PREFIX + "crashes/"  # by box: requests that crashed endpoints
DUTIES_KEY = NON_MEMBER_PREFIX + "duties"  # lock of the gateway that has the fleet's duties
TRIALS_PREFIX = NON_MEMBER_PREFIX + "trials/"  # by request and trial number: box that runs it
MEMBER_ROLES = ("gateway", "sidecar")
MAX_LOGGED_FAULTS = 20  # in one log line
HOST_ROLE = "host"  # of a gateway that hosts an engine in place of a sidecar; registered as gateway


class Member(msgspec.Struct, frozen=True, array_like=True):
    """A threadramp process, as it registers itself.

    :param role: ``gateway`` or ``sidecar``
    :param address: address at which it answers peers
    :param endpoint: address of the endpoint that its sidecar serves, empty if there is none
    """

    name: str
    role: str
    incarnation: str
    address: str
    data_centre: str
    endpoint: str


decode_member = msgspec.msgpack.Decoder(Member).decode


@dataclass(frozen=True)
class PoolPosition:
    """Position of an endpoint in its pool, ordered by address.

    :param rank: index from 0
    :param engines: number of endpoints in the pool
    """

    rank: int
    engines: int


@dataclass(frozen=True)
class FleetSnapshot:
    """One consistent state of the fleet; immutable and replaced as a whole.

    :param cold_until: time until which an endpoint is cold, by instance id
    :param configuration_revision: the store's revision at which the operator wrote the
        configuration
    """

    configuration: Configuration | None = None
    endpoints: dict[str, Endpoint] = field(default_factory=dict)
    members: dict[str, Member] = field(default_factory=dict)
    targets: tuple[WeightTarget, ...] = ()
    targets_revision: int = 0
    retire_requests: tuple[RetireRequest, ...] = ()
    endpoints_revision: int = 0
    cold_until: dict[str, float] = field(default_factory=dict)
    configuration_revision: int = 0

    def newest_version(self, model: str) -> int:
        """Return the newest published version of a model, 0 if there is none."""
        return max((one.version for one in self.targets if one.model == model), default=0)

    def in_pool(self, pool: str) -> list[Endpoint]:
        """Return the endpoints of a pool."""
        return list(self.by_pool.get(pool, ()))

    @cached_property
    def by_pool(self) -> dict[str, tuple[Endpoint, ...]]:
        """Return the endpoints by pool; computed once, since each call asks several times."""
        rows: dict[str, list[Endpoint]] = {}
        for endpoint in self.endpoints.values():
            rows.setdefault(endpoint.pool, []).append(endpoint)
        return {pool: tuple(row) for pool, row in rows.items()}

    def pool(self, name: str) -> Pool:
        """Return a pool as configured, or one with default values."""
        pools = self.configuration.pools if self.configuration is not None else {}
        return pools.get(name, Pool(name))

    def at_address(self, address: str) -> Endpoint | None:
        """Return the endpoint at an address, none if no entry has that address."""
        return self.by_address.get(address)

    def pool_at(self, address: str) -> str:
        """Return the pool of the endpoint at an address, empty if no entry has that address."""
        endpoint = self.by_address.get(address)
        return endpoint.pool if endpoint is not None else ""

    @cached_property
    def by_address(self) -> dict[str, Endpoint]:
        """Return the endpoints by address; computed once for each snapshot."""
        return {one.address: one for one in self.endpoints.values()}

    @cached_property
    def positions(self) -> dict[str, PoolPosition]:
        """Return each endpoint's position in its pool, by address; computed once."""
        pools: dict[str, list[str]] = {}
        for address in sorted(self.by_address):
            pools.setdefault(self.by_address[address].pool, []).append(address)
        return {
            address: PoolPosition(rank, len(row))
            for row in pools.values()
            for rank, address in enumerate(row)
        }

    def sidecars(self) -> list[Member]:
        """Return the sidecars, sorted by name."""
        return list(self.by_role.get("sidecar", ()))

    def gateways(self) -> list[Member]:
        """Return the gateways, sorted by name."""
        return list(self.by_role.get("gateway", ()))

    @cached_property
    def by_role(self) -> dict[str, tuple[Member, ...]]:
        """Return the members by role, sorted by name; computed once."""
        rows: dict[str, list[Member]] = {}
        for _, one in sorted(self.members.items()):
            rows.setdefault(one.role, []).append(one)
        return {role: tuple(row) for role, row in rows.items()}


class FleetView:
    """Builds a new snapshot from the mirrors whenever one of them changes."""

    def __init__(self) -> None:
        self.operator = Mirror(OPERATOR_PREFIX, retains_expired=False)
        self.endpoints = Mirror(ENDPOINT_PREFIX, retains_expired=True)
        self.members = Mirror(MEMBER_PREFIX, retains_expired=True)
        self.snapshot = FleetSnapshot()
        self.changed = threading.Condition()
        self.decode_cache = DecodeCache()
        self.latest_incarnations = LatestIncarnations()
        self.unknown_pool_revisions: dict[str, int] = {}
        self.retained: dict[str, float] = {}
        self.lock = threading.Lock()
        for mirror in self.mirrors:
            mirror.listeners.append(self._rebuild)

    @property
    def mirrors(self) -> tuple[Mirror, ...]:
        """Return all mirrors."""
        return (self.operator, self.endpoints, self.members)

    @property
    def is_complete(self) -> bool:
        """Return whether enough is loaded to route requests."""
        return self.snapshot.configuration is not None and self.endpoints.is_loaded

    def configuration_age_s(self, now: float) -> float:
        """Return the seconds since the store, also via a peer, last confirmed it as current."""
        return now - self.operator.current_at

    def _rebuild(self) -> None:
        with self.lock:
            old = self.snapshot
            self.snapshot = self._build()
            _log_changes(old, self.snapshot)
            self._log_retained()
        with self.changed:
            self.changed.notify_all()

    def _build(self) -> FleetSnapshot:
        operator = self.operator.snapshot()
        self.decode_cache.retain_only(OPERATOR_PREFIX, operator)
        configuration, revision = self._configuration(operator.get(CONFIGURATION_KEY))
        targets = self._documents_under(WEIGHTS_PREFIX, operator, _read_target)
        endpoints = self._endpoints(configuration)
        return FleetSnapshot(
            configuration=configuration,
            endpoints=endpoints,
            members=self._members(),
            targets=tuple(targets),
            targets_revision=max((target.revision for target in targets), default=0),
            retire_requests=tuple(
                self._documents_under(EMPTY_PREFIX, operator, _read_retire_request)
            ),
            endpoints_revision=self.endpoints.revision,
            cold_until=self._cold_until(endpoints),
            configuration_revision=revision,
        )

    def _cold_until(self, endpoints: dict[str, Endpoint]) -> dict[str, float]:
        """Return until when endpoints are cold, counted from when their entry was received.

        A process that starts later counts from its start, so it may take an endpoint for cold for
        too long, never for too short a time.
        """
        received = {
            name: self.endpoints.source_of(ENDPOINT_PREFIX + name)[1]
            for name, endpoint in endpoints.items()
            if endpoint.cold_s
        }
        return {
            name: at + endpoints[name].cold_s for name, at in received.items() if at is not None
        }

    def _log_retained(self) -> None:
        """Log entries that are retained for a while although the store no longer has them."""
        found = self.endpoints.retained() | self.members.retained()
        for key in found.keys() - self.retained.keys():
            log_state("removal_deferred", key=key, until=round(found[key], 3))
        self.retained = found

    def _documents_under(
        self, prefix: str, items: dict[str, Item], decode: Callable[[Item], Any]
    ) -> list[Any]:
        """Return the operators' documents under a prefix, or the last valid one if unreadable."""
        rows = [
            self.decode_cache.decode_or_last("document", item, decode)
            for key, item in sorted(items.items())
            if key.startswith(prefix)
        ]
        return [row for row in rows if row is not None]

    def _configuration(self, item: Item | None) -> tuple[Configuration | None, int]:
        """Return the configuration in force and its revision; the last one if it is unreadable."""
        before = self.snapshot
        found = None
        if item is not None:
            found = self.decode_cache.decode_or_last(
                "configuration", item, self._read_configuration
            )
        if found is None or found is before.configuration:
            return before.configuration, before.configuration_revision
        return found, item.revision

    def _read_configuration(self, item: Item) -> Configuration:
        return read_configuration(item.value, self.snapshot.configuration)

    def _endpoints(self, configuration: Configuration | None) -> dict[str, Endpoint]:
        items = self.endpoints.snapshot()
        self.decode_cache.retain_only(ENDPOINT_PREFIX, items)
        self.unknown_pool_revisions = {
            name: revision
            for name, revision in self.unknown_pool_revisions.items()
            if ENDPOINT_PREFIX + name in items
        }
        found = []
        for item in items.values():
            endpoint = self.decode_cache.decode_item("endpoint", item, _read_endpoint)
            if endpoint is not None and self._has_known_pool(endpoint, configuration):
                found.append(endpoint)
        return newest_per_address(self.latest_incarnations.current(found))

    def _has_known_pool(self, endpoint: Endpoint, configuration: Configuration | None) -> bool:
        """Return whether the entry's pool is configured; other entries could hide a valid one.

        A pool may be declared after its endpoints have registered, so this is checked again with
        each configuration.
        """
        if configuration is None or endpoint.pool in configuration.pools:
            return True
        if self.unknown_pool_revisions.get(endpoint.instance) != endpoint.revision:
            self.unknown_pool_revisions[endpoint.instance] = endpoint.revision
            self.decode_cache.on_unreadable("endpoint")
            log_state(
                "endpoint_pool_unknown",
                instance=endpoint.instance,
                pool=endpoint.pool,
                revision=endpoint.revision,
            )
        return False

    def _members(self) -> dict[str, Member]:
        items = self.members.snapshot()
        self.decode_cache.retain_only(MEMBER_PREFIX, items)
        rows = [
            self.decode_cache.decode_item("member", item, read_member)
            for key, item in items.items()
            if not key.startswith(NON_MEMBER_PREFIX)
        ]
        return {row.name: row for row in rows if row is not None}


def read_member(item: Item) -> Member:
    """Decode the entry of a threadramp process.

    :raises DocumentError: if it cannot be read, or has no valid role or address
    """
    try:
        member = decode_member(item.value)
    except msgspec.DecodeError as error:
        raise DocumentError(str(error)) from error
    if member.name != item.key.removeprefix(MEMBER_PREFIX) or member.role not in MEMBER_ROLES:
        raise DocumentError(f"{member.role} {member.name!r} under another key")
    host, _, port = member.address.rpartition(":")
    if not host or not port.isdigit():
        raise DocumentError(f"no address: {member.address!r}")
    return member


def _read_endpoint(item: Item) -> Endpoint:
    return read_endpoint(item.key, item.value, item.revision)


def _read_target(item: Item) -> WeightTarget:
    return read_weight_target(item.value, item.revision)


def _read_retire_request(item: Item) -> RetireRequest:
    return read_empty_request(item.key, item.value, item.revision)


def _log_changes(old: FleetSnapshot, new: FleetSnapshot) -> None:
    """Log the differences between two snapshots."""
    if new.configuration is not old.configuration and new.configuration is not None:
        _log_configuration(new.configuration)
    for instance in old.endpoints.keys() - new.endpoints.keys():
        log_state("endpoint_removed", instance=instance, revision=new.endpoints_revision)
    for instance, endpoint in new.endpoints.items():
        before = old.endpoints.get(instance)
        if before is None or (before.leaving, before.born) != (endpoint.leaving, endpoint.born):
            log_state(
                "endpoint",
                instance=instance,
                born=endpoint.born,
                pool=endpoint.pool,
                address=endpoint.address,
                leaving=endpoint.leaving,
                revision=new.endpoints_revision,
            )
    for name in old.members.keys() - new.members.keys():
        log_state("member_removed", member=name)
    for name, member in new.members.items():
        if old.members.get(name) != member:
            log_state("member", member=name, role=member.role, incarnation=member.incarnation)
    for target in new.targets:
        if target not in old.targets:
            log_state("version_published", model=target.model, version=target.version)


def _log_configuration(configuration: Configuration) -> None:
    """Log a new configuration version, and once the faults of its organisations."""
    organisations = configuration.organisations
    count = None if organisations is None else len(organisations.by_name)
    log_state("configuration", version=configuration.version, organisations=count)
    if organisations is not None and organisations.faults:
        log_state(
            "organisations_invalid",
            version=configuration.version,
            faults=organisations.faults[:MAX_LOGGED_FAULTS],
            count=len(organisations.faults),
        )


__all__ = [
    "CRASHES_PREFIX",
    "DUTIES_KEY",
    "HOST_ROLE",
    "MEMBER_PREFIX",
    "TRIALS_PREFIX",
    "FleetSnapshot",
    "Member",
    "FleetView",
    "PoolPosition",
    "read_member",
]
