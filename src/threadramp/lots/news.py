"""Puts into the books of lots what sidecars say about their samples."""

from __future__ import annotations

from typing import TYPE_CHECKING

from threadramp.core.lot_book import Phase, RunOutcome
from threadramp.report.log import log_state

if TYPE_CHECKING:
    from collections.abc import Callable

    from threadramp.fleet.clock import Clock
    from threadramp.lots.crashing_samples import SampleGuard
    from threadramp.lots.owned import OwnedLot, OwnedLots
    from threadramp.policy.sample_placement import RunnerView
    from threadramp.wire.fleet import Updates
    from threadramp.wire.runner import RunnerStatus, RunUpdate


class RunnerNews:
    """Notes what sidecars answer, and that one is lost.

    :param on_scoring: called with a lot and a sample whose text is whole
    :param samples: is told how runs ended
    """

    def __init__(
        self,
        owned: OwnedLots,
        clock: Clock,
        on_scoring: Callable[[OwnedLot, str], None],
        samples: SampleGuard,
    ) -> None:
        self.samples = samples
        self.owned = owned
        self.clock = clock
        self.on_scoring = on_scoring

    def heard(self, view: RunnerView, status: RunnerStatus) -> None:
        """Note that a sidecar answered, and what it says of itself."""
        view.status = status
        view.assigned = status.taken
        view.last_answer_at = self.clock.now()

    def take(self, view: RunnerView, lots: list[OwnedLot], reply: Updates) -> None:
        """Note the news that a sidecar gave; lots in ``lots`` alone are looked at."""
        now = self.clock.now()
        by_sample = self._lots_by_sample(lots)
        for update in reply.updates:
            lot = by_sample.get(update.sample)
            if lot is None:
                continue
            with self.owned.lock:
                phase = self._take_one(view, lot, update, now)
            if phase is Phase.SCORING:
                self.on_scoring(lot, update.sample)
        for sample in reply.unknown:
            lot = by_sample.get(sample)
            if lot is None:
                continue
            with self.owned.lock:
                lot.book.give_back(sample, view.member.name, now)
        if reply.updates or reply.unknown:
            self.owned.work.set()

    def lose(self, view: RunnerView, lots: list[OwnedLot], reason: str) -> None:
        """Give back the samples of a sidecar that is counted as lost."""
        now = self.clock.now()
        view.status = None
        for lot in lots:
            with self.owned.lock:
                lost = lot.book.lose_runner(view.member.name, now)
            if lost:
                log_state(
                    "sidecar_lost",
                    sidecar=view.member.name,
                    reason=reason,
                    lot=lot.lot_id,
                    samples=lost,
                    silent_s=round(now - view.last_answer_at, 2),
                )
                self.owned.work.set()

    def _take_one(
        self, view: RunnerView, lot: OwnedLot, update: RunUpdate, now: float
    ) -> Phase | None:
        """Note the news of one sample; returns its phase if its run ended."""
        name = view.member.name
        book = lot.book
        added = book.add_events(
            update.sample, name, update.base, update.events, update.versions, update.lineage
        )
        if not added:
            if update.sample in book.at_runner(name):  # another gateway had it begun anew there
                log_state("events_refused", sample=update.sample, sidecar=name, base=update.base)
                book.give_back(update.sample, name, now)
            return None
        if not update.outcome:
            return None
        outcome = RunOutcome(update.outcome)
        self.samples.note(lot, update.sample, outcome, update.start)
        phase = book.run_ended(update.sample, name, outcome, now)
        log_state(
            "run_ended",
            sample=update.sample,
            lot=lot.lot_id,
            sidecar=name,
            outcome=update.outcome,
            events=len(book.states[update.sample].events),
            phase=phase and phase.value,
        )
        return phase

    def _lots_by_sample(self, lots: list[OwnedLot]) -> dict[str, OwnedLot]:
        """Return the lot of each sample that runs."""
        with self.owned.lock:
            return {
                name: lot
                for lot in lots
                for name, state in lot.book.states.items()
                if state.phase is Phase.RUNNING
            }


__all__ = ["RunnerNews"]
