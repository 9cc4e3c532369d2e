"""Sends samples of the lots that this gateway owns to sidecars and collects their text."""

from __future__ import annotations

import secrets
import threading
from dataclasses import dataclass
from typing import TYPE_CHECKING

from threadramp.core.lot_tracker import Phase
from threadramp.fleet.runner_members import RunnerMembers
from threadramp.lots.runner_updates import RunnerUpdates
from threadramp.lots.sample_moves import SampleMoves
from threadramp.lots.sample_routes import SampleRoutes
from threadramp.lots.unrouted_samples import UnroutedSamples
from threadramp.lots.urgent_loads import UrgentLoads
from threadramp.policy.sample_order import SampleOrder, WaitingSample
from threadramp.policy.sample_placement import (
    RunnerView,
    choose_runner,
    median_gap_ms,
    views_in_pools,
)
from threadramp.report.guard import start_loop
from threadramp.report.log import log_state
from threadramp.wire.fleet import (
    Accepted,
    Collect,
    Drop,
    Find,
    Found,
    Submit,
    Updates,
)
from threadramp.wire.runner import RunOrder

if TYPE_CHECKING:
    from collections.abc import Callable, Collection

    from threadramp.fleet.clock import Clock
    from threadramp.fleet.peers import Peers
    from threadramp.lots.crashing_samples import SampleCrashGuard
    from threadramp.lots.owned import OwnedLot, OwnedLots
    from threadramp.wire.fleet import AnyReply

COLLECT_WAIT_S = 0.5  # a sidecar answers earlier when a sample ends
RESPONSE_MARGIN_S = 0.7  # network round trip and a busy processor
ASK_TIMEOUT_S = 0.7
LOST_AFTER_S = 1.6  # a sidecar stops its samples after 1.0 s without any request
POLL_INTERVAL_S = 0.1
REFUSED_RETRY_S = 0.1
UNRESPONSIVE_RETRY_S = 0.3
FIND_TIMEOUT_S = 0.4


@dataclass(frozen=True)
class SentSample:
    """A sample in an order on its way to a sidecar.

    :param assignment: number of the assignment of its tracker
    """

    lot: OwnedLot
    sample: str
    assignment: int


