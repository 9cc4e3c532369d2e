"""What one gateway believes: configuration, endpoints, members, named versions."""

from __future__ import annotations

import threading
from dataclasses import dataclass, field
from functools import cached_property
from typing import TYPE_CHECKING, Any

import msgspec

from threadramp.fleet.mirror import Mirror
from threadramp.fleet.model import (
    Configuration,
    EmptyRequest,
    Endpoint,
    Pool,
    WeightTarget,
    current_starts,
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


class Member(msgspec.Struct, frozen=True, array_like=True):
    """One process of ours, as it lists itself.

    :param role: ``gateway`` or ``sidecar``
    :param address: at which it answers peers
    :param endpoint: address of the endpoint beside it, empty if there is none
    """

    name: str
    role: str
    incarnation: str
    address: str
    data_centre: str
    endpoint: str


decode_member = msgspec.msgpack.Decoder(Member).decode


@dataclass(frozen=True)
class Place:
    """Where an endpoint stands in its pool, in the order of addresses.

    :param rank: from 0
    :param engines: endpoints of the pool
    """

    rank: int
    engines: int


@dataclass(frozen=True)
class Belief:
    """One consistent view; replaced as a whole."""

    configuration: Configuration | None = None
    endpoints: dict[str, Endpoint] = field(default_factory=dict)
    members: dict[str, Member] = field(default_factory=dict)
    targets: tuple[WeightTarget, ...] = ()
    targets_revision: int = 0
    empty_requests: tuple[EmptyRequest, ...] = ()
    endpoints_revision: int = 0

    def newest_version(self, model: str) -> int:
        """Return the newest version that is named of a model, 0 if none is."""
        return max((one.version for one in self.targets if one.model == model), default=0)

    def in_pool(self, pool: str) -> list[Endpoint]:
        """Return the endpoints of a pool."""
        return [endpoint for endpoint in self.endpoints.values() if endpoint.pool == pool]

    def pool(self, name: str) -> Pool:
        """Return a pool as it is configured, else one with the usual values."""
        pools = self.configuration.pools if self.configuration is not None else {}
        return pools.get(name, Pool(name))

    def at_address(self, address: str) -> Endpoint | None:
        """Return the endpoint at an address, none if no entry names it."""
        return self.by_address.get(address)

    @cached_property
    def by_address(self) -> dict[str, Endpoint]:
        """Return the endpoints by address; worked out once for each view."""
        return {one.address: one for one in self.endpoints.values()}

    @cached_property
    def places(self) -> dict[str, Place]:
        """Return where each endpoint stands in its pool, by address; worked out once."""
        pools: dict[str, list[str]] = {}
        for address in sorted(self.by_address):
            pools.setdefault(self.by_address[address].pool, []).append(address)
        return {
            address: Place(rank, len(row))
            for row in pools.values()
            for rank, address in enumerate(row)
        }

    def sidecars(self) -> list[Member]:
        """Return the sidecars, in the order of their names."""
        return list(self.by_role.get("sidecar", ()))

    def gateways(self) -> list[Member]:
        """Return the gateways, in the order of their names."""
        return list(self.by_role.get("gateway", ()))

    @cached_property
    def by_role(self) -> dict[str, tuple[Member, ...]]:
        """Return the members by role, in the order of their names; worked out once."""
        rows: dict[str, list[Member]] = {}
        for _, one in sorted(self.members.items()):
            rows.setdefault(one.role, []).append(one)
        return {role: tuple(row) for role, row in rows.items()}


class Picture:
    """Builds a belief from the mirrors whenever one of them changes."""

    def __init__(self) -> None:
        self.operator = Mirror(OPERATOR_PREFIX, holds_lapsed=False)
        self.endpoints = Mirror(ENDPOINT_PREFIX, holds_lapsed=True)
        self.members = Mirror(MEMBER_PREFIX, holds_lapsed=True)
        self.belief = Belief()
        self.changed = threading.Condition()
        self.decoded: dict[str, tuple[int, object]] = {}
        self.doubted: dict[str, float] = {}
        self.lock = threading.Lock()
        for mirror in self.mirrors:
            mirror.listeners.append(self._rebuild)

    @property
    def mirrors(self) -> tuple[Mirror, ...]:
        """Return all mirrors."""
        return (self.operator, self.endpoints, self.members)

    @property
    def is_complete(self) -> bool:
        """Return whether requests can be routed."""
        return self.belief.configuration is not None and self.endpoints.known

    def _rebuild(self) -> None:
        with self.lock:
            old = self.belief
            self.belief = self._build()
            _log_changes(old, self.belief)
            self._log_doubts()
        with self.changed:
            self.changed.notify_all()

    def _build(self) -> Belief:
        operator = self.operator.snapshot()
        targets = self._decoded_under(WEIGHTS_PREFIX, operator, _read_target)
        return Belief(
            configuration=self._configuration(operator.get(CONFIGURATION_KEY)),
            endpoints=self._endpoints(),
            members=self._members(),
            targets=tuple(targets),
            targets_revision=max((target.revision for target in targets), default=0),
            empty_requests=tuple(self._decoded_under(EMPTY_PREFIX, operator, _read_empty)),
            endpoints_revision=self.endpoints.revision,
        )

    def _log_doubts(self) -> None:
        """Log entries that are believed a while longer though the store lacks them now."""
        found = self.endpoints.doubted() | self.members.doubted()
        for key in found.keys() - self.doubted.keys():
            log_state("removal_doubted", key=key, until=round(found[key], 3))
        self.doubted = found

    def _decoded_under(
        self, prefix: str, items: dict[str, Item], read: Callable[[Item], Any]
    ) -> list[Any]:
        rows = []
        for key, item in sorted(items.items()):
            if not key.startswith(prefix):
                continue
            try:
                rows.append(read(item))
            except DocumentError as error:
                log_state("document_unreadable", key=key, error=str(error))
        return rows

    def _configuration(self, item: Item | None) -> Configuration | None:
        if item is None:
            return self.belief.configuration
        held = self.decoded.get(item.key)
        if held is not None and held[0] == item.revision:
            return held[1]
        try:
            found = read_configuration(item.value)
        except DocumentError as error:
            log_state("configuration_unreadable", revision=item.revision, error=str(error))
            return self.belief.configuration
        self.decoded[item.key] = (item.revision, found)
        return found

    def _endpoints(self) -> dict[str, Endpoint]:
        found: list[Endpoint] = []
        for key, item in self.endpoints.snapshot().items():
            try:
                found.append(read_endpoint(key, item.value, item.revision))
            except DocumentError as error:
                log_state("endpoint_unreadable", key=key, error=str(error))
        return current_starts(found)

    def _members(self) -> dict[str, Member]:
        found: dict[str, Member] = {}
        for key, item in self.members.snapshot().items():
            try:
                member = decode_member(item.value)
            except msgspec.DecodeError as error:
                log_state("member_unreadable", key=key, error=str(error))
                continue
            found[member.name] = member
        return found


def _read_target(item: Item) -> WeightTarget:
    return read_weight_target(item.value, item.revision)


def _read_empty(item: Item) -> EmptyRequest:
    return read_empty_request(item.key, item.value, item.revision)


def _log_changes(old: Belief, new: Belief) -> None:
    """Log what this process believes differently now."""
    if new.configuration is not old.configuration and new.configuration is not None:
        log_state("configuration", version=new.configuration.version)
    for instance in old.endpoints.keys() - new.endpoints.keys():
        log_state("endpoint_gone", instance=instance, revision=new.endpoints_revision)
    for instance, endpoint in new.endpoints.items():
        before = old.endpoints.get(instance)
        if before is None or before.leaving != endpoint.leaving:
            log_state(
                "endpoint",
                instance=instance,
                pool=endpoint.pool,
                address=endpoint.address,
                leaving=endpoint.leaving,
                revision=new.endpoints_revision,
            )
    for name in old.members.keys() - new.members.keys():
        log_state("member_gone", member=name)
    for name, member in new.members.items():
        if old.members.get(name) != member:
            log_state("member", member=name, role=member.role, incarnation=member.incarnation)
    for target in new.targets:
        if target not in old.targets:
            log_state("version_named", model=target.model, version=target.version)


__all__ = ["MEMBER_PREFIX", "Belief", "Member", "Picture", "Place", "decode_member"]
