"""The sidecar of an engine: answers gateways, runs samples and loads published weights."""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING

from threadramp.core.lot_tracker import RunOutcome
from threadramp.fleet.fleet_view import HOST_ROLE, Member
from threadramp.fleet.relaying import relay_through
from threadramp.report.guard import start_loop
from threadramp.report.log import log_state
from threadramp.runner.runs import STALL_TIMEOUT_S
from threadramp.runner.sample_run import SampleRun
from threadramp.wire.fleet import (
    Accepted,
    AnyAsk,
    Ask,
    Beat,
    CallStore,
    Collect,
    Done,
    Drop,
    Find,
    Found,
    HurryLoad,
    Inspect,
    Status,
    Submit,
    Updates,
)
from threadramp.wire.runner import RunnerStatus

if TYPE_CHECKING:
    from collections.abc import Callable

    from threadramp.fleet.clock import Clock
    from threadramp.fleet.relaying import StoreRelay
    from threadramp.platform.store_model import Call, RawAnswer
    from threadramp.report.inspect_handler import InspectHandler
    from threadramp.report.metrics import Metrics
    from threadramp.runner.engine import Engine
    from threadramp.runner.runs import RunTable
    from threadramp.runner.weight_loader import WeightLoader
    from threadramp.wire.fleet import AnyReply
    from threadramp.wire.sync import SyncClient

REPORT_INTERVAL_S = 0.2  # the engine's report is free of charge from its own box
# From another box a report is priced as a probe, and it is some hundred ms old.
REMOTE_REPORT_INTERVAL_S = 0.5
POLL_INTERVAL_S = 0.2
RELIST_AFTER_S = 3.0  # gateways send two heartbeats a second to a sidecar that is listed


