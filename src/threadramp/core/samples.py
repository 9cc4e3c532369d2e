"""Samples at one sidecar: queued, running, or finished and kept until their step is closed."""

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
MAX_CLOSED_LOTS = 256  # lot ids of closed steps, for gateways that poll such a step again
ABANDONED_AFTER_S = 900.0  # without a poll for so long, a step is dropped


@dataclass(frozen=True)
class SampleTask:
    """A sample to run on the engine.

    :param text: text that an earlier, paused run has produced
    :param run_id: id of this run of the sample; a later run supersedes it
    """

    key: StepKey
    spec: SampleSpec
    model: str
    text: str
    run_id: int


@dataclass(frozen=True)
class Waste:
    """Discarded work since the last call.

    :param tokens: number of discarded tokens
    :param restarts: samples that were restarted as their oldest version had become too old
    """

    tokens: int
    restarts: int


@dataclass
class BufferedSample:
    """One sample of a buffered step; ``run_id`` is 0 while it waits in the queue."""

    spec: SampleSpec
    run_id: int = 0
    text: list[str] = field(default_factory=list)
    pieces: list[Piece] = field(default_factory=list)
    payload: SamplePayload | None = None

    @property
    def oldest(self) -> int:
        """Return the oldest weight version so far, or ``NO_VERSION``."""
        return min((piece.version for piece in self.pieces), default=NO_VERSION)

    @property
    def tokens(self) -> int:
        """Return the number of tokens produced so far."""
        return sum(piece.tokens for piece in self.pieces)

    def restart(self) -> None:
        """Discard all output."""
        self.run_id = 0
        self.text.clear()
        self.pieces.clear()
        self.payload = None


@dataclass
class BufferedStep:
    """A step with samples at this sidecar.

    :ivar call: the newest call of the trainer for this step; polls of older calls are refused
    :ivar oldest_allowed: the oldest weight version in a sample that may be delivered
    :ivar last_polled_at: monotonic time of the newest poll
    :ivar queue: samples that wait for a slot
    """

    call: CallStamp
    model: str
    oldest_allowed: int
    last_polled_at: float
    samples: dict[str, BufferedSample] = field(default_factory=dict)
    queue: deque[str] = field(default_factory=deque)


