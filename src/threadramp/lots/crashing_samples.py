"""Holds back samples under which engines ended, as requests of callers are held back.

A sample that is refused stays in its lot until its time is over; others of its lot go on.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from threadramp.core.lot_book import Phase, RunOutcome
from threadramp.platform.headers import caller_of
from threadramp.policy.crash_tracker import SuspicionLevel
from threadramp.policy.fingerprint import fingerprint

if TYPE_CHECKING:
    from collections.abc import Sequence

    from threadramp.edge.crash_guard import CrashGuard
    from threadramp.fleet.model import Start
    from threadramp.lots.model import Lot, Sample
    from threadramp.lots.owned import OwnedLot, OwnedLots
    from threadramp.policy.crash_tracker import Assessment
    from threadramp.policy.sample_placement import RunnerView

HOLD_MOST_S = 5.0  # before a refused sample is looked at again; each look writes a line
LIVED_ON = (RunOutcome.WHOLE, RunOutcome.FAILED, RunOutcome.IMPOSSIBLE)


class SampleGuard:
    """One for the lots of a gateway.

    :param guard: of all requests of this process
    """

    def __init__(self, guard: CrashGuard, owned: OwnedLots) -> None:
        self.guard = guard
        self.owned = owned
        self.apart: dict[str, tuple[OwnedLot, str]] = {}

    def note(self, lot: OwnedLot, sample: str, outcome: RunOutcome, start: Start) -> None:
        """Note how a run ended.

        :param start: of the engine at which it ran
        """
        if outcome is RunOutcome.CRASHED:
            self.guard.record_crash(sample, self._fingerprint(lot, sample), start)
        elif outcome in LIVED_ON:
            self.guard.record_response(lambda: self._fingerprint(lot, sample), start)

    def may_go_on(self, lot: OwnedLot, sample: str) -> bool:
        """Return whether a sample may run anywhere, beside whatever runs there."""
        ruling = self.guard.assess(lambda: self._fingerprint(lot, sample))
        return ruling.level in (SuspicionLevel.NONE, SuspicionLevel.SUSPECTED)

    def open_to(
        self, lot: OwnedLot, sample: str, views: Sequence[RunnerView]
    ) -> Sequence[RunnerView]:
        """Return the runners at which a sample may run: not those of other suspects.

        Where all have one it goes beside it: a sample takes seconds, and its step waits for it.
        """
        ruling = self.guard.assess(lambda: self._fingerprint(lot, sample))
        if ruling.level in (SuspicionLevel.NONE, SuspicionLevel.SUSPECTED):
            return views
        taken = self._taken()
        return [view for view in views if view.member.name not in taken] or views

    def admit(self, lot: OwnedLot, sample: str, runner: str, now: float) -> bool:
        """Return whether a sample may go to a runner now; one that may not is put off."""
        ruling = self.guard.admit(sample, lambda: self._fingerprint(lot, sample))
        if ruling.level is SuspicionLevel.REFUSED:
            self._put_off(lot, sample, ruling, now)
            return False
        if ruling.level is SuspicionLevel.ISOLATED:
            self.apart[runner] = (lot, sample)
        return True

    def _put_off(self, lot: OwnedLot, sample: str, ruling: Assessment, now: float) -> None:
        with self.owned.lock:
            lot.book.put_off(sample, now + min(HOLD_MOST_S, ruling.retry_after_s))

    def _taken(self) -> set[str]:
        """Return the runners at which a suspect runs that goes apart from others."""
        with self.owned.lock:
            self.apart = {
                runner: (lot, sample)
                for runner, (lot, sample) in self.apart.items()
                if _runs_at(lot, sample, runner)
            }
        return set(self.apart)

    def _fingerprint(self, lot: OwnedLot, sample: str) -> bytes:
        return sample_fingerprint(lot.book.lot, lot.book.states[sample].sample)


def sample_fingerprint(lot: Lot, sample: Sample) -> bytes:
    """Return what stands for a sample, in whichever lot of its organisation it comes."""
    known = lot.organisation
    caller = caller_of(sample.headers) if known is None else known
    return fingerprint(lot.host, "POST", sample.path, caller, sample.body)


def _runs_at(lot: OwnedLot, sample: str, runner: str) -> bool:
    state = lot.book.states[sample]
    return not lot.book.ended and state.phase is Phase.RUNNING and state.runner == runner


__all__ = ["SampleGuard", "sample_fingerprint"]
