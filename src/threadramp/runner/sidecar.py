"""The sidecar of an engine: answers gateways, runs samples, keeps the weights as named."""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING

from threadramp.core.lot_book import RunOutcome
from threadramp.fleet.fleet_view import HOST_ROLE, Member
from threadramp.fleet.relaying import relay_through
from threadramp.report.guard import start_loop
from threadramp.report.log import log_state
from threadramp.runner.runs import QUIET_S
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
    from threadramp.report.beliefs import Beliefs
    from threadramp.report.metrics import Metrics
    from threadramp.runner.engine import Engine
    from threadramp.runner.runs import RunTable
    from threadramp.runner.weights import Weights
    from threadramp.wire.fleet import AnyReply
    from threadramp.wire.sync import SyncClient

REPORT_S = 0.2  # the engine's report is free from its own box
FAR_REPORT_S = 0.5  # elsewhere it is priced as a probe, and some hundred ms old
WATCH_S = 0.2
UNHEARD_S = 3.0  # gateways beat twice a second to a sidecar that is listed


class Sidecar:
    """All that a sidecar does, around its table of samples and its engine."""

    def __init__(
        self,
        member: Member,
        engine: Engine,
        weights: Weights,
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
        self.gateways: dict[str, float] = {}
        self.stopped = threading.Event()
        self.leaving = False
        self.sidecars = 0
        self.listed_again = clock.now()
        self.on_unlisted: Callable[[], None] = lambda: None
        self.store_calls: StoreRelay | None = None
        self.beliefs: Beliefs | None = None
        self.anew_at: float | None = None
        engine.count_with(metrics.count)
        engine.on_silence = self._connections_are_suspect
        engine.on_start = self._connections_are_suspect  # what runs was sent to the start before

    def start(self) -> None:
        """Start all loops."""
        start_loop(self._engine_loop, self.stopped)
        start_loop(self._start_loop, self.stopped)
        start_loop(self._silence_loop, self.stopped)

    def handle(self, ask: AnyAsk) -> AnyReply:
        """Answer a gateway."""
        if isinstance(ask, Ask) and not isinstance(ask, Inspect):
            self.gateways[ask.address] = self.clock.now()
        if isinstance(ask, (Beat, Submit, Collect)):
            self.engine.learn(ask.facts)
            self.sidecars = ask.facts.sidecars
            self._refresh_table()
            if not ask.facts.listed:
                self.on_unlisted()
        if isinstance(ask, HurryLoad):
            self.weights.hurry(ask.model)
        return self._answer(ask)

    def relay(self, call: Call) -> RawAnswer | None:
        """Pass a call to the store through a gateway that was heard lately."""
        recent = sorted(self.gateways, key=lambda address: -self.gateways[address])
        ask = CallStore(self.member.name, self.member.address, call)
        return relay_through(recent, ask, self.client.ask)

    def leave(self) -> None:
        """Take nothing new and end what runs, so that it goes on elsewhere."""
        self.leaving = True
        self._refresh_table()
        self.table.cut_all()

    def status(self) -> RunnerStatus:
        """Return what gateways need to know."""
        report = self.engine.report
        return RunnerStatus(
            incarnation=self.member.incarnation,
            instance=self.engine.facts.instance,
            ready=self._is_ready(),
            slots=self.table.slots,
            taken=self.table.taken,
            versions=report.versions if report is not None else {},
            gap_ms=round(self.engine.gap_ms(), 1),
            loading=self.engine.loading,
        )

    def _answer(self, ask: AnyAsk) -> AnyReply:
        if isinstance(ask, Submit):
            taken = self.table.submit(ask.orders)
            return Accepted(self.status(), taken)
        if isinstance(ask, Collect):
            updates, unknown = self.table.collect(ask.have, ask.wait_s, self._readiness)
            return Updates(self.status(), tuple(updates), tuple(unknown))
        if isinstance(ask, Drop):
            self.table.drop(ask.have, ask.let_finish)
            updates, unknown = self.table.collect(ask.have, 0.0, self._readiness)
            return Updates(self.status(), tuple(updates), tuple(unknown))
        if isinstance(ask, Find):
            return Found(self.status(), self.table.find(ask.samples, ask.min_version))
        if isinstance(ask, CallStore) and self.store_calls is not None:
            return self.store_calls.answer(ask)
        if isinstance(ask, Inspect) and self.beliefs is not None:
            return self.beliefs.answer(ask)
        return Status(self.status()) if isinstance(ask, (Beat, HurryLoad)) else Done()

    def _is_ready(self) -> bool:
        return self.engine.is_ready and not self.leaving

    def _readiness(self) -> tuple[bool, str]:
        """Return what gateways want to know of as soon as it changes."""
        return (self._is_ready(), self.engine.loading)

    def _refresh_table(self) -> None:
        with self.table.changed:
            self.table.slots = self.engine.facts.slots
            seen = self._readiness()
            if seen != (self.table.accepting, self.table.loading):
                self.table.accepting, self.table.loading = seen
                self.table.changed.notify_all()

    def _engine_loop(self) -> None:
        while not self.stopped.is_set():
            self.engine.read_report()
            self._begin_anew()
            if not self.leaving:
                self.weights.turn()
            self._refresh_table()
            self.stopped.wait(self._report_pause_s())

    def _report_pause_s(self) -> float:
        """Return the seconds until the next report; it is free from its own box alone."""
        far = self.member.role == HOST_ROLE and not self.engine.is_loading
        return FAR_REPORT_S if far else REPORT_S

    def _start_loop(self) -> None:
        """Hand waiting samples to threads as slots get free."""
        while not self.stopped.is_set():
            run = self.table.next_start()
            if run is None:
                with self.table.changed:
                    self.table.changed.wait(WATCH_S)
                continue
            # Not made in its thread, which may stand still until the sample was begun anew.
            one = SampleRun(self.engine, self.table, run, self.clock, self.metrics)
            threading.Thread(target=one.execute, name="sample", daemon=True).start()

    def _connections_are_suspect(self) -> None:
        """Look for runs that stand still once each that does not has brought an event."""
        self.anew_at = self.clock.now() + QUIET_S

    def _begin_anew(self) -> None:
        """Let go on what stands still on silent connections.

        Streams stand still during a load of weights as well; that is waited for.
        """
        now = self.clock.now()
        if self.anew_at is None or now < self.anew_at:
            return
        if self.engine.is_loading:
            self.anew_at = now + QUIET_S
            return
        self.anew_at = None
        samples = self.table.begin_anew()
        if samples:
            log_state("samples_begun_anew", samples=samples)

    def _silence_loop(self) -> None:
        while not self.stopped.wait(WATCH_S):
            cut = self.table.cut_silent()
            if cut:
                log_state("gateway_silent", samples=cut, outcome=RunOutcome.CUT.value)
            if self.member.role != HOST_ROLE:
                self._check_heard()

    def _check_heard(self) -> None:
        """List this sidecar again if no gateway asks; its entry may have been taken away."""
        now = self.clock.now()
        last = max(self.gateways.values(), default=0.0)
        if now - max(last, self.listed_again) > UNHEARD_S:
            self.listed_again = now
            log_state("no_gateway_asks", since_s=round(now - last, 1) if last else None)
            self.on_unlisted()


__all__ = ["Sidecar"]
