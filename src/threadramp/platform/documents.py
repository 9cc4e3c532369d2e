"""The operator's documents and the endpoints' entries in the store, decoded into our types."""

from __future__ import annotations

import re
from enum import Enum
from ipaddress import IPv4Address
from typing import Annotated

import msgspec

from threadramp.fleet.model import (
    Autoscale,
    CallerLimits,
    Configuration,
    Endpoint,
    Pool,
    PoolShare,
    RetireRequest,
    Route,
    RouteKind,
    WeightTarget,
)
from threadramp.platform.organisation_rows import read_organisations

CONFIGURATION_KEY = "op/config"
OPERATOR_PREFIX = "op/"
WEIGHTS_PREFIX = "op/version/"
EMPTY_PREFIX = "op/retire/"
EMPTY_STATUS_PREFIX = "status/retire/"
ENDPOINT_PREFIX = "servers/"  # misleading: one entry is one start of an endpoint
MS_PER_S = 1000
# Beyond what any box can have; the platform's pages name no bounds.
NAME_MOST = 200  # characters, as many as a key of the store may have bytes
SLOTS_MOST = 1_000_000
COUNT_MOST = 2**53  # whole numbers that JSON carries exactly
PORT_MOST = 65_535
_INSTANCE = re.compile(r"[!-~]{1,200}")  # it goes into a header

_KINDS = {
    "safe": RouteKind.REPEATABLE,
    "unsafe": RouteKind.ONCE,
    "streaming": RouteKind.STREAM,
    "rollout": RouteKind.SAMPLES,
    "batch": RouteKind.SAMPLES,
}


class DocumentError(Exception):
    """A document in the store that cannot be read."""


class _Share(msgspec.Struct):
    backend: str
    weight: float = 1.0


class _Route(msgspec.Struct, rename="camel"):
    name: str
    hostname: str
    path_prefix: str
    kind: str = "unsafe"  # what is not known may not be repeated
    timeout_ms: float = 0
    target_latency_ms: float = 0
    priority: int = 0
    backend: str = ""  # misleading: the name of a whole pool
    traffic_split: list[_Share] = []
    max_attempts: int = 1
    resumable: bool = False
    run_target_ms: float = 0
    queue_ttl_s: float = msgspec.field(default=0, name="queueTtlS")
    single_version: bool = False
    public: bool = False

    def decoded(self) -> Route:
        shares = tuple(PoolShare(share.backend, share.weight) for share in self.traffic_split)
        return Route(
            name=self.name,
            host=self.hostname.lower(),
            prefix=self.path_prefix,
            kind=_KINDS.get(self.kind, RouteKind.ONCE),
            shares=shares or (PoolShare(self.backend, 1.0),),
            timeout_s=self.timeout_ms / MS_PER_S,
            target_s=self.target_latency_ms / MS_PER_S,
            max_attempts=max(1, self.max_attempts),
            priority=self.priority,
            resumable=self.resumable,
            result_target_s=self.run_target_ms / MS_PER_S,
            give_up_s=self.queue_ttl_s,
            one_version=self.single_version,
            public=self.public,
        )


class _Model(msgspec.Struct):
    name: str


class _Engine(msgspec.Struct, rename="camel"):
    slots: int = 0
    kv_capacity: int = 0  # misleading: tokens, not bytes
    models: list[_Model] = []


class _Autoscale(msgspec.Struct, rename="camel"):
    """Both bounds are needed: one that is missing would be guessed, and endpoints are paid for."""

    min_replicas: Annotated[int, msgspec.Meta(ge=0)]
    max_replicas: Annotated[int, msgspec.Meta(ge=0)]
    boot_s: float = 0.0

    def decoded(self) -> Autoscale:
        return Autoscale(self.min_replicas, self.max_replicas, self.boot_s)


class _Pool(msgspec.Struct, rename="camel"):
    name: str
    health_path: str = "/"
    max_conns: int = 64
    cold_per_s: Annotated[float, msgspec.Meta(ge=0)] = 0.0
    engine: _Engine | None = None
    autoscale: _Autoscale | None = None

    def decoded(self) -> Pool:
        engine = self.engine or _Engine()
        return Pool(
            name=self.name,
            health_path=self.health_path,
            max_connections=self.max_conns,
            cold_per_s=self.cold_per_s,
            slots=engine.slots,
            memory_tokens=engine.kv_capacity,
            models=tuple(model.name for model in engine.models),
            autoscale=self.autoscale and self.autoscale.decoded(),
        )


class _Limits(msgspec.Struct, rename="camel"):
    max_header_bytes: int = 16_384
    max_body_bytes: int = 33_554_432
    header_timeout_ms: float = 3000
    idle_timeout_ms: float = 15_000

    def decoded(self) -> CallerLimits:
        return CallerLimits(
            self.max_header_bytes,
            self.max_body_bytes,
            self.header_timeout_ms / MS_PER_S,
            self.idle_timeout_ms / MS_PER_S,
        )


