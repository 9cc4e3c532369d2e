"""State of the samples of one lot from submission to listed result, without I/O and clock.

Callers pass in events and the current time, and ask for the next actions. In whatever order
messages arrive, a sample has one result and a result has one position, which can be read only once
the store has stored the result.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING

from threadramp.lots.model import Result, ResultState, text_bytes
from threadramp.policy.listing_policy import LISTINGS, PendingResults
from threadramp.policy.sample_length import LengthEstimator

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping, Sequence

    from threadramp.lots.model import Lot, Sample
    from threadramp.policy.listing_policy import ListingPolicy

EMPTY_TEXT_PAUSE_S = 0.3  # before a sample whose run had no events is run again
MAX_CHUNK_BYTES = 400_000  # keeps a stored value below a megabyte


class Phase(Enum):
    """Progress of a sample; ``STAGED`` results wait to be appended to the stored list."""

    WAITING = "waiting"
    RUNNING = "running"
    SCORING = "scoring"
    STAGED = "staged"
    LISTED = "listed"


class RunOutcome(Enum):
    """How a run of a sample ended at its sidecar.

    ``NONE``: not ended. ``IMPOSSIBLE``: the endpoint can not run this sample at all. ``CUT``:
    interrupted, may be resumed. ``CRASHED``: the engine crashed meanwhile.
    """

    NONE = ""
    COMPLETE = "whole"
    FAILED = "failed"
    IMPOSSIBLE = "impossible"
    CUT = "cut"
    CRASHED = "crashed"


class TextSource(Enum):
    """Where the first events of a text came from.

    ``LOT``: a run of this lot. ``KEPT``: an earlier lot of this gateway. ``CHECKPOINT``: the store.
    ``SIDECAR``: a run there that began for another lot or owner.
    """

    LOT = "lot"
    KEPT = "kept"
    CHECKPOINT = "checkpoint"
    SIDECAR = "sidecar"


@dataclass
class SampleState:
    """One sample.

    :param runner: sidecar that was asked to run it, empty if it is not assigned
    :param events: data of the events so far
    :param events_before: number of events when it was assigned
    :param versions: weight version of each event
    :param lineage: names the chain of events that the sidecar said it resumes
    :param confirmed: whether that sidecar has confirmed the run; its events are ignored before, as
        they may belong to an earlier run there
    :param not_before: time before which it is not assigned again
    :param last_runner: sidecar that it was assigned to last
    :param assignment: number of times that it was assigned
    :param runs: number of runs that sidecars have confirmed for its text
    :param source: where the first of its events came from
    :param is_whole: whether the text that it was started with is complete
    """

    sample: Sample
    phase: Phase = Phase.WAITING
    runner: str = ""
    last_runner: str = ""
    assignment: int = 0
    runs: int = 0
    source: TextSource = TextSource.LOT
    is_whole: bool = False
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
        """Return whether the sample has no result yet."""
        return self.phase in (Phase.WAITING, Phase.RUNNING, Phase.SCORING)

    @property
    def has_whole_text(self) -> bool:
        """Return whether its text is complete and not listed yet."""
        succeeded = self.result is not None and self.result.state is ResultState.SUCCEEDED
        return self.phase is Phase.SCORING or (self.phase is Phase.STAGED and succeeded)


@dataclass(frozen=True)
class LotRules:
    """Rules of the lot's route.

    :param max_attempts: failed runs after which a sample is given up
    :param one_version: whether all events of a sample must have the same weight version
    :param due: time at which the lot's results are due
    :param give_up_at: time from which unfinished samples are given up
    """

    max_attempts: int
    one_version: bool
    due: float
    give_up_at: float


class LotTracker:
    """All samples of one lot.

    :param listed: results that are stored already
    :ivar append_open: whether an append to the store is in progress
    """

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
    def is_complete(self) -> bool:
        """Return whether every sample is listed."""
        return len(self.listed) == len(self.states)

    def waiting(self, now: float) -> list[SampleState]:
        """Return the samples that can be assigned to a sidecar, the longest first."""
        if self.ended:
            return []
        found = [
            state
            for state in self.states.values()
            if state.phase is Phase.WAITING and state.not_before <= now
        ]
        # The longest sample decides when its group is complete, so it starts first.
        found.sort(key=lambda state: -self.events_left(state))
        return found

    def is_running_at(self, sample: str, runner: str) -> bool:
        """Return whether a sidecar has confirmed to run a sample."""
        state = self._running_state(sample, runner, None)
        return state is not None and state.confirmed

    def is_waiting(self, sample: str) -> bool:
        """Return whether a sample can be assigned to a sidecar."""
        return self.states[sample].phase is Phase.WAITING

    def events_left(self, state: SampleState) -> float:
        """Return the expected number of remaining events of a sample."""
        expected = state.sample.expected_tokens or state.sample.tokens
        return self.lengths.remaining_events(expected, len(state.events))

    def event_counts_at(self, runner: str) -> dict[str, int]:
        """Return the number of known events of each sample that a sidecar has confirmed to run."""
        return {
            name: len(state.events)
            for name, state in self.states.items()
            if state.phase is Phase.RUNNING and state.runner == runner and state.confirmed
        }

    def assign(self, sample: str, runner: str) -> int:
        """Record that a sidecar is asked to run a sample; returns the number of this assignment."""
        state = self.states[sample]
        state.assignment += 1
        state.phase = Phase.RUNNING
        state.runner = runner
        state.last_runner = runner
        state.confirmed = False
        state.events_before = len(state.events)
        return state.assignment

    def accepted(
        self,
        sample: str,
        runner: str,
        lineage: str,
        assignment: int | None = None,
        is_new: bool = True,
    ) -> bool:
        """Record that a sidecar runs a sample, and which chain of events it resumes.

        :param assignment: the one that the sidecar accepted, none for the latest. The answer to an
            earlier one names a run that resumes another number of events.
        :param is_new: whether the run began with this order
        """
        state = self._running_state(sample, runner, assignment)
        if state is None:
            return False
        if not state.events:
            state.source = TextSource.LOT if is_new else TextSource.SIDECAR
        state.confirmed = True
        state.runs += 1
        state.lineage = lineage
        return True

    def return_to_queue(
        self, sample: str, runner: str, not_before: float, assignment: int | None = None
    ) -> bool:
        """Record that a sidecar no longer runs a sample; the sample's events are kept.

        :param assignment: the one that failed, none for the latest
        """
        state = self._running_state(sample, runner, assignment)
        if state is None:
            return False
        state.phase = Phase.WAITING
        state.runner = ""
        state.not_before = not_before
        return True

    def postpone(self, sample: str, until: float) -> None:
        """Postpone a waiting sample until a time."""
        state = self.states.get(sample)
        if state is not None and state.phase is Phase.WAITING:
            state.not_before = max(state.not_before, until)

    def lose_runner(self, runner: str, now: float) -> list[str]:
        """Return all samples of a lost sidecar to the queue."""
        return [name for name in self.states if self.return_to_queue(name, runner, now)]

    def add_events(
        self,
        sample: str,
        runner: str,
        base: int,
        events: Sequence[str],
        versions: Sequence[int],
        lineage: str,
    ) -> bool:
        """Add events of a run; false if they do not continue the known events of that run.

        If they differ from known ones, one of the two is wrong, and the sample is restarted.

        :param base: number of events before the first of these
        """
        state = self._running_state(sample, runner, None)
        if state is None or not state.confirmed:
            return False
        known = len(state.events)
        if state.lineage != lineage or base > known or len(events) != len(versions):
            return False
        if list(events[: known - base]) != state.events[base : base + len(events)]:
            self._restart(state, state.not_before)
            return False
        state.events.extend(events[known - base :])
        state.versions.extend(versions[known - base :])
        return True

    def prefill(
        self,
        sample: str,
        events: Sequence[str],
        versions: Sequence[int],
        lineage: str,
        source: TextSource = TextSource.KEPT,
        is_whole: bool = False,
    ) -> bool:
        """Start a sample with text from an earlier run, if its versions are allowed.

        :param is_whole: whether that run was complete; see ``complete_prefilled``
        """
        state = self.states.get(sample)
        fits = state is not None and state.phase is Phase.WAITING and not state.events
        if not fits or not events or min(versions) < self.lot.min_version:
            return False
        if self.rules.one_version and len(set(versions)) > 1:
            return False
        state.events = list(events)
        state.versions = list(versions)
        state.lineage = lineage
        state.source = source
        state.is_whole = is_whole
        return True

    def complete_prefilled(self, now: float) -> list[str]:
        """Complete the samples that were started with a whole text; return those to be scored."""
        whole = [
            state
            for state in self.states.values()
            if state.phase is Phase.WAITING and state.is_whole and not self.ended
        ]
        for state in whole:
            self._text_complete(state, now)
        return [state.sample.id for state in whole if state.phase is Phase.SCORING]

    def run_ended(
        self,
        sample: str,
        runner: str,
        outcome: RunOutcome,
        now: float,
        event_count: int | None = None,
    ) -> Phase | None:
        """Record how a run ended; return the sample's new phase, none if the run is not current.

        :param event_count: events of the whole text according to the sidecar. A complete text with
            another number is restarted.
        """
        state = self._running_state(sample, runner, None)
        if state is None:
            return None
        state.runner = ""
        if outcome is RunOutcome.COMPLETE and event_count not in (None, len(state.events)):
            self._restart(state, now)
        elif outcome is RunOutcome.COMPLETE:
            self.lengths.add_sample(state.sample.expected_tokens, len(state.events))
            self._text_complete(state, now)
        elif outcome is RunOutcome.IMPOSSIBLE:  # a single such outcome is final
            self._stage(state, ResultState.DEAD, "", now)
        elif outcome is RunOutcome.FAILED:
            self._run_failed(state, now)
        else:
            state.phase = Phase.WAITING
            state.not_before = now
        return state.phase

    def scored(self, sample: str, score: str, now: float) -> bool:
        """Record the score of a sample."""
        state = self.states.get(sample)
        if state is None or state.phase is not Phase.SCORING:
            return False
        self._stage(state, ResultState.SUCCEEDED, score, now)
        return True

    def score_failed(self, sample: str, now: float, max_attempts: int) -> bool:
        """Count a failed scoring attempt; return true if the sample needs no further attempt."""
        state = self.states.get(sample)
        if state is None or state.phase is not Phase.SCORING:
            return True
        state.reward_failures += 1
        if state.reward_failures < max_attempts:
            return False
        self._stage(state, ResultState.DEAD, "", now)
        return True

    def failures(self) -> dict[str, int]:
        """Return the failed runs of the samples that are not listed and had some.

        A sample that is given up already counts as one whose last attempt failed.
        """
        counts: dict[str, int] = {}
        for name, state in self.states.items():
            is_dead = state.result is not None and state.result.state is ResultState.DEAD
            count = self.rules.max_attempts if is_dead else state.failures
            if count and state.phase is not Phase.LISTED:
                counts[name] = count
        return counts

    def restore_failures(self, failures: Mapping[str, int], now: float) -> None:
        """Continue the counts of another tracker of the lot, before any sample is assigned.

        :param failures: as that tracker's ``failures`` returned them
        """
        for name, count in failures.items():
            state = self.states.get(name)
            if state is None or state.phase is not Phase.WAITING:
                continue
            state.failures = count
            if count >= self.rules.max_attempts:
                self._stage(state, ResultState.DEAD, "", now)

    def give_up_overdue(self, now: float) -> list[str]:
        """Give up all unfinished samples once the time limit has passed, and return them."""
        if now < self.rules.give_up_at or self.ended:
            return []
        late = [name for name, state in self.states.items() if state.is_open]
        for name in late:
            self._stage(self.states[name], ResultState.DEAD, "", now)
        return late

    def give_up_waiting(self, samples: Iterable[str], now: float) -> list[str]:
        """Give up those of these samples that are waiting, and return them."""
        given_up = [name for name in samples if self.states[name].phase is Phase.WAITING]
        for name in given_up:
            self._stage(self.states[name], ResultState.DEAD, "", now)
        return given_up

    def next_chunk(self, now: float) -> tuple[Result, ...]:
        """Return the results to append now, none while an append is open or not due yet."""
        if self.append_open or self.ended:
            return ()
        staged = [state for state in self.states.values() if state.phase is Phase.STAGED]
        if not staged or not self._append_is_due(staged, now):
            return ()
        staged.sort(key=lambda state: state.staged_at)
        self.append_open = True
        return _first_chunk([state.result for state in staged if state.result is not None])

    def appended(self, results: Iterable[Result]) -> None:
        """Record that these results were stored at the next positions."""
        self.append_open = False
        for result in results:
            state = self.states[result.sample]
            state.phase = Phase.LISTED
            state.runner = ""
            state.result = result
            self.listed.append(result)

    def append_failed(self) -> None:
        """Record that the chunk was not stored; it is appended again."""
        self.append_open = False

    def end(self) -> list[str]:
        """End the lot; return the samples that are still running."""
        self.ended = True
        return [name for name, state in self.states.items() if state.phase is Phase.RUNNING]

    def _running_state(
        self, sample: str, runner: str, assignment: int | None
    ) -> SampleState | None:
        """Return a sample that is assigned to a sidecar, none if it is not by that assignment."""
        state = self.states.get(sample)
        if state is None or state.phase is not Phase.RUNNING or state.runner != runner:
            return None
        return state if assignment in (None, state.assignment) else None

    def _append_is_due(self, staged: list[SampleState], now: float) -> bool:
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

    def _text_complete(self, state: SampleState, now: float) -> None:
        too_old = bool(state.versions) and min(state.versions) < self.lot.min_version
        mixed = self.rules.one_version and len(set(state.versions)) > 1
        if too_old or mixed or not state.events:
            self._restart(state, now if state.events else now + EMPTY_TEXT_PAUSE_S)
        elif state.sample.reward is None:
            self._stage(state, ResultState.SUCCEEDED, "", now)
        else:
            state.phase = Phase.SCORING

    def _restart(self, state: SampleState, now: float) -> None:
        state.events = []
        state.versions = []
        state.lineage = ""
        state.runs = 0
        state.source = TextSource.LOT
        state.is_whole = False
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
    for position, result in enumerate(results):
        size += text_bytes(result.text)
        if size > MAX_CHUNK_BYTES and position:
            return tuple(results[:position])
    return tuple(results)


__all__ = ["LotTracker", "LotRules", "Phase", "RunOutcome", "SampleState", "TextSource"]
