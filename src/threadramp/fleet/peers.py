"""Exchanges with other processes of ours: signs of life, what each has seen, relayed calls."""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING

from threadramp.fleet.facts import facts_for, serves_any
from threadramp.fleet.fleet_view import Member
from threadramp.fleet.mirror_sync import ALL_SEEN, MirrorSync
from threadramp.fleet.recent_members import RecentMembers
from threadramp.fleet.relaying import in_turn, relay_through
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

BEAT_S = 0.5
BEAT_TIMEOUT_S = 0.4
GATEWAYS_A_BEAT = 2
BEATERS = 2  # gateways that regularly beat to one sidecar
GATEWAY_REMEMBERED_S = 10.0  # one that loses its place has listed itself again within 3 s
REMEMBERED_S = 5.0  # a sidecar that is not listed and does not answer is forgotten after this
UNLISTED_GRACE_S = 1.5


class Peers:
    """What one gateway says to its peers and hears from them."""

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
        self.sidecars_lately = RecentMembers(REMEMBERED_S)
        self.other_gateways_lately = RecentMembers(GATEWAY_REMEMBERED_S)
        self.stopped = threading.Event()
        self.on_unlisted: Callable[[], None] = lambda: None
        self.list_members: Callable[[], Listing] = lambda: fleet_view.members.copy()
        self.unlisted_since: float | None = None
        self.mirror_sync = MirrorSync(fleet_view, health, clock)
        self.watch_delegation = WatchDelegation(member, fleet_view, health, clock)
        fleet_view.members.listeners.append(self._members_changed)

    @property
    def sender_fields(self) -> tuple[str, str]:
        """Return the sender's fields of what is asked."""
        return (self.member.name, self.member.address)

    @property
    def data_centre(self) -> str:
        """Return the data centre of this process."""
        return self.member.data_centre

    def start(self) -> None:
        """Start beating."""
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
        """Return the other gateways, those that were heard lately first."""
        others = [
            one for one in self.fleet_view.snapshot.gateways() if one.name != self.member.name
        ]
        others.sort(key=lambda one: -self.last_reply_at.get(one.address, 0.0))
        return others

    def recent_gateways(self) -> list[Member]:
        """Return the other gateways that are listed, and those that were or answered lately."""
        now = self.clock.now()
        self.other_gateways_lately.note(self.gateways(), now)
        return self.other_gateways_lately.known(self.last_reply_at, now)

    def live_gateways(self) -> list[Member]:
        """Return the gateways that are listed and not silent, this one among them.

        For the question whose lots lie idle: their owner's entry may outlast it by seconds, and by
        a whole outage of the store. Taking a lot over from one that lives does no harm.
        """
        listed = self.fleet_view.snapshot.gateways()
        live = [one for one in listed if not self.unresponsive.is_unresponsive(one)]
        return live if any(one.name == self.member.name for one in live) else [*live, self.member]

    def sidecars(self) -> list[Member]:
        """Return the sidecars in the list of members and those that answered lately.

        A sidecar may lose its place in the list without being told; it learns that from us.
        """
        now = self.clock.now()
        self.sidecars_lately.note(self.fleet_view.snapshot.sidecars(), now)
        return self.sidecars_lately.known(self.last_reply_at, now)

    def sidecars_for(self, models: Set[str]) -> list[Member]:
        """Return the sidecars whose engines are asked for samples of these models."""
        snapshot = self.fleet_view.snapshot
        return [one for one in self.sidecars() if serves_any(one, models, snapshot)]

    def reload_members(self) -> None:
        """Read the list of members from the store itself.

        :raises StoreError: if no answer came
        """
        listing = self.list_members()
        self.fleet_view.members.replace(listing, self.clock.now())

    def relay(self, call: Call) -> RawAnswer | None:
        """Pass a call to the store through a peer."""
        ask = CallStore(*self.sender_fields, call)
        return relay_through(self.relay_addresses(), ask, self.ask)

    def relay_addresses(self) -> list[str]:
        """Return the addresses of peers that may have a way, those that were heard lately first."""
        sidecars = sorted(
            self.sidecars(), key=lambda one: -self.last_reply_at.get(one.address, 0.0)
        )
        return in_turn([one.address for one in self.gateways()], [one.address for one in sidecars])

    def facts_for(self, sidecar: Member) -> Facts:
        """Return what a sidecar needs to know."""
        return facts_for(sidecar, self.fleet_view.snapshot)

    def push_changes(self, prefix: str, after: int, changes: Changes) -> None:
        """Tell the gateways that follow this one what changed after a revision."""
        ask = MirrorChanges(
            *self.sender_fields, prefix, after, changes.revision, changes.items, changes.removals
        )
        asks = {one.address: ask for one in self.watch_delegation.followers()}
        if asks:
            self.ask_all(asks, BEAT_TIMEOUT_S)

    def _members_changed(self) -> None:
        self.other_gateways_lately.changed(self.gateways(), self.clock.now())

    def _run(self) -> None:
        while not self.stopped.wait(BEAT_S):
            now = self.clock.now()
            for mirror in self.fleet_view.mirrors:
                mirror.expire(now)
            self._check_listed(now)
            self._beat_sidecars()
            self._beat_gateways()
            self.watch_delegation.follows()  # watches ask only between two answers of the store

    def _beat_sidecars(self) -> None:
        gateways = [one.name for one in self.fleet_view.snapshot.gateways()]
        asks = {}
        for sidecar in self.sidecars():
            if self.member.name in rendezvous(sidecar.name, gateways)[:BEATERS]:
                asks[sidecar.address] = Beat(*self.sender_fields, self.facts_for(sidecar))
        self.ask_all(asks, BEAT_TIMEOUT_S)

    def _beat_gateways(self) -> None:
        """Ask some other gateways, or all while the store is away, what they have seen."""
        asked = self._beaten()
        asked_at = self.clock.now()
        replies = self.ask_all({one.address: self._beat_for(one) for one in asked}, BEAT_TIMEOUT_S)
        self.unresponsive.note(asked, set(replies), self.fleet_view.snapshot.gateways())
        for member in asked:
            reply = replies.get(member.address)
            if isinstance(reply, MirrorCopy):
                self.watch_delegation.note(member.name, reply.confirmed_ago_s)
                self.mirror_sync.take_over(reply, member.name, asked_at)

    def _beat_for(self, member: Member) -> MirrorBeat:
        """Return the question for a gateway.

        One that stands in for the watcher of this data centre is asked only whether it has a way:
        it is ahead by some tenths of a second half of the time, and would send whole copies from
        one data centre to another.
        """
        stands_in = (
            member.data_centre != self.data_centre and member in self.watch_delegation.leaders()
        )
        if (
            stands_in
            and not self.health.is_away
            and self.watch_delegation.receives_pushed_changes()
        ):
            return MirrorBeat(
                *self.sender_fields, dict.fromkeys(self.mirror_sync.revisions(), ALL_SEEN)
            )
        return MirrorBeat(*self.sender_fields, self.mirror_sync.revisions())

    def _beaten(self) -> list[Member]:
        """Return the gateways that are asked this time, those that this one follows among them."""
        others = self.gateways()
        if self.health.is_away:
            return others
        longest_unheard = others[-GATEWAYS_A_BEAT:]
        if self.watch_delegation.is_watcher():
            return longest_unheard
        asked = [*longest_unheard, *self.watch_delegation.leaders()]
        return list({one.name: one for one in asked}.values())  # each once

    def _check_listed(self, now: float) -> None:
        """Notice when the list of members lacks this process for a while."""
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
