"""Samples at one sidecar: queued, running, finished and held until their step is closed."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from threadramp.wire.messages import (
    Piece,
    RunningStatus,
    SamplePayload,
    SampleSpec,
    SampleStatus,
    StepPollReply,
    StepRefused,
)
from threadramp.wire.outcomes import Reason

if TYPE_CHECKING:
    from threadramp.core.closed_steps import ClosedSteps
    from threadramp.wire.messages import CallStamp, CloseStep, StepKey, StepPoll

NO_VERSION = -1
MAX_LOTS = 256  # ids of closed steps' lots that are kept for who asks again
ABANDONED_AFTER_S = 900.0  # a step that no gateway has asked about is dropped


@dataclass(frozen=True)
class SampleTask:
    """A sample to run on the engine.

    :param text: what an earlier, paused run has produced already
    :param run_id: names this run of the sample; a later run makes it void
    """

    key: StepKey
    spec: SampleSpec
    model: str
    text: str
    run_id: int


@dataclass(frozen=True)
class Waste:
    """What was thrown away in some time.

    :param restarts: samples begun anew since they had grown too old
    """

    tokens: int
    restarts: int


@dataclass
class HeldSample:
    """One sample of a held step; ``run_id`` is 0 while it waits in the queue."""

    spec: SampleSpec
    run_id: int = 0
    text: list[str] = field(default_factory=list)
    pieces: list[Piece] = field(default_factory=list)
    payload: SamplePayload | None = None

    @property
    def oldest(self) -> int:
        """Return the oldest version so far, or ``NO_VERSION``."""
        return min((piece.version for piece in self.pieces), default=NO_VERSION)

    @property
    def tokens(self) -> int:
        """Return the tokens produced so far."""
        return sum(piece.tokens for piece in self.pieces)

    def restart(self) -> None:
        """Forget what was produced."""
        self.run_id = 0
        self.text.clear()
        self.pieces.clear()
        self.payload = None


@dataclass
class HeldStep:
    """A step of which this sidecar has samples."""

    call: CallStamp
    model: str
    oldest_allowed: int
    asked: float
    samples: dict[str, HeldSample] = field(default_factory=dict)
    queue: deque[str] = field(default_factory=deque)


class SampleBuffer:
    """All samples at one sidecar.

    :param marks: which steps are closed
    :ivar wasted_tokens: tokens that were produced and thrown away since they were last taken
    """

    def __init__(self, marks: ClosedSteps) -> None:
        self.marks = marks
        self.steps: dict[StepKey, HeldStep] = {}
        self.lots: dict[StepKey, str] = {}
        self.runs = 0
        self.wasted_tokens = 0
        self.restarted_stale = 0

    def poll(self, poll: StepPoll, takes_work: bool, now: float) -> StepPollReply | StepRefused:
        """Take a gateway's exchange about a step.

        :param takes_work: whether samples may begin here; if not, those that wait are given back
        """
        if self.marks.is_closed(poll.key):
            return StepRefused(Reason.ALREADY_DELIVERED.value, lot=self.lots.get(poll.key, ""))
        step = self.steps.get(poll.key)
        if step is None:
            step = HeldStep(poll.call, poll.model, poll.oldest_allowed, now)
            self.steps[poll.key] = step
        if poll.call < step.call:
            return StepRefused(Reason.SUPERSEDED.value)
        step.call = poll.call
        step.asked = now
        step.oldest_allowed = max(step.oldest_allowed, poll.oldest_allowed)
        self._drop(step, poll.cancel)
        if not takes_work:
            self._drop(step, tuple(step.queue))  # the gateway places them elsewhere
        else:
            self._submit(step, poll.submit)
        self._restart_stale(step)
        return self._reply(step, poll.fetch, takes_work)

    def start(self, allowed: set[str]) -> SampleTask | None:
        """Take the next sample to run, from each step in turn.

        :param allowed: models for which new work may start
        """
        for key, step in list(self.steps.items()):
            if step.queue and step.model in allowed:
                sample = step.queue.popleft()
                self.steps[key] = self.steps.pop(key)  # the next turn is another step's
                return self._task(key, step, sample)
        return None

    def piece(self, task: SampleTask, text: str, tokens: int, version: int) -> bool:
        """Add a piece to a running sample.

        :returns: whether the run goes on
        """
        held = self._running(task)
        if held is None:
            self.wasted_tokens += tokens
            return False
        held.text.append(text)
        if held.pieces and held.pieces[-1].version == version:
            held.pieces[-1] = Piece(version, held.pieces[-1].tokens + tokens)
        else:
            held.pieces.append(Piece(version, tokens))
        step = self.steps[task.key]
        if version < step.oldest_allowed:
            self._requeue_fresh(step, task.spec.sample)
            return False
        return True

    def finish(self, task: SampleTask) -> bool:
        """Hold a sample whose run has ended whole.

        :returns: whether it was still wanted
        """
        held = self._running(task)
        if held is None or not held.pieces:
            self.fail(task, keep=False)
            return False
        held.payload = SamplePayload(
            task.spec.sample, task.spec.attempt, "".join(held.text), tuple(held.pieces)
        )
        return True

    def fail(self, task: SampleTask, keep: bool) -> None:
        """Put a sample back into the queue.

        :param keep: whether what it has produced is labelled and can be resumed from
        """
        held = self._running(task)
        if held is None:
            return
        if keep:
            held.run_id = 0
            self.steps[task.key].queue.appendleft(task.spec.sample)
        else:
            self._requeue_fresh(self.steps[task.key], task.spec.sample)

    def is_wanted(self, task: SampleTask) -> bool:
        """Return whether a run is still the current one of its sample."""
        return self._running(task) is not None

    def close(self, close: CloseStep) -> None:
        """Close a step and let go of its samples."""
        self.marks.close(close.key)
        self.lots[close.key] = close.lot
        while len(self.lots) > MAX_LOTS:
            del self.lots[next(iter(self.lots))]
        self.drop_closed()

    def drop_closed(self) -> None:
        """Let go of the samples of steps that are closed."""
        for key in [key for key in self.steps if self.marks.is_closed(key)]:
            self._drop(self.steps[key], tuple(self.steps[key].samples))
            del self.steps[key]

    def sweep(self, now: float) -> None:
        """Drop steps that no gateway has asked about for long."""
        for key, step in list(self.steps.items()):
            if now - step.asked > ABANDONED_AFTER_S:
                del self.steps[key]

    def take_waste(self) -> Waste:
        """Return what was thrown away since the last call."""
        taken = Waste(self.wasted_tokens, self.restarted_stale)
        self.wasted_tokens = 0
        self.restarted_stale = 0
        return taken

    def queued_count(self) -> int:
        """Return how many samples wait."""
        return sum(len(step.queue) for step in self.steps.values())

    def finished_count(self) -> int:
        """Return how many finished samples are held."""
        return sum(
            1
            for step in self.steps.values()
            for sample in step.samples.values()
            if sample.payload is not None
        )

    def _submit(self, step: HeldStep, specs: tuple[SampleSpec, ...]) -> None:
        for spec in specs:
            if spec.sample not in step.samples:
                step.samples[spec.sample] = HeldSample(spec)
                step.queue.append(spec.sample)

    def _drop(self, step: HeldStep, samples: tuple[str, ...]) -> None:
        for sample in samples:
            held = step.samples.pop(sample, None)
            if held is None:
                continue
            if held.payload is None:
                self.wasted_tokens += held.tokens
            if sample in step.queue:
                step.queue.remove(sample)

    def _restart_stale(self, step: HeldStep) -> None:
        for sample, held in step.samples.items():
            if held.pieces and held.oldest < step.oldest_allowed:
                self._requeue_fresh(step, sample)

    def _requeue_fresh(self, step: HeldStep, sample: str) -> None:
        held = step.samples[sample]
        self.wasted_tokens += held.tokens
        if held.pieces and held.oldest < step.oldest_allowed:
            self.restarted_stale += 1
        held.restart()
        if sample not in step.queue:
            step.queue.appendleft(sample)

    def _task(self, key: StepKey, step: HeldStep, sample: str) -> SampleTask:
        held = step.samples[sample]
        self.runs += 1
        held.run_id = self.runs
        return SampleTask(key, held.spec, step.model, "".join(held.text), held.run_id)

    def _running(self, task: SampleTask) -> HeldSample | None:
        step = self.steps.get(task.key)
        held = step.samples.get(task.spec.sample) if step else None
        if held is None or held.run_id != task.run_id or held.payload is not None:
            return None
        return held

    def _reply(self, step: HeldStep, fetch: tuple[str, ...], takes_work: bool) -> StepPollReply:
        finished = []
        running = []
        for sample, held in step.samples.items():
            if held.payload is not None:
                newest = held.payload.versions[-1]
                status = SampleStatus(sample, held.spec.attempt, held.oldest, newest)
                finished.append(status)
            else:
                status = RunningStatus(sample, held.spec.attempt, held.tokens, held.oldest)
                running.append(status)
        payloads = tuple(
            step.samples[sample].payload
            for sample in fetch
            if sample in step.samples and step.samples[sample].payload is not None
        )
        return StepPollReply(tuple(finished), tuple(running), payloads, takes_work)


__all__ = ["SampleBuffer", "SampleTask"]