class Sidecar:
    """A sidecar: its loops and its replies to gateways, around its run table and its engine."""

    def __init__(
        self,
        member: Member,
        engine: Engine,
        weights: WeightLoader,
        table: RunTable,
        client: SyncClient,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self.member = member
        self.engine = engine
        self.weights = weights
        self.table = table
        self.client = client
        self.clock = clock
        self.metrics = metrics
        self.last_request_at: dict[str, float] = {}  # by the address of the gateway
        self.stopped = threading.Event()
        self.leaving = False
        self.sidecar_count = 0
        self.relisted_at = clock.now()
        self.on_unlisted: Callable[[], None] = lambda: None
        self.store_relay: StoreRelay | None = None
        self.inspect_handler: InspectHandler | None = None
        self.stall_check_at: float | None = None
        engine.set_counter(metrics.count)
        engine.on_suspect_connections = self._schedule_stall_check
        # Open runs were sent to the previous incarnation.
        engine.on_new_incarnation = self._schedule_stall_check

    def start(self) -> None:
        """Start all loops."""
        start_loop(self._engine_loop, self.stopped)
        start_loop(self._start_loop, self.stopped)
        start_loop(self._gateway_check_loop, self.stopped)

    def handle(self, ask: AnyAsk) -> AnyReply:
        """Answer a request of a gateway."""
        if isinstance(ask, Ask) and not isinstance(ask, Inspect):
            self.last_request_at[ask.address] = self.clock.now()
        if isinstance(ask, (Beat, Submit, Collect)):
            self.engine.update_facts(ask.facts)
            self.sidecar_count = ask.facts.sidecars
            self._refresh_table()
            if not ask.facts.listed:
                self.on_unlisted()
        if isinstance(ask, HurryLoad):
            self.weights.request_urgent_load(ask.model)
        return self._answer(ask)

    def relay(self, call: Call) -> RawAnswer:
        """Relay a store call through the gateways, the one with the latest request first.

        :raises StoreRefusedError: if no gateway had it done
        :raises StoreUnknownError: if a gateway may have
        """
        recent = sorted(self.last_request_at, key=lambda address: -self.last_request_at[address])
        ask = CallStore(self.member.name, self.member.address, call)
        return relay_through(recent, ask, self.client.ask)

    def leave(self) -> None:
        """Accept no more samples and cut the open runs, so that they are resumed elsewhere."""
        self.leaving = True
        self._refresh_table()
        self.table.cut_all()

    def status(self) -> RunnerStatus:
        """Return the status that is sent to gateways."""
        report = self.engine.report
        return RunnerStatus(
            incarnation=self.member.incarnation,
            instance=self.engine.facts.instance,
            ready=self._is_ready(),
            slots=self.table.slots,
            taken=self.table.taken,
            versions=report.versions if report is not None else {},
            gap_ms=round(self.engine.median_gap_ms(), 1),
            loading=self.engine.loading_model,
        )

    def _answer(self, ask: AnyAsk) -> AnyReply:
        if isinstance(ask, Submit):
            accepted = self.table.submit(ask.orders)
            return Accepted(self.status(), accepted)
        if isinstance(ask, Collect):
            self._record_routes(ask)
            updates, unknown = self.table.collect(ask.have, ask.wait_s, self._readiness)
            return Updates(self.status(), tuple(updates), tuple(unknown))
        if isinstance(ask, Drop):
            self.table.drop(ask.have, ask.let_finish)
            updates, unknown = self.table.collect(ask.have, 0.0, self._readiness)
            return Updates(self.status(), tuple(updates), tuple(unknown))
        if isinstance(ask, Find):
            return Found(self.status(), self.table.find(ask.samples, ask.min_version))
        if isinstance(ask, CallStore) and self.store_relay is not None:
            return self.store_relay.answer(ask)
        if isinstance(ask, Inspect) and self.inspect_handler is not None:
            return self.inspect_handler.handle(ask)
        return Status(self.status()) if isinstance(ask, (Beat, HurryLoad)) else Done()

    def _record_routes(self, ask: Collect) -> None:
        revision = ask.facts.configuration_revision
        cut = self.table.record_routes(ask.have, ask.rerouted, revision)
        if cut:
            log_state("samples_rerouted", samples=cut, configuration_revision=revision)

    def _is_ready(self) -> bool:
        return self.engine.is_ready and not self.leaving

    def _readiness(self) -> tuple[bool, str, int]:
        """Return the state whose changes end the polls of gateways at once.

        After a change of the configuration they confirm or take back the samples that wait here.
        """
        revision = self.engine.facts.configuration_revision
        return (self._is_ready(), self.engine.loading_model, revision)

    def _refresh_table(self) -> None:
        with self.table.changed:
            self.table.slots = self.engine.facts.slots
            readiness = self._readiness()
            table = self.table
            before = (table.accepting, table.loading_model, table.configuration_revision)
            if readiness != before:
                table.accepting, table.loading_model, table.configuration_revision = readiness
                table.changed.notify_all()

    def _engine_loop(self) -> None:
        while not self.stopped.is_set():
            self.engine.read_report()
            self._restart_stalled()
            if not self.leaving:
                self.weights.run_once()
            self._refresh_table()
            self.stopped.wait(self._report_interval_s())

    def _report_interval_s(self) -> float:
        """Return the seconds until the next report; longer where a report is charged for."""
        is_remote = self.member.role == HOST_ROLE and not self.engine.is_loading
        return REMOTE_REPORT_INTERVAL_S if is_remote else REPORT_INTERVAL_S

    def _start_loop(self) -> None:
        """Start threads for waiting samples as slots become free."""
        while not self.stopped.is_set():
            run = self.table.next_start()
            if run is None:
                with self.table.changed:
                    self.table.changed.wait(POLL_INTERVAL_S)
                continue
            # Created here and not in its thread: the thread may be delayed until after the sample
            # was restarted, and would then read the generation of the restarted run.
            sample_run = SampleRun(self.engine, self.table, run, self.clock, self.metrics)
            threading.Thread(target=sample_run.execute, name="sample", daemon=True).start()

    def _schedule_stall_check(self) -> None:
        """Check for stalled runs once every run that is not stalled has had time for an event."""
        self.stall_check_at = self.clock.now() + STALL_TIMEOUT_S

    def _restart_stalled(self) -> None:
        """Restart runs that are stalled on connections that pass nothing.

        Streams also stall while weights are loaded, so the check is postponed until after that.
        """
        now = self.clock.now()
        if self.stall_check_at is None or now < self.stall_check_at:
            return
        if self.engine.is_loading:
            self.stall_check_at = now + STALL_TIMEOUT_S
            return
        self.stall_check_at = None
        samples = self.table.restart_stalled()
        if samples:
            log_state("samples_restarted", samples=samples)

    def _gateway_check_loop(self) -> None:
        while not self.stopped.wait(POLL_INTERVAL_S):
            samples = self.table.cut_abandoned()
            if samples:
                log_state("gateway_stopped_polling", samples=samples, outcome=RunOutcome.CUT.value)
            if self.member.role != HOST_ROLE:
                self._check_listed()

    def _check_listed(self) -> None:
        """List this sidecar again if no gateway sends requests; its entry may have been removed."""
        now = self.clock.now()
        last = max(self.last_request_at.values(), default=0.0)
        if now - max(last, self.relisted_at) > RELIST_AFTER_S:
            self.relisted_at = now
            log_state("no_gateway_requests", since_s=round(now - last, 1) if last else None)
            self.on_unlisted()


__all__ = ["Sidecar"]
