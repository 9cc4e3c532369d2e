"""Communication with other threadramp processes: heartbeats, mirror copies, relayed calls."""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING

from threadramp.fleet.facts import facts_for, is_in_pools, serves_any
from threadramp.fleet.fleet_view import Member
from threadramp.fleet.mirror_sync import MAX_REVISION, MirrorSync
from threadramp.fleet.recent_members import RecentMembers
from threadramp.fleet.relaying import interleave, relay_through
from threadramp.fleet.unresponsive_gateways import UnresponsiveGateways
from threadramp.fleet.watch_delegation import WatchDelegation
from threadramp.policy.routing import rendezvous
from threadramp.report.guard import start_loop
from threadramp.wire.fleet import Beat, CallStore, MirrorBeat, MirrorChanges, MirrorCopy

if TYPE_CHECKING:
    from collections.abc import Callable, Set

    from threadramp.fleet.clock import Clock
    from threadramp.fleet.fleet_view import FleetView
    from threadramp.fleet.store_health import StoreHealth
    from threadramp.platform.store_model import Call, Changes, Listing, RawAnswer
    from threadramp.wire.fleet import AnyAsk, AnyReply
    from threadramp.wire.runner import Facts
    from threadramp.wire.sync import SyncClient

HEARTBEAT_INTERVAL_S = 0.5
HEARTBEAT_TIMEOUT_S = 0.4
GATEWAYS_PER_HEARTBEAT = 2
GATEWAYS_PER_SIDECAR = 2  # gateways that regularly send heartbeats to one sidecar
GATEWAY_RETENTION_S = 10.0  # one that was dropped from the list has registered again within 3 s
SIDECAR_RETENTION_S = 5.0  # a sidecar that is not listed and does not answer is forgotten then
UNLISTED_GRACE_S = 1.5


