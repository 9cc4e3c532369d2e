"""The gateway process: creates, connects and starts its parts."""

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
from threadramp.edge.call_queue import CallQueues
from threadramp.edge.cold_gate import ColdGate
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
from threadramp.policy.endpoint_choice import CHOICES
from threadramp.policy.listing_policy import LISTINGS
from threadramp.policy.open_connections import PROBE_BYTES, PROBE_CONNECTIONS, max_connections
from threadramp.policy.reader_buffers import max_held_bytes
from threadramp.policy.request_buffers import max_lot_bytes, max_request_bytes
from threadramp.policy.retries import RetryBudget
from threadramp.policy.sample_order import ORDERS
from threadramp.policy.true_time import TrueTime
from threadramp.policy.usage_schedule import UsageSchedule
from threadramp.report.gateway_inspector import GatewayInspector
from threadramp.report.inspect_handler import InspectHandler
from threadramp.report.log import log_state
from threadramp.report.metrics import Metrics
from threadramp.report.store_call_counter import StoreCallCounter
from threadramp.runner.hosting import HostedRunners
from threadramp.serve.metrics_server import serve_metrics
from threadramp.serve.peer_requests import PeerRequestHandler
from threadramp.serve.process import ROLES, Process, run_in_background
from threadramp.wire.fleet import decode_ask, decode_reply
from threadramp.wire.packing import Packing
from threadramp.wire.response_limits import process_limits
from threadramp.wire.sync import SyncClient, SyncServer

HTTP_THREADS = 40  # a reader of results may occupy one for a second
READY_THREADS = 2
PEER_THREADS = 24  # each gateway with lots may wait 0.5 s for updates of an engine hosted here
BALANCER_DRAIN_S = 3.5  # the balancer needs two failed probes, a second apart; plus a margin
EXIT_MARGIN_S = 0.8  # before the platform kills the process
STOP_POLL_S = 0.05
IDLE_S = 0.5  # a stopping gateway accepts no more requests after this time without any
FINAL_RESPONSES_S = 1.5  # for the requests read last; users' workloads time routes out after 1.1 s
LEAVE_TIMEOUT_S = 0.3  # enough: the member list also drops a process that fails to remove itself


