"""What a gateway tells an operator of what it believes."""

from __future__ import annotations

from typing import TYPE_CHECKING

from threadramp.fleet.fenced_lock import decode_lock_record
from threadramp.fleet.fleet_view import DUTIES_KEY
from threadramp.platform.documents import CONFIGURATION_KEY
from threadramp.wire.fleet import Fact

if TYPE_CHECKING:
    from collections.abc import Iterable

    from threadramp.edge.attempt_loop import EndpointAccess
    from threadramp.fleet.clock import Clock
    from threadramp.fleet.fleet_view import FleetView
    from threadramp.fleet.mirror import Mirror
    from threadramp.fleet.peers import Peers
    from threadramp.lots.owned import OwnedLots
    from threadramp.report.beliefs import Beliefs


class GatewayBeliefs:
    """What a gateway believes, from its picture, its lots and what it saw of endpoints itself."""

    def __init__(
        self,
        picture: FleetView,
        peers: Peers,
        access: EndpointAccess,
        owned: OwnedLots,
        clock: Clock,
    ) -> None:
        self.picture = picture
        self.peers = peers
        self.access = access
        self.owned = owned
        self.clock = clock

    def added_to(self, beliefs: Beliefs) -> Beliefs:
        """Return what answers, told of all kinds that a gateway knows."""
        beliefs.add("configuration", self.configuration)
        beliefs.add("duty", self.duty)
        beliefs.add("endpoint", self.endpoint)
        beliefs.add("lot", self.lot)
        beliefs.add("member", self.member)
        beliefs.add("organisation", self.organisation)
        beliefs.add("request", self.request)
        return beliefs

    def configuration(self, name: str) -> Iterable[Fact]:
        """Tell which version is believed, whatever name is given, and since when it was current."""
        mirror = self.picture.operator
        source, ago_s = _heard(mirror, CONFIGURATION_KEY, self.clock.now())
        spoiled = self.picture.decode_cache.unreadable.get(CONFIGURATION_KEY)
        if spoiled is not None:
            yield Fact("newest", f"unreadable: {spoiled.reason}", source, ago_s)
        found = self.picture.snapshot.configuration
        if found is None:
            yield Fact("version", "none yet", source, ago_s)
            return
        yield Fact("version", str(found.version), source, ago_s)
        age_s = self.picture.configuration_age_s(self.clock.now())
        yield Fact("nothing newer stood", "then", "the store", _finite(age_s))
        if found.organisations is None:
            yield Fact("organisations", "none are named: anybody may call", source, ago_s)
            return
        yield Fact("organisations", str(len(found.organisations.by_name)), source, ago_s)
        for fault in found.organisations.faults:
            yield Fact("fault", fault, source, ago_s)

    def organisation(self, name: str) -> Iterable[Fact]:
        """Tell of an organisation; never of its keys, but how many it holds."""
        source, ago_s = _heard(self.picture.operator, CONFIGURATION_KEY, self.clock.now())
        configuration = self.picture.snapshot.configuration
        known = configuration.organisations if configuration is not None else None
        found = known.by_name.get(name) if known is not None else None
        if found is None:
            yield Fact("organisation", "is not named", source, ago_s)
            return
        valid = sum(known.by_key.get(key) is found for key in found.keys)
        yield Fact("keys", f"{len(found.keys)}, {valid} of them its alone", source, ago_s)
        priority = "the route's" if found.priority is None else str(found.priority)
        yield Fact("priority", priority, source, ago_s)

    def duty(self, name: str) -> Iterable[Fact]:
        """Tell who holds the duties of the fleet, whatever name is given."""
        source, ago_s = _heard(self.picture.members, DUTIES_KEY, self.clock.now())
        item = self.picture.members.snapshot().get(DUTIES_KEY)
        held = decode_lock_record(item.value) if item is not None else None
        holder = held.holder if held is not None else ""
        yield Fact("holder", holder or "nobody", source, ago_s)
        if item is not None:
            yield Fact("number", str(item.revision), source, ago_s)

    def endpoint(self, name: str) -> Iterable[Fact]:
        """Tell of an endpoint by its id or its address."""
        found = self.picture.snapshot.endpoints.get(name) or self.picture.snapshot.at_address(name)
        instance = found.instance if found is not None else name
        key = self.picture.endpoints.prefix + instance
        source, ago_s = _heard(self.picture.endpoints, key, self.clock.now())
        spoiled = self.picture.decode_cache.unreadable.get(key)
        if spoiled is not None:
            yield Fact("entry", f"unreadable: {spoiled.reason}", source, ago_s)
        if found is None:
            yield Fact("endpoint", "names nobody here", source, ago_s)
            return
        yield Fact("id, birth", f"{found.instance}, {found.born or 'not told'}", source, ago_s)
        yield Fact("pool", f"{found.pool} at {found.address}, {found.data_centre}", source, ago_s)
        yield Fact("slots, leaving", f"{found.slots}, {found.leaving}", source, ago_s)
        yield Fact("revision", str(found.revision), source, ago_s)
        if key in self.picture.endpoints.retained():
            yield Fact("removal", "doubted: the store lacks the entry", source, ago_s)
        yield from self._seen_of(found)

    def _seen_of(self, found: object) -> Iterable[Fact]:
        """Tell what requests to an endpoint showed."""
        record = self.access.choice.records.get(found.incarnation)
        if record is None:
            return
        now = self.clock.now()
        avoided_s = max(0.0, record.suspended_until - now)
        yield Fact("open requests", str(record.open), "own requests", None)
        yield Fact(
            "failures, avoided s", f"{record.failures}, {avoided_s:.1f}", "own requests", None
        )
        if record.load is not None:
            load = f"{record.load.running} running, {record.load.waiting} waiting"
            yield Fact("load", load, "its answers", round(now - record.load_at, 2))

    def lot(self, name: str) -> Iterable[Fact]:
        """Tell of a lot that this gateway runs."""
        owned = self.owned.get(name)
        if owned is None:
            yield Fact("lot", "is not run here", "own lots", None)
            return
        with self.owned.lock:
            phases: dict[str, int] = {}
            runners: dict[str, int] = {}
            for state in owned.tracker.states.values():
                phases[state.phase.value] = phases.get(state.phase.value, 0) + 1
                if state.runner:
                    runners[state.runner] = runners.get(state.runner, 0) + 1
            ago_s = round(self.clock.now() - owned.ownership_confirmed_at, 2)
        yield Fact("samples by phase", str(phases), "own lots", 0.0)
        yield Fact("samples by runner", str(runners), "own lots", 0.0)
        listed = f"{owned.stored.head.listed} at revision {owned.stored.revision}"
        yield Fact("listed", listed, "the store", ago_s if ago_s < 1e6 else None)

    def member(self, name: str) -> Iterable[Fact]:
        """Tell of a process of ours by the name of its box."""
        found = self.picture.snapshot.members.get(name)
        key = self.picture.members.prefix + name
        source, ago_s = _heard(self.picture.members, key, self.clock.now())
        if found is None:
            yield Fact("member", "is not listed here", source, ago_s)
            return
        yield Fact("role, process", f"{found.role}, {found.incarnation}", source, ago_s)
        yield Fact("address", f"{found.address}, {found.data_centre}", source, ago_s)
        heard = self.peers.last_reply_at.get(found.address)
        if heard is not None:
            yield Fact("answered", "yes", "own questions", round(self.clock.now() - heard, 2))
        if self.peers.unresponsive.is_unresponsive(found):
            yield Fact("answers", "not to the last beats", "own questions", None)

    def request(self, name: str) -> Iterable[Fact]:
        """Tell of a request that is suspected, by its fingerprint as it stands in logs."""
        book = self.access.guard.tracker
        found = book.find(name)
        now = self.clock.time_of_day()
        if found is None:
            yield Fact("request", "nothing is held against it", "crash book", None)
            return
        ruling = book.assess(found.fingerprint, now)
        yield Fact("verdict", ruling.level.value, "crash book", round(now - found.seen_at, 2))
        yield Fact("trials made", str(found.trials), "crash book", None)
        if ruling.retry_after_s:
            yield Fact("next trial or end in s", f"{ruling.retry_after_s:.1f}", "crash book", None)
        for crash in found.standing:
            yield Fact(
                "endpoint ended", crash.start.instance, "crash book", round(now - crash.at, 2)
            )


def _finite(seconds: float) -> float | None:
    return round(seconds, 2) if seconds < float("inf") else None


def _heard(mirror: Mirror, key: str, now: float) -> tuple[str, float | None]:
    """Return by which source a key was last learned, and how long ago."""
    source, at = mirror.source_of(key)
    return source, None if at is None else round(now - at, 2)


__all__ = ["GatewayBeliefs"]
