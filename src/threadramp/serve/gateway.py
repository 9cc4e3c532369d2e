"""The gateway's process: its parts, put together."""

from __future__ import annotations

import time
from dataclasses import asdict
from random import Random

from threadramp.duties.collecting import UsageCollector, UsageCounter
from threadramp.duties.demand import DemandCounter
from threadramp.duties.duty_lock import DutyLock
from threadramp.duties.duty_loop import DutyLoop
from threadramp.duties.scale_orders import ScaleOrders
from threadramp.duties.usage_reports import UsageReports
from threadramp.edge.connection_pool import ConnectionPool
from threadramp.edge.crash_guard import CrashGuard
from threadramp.edge.disconnect_watcher import DisconnectWatcher
from threadramp.edge.forward import Forwarder
from threadramp.edge.handler import EdgeHandler
from threadramp.edge.server import EdgeServer
from threadramp.edge.streaming import StreamForwarder
from threadramp.fleet.box_retirement import BoxRetirement
from threadramp.fleet.clock import Clock, steady_s
from threadramp.fleet.crash_sharing import CrashSharing
from threadramp.fleet.fleet_view import MEMBER_PREFIX, FleetView, Member
from threadramp.fleet.membership import RENEW_S, WATCHER_RENEW_S, Membership
from threadramp.fleet.model import CallerLimits
from threadramp.fleet.peers import Peers
from threadramp.fleet.relaying import StoreRelay
from threadramp.fleet.store_health import StoreHealth
from threadramp.fleet.watcher import (
    BATCH_WINDOW_S,
    WATCH_WAIT_S,
    Watcher,
    batch_window_s,
    watch_wait_s,
)
from threadramp.lots.appending import ResultAppender
from threadramp.lots.audit import LotAudit
from threadramp.lots.checkpoints import Checkpoints
from threadramp.lots.crashing_samples import SampleCrashGuard
from threadramp.lots.dispatcher import SampleDispatcher
from threadramp.lots.end_notices import EndNotices
from threadramp.lots.journal import LotJournal
from threadramp.lots.owned import OwnedLots
from threadramp.lots.owner import LotOwner
from threadramp.lots.reading import LotReader
from threadramp.lots.scoring import Scoring
from threadramp.platform.duty_calls import DutyCalls
from threadramp.platform.store import StoreClient
from threadramp.policy.crash_tracker import CrashTracker
from threadramp.policy.endpoint_choice import EndpointSelector
from threadramp.policy.listing_policy import LISTINGS
from threadramp.policy.retries import RetryBudget
from threadramp.policy.true_time import TrueTime
from threadramp.policy.usage_schedule import UsageSchedule
from threadramp.report.beliefs import Beliefs
from threadramp.report.call_tally import CallTally
from threadramp.report.gateway_beliefs import GatewayBeliefs
from threadramp.report.log import log_state
from threadramp.report.metrics import Metrics
from threadramp.runner.hosting import HostedRunners
from threadramp.serve.answers import GatewayAnswers
from threadramp.serve.api import ROLES, Process, in_background
from threadramp.serve.figures import serve_metrics
from threadramp.wire.fleet import decode_ask, decode_reply
from threadramp.wire.packing import Packing
from threadramp.wire.sync import SyncClient, SyncServer

HTTP_THREADS = 40  # readers of results may each hold one for a second
READY_THREADS = 2
PEER_THREADS = 24  # lots' gateways may each wait half a second for news of an engine hosted here
BALANCER_S = 3.5  # two questions a second apart without a good answer, and a margin
EXIT_MARGIN_S = 0.8  # before the platform kills
STOP_LOOK_S = 0.05
QUIET_S = 0.5  # without a request, after which a stopping gateway takes no more
LAST_ANSWERS_S = 1.5  # for what was read last; routes of the users' sheets time out after 1.1 s
LEAVE_S = 0.3  # the list of members drops a process that does not take itself out as well


