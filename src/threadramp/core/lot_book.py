"""The samples of one lot from hand-in to listed result, without I/O and without a clock.

Events and the time go in; what to do next is asked for. Whatever order messages come in, a sample
has one result, and a result gets one position, which is read only once the store has kept it.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING

from threadramp.lots.model import Result, ResultState
from threadramp.policy.listing_policy import LISTINGS, PendingResults
from threadramp.policy.sample_length import LengthEstimator

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from threadramp.lots.model import Lot, Sample
    from threadramp.policy.listing_policy import ListingPolicy

MAX_CHUNK_CHARACTERS = 400_000  # of text in one chunk, so that a value stays below a megabyte


class Phase(Enum):
    """How far a sample is."""

    WAITING = "waiting"
    RUNNING = "running"
    SCORING = "scoring"
    STAGED = "staged"
    LISTED = "listed"


class RunOutcome(Enum):
    """How a run of a sample ended at its sidecar; ``CRASHED`` if its engine ended meanwhile."""

    NONE = ""
    WHOLE = "whole"
    FAILED = "failed"
    IMPOSSIBLE = "impossible"
    CUT = "cut"
    CRASHED = "crashed"


@dataclass
class SampleState:
    """One sample.

    :param runner: sidecar that runs it, empty if none does
    :param events: data of the events so far
    :param events_before: how many there were when the sidecar was asked
    :param versions: of the weights, one for each event
    :param lineage: names the chain of events that the sidecar said it goes on with
    :param confirmed: whether the sidecar that was asked last said so; none of its events counts
        before, since they may be of an earlier run there
    :param not_before: it is not sent to a sidecar again before this time
    :param last_runner: sidecar that was asked last
    """

    sample: Sample
    phase: Phase = Phase.WAITING
    runner: str = ""
    last_runner: str = ""
    events: list[str] = field(default_factory=list)
    events_before: int = 0
    versions: list[int] = field(default_factory=list)
    lineage: str = ""
    confirmed: bool = False
    failures: int = 0
    reward_failures: int = 0
    not_before: float = 0.0
    staged_at: float = 0.0
    result: Result | None = None

    @property
    def is_open(self) -> bool:
        """Return whether it has no result yet."""
        return self.phase in (Phase.WAITING, Phase.RUNNING, Phase.SCORING)


@dataclass(frozen=True)
class LotRules:
    """What the lot's route asks for.

    :param max_attempts: failed runs after which a sample is given up
    :param give_up_at: time after which a sample may be given up
    :param due: time at which its results are due
    """

    max_attempts: int
    one_version: bool
    due: float
    give_up_at: float


class LotBook:
    """All samples of one lot."""

    def __init__(
        self,
        lot: Lot,
        rules: LotRules,
        listed: Sequence[Result] = (),
        lengths: LengthEstimator | None = None,
        listing: ListingPolicy | None = None,
    ) -> None:
        self.lot = lot
        self.listing = listing or LISTINGS["at_once"]()
        self.lengths = lengths or LengthEstimator()
        self.rules = rules
        self.listed: list[Result] = list(listed)
        self.ended = False
        self.states = {sample.id: SampleState(sample) for sample in lot.samples}
        self.groups: dict[str, list[str]] = {}
        for sample in lot.samples:
            self.groups.setdefault(sample.group, []).append(sample.id)
        for result in self.listed:
            state = self.states[result.sample]
            state.phase = Phase.LISTED
            state.result = result
        self.append_open = False

    @property
    def is_whole(self) -> bool:
        """Return whether every sample is listed."""
        return len(self.listed) == len(self.states)

    def waiting(self, now: float) -> list[SampleState]:
        """Return the samples that want a sidecar, most wanted first."""
        if self.ended:
            return []
        found = [
            state
            for state in self.states.values()
            if state.phase is Phase.WAITING and state.not_before <= now
        ]
        # A long sample decides when its group is whole, so it starts first.
        found.sort(key=lambda state: -self.events_left(state))
        return found

    def events_left(self, state: SampleState) -> float:
        """Return about how many events are still to come."""
        expected = state.sample.expected_tokens or state.sample.tokens
        return self.lengths.remaining_events(expected, len(state.events))

    def at_runner(self, runner: str) -> dict[str, int]:
        """Return the samples that a sidecar said it runs, with the events that are here."""
        return {
            name: len(state.events)
            for name, state in self.states.items()
            if state.phase is Phase.RUNNING and state.runner == runner and state.confirmed
        }

    def assign(self, sample: str, runner: str) -> None:
        """Note that a sidecar is asked to run a sample."""
        state = self.states[sample]
        state.phase = Phase.RUNNING
        state.runner = runner
        state.last_runner = runner
        state.confirmed = False
        state.events_before = len(state.events)

    def accepted(self, sample: str, runner: str, lineage: str) -> bool:
        """Note that a sidecar runs a sample, and which chain of events it goes on with."""
        state = self.states.get(sample)
        if state is None or state.phase is not Phase.RUNNING or state.runner != runner:
            return False
        state.confirmed = True
        state.lineage = lineage
        return True

    def give_back(self, sample: str, runner: str, not_before: float) -> bool:
        """Note that a sidecar does not run a sample any more; its events stay."""
        state = self.states.get(sample)
        if state is None or state.phase is not Phase.RUNNING or state.runner != runner:
            return False
        state.phase = Phase.WAITING
        state.runner = ""
        state.not_before = not_before
        return True

    def put_off(self, sample: str, until: float) -> None:
        """Let a waiting sample wait until a time."""
        state = self.states.get(sample)
        if state is not None and state.phase is Phase.WAITING:
            state.not_before = max(state.not_before, until)

    def lose_runner(self, runner: str, now: float) -> list[str]:
        """Give back all samples of a sidecar that was lost."""
        return [name for name in self.states if self.give_back(name, runner, now)]

    def add_events(
        self,
        sample: str,
        runner: str,
        base: int,
        events: Sequence[str],
        versions: Sequence[int],
        lineage: str,
    ) -> bool:
        """Add events of a run; false if they are not the ones that follow those that are here."""
        state = self.states.get(sample)
        if state is None or state.phase is not Phase.RUNNING or not state.confirmed:
            return False
        known = len(state.events)
        if state.runner != runner or state.lineage != lineage or base > known:
            return False
        state.events.extend(events[known - base :])
        state.versions.extend(versions[known - base :])
        return True

    def prefill(
        self, sample: str, events: Sequence[str], versions: Sequence[int], lineage: str
    ) -> bool:
        """Start a sample with text that was kept from an earlier lot, if its versions fit."""
        state = self.states.get(sample)
        fits = state is not None and state.phase is Phase.WAITING and not state.events
        if not fits or not events or min(versions) < self.lot.min_version:
            return False
        if self.rules.one_version and len(set(versions)) > 1:
            return False
        state.events = list(events)
        state.versions = list(versions)
        state.lineage = lineage
        return True

    def run_ended(self, sample: str, runner: str, outcome: RunOutcome, now: float) -> Phase | None:
        """Note how a run ended; returns the sample's new phase, none if it changes nothing."""
        state = self.states.get(sample)
        if state is None or state.phase is not Phase.RUNNING or state.runner != runner:
            return None
        state.runner = ""
        if outcome is RunOutcome.WHOLE:
            self.lengths.add_sample(state.sample.expected_tokens, len(state.events))
            self._text_whole(state, now)
        elif outcome is RunOutcome.IMPOSSIBLE:  # one such answer is enough
            self._stage(state, ResultState.DEAD, "", now)
        elif outcome is RunOutcome.FAILED:
            self._run_failed(state, now)
        else:
            state.phase = Phase.WAITING
            state.not_before = now
        return state.phase

    def scored(self, sample: str, score: str, now: float) -> bool:
        """Note the score of a sample."""
        state = self.states.get(sample)
        if state is None or state.phase is not Phase.SCORING:
            return False
        self._stage(state, ResultState.SUCCEEDED, score, now)
        return True

    def score_failed(self, sample: str, now: float, max_attempts: int) -> bool:
        """Count an answer that the score failed; true if the sample is given up for it."""
        state = self.states.get(sample)
        if state is None or state.phase is not Phase.SCORING:
            return True
        state.reward_failures += 1
        if state.reward_failures < max_attempts:
            return False
        self._stage(state, ResultState.DEAD, "", now)
        return True

    def give_up_late(self, now: float) -> list[str]:
        """Give up the samples whose time is over."""
        if now < self.rules.give_up_at or self.ended:
            return []
        late = [name for name, state in self.states.items() if state.is_open]
        for name in late:
            self._stage(self.states[name], ResultState.DEAD, "", now)
        return late

    def next_chunk(self, now: float) -> tuple[Result, ...]:
        """Return the results to append now, none while an append is open or it is too early."""
        if self.append_open or self.ended:
            return ()
        staged = [state for state in self.states.values() if state.phase is Phase.STAGED]
        if not staged or not self._flush_is_due(staged, now):
            return ()
        staged.sort(key=lambda state: state.staged_at)
        self.append_open = True
        return _first_chunk([state.result for state in staged if state.result is not None])

    def appended(self, results: Iterable[Result]) -> None:
        """Note that the store keeps these results at the next positions."""
        self.append_open = False
        for result in results:
            state = self.states[result.sample]
            state.phase = Phase.LISTED
            state.runner = ""
            state.result = result
            self.listed.append(result)

    def append_failed(self) -> None:
        """Note that the store did not keep the chunk; it is tried again."""
        self.append_open = False

    def end(self) -> list[str]:
        """End the lot; returns the samples that still ran."""
        self.ended = True
        return [name for name, state in self.states.items() if state.phase is Phase.RUNNING]

    def _flush_is_due(self, staged: list[SampleState], now: float) -> bool:
        ready = {group for group in self.groups if self._group_is_ready(group)}
        unlisted = PendingResults(
            oldest_at=min(state.staged_at for state in staged),
            completes_group=any(state.sample.group in ready for state in staged),
            complete_groups=len(ready),
            wanted_groups=self.lot.wanted_groups,
            due=self.rules.due,
        )
        return self.listing.is_due(unlisted, now)

    def _group_is_ready(self, group: str) -> bool:
        phases = (self.states[name].phase for name in self.groups[group])
        return all(phase in (Phase.STAGED, Phase.LISTED) for phase in phases)

    def _text_whole(self, state: SampleState, now: float) -> None:
        too_old = bool(state.versions) and min(state.versions) < self.lot.min_version
        mixed = self.rules.one_version and len(set(state.versions)) > 1
        if too_old or mixed or not state.events:
            self._start_over(state, now)
        elif state.sample.reward is None:
            self._stage(state, ResultState.SUCCEEDED, "", now)
        else:
            state.phase = Phase.SCORING

    def _start_over(self, state: SampleState, now: float) -> None:
        state.events = []
        state.versions = []
        state.lineage = ""
        state.phase = Phase.WAITING
        state.not_before = now

    def _run_failed(self, state: SampleState, now: float) -> None:
        state.failures += 1
        if state.failures >= self.rules.max_attempts:
            self._stage(state, ResultState.DEAD, "", now)
            return
        state.phase = Phase.WAITING
        state.not_before = now

    def _stage(self, state: SampleState, ended_as: ResultState, score: str, now: float) -> None:
        succeeded = ended_as is ResultState.SUCCEEDED
        text = "\n".join(state.events) if succeeded else ""
        versions = tuple(sorted(set(state.versions))) if succeeded else ()
        state.result = Result(state.sample.id, ended_as, text, versions, score)
        state.phase = Phase.STAGED
        state.runner = ""
        state.staged_at = now


def _first_chunk(results: list[Result]) -> tuple[Result, ...]:
    size = 0
    for place, result in enumerate(results):
        size += len(result.text)
        if size > MAX_CHUNK_CHARACTERS and place:
            return tuple(results[:place])
    return tuple(results)


__all__ = ["LotBook", "LotRules", "Phase", "RunOutcome", "SampleState"]