class _Configuration(msgspec.Struct):
    version: int
    routes: list[_Route] = []
    backends: list[_Pool] = []  # misleading: pools, not single endpoints
    limits: _Limits = msgspec.field(default_factory=_Limits)
    tenants: list[msgspec.Raw] | None = None


class _State(Enum):
    READY = "ready"
    LEAVING = "draining"


_Name = Annotated[str, msgspec.Meta(min_length=1, max_length=NAME_MOST)]
_Count = Annotated[int, msgspec.Meta(ge=0, le=COUNT_MOST)]


class _Endpoint(msgspec.Struct):
    """All that an endpoint writes of itself; an entry that lacks any of it is by another writer."""

    backend: _Name  # misleading: the pool's name
    address: str
    zone: _Name
    version: str  # of its software
    slots: Annotated[int, msgspec.Meta(ge=1, le=SLOTS_MOST)]
    state: _State
    coldMs: Annotated[float, msgspec.Meta(ge=0)]  # noqa: N815 - the platform's spelling
    seq: _Count
    born: _Count = 0


class _WeightTarget(msgspec.Struct):
    model: _Name
    version: Annotated[int, msgspec.Meta(ge=1, le=COUNT_MOST)]


class _EmptyRequest(msgspec.Struct):
    durationS: float = 10.0  # noqa: N815 - the platform's spelling


_configuration = msgspec.json.Decoder(_Configuration)
_endpoint = msgspec.json.Decoder(_Endpoint)
_target = msgspec.json.Decoder(_WeightTarget)
_empty = msgspec.json.Decoder(_EmptyRequest)


def read_configuration(value: bytes, before: Configuration | None = None) -> Configuration:
    """Decode the operator's configuration.

    :param before: whose organisations are taken over where their rows are the same
    :raises DocumentError: if it cannot be read
    """
    found = _decode(_configuration, value)
    known = before.organisations if before is not None else None
    return Configuration(
        version=found.version,
        routes=tuple(route.decoded() for route in found.routes),
        pools={pool.name: pool.decoded() for pool in found.backends},
        limits=found.limits.decoded(),
        organisations=None if found.tenants is None else read_organisations(found.tenants, known),
    )


def read_endpoint(key: str, value: bytes, revision: int) -> Endpoint:
    """Decode an endpoint's own entry.

    Whatever is not whole and well formed was not written by an endpoint: taken as ready, or as
    one that leaves, it would get work, or hide the true entry at the same address.

    :raises DocumentError: if it cannot be read or is not whole
    """
    found = _decode(_endpoint, value)
    instance = key.removeprefix(ENDPOINT_PREFIX)
    if not _INSTANCE.fullmatch(instance):
        raise DocumentError(f"an id that cannot be sent: {instance!r}")
    if not is_address(found.address):
        raise DocumentError(f"no address: {found.address!r}")
    return Endpoint(
        instance=instance,
        pool=found.backend,
        address=found.address,
        data_centre=found.zone,
        slots=found.slots,
        leaving=found.state is _State.LEAVING,
        revision=revision,
        born=found.born,
        cold_s=found.coldMs / MS_PER_S,
    )


def read_weight_target(value: bytes, revision: int) -> WeightTarget:
    """Decode the version that a trainer named.

    :raises DocumentError: if it cannot be read
    """
    found = _decode(_target, value)
    return WeightTarget(found.model, found.version, revision)


def read_empty_request(key: str, value: bytes, revision: int) -> RetireRequest:
    """Decode the operator's wish to have a box emptied.

    :raises DocumentError: if it cannot be read
    """
    found = _decode(_empty, value)
    return RetireRequest(key.removeprefix(EMPTY_PREFIX), found.durationS, revision)


def is_address(text: str) -> bool:
    """Return whether a text is ``ip:port``, by numbers."""
    host, _, port = text.partition(":")
    try:
        is_host = not IPv4Address(host).is_unspecified
    except ValueError:
        return False
    return is_host and port.isascii() and port.isdigit() and 0 < int(port[:6]) <= PORT_MOST


def empty_status(done: bool) -> bytes:
    """Encode how far the emptying of a box is."""
    return msgspec.json.encode({"state": "succeeded" if done else "running"})


def _decode(decoder: msgspec.json.Decoder, value: bytes):  # noqa: ANN202 - as the decoder's type
    try:
        return decoder.decode(value)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise DocumentError(str(error)) from error


__all__ = [
    "CONFIGURATION_KEY",
    "EMPTY_PREFIX",
    "EMPTY_STATUS_PREFIX",
    "ENDPOINT_PREFIX",
    "OPERATOR_PREFIX",
    "WEIGHTS_PREFIX",
    "DocumentError",
    "empty_status",
    "is_address",
    "read_configuration",
    "read_empty_request",
    "read_endpoint",
    "read_weight_target",
]
