"""Facts that a gateway knows, for an operator's ``Inspect`` request."""

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
    from threadramp.report.inspect_handler import InspectHandler


class GatewayInspector:
    """Reports what a gateway knows from its fleet view, its lots and its own requests to endpoints.

    Each method yields the facts about one object of a kind.
    """

    def __init__(
        self,
        fleet_view: FleetView,
        peers: Peers,
        access: EndpointAccess,
        owned_lots: OwnedLots,
        clock: Clock,
    ) -> None:
        self.fleet_view = fleet_view
        self.peers = peers
        self.access = access
        self.owned_lots = owned_lots
        self.clock = clock

    def register_with(self, handler: InspectHandler) -> InspectHandler:
        """Register a source of facts for each kind that a gateway knows, and return the handler."""
        handler.register("configuration", self.configuration)
        handler.register("duty", self.duty)
        handler.register("endpoint", self.endpoint)
        handler.register("lot", self.lot)
        handler.register("member", self.member)
        handler.register("organisation", self.organisation)
        handler.register("pool", self.pool)
        handler.register("request", self.request)
        return handler

    def configuration(self, name: str) -> Iterable[Fact]:
        """Yield the configuration version in use, and when it was last known to be the newest.

        :param name: ignored; there is only one configuration
        """
        mirror = self.fleet_view.operator
        source, ago_s = _last_update(mirror, CONFIGURATION_KEY, self.clock.now())
        unreadable = self.fleet_view.decode_cache.unreadable.get(CONFIGURATION_KEY)
        if unreadable is not None:
            yield Fact("newest", f"unreadable: {unreadable.reason}", source, ago_s)
        found = self.fleet_view.snapshot.configuration
        if found is None:
            yield Fact("version", "none yet", source, ago_s)
            return
        yield Fact("version", str(found.version), source, ago_s)
        age_s = self.fleet_view.configuration_age_s(self.clock.now())
        yield Fact("nothing newer stood", "then", "the store", _rounded_or_none(age_s))
        if found.organisations is None:
            yield Fact("organisations", "none are named: anybody may call", source, ago_s)
            return
        yield Fact("organisations", str(len(found.organisations.by_name)), source, ago_s)
        for fault in found.organisations.faults:
            yield Fact("fault", fault, source, ago_s)

    def organisation(self, name: str) -> Iterable[Fact]:
        """Yield facts about an organisation; of its keys only their number, never the keys."""
        source, ago_s = _last_update(self.fleet_view.operator, CONFIGURATION_KEY, self.clock.now())
        configuration = self.fleet_view.snapshot.configuration
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
        """Yield the holder of the fleet's duties.

        :param name: ignored; one gateway holds all duties
        """
        source, ago_s = _last_update(self.fleet_view.members, DUTIES_KEY, self.clock.now())
        item = self.fleet_view.members.snapshot().get(DUTIES_KEY)
        held = decode_lock_record(item.value) if item is not None else None
        holder = held.holder if held is not None else ""
        yield Fact("holder", holder or "nobody", source, ago_s)
        if item is not None:
            yield Fact("number", str(item.revision), source, ago_s)

    def endpoint(self, name: str) -> Iterable[Fact]:
        """Yield facts about an endpoint.

        :param name: its id or its address
        """
        found = self.fleet_view.snapshot.endpoints.get(name) or self.fleet_view.snapshot.at_address(
            name
        )
        instance = found.instance if found is not None else name
        key = self.fleet_view.endpoints.prefix + instance
        source, ago_s = _last_update(self.fleet_view.endpoints, key, self.clock.now())
        unreadable = self.fleet_view.decode_cache.unreadable.get(key)
        if unreadable is not None:
            yield Fact("entry", f"unreadable: {unreadable.reason}", source, ago_s)
        if found is None:
            yield Fact("endpoint", "names nobody here", source, ago_s)
            return
        yield Fact("id, birth", f"{found.instance}, {found.born or 'not told'}", source, ago_s)
        yield Fact("pool", f"{found.pool} at {found.address}, {found.data_centre}", source, ago_s)
        yield Fact("slots, leaving", f"{found.slots}, {found.leaving}", source, ago_s)
        yield Fact("revision", str(found.revision), source, ago_s)
        if key in self.fleet_view.endpoints.retained():
            yield Fact("removal", "doubted: the store lacks the entry", source, ago_s)
        yield from self._request_facts(found)

    def _request_facts(self, endpoint: object) -> Iterable[Fact]:
        """Yield what this gateway's own requests to an endpoint have shown."""
        record = self.access.choice.records.get(endpoint.incarnation)
        if record is None:
            return
        now = self.clock.now()
        avoided_s = max(0.0, record.suspended_until - now)
        yield Fact("open requests", str(record.open), "own requests", None)
        yield Fact(
            "failures, avoided s", f"{record.failures}, {avoided_s:.1f}", "own requests", None
        )
        times = record.times
        if times.samples:
            factor = f"{times.factor:.2f} times the usual time of work"
            yield Fact("speed", factor, "own requests", None)
        if times.load is not None:
            load = f"{times.load.running} running, {times.load.waiting} waiting"
            age_s = round(now - times.load_at, 2)
            yield Fact("load", load, "its answers", age_s)
            yield Fact("work takes", f"{times.load.work_percent}% of usual", "its answers", age_s)

    def pool(self, name: str) -> Iterable[Fact]:
        """Yield how calls to a pool are limited here, and what is known about its endpoints.

        :param name: of the pool
        """
        queues = self.access.call_queues
        queue = queues.by_pool.get(name) if queues is not None else None
        if queue is None:
            yield Fact("calls", "are not limited, or none came yet", "own settings", None)
            return
        now = self.clock.now()
        with queue.lock:
            admission = queue.admission
            waiting = list(admission.waiting.values())
            in_flight = len(admission.in_flight)
            rate = admission.rate_per_s(now)
            booked_s = max(0.0, admission.return_booked_until - now)
        yield Fact("limit", queues.limit, "own settings", None)
        yield Fact("open calls", str(in_flight), "own requests", 0.0)
        yield Fact("started per s", f"{rate:.0f}", "own requests", 0.0)
        yield Fact("waiting", str(len(waiting)), "own queue", 0.0)
        for priority in sorted({call.priority for call in waiting}):
            calls = [call for call in waiting if call.priority == priority]
            oldest_ms = max(now - call.arrived_at for call in calls) * 1000
            text = f"{len(calls)}, the oldest for {oldest_ms:.0f} ms"
            yield Fact(f"waiting with priority {priority}", text, "own queue", 0.0)
        yield Fact("returns booked for", f"{booked_s:.2f} s", "own queue", 0.0)
        usual = self.access.choice.work_times.get(name)
        if usual is not None:
            yield Fact("usual time of work", f"{usual.usual_s * 1000:.0f} ms", "own requests", None)
        for endpoint in self.fleet_view.snapshot.in_pool(name):
            yield Fact("endpoint", endpoint.instance, "the store", None)
            yield from self._request_facts(endpoint)

    def lot(self, name: str) -> Iterable[Fact]:
        """Yield facts about a lot that this gateway runs."""
        owned = self.owned_lots.get(name)
        if owned is None:
            yield Fact("lot", "is not run here", "own lots", None)
            return
        with self.owned_lots.lock:
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
        """Yield facts about a process in the member list.

        :param name: name of its box
        """
        found = self.fleet_view.snapshot.members.get(name)
        key = self.fleet_view.members.prefix + name
        source, ago_s = _last_update(self.fleet_view.members, key, self.clock.now())
        if found is None:
            yield Fact("member", "is not listed here", source, ago_s)
            return
        yield Fact("role, process", f"{found.role}, {found.incarnation}", source, ago_s)
        yield Fact("address", f"{found.address}, {found.data_centre}", source, ago_s)
        replied_at = self.peers.last_reply_at.get(found.address)
        if replied_at is not None:
            yield Fact("answered", "yes", "own questions", round(self.clock.now() - replied_at, 2))
        if self.peers.unresponsive.is_unresponsive(found):
            yield Fact("answers", "not to the last beats", "own questions", None)

    def request(self, name: str) -> Iterable[Fact]:
        """Yield facts about a request that is suspected of crashing endpoints.

        :param name: its short fingerprint, as in the logs
        """
        tracker = self.access.guard.tracker
        found = tracker.find(name)
        now = self.clock.time_of_day()
        if found is None:
            yield Fact("request", "nothing is held against it", "crash book", None)
            return
        assessment = tracker.assess(found.fingerprint, now)
        yield Fact("verdict", assessment.level.value, "crash book", round(now - found.seen_at, 2))
        yield Fact("trials made", str(found.trials), "crash book", None)
        if assessment.retry_after_s:
            label = "held back for s" if found.owed else "next trial or end in s"
            yield Fact(label, f"{assessment.retry_after_s:.1f}", "crash book", None)
        for crash in found.standing:
            yield Fact(
                "endpoint ended", crash.start.instance, "crash book", round(now - crash.at, 2)
            )


def _rounded_or_none(seconds: float) -> float | None:
    """Return the seconds rounded to two digits, none if they are infinite."""
    return round(seconds, 2) if seconds < float("inf") else None


def _last_update(mirror: Mirror, key: str, now: float) -> tuple[str, float | None]:
    """Return the source of a key's last update, and the seconds since it came."""
    source, at = mirror.source_of(key)
    return source, None if at is None else round(now - at, 2)


__all__ = ["GatewayInspector"]