@ROLES.register("gateway")
class GatewayProcess(Process):
    """Serves callers and trainers."""

    def start(self) -> None:
        """Start all parts."""
        self._build()
        own = self.settings
        self.membership.start()
        for watcher in self.watchers:
            watcher.start()
        self.peers.start()
        self.audit.start()
        self.appending.start()
        self.checkpoints.start()
        self.runners.start()
        self.end_notices.start()
        self.caller_watch.start()
        self.crashes.start()
        self.emptying.start()
        self.hosting.start()
        if self.duties is not None:
            self.duties.start()
        self.sync = SyncServer(
            self.member.address, Packing(), self.answers.handle, PEER_THREADS, decode_ask
        )
        limits = CallerLimits()  # until the configuration is known
        self.ready = EdgeServer(own.ready, self.handler.serve_ready, READY_THREADS, limits)
        self.callers = EdgeServer(own.callers, self.handler.handle, HTTP_THREADS, limits)
        self.picture.operator.listeners.append(self._keep_limits)
        self._keep_limits()
        self.figures = serve_metrics(own.ip, self.metrics)

    def finish(self) -> None:
        """Let the balancer turn away, hand the lots over, finish what is open."""
        began = steady_s()
        self.handler.stopping = True
        in_background(self.owner.hand_over)  # the store may be slow, and the end is near
        if self.duties is not None:
            in_background(self.duties.leave)
        last = began + self.settings.bounds.grace_s - EXIT_MARGIN_S
        self._wait_until_quiet(began + BALANCER_S, last - LAST_ANSWERS_S)
        self.callers.stop_accepting()
        self.hosting.leave()
        while self.callers.is_busy and steady_s() < last:
            time.sleep(STOP_LOOK_S)
        if self.duties is not None:
            until = max(last, steady_s() + LEAVE_S)
            in_background(lambda: self.duties.send_final_counts(until)).join(until - steady_s())
        in_background(self.membership.leave).join(LEAVE_S)

    def _wait_until_quiet(self, least: float, most: float) -> None:
        """Serve on until the balancer has turned away and no caller asks for a while.

        Where few gateways of a data centre are left it sends callers to those that stop, too.
        """
        quiet_since = steady_s()
        while (now := steady_s()) < most:
            if self.callers.is_busy:
                quiet_since = now
            if now > least and now - quiet_since > QUIET_S:
                return
            time.sleep(STOP_LOOK_S)

    def _build(self) -> None:
        own = self.settings
        clock = Clock()
        address = f"{own.ip}:{own.peer_port}"
        self.member = Member(own.name, "gateway", self.incarnation, address, own.data_centre, "")
        self.metrics = Metrics("threadramp")
        self.picture = FleetView()
        self.picture.decode_cache.on_unreadable = lambda kind: self.metrics.count(
            "unreadable", kind
        )
        health = StoreHealth(clock)
        client = SyncClient(Packing(), decode_reply, redial=True)
        self.peers = Peers(self.member, self.picture, client, health, clock)
        tally = CallTally(self.metrics, "gateway")
        tally.start()
        store = StoreClient(own.store.address, self.peers.relay, health.observe, count=tally.note)
        self.membership = Membership(self.member, store, own.store.lease_min_s)
        self.membership.renew_s = self._renew_s
        self.peers.on_unlisted = self.membership.mark_unlisted
        self.peers.list_members = lambda: store.list(MEMBER_PREFIX)
        self.watchers = self._new_watchers(store, health, clock)
        store.on_silence.append(self._note_silence)
        self.emptying = BoxRetirement(self.member.name, self.picture, store)
        book = CrashTracker()
        self.crashes = CrashSharing(book, self.peers, store, health, clock, self.member.name)
        self.guard = CrashGuard(
            book, clock, self.picture, self.crashes.claim_trial, self.metrics.count
        )
        self.true_time = TrueTime(clock)
        self._build_lots(store, clock)
        self.duties = self._new_duties(store, clock)
        self.hosting = HostedRunners(
            self.peers,
            store,
            clock,
            self.metrics,
            self.own.weights.versions_apart,
            own.bounds.holders_apart_s,
        )
        self.answers = GatewayAnswers(
            self.peers,
            self.owner,
            self.reader,
            StoreRelay(store, health),
            self.hosting,
            self._beliefs(clock),
            self.crashes,
            self.duties,
        )

    def _new_duties(self, store: StoreClient, clock: Clock) -> DutyLoop | None:
        """Return this gateway's part in the fleet's duties, none where the platform takes none."""
        own = self.settings
        if self.counting is None:
            return None
        collecting = UsageCollector(self.peers, self.counting, self.true_time)
        holding = DutyLock(
            self.picture,
            store,
            own.name,
            own.bounds.holders_apart_s,
            clock,
            lambda holder: self.duties.may_take(holder),
        )
        schedule = UsageSchedule(own.bounds.usage_window_s, own.bounds.usage_late_s)
        calls = DutyCalls(own.duties.address, own.name)
        right = holding.lock
        reports = UsageReports(
            right, store, calls, collecting, schedule, self.true_time, self.metrics
        )
        scale = ScaleOrders(right, calls, collecting, self.picture, self.metrics)
        return DutyLoop(
            self.peers,
            holding,
            collecting,
            reports if own.duties.takes_usage else None,
            scale if own.duties.takes_scale else None,
        )

    def _new_counting(self) -> UsageCounter | None:
        """Return what counts requests for their organisations, none where nobody asks for it."""
        own = self.settings
        if own.duties is None or not (own.duties.takes_usage or own.duties.takes_scale):
            return None
        window_s = own.bounds.usage_window_s
        return UsageCounter(window_s, self.true_time, own.name, self.incarnation)

    def _beliefs(self, clock: Clock) -> Beliefs:
        """Return what tells an operator what this process believes."""
        own = GatewayBeliefs(self.picture, self.peers, self.forwarder, self.owner.owned, clock)
        beliefs = own.added_to(Beliefs())
        beliefs.add("endpoint", self.hosting.inspect)
        return beliefs

    def _note_silence(self) -> None:
        """Tell that what is open to the store may pass nothing, though new connections work."""
        self.metrics.count("store_connections_suspect")
        log_state("store_connections_suspect", box=self.member.name)

    def _new_watchers(self, store: StoreClient, health: StoreHealth, clock: Clock) -> list[Watcher]:
        """Return a watcher for each mirror; only changes of members are not bounded."""
        bounds = self.settings.bounds
        bounded_s = watch_wait_s(bounds.contact_s)
        endpoints_s = batch_window_s(bounds.drain_s)
        return [
            Watcher(
                one,
                store,
                health,
                clock,
                batches=one is not self.picture.operator,  # bounds on its changes are short
                wait_s=WATCH_WAIT_S if one is self.picture.members else bounded_s,
                batch_window_s=endpoints_s if one is self.picture.endpoints else BATCH_WINDOW_S,
                follows=self.peers.watch_delegation.follows,
                push_changes=self.peers.push_changes,
                peer_reaches_store=self.peers.watch_delegation.peer_reaches_store,
            )
            for one in self.picture.mirrors
        ]

    def _build_lots(self, store: StoreClient, clock: Clock) -> None:
        random = Random(self.incarnation)
        connections = ConnectionPool(self.metrics.count)
        self.counting = self._new_counting()
        forwarder = Forwarder(
            self.picture,
            connections,
            EndpointSelector(random),
            RetryBudget(),
            clock,
            self.guard,
            self.counting,
        )
        self.forwarder = forwarder
        self.caller_watch = DisconnectWatcher()
        streams = StreamForwarder(forwarder, self.caller_watch)
        self.picture.endpoints.listeners.append(forwarder.drop_unlisted)
        owned = OwnedLots()
        if self.counting is not None:
            self.counting.open = DemandCounter(self.picture, forwarder.choice, owned).open
        journal = LotJournal(store)
        scoring = Scoring(owned, self.picture, forwarder, clock)
        self.runners = SampleDispatcher(
            owned, self.peers, clock, scoring.begin, SampleCrashGuard(self.guard, owned)
        )
        self.checkpoints = Checkpoints(owned, store, self.incarnation)
        self.end_notices = EndNotices(self.peers, clock)
        self.owner = LotOwner(
            owned,
            journal,
            self.peers,
            clock,
            self.runners.drop,
            self.checkpoints,
            self.end_notices.notify,
            LISTINGS[self.own.lots.listing](),
        )
        self.audit = LotAudit(self.owner, self.settings.bounds.status_s)
        self.reader = LotReader(owned, self.owner, journal, self.peers, clock)
        self.appending = ResultAppender(
            owned,
            journal,
            clock,
            self.owner.release,
            self.metrics,
            lambda model: self.picture.snapshot.newest_version(model),
        )
        self.handler = EdgeHandler(
            self.picture,
            forwarder,
            streams,
            self.owner,
            self.reader,
            self.metrics,
            clock,
            self.settings.bounds.keys_within_s,
        )

    def _renew_s(self) -> float:
        """Return the seconds between renewals: gateways that follow this one go by them."""
        return WATCHER_RENEW_S if self.peers.watch_delegation.followers() else RENEW_S

    def _keep_limits(self) -> None:
        """Hold callers to the limits of the configuration in force."""
        configuration = self.picture.snapshot.configuration
        if configuration is not None and configuration.limits != self.callers.limits:
            self.callers.set_limits(configuration.limits)
            log_state(
                "caller_limits", version=configuration.version, **asdict(configuration.limits)
            )


__all__ = ["GatewayProcess"]
