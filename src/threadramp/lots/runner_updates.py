"""Applies what sidecars report about samples to the trackers of the lots."""

from __future__ import annotations

from typing import TYPE_CHECKING

from threadramp.core.lot_tracker import Phase, RunOutcome
from threadramp.report.log import log_state

if TYPE_CHECKING:
    from collections.abc import Callable

    from threadramp.fleet.clock import Clock
    from threadramp.lots.crashing_samples import SampleCrashGuard
    from threadramp.lots.owned import OwnedLot, OwnedLots
    from threadramp.policy.sample_placement import RunnerView
    from threadramp.wire.fleet import Updates
    from threadramp.wire.runner import RunnerStatus, RunUpdate


class RunnerUpdates:
    """Records what sidecars answer, and the loss of a sidecar.

    :param on_text_complete: called with a lot and a sample whose text is complete
    :param crash_guard: records how runs ended
    """

    def __init__(
        self,
        owned: OwnedLots,
        clock: Clock,
        on_text_complete: Callable[[OwnedLot, str], None],
        crash_guard: SampleCrashGuard,
    ) -> None:
        self.crash_guard = crash_guard
        self.owned = owned
        self.clock = clock
        self.on_text_complete = on_text_complete

    def record_status(self, view: RunnerView, status: RunnerStatus) -> None:
        """Record that a sidecar answered, and the status that it reported."""
        view.status = status
        view.assigned = status.taken
        view.last_answer_at = self.clock.now()

    def apply_updates(self, view: RunnerView, lots: list[OwnedLot], reply: Updates) -> None:
        """Apply the updates that a sidecar sent, for samples of ``lots`` only."""
        now = self.clock.now()
        by_sample = self._lots_by_sample(lots, view.member.name)
        for update in reply.updates:
            lot = by_sample.get(update.sample)
            if lot is None:
                continue
            with self.owned.lock:
                phase = self._apply_one(view, lot, update, now)
            if phase is Phase.SCORING:
                self.on_text_complete(lot, update.sample)
        for sample in reply.unknown:
            lot = by_sample.get(sample)
            if lot is None:
                continue
            with self.owned.lock:
                lot.tracker.return_to_queue(sample, view.member.name, now)
        if reply.updates or reply.unknown:
            self.owned.work_available.set()

    def mark_lost(self, view: RunnerView, lots: list[OwnedLot], reason: str) -> None:
        """Return the samples of a lost sidecar to the waiting ones."""
        now = self.clock.now()
        view.status = None
        for lot in lots:
            with self.owned.lock:
                lost = lot.tracker.lose_runner(view.member.name, now)
            if lost:
                log_state(
                    "sidecar_lost",
                    sidecar=view.member.name,
                    reason=reason,
                    lot=lot.lot_id,
                    samples=lost,
                    silent_s=round(now - view.last_answer_at, 2),
                )
                self.owned.work_available.set()

    def _apply_one(
        self, view: RunnerView, lot: OwnedLot, update: RunUpdate, now: float
    ) -> Phase | None:
        """Apply the update of one sample; returns its phase if its run ended."""
        name = view.member.name
        tracker = lot.tracker
        is_current = tracker.is_running_at(update.sample, name)
        state = tracker.states[update.sample]
        known = len(state.events)
        added = tracker.add_events(
            update.sample, name, update.base, update.events, update.versions, update.lineage
        )
        if not added:
            if is_current:  # another gateway has restarted it there, or known events differ
                log_state(
                    "events_refused",
                    sample=update.sample,
                    sidecar=name,
                    base=update.base,
                    events=len(update.events),
                    known=known,
                )
                tracker.return_to_queue(update.sample, name, now)
            return None
        if not update.outcome:
            return None
        outcome = RunOutcome(update.outcome)
        self.crash_guard.record_outcome(lot, update.sample, outcome, update.start)
        event_count = update.base + len(update.events)
        if outcome is RunOutcome.COMPLETE and event_count != len(state.events):
            log_state(
                "events_missing",
                sample=update.sample,
                lot=lot.lot_id,
                sidecar=name,
                events=len(state.events),
                events_at_sidecar=event_count,
            )
        phase = tracker.run_ended(update.sample, name, outcome, now, event_count)
        log_state(
            "run_ended",
            sample=update.sample,
            lot=lot.lot_id,
            sidecar=name,
            outcome=update.outcome,
            events=len(state.events),
            events_before=state.events_before,
            instance=update.start.instance,
            phase=phase and phase.value,
        )
        return phase

    def _lots_by_sample(self, lots: list[OwnedLot], runner: str) -> dict[str, OwnedLot]:
        """Return the lot of each sample that runs at a sidecar."""
        with self.owned.lock:
            return {
                name: lot
                for lot in lots
                for name, state in lot.tracker.states.items()
                if state.phase is Phase.RUNNING and state.runner == runner
            }


__all__ = ["RunnerUpdates"]