class SampleDispatcher:
    """Sends samples to sidecars and collects their text.

    :param on_text_complete: called with a lot and a sample whose text is complete
    :param crash_guard: decides which samples are held back after engine crashes
    :param order: decides which waiting sample goes first
    :param config_apply_s: seconds after which a new configuration is in force everywhere
    """

    def __init__(
        self,
        owned: OwnedLots,
        peers: Peers,
        clock: Clock,
        on_text_complete: Callable[[OwnedLot, str], None],
        crash_guard: SampleCrashGuard,
        order: SampleOrder,
        config_apply_s: float,
    ) -> None:
        self.crash_guard = crash_guard
        self.order = order
        self.owned = owned
        self.peers = peers
        self.clock = clock
        self.updates = RunnerUpdates(owned, clock, on_text_complete, crash_guard)
        self.members = RunnerMembers(peers, clock)
        self.views: dict[str, RunnerView] = {}
        self.collectors: set[str] = set()
        self.eligible: frozenset[str] = frozenset()
        self.routes = SampleRoutes(peers.fleet_view)
        self.unrouted = UnroutedSamples(owned, self.routes, clock, config_apply_s)
        self.moves = SampleMoves(owned, clock, self._take_back, self.routes)
        self.urgent_loads = UrgentLoads(owned, peers, clock, self.routes)
        self.lock = threading.Lock()
        self.stopped = threading.Event()

    def start(self) -> None:
        """Start the loop that sends samples."""
        start_loop(self._run, self.stopped)

    def drop(self, lot: OwnedLot, let_finish: bool) -> None:
        """Tell the sidecars that the samples of a lot are no longer needed."""
        for view in list(self.views.values()):
            with self.owned.lock:
                known_events = lot.tracker.event_counts_at(view.member.name)
            if known_events:
                self._drop(view, known_events, let_finish)

    def _run(self) -> None:
        while not self.stopped.is_set():
            self.owned.work_available.wait(POLL_INTERVAL_S)
            self.owned.work_available.clear()
            if not self.owned.open():
                continue
            self._refresh_views()
            self._find_partial_texts()
            self.unrouted.run_once()
            self.moves.run_once(self._eligible_views())
            self._send_waiting()
            self.urgent_loads.run_once(list(self._eligible_views().values()))

    def _refresh_views(self) -> None:
        """Keep one view and one collector for each sidecar that may run samples of owned lots."""
        lots = [lot.tracker.lot for lot in self.owned.open()]
        self.routes.retain(lots)
        models = {lot.model for lot in lots}
        pools = self.routes.pools_of_all(lots)
        found = self.members.members(models, pools, self._unresponsive())
        members = {one.name: one for one in found}
        snapshot = self.peers.fleet_view.snapshot
        with self.lock:
            self.eligible = frozenset(members)
            for name in self.views.keys() - members.keys() - self.collectors:
                del self.views[name]
            for name, member in members.items():
                view = self.views.get(name)
                if view is None or view.member.address != member.address:
                    self.views[name] = RunnerView(member, first_asked_at=self.clock.now())
                else:
                    view.member = member
                self.views[name].pool = snapshot.pool_at(member.endpoint)
                self._start_collector(name)

    def _unresponsive(self) -> list[str]:
        """Return the sidecars that do not answer; by now they have stopped their samples."""
        now = self.clock.now()
        unresponsive = [
            view
            for name, view in list(self.views.items())
            if name in self.collectors
            and now - max(view.last_answer_at, view.first_asked_at) > LOST_AFTER_S
        ]
        for view in unresponsive:
            if view.status is not None:
                self.updates.mark_lost(view, self.owned.open(), "silent")
        return [view.member.name for view in unresponsive]

    def _eligible_views(self) -> dict[str, RunnerView]:
        """Return the sidecars that get new samples, not those that only finish what they have."""
        return {name: view for name, view in list(self.views.items()) if name in self.eligible}

    def _start_collector(self, name: str) -> None:
        """Start collecting from a sidecar unless a collector runs already."""
        if name in self.collectors:
            return
        self.collectors.add(name)
        threading.Thread(
            target=self._collect_from, args=(name,), name=f"collect-{name}", daemon=True
        ).start()

    def _collect_from(self, name: str) -> None:
        """Collect from one sidecar while it gets new samples or still runs some of ours."""
        while not self.stopped.is_set():
            view = self.views[name]
            try:
                if not self._collect_once(view):
                    break
            except Exception as error:  # keep collecting, otherwise its samples would be stuck
                log_state("collect_failed", sidecar=name, error=repr(error))
                self.stopped.wait(UNRESPONSIVE_RETRY_S)
        with self.lock:
            self.collectors.discard(name)

    def _collect_once(self, view: RunnerView) -> bool:
        """Ask a sidecar once for updates; false if there is nothing to ask for."""
        name = view.member.name
        lots = self.owned.open()
        if not lots:
            return False
        with self.owned.lock:
            known_events = {
                key: n for lot in lots for key, n in lot.tracker.event_counts_at(name).items()
            }
        if not known_events and name not in self.eligible:
            return False
        facts = self.peers.facts_for(view.member)
        engine = view.member.endpoint
        rerouted = self._rerouted(lots, known_events, engine)
        ask = Collect(
            *self.peers.sender_fields, facts, known_events, COLLECT_WAIT_S, engine, rerouted
        )
        reply = self.peers.ask(view.member.address, ask, COLLECT_WAIT_S + RESPONSE_MARGIN_S)
        if not isinstance(reply, Updates):
            self._handle_no_reply(view, lots)
            return True
        self.updates.record_status(view, reply.status)
        self.updates.apply_updates(view, lots, reply)
        return True

    def _rerouted(
        self, lots: list[OwnedLot], samples: Collection[str], engine: str
    ) -> tuple[str, ...]:
        """Return the samples at an engine that the configuration sends to other engines now."""
        return tuple(
            name
            for lot in lots
            for name in samples
            if name in lot.tracker.states and not self.routes.allows(lot.tracker.lot, name, engine)
        )

    def _handle_no_reply(self, view: RunnerView, lots: list[OwnedLot]) -> None:
        """Count an unresponsive sidecar as lost once its samples must have stopped."""
        now = self.clock.now()
        if now - view.last_answer_at > LOST_AFTER_S:
            self.updates.mark_lost(view, lots, "silent")
        self.stopped.wait(UNRESPONSIVE_RETRY_S)

    def _find_partial_texts(self) -> None:
        """Ask the sidecars for partial text of a new lot's samples."""
        for lot in self.owned.open():
            if lot.partial_texts_requested:
                continue
            lot.partial_texts_requested = True
            self._complete_prefilled(lot)
            with self.owned.lock:
                wanted = tuple(
                    name
                    for name, state in lot.tracker.states.items()
                    if state.phase is Phase.WAITING and not state.events
                )
            views = list(self._eligible_views().values())
            min_version = lot.tracker.lot.min_version
            asks = [
                (
                    view.member,
                    Find(*self.peers.sender_fields, wanted, min_version, view.member.endpoint),
                )
                for view in views
            ]
            replies = self.peers.ask_members(asks, FIND_TIMEOUT_S)
            for view in views:
                self._submit_found(lot, view, replies.get(view.member.name))

    def _complete_prefilled(self, lot: OwnedLot) -> None:
        """Score the samples of a new lot whose text was complete in an earlier one."""
        with self.owned.lock:
            to_score = lot.tracker.complete_prefilled(self.clock.now())
        for sample in to_score:
            self.updates.on_text_complete(lot, sample)

    def _submit_found(self, lot: OwnedLot, view: RunnerView, reply: AnyReply | None) -> None:
        """Send samples to the sidecar that has their partial text."""
        if not isinstance(reply, Found):
            return
        self.updates.record_status(view, reply.status)
        with self.owned.lock:
            samples = [
                name
                for name in reply.samples
                if lot.tracker.states[name].phase is Phase.WAITING
                and self.routes.allows(lot.tracker.lot, name, view.member.endpoint)
                and self.crash_guard.may_run_anywhere(lot, name)
            ]
        if samples:
            log_state(
                "partial_text_found",
                lot=lot.lot_id,
                sidecar=view.member.name,
                samples=reply.samples,
            )
            self._submit(view, [(lot, name) for name in samples])

    def _send_waiting(self) -> None:
        """Send waiting samples to sidecars with free slots."""
        threads = [
            threading.Thread(target=self._submit, args=(self.views[name], batch), daemon=True)
            for name, batch in self._batches().items()
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join(ASK_TIMEOUT_S)

    def _batches(self) -> dict[str, list[tuple[OwnedLot, str]]]:
        """Return the waiting samples by the sidecar chosen for each."""
        now = self.clock.now()
        views = list(self._eligible_views().values())
        batches: dict[str, list[tuple[OwnedLot, str]]] = {}
        without_runner: set[tuple[str, int, int, tuple[str, ...]]] = set()
        for one in self._waiting(views, now):
            lot, name = one.lot, one.sample
            request = lot.tracker.lot
            queued = self.order.queued(one.latest_start, now)
            pools = self.routes.of(request).pools_of(name)
            needs = (request.model, request.min_version, queued, pools)
            if not pools or needs in without_runner:
                continue
            view = self._choose_runner(one, pools, views, now, queued)
            if view is None:
                without_runner.add(needs)
            if view is None or not self.crash_guard.admit(lot, name, view.member.name, now):
                continue
            view.assigned += 1
            batches.setdefault(view.member.name, []).append((lot, name))
        return batches

    def _choose_runner(
        self,
        one: WaitingSample,
        pools: tuple[str, ...],
        views: list[RunnerView],
        now: float,
        queued: int,
    ) -> RunnerView | None:
        """Return the sidecar for a sample, if possible one without another isolated suspect.

        :param pools: the pools that the sample may use
        """
        request = one.lot.tracker.lot
        routed = views_in_pools(views, pools, request.model, request.min_version, now)
        allowed = self.crash_guard.allowed_runners(one.lot, one.sample, routed, now)
        for choices in (allowed,) if allowed is routed else (allowed, routed):
            view = choose_runner(
                choices,
                request.model,
                request.min_version,
                self.peers.data_centre,
                one.last_runner,
                now,
                queued,
            )
            if view is not None:
                return view
        return None

    def _waiting(self, views: list[RunnerView], now: float) -> list[WaitingSample]:
        """Return the waiting samples of all open lots, the one that goes first at the front."""
        gap_s = median_gap_ms(views) / 1000
        rows = []
        for lot in self.owned.open():
            with self.owned.lock:
                rows += [
                    WaitingSample(
                        lot,
                        state.sample.id,
                        state.last_runner,
                        lot.tracker.rules.due,
                        lot.tracker.events_left(state) * gap_s,
                    )
                    for state in lot.tracker.waiting(now)
                ]
        return self.order.sorted(rows)

    def _submit(self, view: RunnerView, batch: list[tuple[OwnedLot, str]]) -> None:
        """Send samples to one sidecar and record which it accepted.

        Those that no longer wait, or that the configuration has sent to other engines since they
        were chosen, are left out. So are those of a second lot with the same id: the answer goes by
        ids, and the later order replaces the earlier one.
        """
        name = view.member.name
        pool = self.peers.fleet_view.snapshot.pool_at(view.member.endpoint)
        with self.owned.lock:
            waiting: dict[str, OwnedLot] = {}
            for lot, sample in batch:
                if lot.tracker.is_waiting(sample):
                    waiting.setdefault(sample, lot)
            routes = {sample: self.routes.of(lot.tracker.lot) for sample, lot in waiting.items()}
            batch = [
                (lot, sample)
                for sample, lot in waiting.items()
                if pool in routes[sample].pools_of(sample)
            ]
            orders = tuple(
                self._order(lot, sample, pool, routes[sample].revision) for lot, sample in batch
            )
            sent = [
                SentSample(lot, sample, lot.tracker.assign(sample, name)) for lot, sample in batch
            ]
        if not orders:
            return
        facts = self.peers.facts_for(view.member)
        ask = Submit(*self.peers.sender_fields, facts, orders, view.member.endpoint)
        reply = self.peers.ask(view.member.address, ask, ASK_TIMEOUT_S)
        now = self.clock.now()
        taken: dict[str, str] = {}
        pause = UNRESPONSIVE_RETRY_S
        if isinstance(reply, Accepted):
            self.updates.record_status(view, reply.status)
            taken = reply.samples
            pause = REFUSED_RETRY_S
        self._record_submitted(name, sent, orders, taken, now + pause)
        for lot in {id(lot): lot for lot, _ in batch if lot.tracker.ended}.values():
            self.drop(lot, let_finish=False)  # it ended while they were being sent

    def _record_submitted(
        self,
        name: str,
        sent: list[SentSample],
        orders: tuple[RunOrder, ...],
        taken: dict[str, str],
        retry_at: float,
    ) -> None:
        """Record which samples a sidecar accepted; the others wait until ``retry_at``."""
        refused = [one for one in sent if one.sample not in taken]
        new_lineages = {order.sample.id: order.new_lineage for order in orders}
        with self.owned.lock:
            for one in sent:
                if one.sample in taken:
                    lineage = taken[one.sample]
                    is_new = lineage == new_lineages[one.sample]
                    one.lot.tracker.accepted(one.sample, name, lineage, one.assignment, is_new)
            for one in refused:
                one.lot.tracker.return_to_queue(one.sample, name, retry_at, one.assignment)
        log_state(
            "samples_sent",
            sidecar=name,
            lots=sorted({one.lot.lot_id for one in sent}),
            taken=sorted(taken),
            refused=len(refused),
            pool=orders[0].pool,
            configuration_revision=orders[0].configuration_revision,
        )

    def _order(
        self, lot: OwnedLot, sample: str, pool: str, configuration_revision: int
    ) -> RunOrder:
        """Return the order to run a sample.

        :param pool: pool of the engine that is to run it
        :param configuration_revision: of the configuration that allows that pool
        """
        tracker = lot.tracker
        gap_s = median_gap_ms(list(self._eligible_views().values())) / 1000
        state = tracker.states[sample]
        return RunOrder(
            sample=state.sample,
            host=tracker.lot.host,
            min_version=tracker.lot.min_version,
            one_version=tracker.rules.one_version,
            after=len(state.events),
            lineage=state.lineage if state.events else "",
            new_lineage=secrets.token_hex(4),
            due=tracker.rules.due - self.clock.now(),
            give_up_in_s=tracker.rules.give_up_at - self.clock.now(),
            rank=lot.stored.head.rank,
            model=tracker.lot.model,
            organisation=tracker.lot.organisation,
            expected_s=self.order.expected_s(tracker.events_left(state) * gap_s),
            pool=pool,
            configuration_revision=configuration_revision,
        )

    def _take_back(self, view: RunnerView, known_events: dict[str, int]) -> None:
        """Stop samples at a sidecar and collect their last events."""
        self._drop(view, known_events, let_finish=False)

    def _drop(self, view: RunnerView, known_events: dict[str, int], let_finish: bool) -> None:
        """Drop samples at a sidecar and collect their last events."""
        ask = Drop(*self.peers.sender_fields, known_events, let_finish, view.member.endpoint)
        reply = self.peers.ask(view.member.address, ask, ASK_TIMEOUT_S)
        if isinstance(reply, Updates):
            self.updates.record_status(view, reply.status)
            self.updates.apply_updates(view, self.owned.open(), reply)


__all__ = ["SampleDispatcher"]
