"""The kinds of resource that operators declare, and the checks on each."""

from __future__ import annotations

import re
from dataclasses import asdict, dataclass
from typing import TYPE_CHECKING, Any

from expression import Error, Ok

from threadramp.config.findings import Finding
from threadramp.config.registry import Registry
from threadramp.config.tables import read_table

if TYPE_CHECKING:
    from expression import Result

NAME_PATTERN = re.compile(r"[a-z0-9][a-z0-9._-]{0,62}")
DIGEST_PATTERN = re.compile(r"[0-9a-f]{64}")
ADDRESS_PATTERN = re.compile(r"\d{1,3}(\.\d{1,3}){3}:\d{1,5}")
POOL_TYPES = ("model", "service")

KINDS: Registry[type] = Registry()


@KINDS.register("data_centre")
@dataclass(frozen=True)
class DataCentre:
    """A data centre and the region it lies in."""

    region: str = "default"


@KINDS.register("pool")
@dataclass(frozen=True)
class Pool:
    """A set of interchangeable endpoints.

    :param type: ``model`` for engines, ``service`` for plain services
    :param models: the models or adapters that its engines serve
    :param repeatable: whether a call that does not say so may be repeated
    :param echoes_request_id: whether its endpoints return the request id of each answer
    """

    type: str
    models: tuple[str, ...] = ()
    repeatable: bool = False
    echoes_request_id: bool = True

    def findings(self, place: str) -> list[Finding]:
        """Return what is wrong beyond the types."""
        found = []
        if self.type not in POOL_TYPES:
            found.append(Finding(f"{place}.type", f"{self.type!r} is not one of {POOL_TYPES}"))
        if self.type == "model" and not self.models:
            found.append(Finding(f"{place}.models", "a model pool names at least one model"))
        return found


@KINDS.register("endpoint")
@dataclass(frozen=True)
class Endpoint:
    """One back end and the sidecar beside it.

    :param address: the endpoint's own ``ip:port``
    :param sidecar_http: the sidecar's ``ip:port`` for calls
    :param sidecar_sync: the sidecar's ``ip:port`` for the sync exchange
    :param slots: how many calls it serves at once
    :param checks_orders: whether it refuses an order with an old fencing number
    :param names_versions: whether each piece of its stream names the weight version
    :param drain: whether an operator has it leave
    """

    pool: str
    data_centre: str
    address: str
    sidecar_http: str
    sidecar_sync: str
    slots: int = 8
    checks_orders: bool = False
    names_versions: bool = True
    drain: bool = False

    def findings(self, place: str) -> list[Finding]:
        """Return what is wrong beyond the types."""
        found = []
        for key in ("address", "sidecar_http", "sidecar_sync"):
            if not ADDRESS_PATTERN.fullmatch(getattr(self, key)):
                found.append(Finding(f"{place}.{key}", "expected IP:PORT", "peers are IP numbers"))
        if self.slots < 1:
            found.append(Finding(f"{place}.slots", "must be at least 1"))
        return found


@KINDS.register("weights")
@dataclass(frozen=True)
class Weights:
    """The version of a model that all its engines should serve."""

    version: int

    def findings(self, place: str) -> list[Finding]:
        """Return what is wrong beyond the types."""
        if self.version < 0:
            return [Finding(f"{place}.version", "must not be negative")]
        return []


@KINDS.register("trainer")
@dataclass(frozen=True)
class Trainer:
    """A trainer: which model it trains, where its rollouts run, how old they may be.

    :param staleness_bound: how many versions a sample may lie behind, 0 for none
    """

    model: str
    pool: str
    staleness_bound: int = 1

    def findings(self, place: str) -> list[Finding]:
        """Return what is wrong beyond the types."""
        if self.staleness_bound < 0:
            return [Finding(f"{place}.staleness_bound", "must not be negative")]
        return []


@KINDS.register("priority")
@dataclass(frozen=True)
class Priority:
    """A class of call and its rank; the lowest rank goes first."""

    rank: int


@KINDS.register("organisation")
@dataclass(frozen=True)
class Organisation:
    """Whose callers come with keys of their own.

    :param key_digests: of its keys, as ``threadramp organisation key`` prints them; a key itself
        stands in no document
    """

    key_digests: tuple[str, ...] = ()

    def findings(self, place: str) -> list[Finding]:
        """Return what is wrong beyond the types; a text that may be a key is not repeated."""
        found = []
        for number, text in enumerate(self.key_digests):
            where = f"{place}.key_digests[{number}]"
            if not text:
                found.append(Finding(where, "is empty"))
            elif not DIGEST_PATTERN.fullmatch(text):
                hint = "make one with `threadramp organisation key`; no key stands in plain text"
                found.append(Finding(where, "is no digest of 64 hexadecimal digits", hint))
        if len(set(self.key_digests)) < len(self.key_digests):
            found.append(Finding(f"{place}.key_digests", "names a key twice"))
        return found


@dataclass(frozen=True)
class Resource:
    """A declared resource.

    :param revision: of the configuration at which it last changed
    """

    kind: str
    name: str
    revision: int
    spec: dict[str, Any]


def check_spec(kind: str, name: str, spec: object) -> Result[Any, list[Finding]]:
    """Check one resource by itself.

    :returns: the typed specification, or all findings
    """
    place = f"{kind}/{name}"
    if kind not in KINDS:
        return Error([Finding(place, "unknown kind", f"known: {', '.join(sorted(KINDS))}")])
    findings = []
    if not NAME_PATTERN.fullmatch(name):
        findings.append(Finding(place, "name must be lower case letters, digits, '.', '_', '-'"))
    result = read_table(KINDS[kind], spec, place)
    if result.is_error():
        return Error(findings + result.error)
    typed = result.ok
    if hasattr(typed, "findings"):
        findings += typed.findings(place)
    return Error(findings) if findings else Ok(typed)


def check_references(resources: dict[tuple[str, str], Any]) -> list[Finding]:
    """Check that what a resource names is declared too.

    :param resources: typed specifications by kind and name
    """
    findings = []
    for (kind, name), spec in resources.items():
        for field in ("pool", "data_centre"):
            target = getattr(spec, field, None)
            if target is not None and (field, target) not in resources:
                place = f"{kind}/{name}.{field}"
                findings.append(Finding(place, f"no {field} named {target!r} is declared"))
        if kind == "trainer":
            pool = resources.get(("pool", spec.pool))
            if pool is not None and spec.model not in pool.models:
                place = f"trainer/{name}.model"
                findings.append(Finding(place, f"pool {spec.pool!r} serves no {spec.model!r}"))
    return findings + _shared_keys(resources)


def _shared_keys(resources: dict[tuple[str, str], Any]) -> list[Finding]:
    """Return where two organisations name the same key."""
    findings = []
    holders: dict[str, str] = {}
    for (kind, name), spec in resources.items():
        for digest in spec.key_digests if kind == "organisation" else ():
            other = holders.setdefault(digest, name)
            if other != name:
                place = f"organisation/{name}.key_digests"
                findings.append(Finding(place, f"names a key that {other!r} has too"))
    return findings


def default_spec(typed: object) -> dict[str, Any]:
    """Return a typed specification as a plain table with all defaults filled in."""
    return asdict(typed)  # type: ignore[call-overload]


__all__ = [
    "DataCentre",
    "Endpoint",
    "KINDS",
    "Organisation",
    "Pool",
    "Priority",
    "Resource",
    "Trainer",
    "Weights",
    "check_references",
    "check_spec",
    "default_spec",
]