@ROLES.register("gateway")
class GatewayProcess(Process):
    """Serves the HTTP requests of callers and trainers, and the requests of its peers."""

    def start(self) -> None:
        """Create all parts and start them."""
        self._create_parts()
        settings = self.settings
        self.membership.start()
        for watcher in self.watchers:
            watcher.start()
        self.peers.start()
        self.audit.start()
        self.owner.start()
        self.appending.start()
        self.checkpoints.start()
        self.runners.start()
        self.end_notices.start()
        self.caller_watch.start()
        self.crash_sharing.start()
        self.box_retirement.start()
        self.hosting.start()
        if self.duties is not None:
            self.duties.start()
        self.peer_server = SyncServer(
            self.member.address, Packing(), self.peer_requests.handle, PEER_THREADS, decode_ask
        )
        limits = CallerLimits()  # until the configuration is known
        self.caller_server = EdgeServer(
            settings.callers,
            self.handler.handle,
            HTTP_THREADS,
            limits,
            max_held_bytes(settings.memory_mb),
            max_connections(settings.max_fds, settings.memory_mb),
            max_request_bytes(settings.memory_mb),
        )
        self.caller_server.observe(self.metrics, "callers")
        # After the server for callers: whoever got an answer about readiness may connect to that.
        self.readiness_server = EdgeServer(
            settings.ready,
            self.handler.serve_ready,
            READY_THREADS,
            CallerLimits(body_bytes=0),
            max_connections=PROBE_CONNECTIONS,
            max_request_bytes=PROBE_BYTES,
        )
        self.readiness_server.observe(self.metrics, "readiness")
        self.fleet_view.operator.listeners.append(self._apply_caller_limits)
        self._apply_caller_limits()
        self.metrics_server = serve_metrics(settings.ip, self.metrics)

    def shut_down(self) -> None:
        """Drain: fail readiness probes, hand over lots and duties, finish open requests."""
        started_at = steady_s()
        self.handler.stopping = True
        run_in_background(self.owner.hand_over)  # the store may be slow, the grace period is short
        if self.duties is not None:
            run_in_background(self.duties.leave)
        deadline = started_at + self.settings.bounds.grace_s - EXIT_MARGIN_S
        self._wait_until_idle(started_at + BALANCER_DRAIN_S, deadline - FINAL_RESPONSES_S)
        self.caller_server.stop_accepting()
        self.hosting.leave()
        while self.caller_server.is_busy and steady_s() < deadline:
            time.sleep(STOP_POLL_S)
        if self.duties is not None:
            send_deadline = max(deadline, steady_s() + LEAVE_TIMEOUT_S)
            run_in_background(lambda: self.duties.send_final_counts(send_deadline)).join(
                send_deadline - steady_s()
            )
        run_in_background(self.membership.leave).join(LEAVE_TIMEOUT_S)

    def _wait_until_idle(self, earliest: float, latest: float) -> None:
        """Keep serving until the balancer has had time to react and no request was open lately.

        If few gateways of a data centre are left, the balancer sends requests to stopping ones too.

        :param earliest: monotonic time in s before which this does not return on idleness
        :param latest: monotonic time in s at which this returns in any case
        """
        idle_since = steady_s()
        while (now := steady_s()) < latest:
            if self.caller_server.is_busy:
                idle_since = now
            if now > earliest and now - idle_since > IDLE_S:
                return
            time.sleep(STOP_POLL_S)

    def _create_parts(self) -> None:
        settings = self.settings
        clock = Clock()
        address = f"{settings.ip}:{settings.peer_port}"
        self.member = Member(
            settings.name, "gateway", self.incarnation, address, settings.data_centre, ""
        )
        self.metrics = Metrics("threadramp")
        process_limits.configure(settings.memory_mb, self.metrics.count)
        self.fleet_view = FleetView()
        self.fleet_view.decode_cache.on_unreadable = lambda kind: self.metrics.count(
            "unreadable", kind
        )
        health = StoreHealth(clock)
        client = SyncClient(Packing(), decode_reply, redial=True)
        self.peers = Peers(self.member, self.fleet_view, client, health, clock)
        store_call_counter = StoreCallCounter(self.metrics, "gateway")
        store_call_counter.start()
        store = StoreClient(
            settings.store.address,
            self.peers.relay,
            health.observe,
            count=store_call_counter.record,
        )
        self.membership = Membership(self.member, store, settings.store.lease_min_s)
        self.membership.renew_s = self._renewal_interval_s
        self.peers.on_unlisted = self.membership.mark_unlisted
        self.peers.list_members = lambda: store.list(MEMBER_PREFIX)
        self.watchers = self._new_watchers(store, health, clock)
        store.on_silence.append(self._record_silent_connections)
        self.box_retirement = BoxRetirement(self.member.name, self.fleet_view, store)
        tracker = CrashTracker()
        self.crash_sharing = CrashSharing(
            tracker, self.peers, store, health, clock, self.member.name
        )
        self.crash_guard = CrashGuard(
            tracker, clock, self.fleet_view, self.crash_sharing.claim_trial, self.metrics.count
        )
        self.true_time = TrueTime(clock)
        self._create_lot_parts(store, clock)
        self.duties = self._new_duties(store, clock)
        self.hosting = HostedRunners(
            self.peers,
            store,
            clock,
            self.metrics,
            self.service_settings.weights.versions_apart,
            settings.bounds,
        )
        self.peer_requests = PeerRequestHandler(
            self.peers,
            self.owner,
            self.reader,
            StoreRelay(store, health),
            self.hosting,
            self._new_beliefs(clock),
            self.crash_sharing,
            self.duties,
        )

    def _new_duties(self, store: StoreClient, clock: Clock) -> DutyLoop | None:
        """Return what carries out the fleet's duties here, None if the platform accepts none."""
        settings = self.settings
        if self.usage_counting is None:
            return None
        collecting = UsageCollector(self.peers, self.usage_counting, self.true_time)
        duty_lock = DutyLock(
            self.fleet_view,
            store,
            settings.name,
            settings.bounds.holders_apart_s,
            clock,
            lambda holder: self.duties.may_take(holder),
        )
        schedule = UsageSchedule(settings.bounds.usage_window_s, settings.bounds.usage_late_s)
        calls = DutyCalls(settings.duties.address, settings.name)
        lock = duty_lock.lock
        reports = UsageReports(
            lock, store, calls, collecting, schedule, self.true_time, self.metrics
        )
        scale = ScaleOrders(lock, calls, collecting, self.fleet_view, self.metrics)
        return DutyLoop(
            self.peers,
            duty_lock,
            collecting,
            reports if settings.duties.takes_usage else None,
            scale if settings.duties.takes_scale else None,
        )

    def _new_usage_counting(self) -> UsageCounter | None:
        """Return the counter of requests by organisation, None if no duty needs the counts."""
        settings = self.settings
        if settings.duties is None or not (
            settings.duties.takes_usage or settings.duties.takes_scale
        ):
            return None
        window_s = settings.bounds.usage_window_s
        return UsageCounter(window_s, self.true_time, settings.name, self.incarnation)

    def _new_beliefs(self, clock: Clock) -> InspectHandler:
        """Return what reports this process's current view to an operator."""
        gateway_beliefs = GatewayInspector(
            self.fleet_view, self.peers, self.forwarder, self.owner.owned, clock
        )
        inspect_handler = gateway_beliefs.register_with(InspectHandler())
        inspect_handler.register("endpoint", self.hosting.inspect)
        return inspect_handler

    def _record_silent_connections(self) -> None:
        """Log and count that open connections to the store may be dead while new ones work."""
        self.metrics.count("store_connections_suspect")
        log_state("store_connections_suspect", box=self.member.name)

    def _new_watchers(self, store: StoreClient, health: StoreHealth, clock: Clock) -> list[Watcher]:
        """Return a watcher for each mirror.

        The platform bounds how late changes may be known, except for those of members.
        """
        bounds = self.settings.bounds
        bounded_wait_s = watch_wait_s(bounds.contact_s)
        endpoints_window_s = batch_window_s(bounds.drain_s)
        return [
            Watcher(
                mirror,
                store,
                health,
                clock,
                # the bound for the operator's changes is too short for batches
                batches=mirror is not self.fleet_view.operator,
                wait_s=WATCH_WAIT_S if mirror is self.fleet_view.members else bounded_wait_s,
                batch_window_s=(
                    endpoints_window_s if mirror is self.fleet_view.endpoints else BATCH_WINDOW_S
                ),
                follows=self.peers.watch_delegation.follows,
                push_changes=self.peers.push_changes,
                peer_reaches_store=self.peers.watch_delegation.peer_reaches_store,
            )
            for mirror in self.fleet_view.mirrors
        ]

    def _create_lot_parts(self, store: StoreClient, clock: Clock) -> None:
        random = Random(self.incarnation)
        connections = ConnectionPool(self.metrics.count)
        self.usage_counting = self._new_usage_counting()
        admission = self.service_settings.admission
        choice = CHOICES[admission.choice](random)
        forwarder = Forwarder(
            self.fleet_view,
            connections,
            choice,
            RetryBudget(),
            clock,
            self.crash_guard,
            self.usage_counting,
            ColdGate(self.peers, self.settings.bounds, clock, self.membership.is_listed),
            CallQueues.from_settings(admission, self.fleet_view, choice, clock, self.metrics.count),
        )
        self.forwarder = forwarder
        self.caller_watch = DisconnectWatcher()
        streams = StreamForwarder(forwarder, self.caller_watch)
        self.fleet_view.endpoints.listeners.append(forwarder.drop_unlisted)
        owned = OwnedLots()
        journal = LotJournal(store)
        scoring = Scoring(owned, self.fleet_view, forwarder, clock)
        self.runners = SampleDispatcher(
            owned,
            self.peers,
            clock,
            scoring.begin,
            SampleCrashGuard(self.crash_guard, owned),
            ORDERS[self.service_settings.lots.order](),
            self.settings.bounds.config_apply_s,
        )
        if self.usage_counting is not None:
            self.usage_counting.open = DemandCounter(
                self.fleet_view, forwarder.choice, owned, self.runners.routes
            ).open
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
            LISTINGS[self.service_settings.lots.listing](),
        )
        self.audit = LotAudit(self.owner, self.settings.bounds.status_s)
        self.reader = LotReader(owned, self.owner, journal, self.peers, clock)
        self.appending = ResultAppender(
            owned,
            self.owner.writer,
            clock,
            self.owner.release,
            self.owner.apply_end,
            self.metrics,
            lambda model: self.fleet_view.snapshot.newest_version(model),
        )
        self.handler = EdgeHandler(
            self.fleet_view,
            forwarder,
            streams,
            self.owner,
            self.reader,
            self.metrics,
            clock,
            self.settings.bounds.keys_within_s,
            max_lot_bytes(self.settings.memory_mb),
        )

    def _renewal_interval_s(self) -> float:
        """Return the seconds between renewals.

        Gateways that follow this one infer from its renewals whether it can reach the store.
        """
        return WATCHER_RENEW_S if self.peers.watch_delegation.followers() else RENEW_S

    def _apply_caller_limits(self) -> None:
        """Apply the limits for callers of the configuration in force."""
        configuration = self.fleet_view.snapshot.configuration
        if configuration is not None and configuration.limits != self.caller_server.limits:
            self.caller_server.set_limits(configuration.limits)
            log_state(
                "caller_limits", version=configuration.version, **asdict(configuration.limits)
            )


__all__ = ["GatewayProcess"]