class Peers:
    """One gateway's communication with its peers."""

    def __init__(
        self,
        member: Member,
        fleet_view: FleetView,
        client: SyncClient,
        health: StoreHealth,
        clock: Clock,
    ) -> None:
        self.member = member
        self.fleet_view = fleet_view
        self.client = client
        self.health = health
        self.clock = clock
        self.last_reply_at: dict[str, float] = {}
        self.unresponsive = UnresponsiveGateways()
        self.sidecar_history = RecentMembers(SIDECAR_RETENTION_S)
        self.gateway_history = RecentMembers(GATEWAY_RETENTION_S)
        self.stopped = threading.Event()
        self.on_unlisted: Callable[[], None] = lambda: None
        self.list_members: Callable[[], Listing] = lambda: fleet_view.members.copy()
        self.unlisted_since: float | None = None
        self.mirror_sync = MirrorSync(fleet_view, health, clock)
        self.watch_delegation = WatchDelegation(member, fleet_view, health, clock)
        fleet_view.members.listeners.append(self._members_changed)

    @property
    def sender_fields(self) -> tuple[str, str]:
        """Return the sender fields of a request: name and address of this process."""
        return (self.member.name, self.member.address)

    @property
    def data_centre(self) -> str:
        """Return the data centre of this process."""
        return self.member.data_centre

    def start(self) -> None:
        """Start sending heartbeats."""
        start_loop(self._run, self.stopped)

    def ask(self, address: str, ask: AnyAsk, timeout_s: float) -> AnyReply | None:
        """Ask one peer; none if it did not answer in time."""
        reply = self.client.ask(address, ask, timeout_s)
        if reply is not None:
            self.last_reply_at[address] = self.clock.now()
        return reply

    def ask_all(self, asks: dict[str, AnyAsk], timeout_s: float) -> dict[str, AnyReply]:
        """Ask several peers at once; those that did not answer are not in the result."""
        replies = self.client.exchange(asks, timeout_s)
        now = self.clock.now()
        self.last_reply_at.update(dict.fromkeys(replies, now))
        return replies

    def ask_members(
        self, asks: list[tuple[Member, AnyAsk]], timeout_s: float
    ) -> dict[str, AnyReply]:
        """Ask several members at once, of which some may be at one address.

        :returns: replies by the member's name; those that did not answer are not in it
        """
        requests = [(member.address, ask) for member, ask in asks]
        replies = self.client.exchange_each(requests, timeout_s)
        now = self.clock.now()
        found = {}
        for (member, _), reply in zip(asks, replies, strict=True):
            if reply is not None:
                found[member.name] = reply
                self.last_reply_at[member.address] = now
        return found

    def gateways(self) -> list[Member]:
        """Return the other gateways, those with the latest reply first."""
        others = [
            one for one in self.fleet_view.snapshot.gateways() if one.name != self.member.name
        ]
        others.sort(key=lambda one: -self.last_reply_at.get(one.address, 0.0))
        return others

    def recent_gateways(self) -> list[Member]:
        """Return the other gateways that are listed, recently were, or recently replied."""
        now = self.clock.now()
        self.gateway_history.record(self.gateways(), now)
        return self.gateway_history.current(self.last_reply_at, now)

    def live_gateways(self) -> list[Member]:
        """Return the gateways that are listed and responsive, including this one.

        Used to find orphaned lots: an owner's entry may outlive its process by seconds, and by a
        whole outage of the store. Taking over a lot from a live owner does no harm.
        """
        listed = self.fleet_view.snapshot.gateways()
        live = [one for one in listed if not self.unresponsive.is_unresponsive(one)]
        return live if any(one.name == self.member.name for one in live) else [*live, self.member]

    def sidecars(self) -> list[Member]:
        """Return the sidecars in the member list and those that recently replied.

        A sidecar may be dropped from the list without notice; it learns that from heartbeats.
        """
        now = self.clock.now()
        self.sidecar_history.record(self.fleet_view.snapshot.sidecars(), now)
        return self.sidecar_history.current(self.last_reply_at, now)

    def sidecars_for(self, models: Set[str], pools: Set[str]) -> list[Member]:
        """Return the sidecars in these pools whose engines are used for samples of these models."""
        snapshot = self.fleet_view.snapshot
        return [
            one
            for one in self.sidecars()
            if is_in_pools(one, pools, snapshot) and serves_any(one, models, snapshot)
        ]

    def reload_members(self) -> None:
        """Reload the member list from the store.

        :raises StoreError: if no answer came
        """
        listing = self.list_members()
        self.fleet_view.members.replace(listing, self.clock.now())

    def relay(self, call: Call) -> RawAnswer:
        """Relay a call to the store through a peer.

        :raises StoreRefusedError: if no peer had it done
        :raises StoreUnknownError: if a peer may have
        """
        ask = CallStore(*self.sender_fields, call)
        return relay_through(self.relay_addresses(), ask, self.ask)

    def relay_addresses(self) -> list[str]:
        """Return the addresses of peers that may reach the store, latest reply first."""
        sidecars = sorted(
            self.sidecars(), key=lambda one: -self.last_reply_at.get(one.address, 0.0)
        )
        return interleave(
            [one.address for one in self.gateways()], [one.address for one in sidecars]
        )

    def facts_for(self, sidecar: Member) -> Facts:
        """Return the facts for a sidecar from the current snapshot."""
        return facts_for(sidecar, self.fleet_view.snapshot, self.clock.now())

    def push_changes(self, prefix: str, after: int, changes: Changes) -> None:
        """Push the changes after a revision to the gateways that follow this one."""
        ask = MirrorChanges(
            *self.sender_fields, prefix, after, changes.revision, changes.items, changes.removals
        )
        asks = {one.address: ask for one in self.watch_delegation.followers()}
        if asks:
            self.ask_all(asks, HEARTBEAT_TIMEOUT_S)

    def _members_changed(self) -> None:
        self.gateway_history.record_change(self.gateways(), self.clock.now())

    def _run(self) -> None:
        while not self.stopped.wait(HEARTBEAT_INTERVAL_S):
            now = self.clock.now()
            for mirror in self.fleet_view.mirrors:
                mirror.expire(now)
            self._check_listed(now)
            self._send_sidecar_heartbeats()
            self._exchange_with_gateways()
            # Re-evaluated here too, because watches check it only between two answers of the store.
            self.watch_delegation.follows()

    def _send_sidecar_heartbeats(self) -> None:
        gateways = [one.name for one in self.fleet_view.snapshot.gateways()]
        asks = {}
        for sidecar in self.sidecars():
            if self.member.name in rendezvous(sidecar.name, gateways)[:GATEWAYS_PER_SIDECAR]:
                asks[sidecar.address] = Beat(*self.sender_fields, self.facts_for(sidecar))
        self.ask_all(asks, HEARTBEAT_TIMEOUT_S)

    def _exchange_with_gateways(self) -> None:
        """Ask some other gateways for newer data, or all while the store is unreachable."""
        asked = self._heartbeat_targets()
        asked_at = self.clock.now()
        replies = self.ask_all(
            {one.address: self._heartbeat_for(one) for one in asked}, HEARTBEAT_TIMEOUT_S
        )
        self.unresponsive.record(asked, set(replies), self.fleet_view.snapshot.gateways())
        for member in asked:
            reply = replies.get(member.address)
            if isinstance(reply, MirrorCopy):
                self.watch_delegation.record_confirmation(member.name, reply.confirmed_ago_s)
                self.mirror_sync.apply_copy(reply, member.name, asked_at)

    def _heartbeat_for(self, member: Member) -> MirrorBeat:
        """Return the heartbeat for a gateway.

        The fallback watcher in another data centre is asked only whether it can reach the store:
        half of the time it is some tenths of a second ahead, and would send complete copies from
        one data centre to another.
        """
        is_fallback = (
            member.data_centre != self.data_centre and member in self.watch_delegation.leaders()
        )
        if (
            is_fallback
            and not self.health.is_unreachable
            and self.watch_delegation.receives_pushed_changes()
        ):
            return MirrorBeat(
                *self.sender_fields, dict.fromkeys(self.mirror_sync.revisions(), MAX_REVISION)
            )
        return MirrorBeat(*self.sender_fields, self.mirror_sync.revisions())

    def _heartbeat_targets(self) -> list[Member]:
        """Return the gateways to ask this time, including those that this one follows."""
        others = self.gateways()
        if self.health.is_unreachable:
            return others
        least_recent = others[-GATEWAYS_PER_HEARTBEAT:]
        if self.watch_delegation.is_watcher():
            return least_recent
        asked = [*least_recent, *self.watch_delegation.leaders()]
        return list({one.name: one for one in asked}.values())  # each once

    def _check_listed(self, now: float) -> None:
        """Detect that the member list has lacked this process for a while."""
        if (
            not self.fleet_view.members.is_loaded
            or self.member.name in self.fleet_view.snapshot.members
        ):
            self.unlisted_since = None
            return
        if self.unlisted_since is None:
            self.unlisted_since = now
        elif now - self.unlisted_since > UNLISTED_GRACE_S:
            self.unlisted_since = now
            self.on_unlisted()


__all__ = ["Peers"]
