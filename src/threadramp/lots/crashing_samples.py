"""Delays and separates samples that were running when engines crashed.

An accepted sample is owed. Unlike a request of a caller it is never refused for crashes: it waits
for a few seconds at most after each one. The other samples of its lot continue.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from threadramp.core.lot_tracker import Phase, RunOutcome
from threadramp.platform.headers import caller_of
from threadramp.policy.crash_tracker import SuspicionLevel
from threadramp.policy.fingerprint import OWED_METHOD, fingerprint

if TYPE_CHECKING:
    from collections.abc import Sequence

    from threadramp.edge.crash_guard import CrashGuard
    from threadramp.fleet.model import Incarnation
    from threadramp.lots.model import Lot, Sample
    from threadramp.lots.owned import OwnedLot, OwnedLots
    from threadramp.policy.sample_placement import RunnerView

ENGINE_SURVIVED = (RunOutcome.COMPLETE, RunOutcome.FAILED, RunOutcome.IMPOSSIBLE)


@dataclass(frozen=True)
class IsolatedSample:
    """A sample that was sent to a runner without other suspects."""

    lot: OwnedLot
    sample: str
    admitted_at: float

    def is_running_at(self, runner: str) -> bool:
        """Return whether it runs at a runner."""
        tracker = self.lot.tracker
        state = tracker.states[self.sample]
        return not tracker.ended and state.phase is Phase.RUNNING and state.runner == runner


class SampleCrashGuard:
    """Delays suspect samples of a gateway's lots.

    :param guard: crash guard for all requests of this process
    """

    def __init__(self, guard: CrashGuard, owned: OwnedLots) -> None:
        self.guard = guard
        self.owned = owned
        self.isolated: dict[str, IsolatedSample] = {}

    def record_outcome(
        self, lot: OwnedLot, sample: str, outcome: RunOutcome, start: Incarnation
    ) -> None:
        """Record how a run ended.

        :param start: incarnation of the engine that ran it
        """
        if outcome is RunOutcome.CRASHED:
            self.guard.record_crash(sample, self._fingerprint(lot, sample), start, owed=True)
        elif outcome in ENGINE_SURVIVED:
            self.guard.record_response(lambda: self._fingerprint(lot, sample), start)

    def may_run_anywhere(self, lot: OwnedLot, sample: str) -> bool:
        """Return whether a sample may run on any engine, next to any other sample."""
        assessment = self.guard.assess(lambda: self._fingerprint(lot, sample))
        return assessment.level in (SuspicionLevel.NONE, SuspicionLevel.SUSPECTED)

    def allowed_runners(
        self, lot: OwnedLot, sample: str, views: Sequence[RunnerView], now: float
    ) -> Sequence[RunnerView]:
        """Return the runners at which a sample may run: those without an isolated suspect.

        Where none of these has room the caller may choose any other: a sample takes seconds, and
        its step waits for it.
        """
        assessment = self.guard.assess(lambda: self._fingerprint(lot, sample))
        if assessment.level in (SuspicionLevel.NONE, SuspicionLevel.SUSPECTED):
            return views
        isolating = self._isolating_runners(now)
        return [view for view in views if view.member.name not in isolating]

    def admit(self, lot: OwnedLot, sample: str, runner: str, now: float) -> bool:
        """Return whether a sample may go to a runner now; else it is postponed."""
        assessment = self.guard.admit(sample, lambda: self._fingerprint(lot, sample))
        if assessment.is_held:
            with self.owned.lock:
                lot.tracker.postpone(sample, now + assessment.retry_after_s)
            return False
        if assessment.level is SuspicionLevel.ISOLATED:
            self.isolated[runner] = IsolatedSample(lot, sample, now)
        return True

    def _isolating_runners(self, now: float) -> set[str]:
        """Return the runners at which an isolated suspect runs, or to which one is being sent.

        :param now: the same for all samples that are sent together
        """
        with self.owned.lock:
            self.isolated = {
                runner: one
                for runner, one in self.isolated.items()
                if one.admitted_at == now or one.is_running_at(runner)
            }
        return set(self.isolated)

    def _fingerprint(self, lot: OwnedLot, sample: str) -> bytes:
        return sample_fingerprint(lot.tracker.lot, lot.tracker.states[sample].sample)


def sample_fingerprint(lot: Lot, sample: Sample) -> bytes:
    """Return a sample's fingerprint, the same in every lot of its organisation but of no call."""
    organisation = lot.organisation
    caller = caller_of(sample.headers) if organisation is None else organisation
    return fingerprint(lot.host, OWED_METHOD, sample.path, caller, sample.body)


__all__ = ["SampleCrashGuard", "sample_fingerprint"]