class SampleBuffer:
    """All samples at one sidecar.

    :param closed_steps: the steps that are closed
    :ivar closed_lots: ids of the lots of closed steps
    :ivar wasted_tokens: tokens that were discarded since the last :meth:`take_waste`
    :ivar restarted_stale: samples that were restarted for their age since then
    """

    def __init__(self, closed_steps: ClosedSteps) -> None:
        self.closed_steps = closed_steps
        self.steps: dict[StepKey, BufferedStep] = {}
        self.closed_lots: dict[StepKey, str] = {}
        self.run_count = 0
        self.wasted_tokens = 0
        self.restarted_stale = 0

    def handle_poll(
        self, poll: StepPoll, takes_work: bool, now: float
    ) -> StepPollReply | StepRefused:
        """Handle a gateway's poll of a step.

        :param takes_work: whether samples may start here; if not, those in the queue are returned
        """
        if self.closed_steps.is_closed(poll.key):
            return StepRefused(
                Reason.ALREADY_DELIVERED.value, lot=self.closed_lots.get(poll.key, "")
            )
        step = self.steps.get(poll.key)
        if step is None:
            step = BufferedStep(poll.call, poll.model, poll.oldest_allowed, now)
            self.steps[poll.key] = step
        if poll.call < step.call:
            return StepRefused(Reason.SUPERSEDED.value)
        step.call = poll.call
        step.last_polled_at = now
        step.oldest_allowed = max(step.oldest_allowed, poll.oldest_allowed)
        self._drop_samples(step, poll.cancel)
        if not takes_work:
            self._drop_samples(step, tuple(step.queue))  # the gateway places them elsewhere
        else:
            self._submit(step, poll.submit)
        self._restart_stale_samples(step)
        return self._reply(step, poll.fetch, takes_work)

    def next_task(self, allowed: set[str]) -> SampleTask | None:
        """Take the next sample to run, from the steps in round-robin order.

        :param allowed: models for which new work may start
        """
        for key, step in list(self.steps.items()):
            if step.queue and step.model in allowed:
                sample = step.queue.popleft()
                self.steps[key] = self.steps.pop(key)  # moves the step to the end
                return self._make_task(key, step, sample)
        return None

    def add_piece(self, task: SampleTask, text: str, tokens: int, version: int) -> bool:
        """Add a piece to a running sample.

        :returns: whether the run continues
        """
        buffered = self._current_run(task)
        if buffered is None:
            self.wasted_tokens += tokens
            return False
        buffered.text.append(text)
        if buffered.pieces and buffered.pieces[-1].version == version:
            buffered.pieces[-1] = Piece(version, buffered.pieces[-1].tokens + tokens)
        else:
            buffered.pieces.append(Piece(version, tokens))
        step = self.steps[task.key]
        if version < step.oldest_allowed:
            self._restart_sample(step, task.spec.sample)
            return False
        return True

    def finish(self, task: SampleTask) -> bool:
        """Keep a sample whose run is complete.

        :returns: whether the run was still the current one and has produced a piece
        """
        buffered = self._current_run(task)
        if buffered is None or not buffered.pieces:
            self.requeue(task, keep_text=False)
            return False
        buffered.payload = SamplePayload(
            task.spec.sample, task.spec.attempt, "".join(buffered.text), tuple(buffered.pieces)
        )
        return True

    def requeue(self, task: SampleTask, keep_text: bool) -> None:
        """Return a sample to the queue.

        :param keep_text: whether all its output has a known version, so that it can be resumed
        """
        buffered = self._current_run(task)
        if buffered is None:
            return
        if keep_text:
            buffered.run_id = 0
            self.steps[task.key].queue.appendleft(task.spec.sample)
        else:
            self._restart_sample(self.steps[task.key], task.spec.sample)

    def is_wanted(self, task: SampleTask) -> bool:
        """Return whether a run is still the current run of its sample."""
        return self._current_run(task) is not None

    def close(self, close: CloseStep) -> None:
        """Close a step and drop its samples."""
        self.closed_steps.close(close.key)
        self.closed_lots[close.key] = close.lot
        while len(self.closed_lots) > MAX_CLOSED_LOTS:
            del self.closed_lots[next(iter(self.closed_lots))]
        self.drop_closed()

    def drop_closed(self) -> None:
        """Drop the samples of all closed steps."""
        for key in [key for key in self.steps if self.closed_steps.is_closed(key)]:
            self._drop_samples(self.steps[key], tuple(self.steps[key].samples))
            del self.steps[key]

    def sweep(self, now: float) -> None:
        """Drop steps that no gateway has polled for ``ABANDONED_AFTER_S``."""
        for key, step in list(self.steps.items()):
            if now - step.last_polled_at > ABANDONED_AFTER_S:
                del self.steps[key]

    def take_waste(self) -> Waste:
        """Return and reset the counts of discarded work."""
        taken = Waste(self.wasted_tokens, self.restarted_stale)
        self.wasted_tokens = 0
        self.restarted_stale = 0
        return taken

    def queued_count(self) -> int:
        """Return the number of samples that wait for a slot."""
        return sum(len(step.queue) for step in self.steps.values())

    def finished_count(self) -> int:
        """Return the number of finished samples that are kept here."""
        return sum(
            1
            for step in self.steps.values()
            for sample in step.samples.values()
            if sample.payload is not None
        )

    def _submit(self, step: BufferedStep, specs: tuple[SampleSpec, ...]) -> None:
        for spec in specs:
            if spec.sample not in step.samples:
                step.samples[spec.sample] = BufferedSample(spec)
                step.queue.append(spec.sample)

    def _drop_samples(self, step: BufferedStep, samples: tuple[str, ...]) -> None:
        for sample in samples:
            buffered = step.samples.pop(sample, None)
            if buffered is None:
                continue
            if buffered.payload is None:
                self.wasted_tokens += buffered.tokens
            if sample in step.queue:
                step.queue.remove(sample)

    def _restart_stale_samples(self, step: BufferedStep) -> None:
        for sample, buffered in step.samples.items():
            if buffered.pieces and buffered.oldest < step.oldest_allowed:
                self._restart_sample(step, sample)

    def _restart_sample(self, step: BufferedStep, sample: str) -> None:
        buffered = step.samples[sample]
        self.wasted_tokens += buffered.tokens
        if buffered.pieces and buffered.oldest < step.oldest_allowed:
            self.restarted_stale += 1
        buffered.restart()
        if sample not in step.queue:
            step.queue.appendleft(sample)

    def _make_task(self, key: StepKey, step: BufferedStep, sample: str) -> SampleTask:
        buffered = step.samples[sample]
        self.run_count += 1
        buffered.run_id = self.run_count
        return SampleTask(key, buffered.spec, step.model, "".join(buffered.text), buffered.run_id)

    def _current_run(self, task: SampleTask) -> BufferedSample | None:
        step = self.steps.get(task.key)
        buffered = step.samples.get(task.spec.sample) if step else None
        if buffered is None or buffered.run_id != task.run_id or buffered.payload is not None:
            return None
        return buffered

    def _reply(self, step: BufferedStep, fetch: tuple[str, ...], takes_work: bool) -> StepPollReply:
        finished = []
        running = []
        for sample, buffered in step.samples.items():
            if buffered.payload is not None:
                newest = buffered.payload.versions[-1]
                status = SampleStatus(sample, buffered.spec.attempt, buffered.oldest, newest)
                finished.append(status)
            else:
                status = RunningStatus(
                    sample, buffered.spec.attempt, buffered.tokens, buffered.oldest
                )
                running.append(status)
        payloads = tuple(
            step.samples[sample].payload
            for sample in fetch
            if sample in step.samples and step.samples[sample].payload is not None
        )
        return StepPollReply(tuple(finished), tuple(running), payloads, takes_work)


__all__ = ["SampleBuffer", "SampleTask"]
