"""Threads that run samples on the engine whenever a slot is left for them."""

from __future__ import annotations

import threading
from dataclasses import dataclass
from typing import TYPE_CHECKING

from threadramp.core.sidecar import RolloutAction
from threadramp.report.guard import start_loop
from threadramp.sidecar.engine import BrokenAnswerError, ChatRequest, NeverSentError
from threadramp.sidecar.state import now

if TYPE_CHECKING:
    from threadramp.core.samples import SampleTask
    from threadramp.sidecar.engine import Chunk
    from threadramp.sidecar.state import SidecarState

ROLLOUT_PRIORITY = 100  # an engine serves the lowest number first
IDLE_WAIT_S = 0.2
FAILURE_PAUSE_S = 0.2


@dataclass(frozen=True)
class ServedMark:
    """What the engine served at one moment, to be compared with a later one."""

    boot: str
    version: int
    generation: int


class RolloutRunner:
    """Runs samples, one thread for each slot."""

    def __init__(self, state: SidecarState) -> None:
        self.state = state
        self.core = state.core
        self.stopped = threading.Event()

    def start(self) -> None:
        """Start all threads."""
        for _ in range(self.core.settings.slots):
            start_loop(self._loop, self.stopped)

    def _loop(self) -> None:
        while not self.stopped.is_set():
            task = self._take()
            if task is not None:
                self._run(task)

    def _take(self) -> SampleTask | None:
        with self.state.work:
            task = self.core.next_rollout(now())
            if task is None:
                self.state.work.wait(IDLE_WAIT_S)
            return task

    def _run(self, task: SampleTask) -> None:
        whole = False
        verdict = RolloutAction.STOP
        try:
            verdict = self._stream(task)
            whole = verdict is RolloutAction.CONTINUE
        except (BrokenAnswerError, NeverSentError) as error:
            self.state.metrics.count("rollout_broken", str(error))
            threading.Event().wait(FAILURE_PAUSE_S)
        finally:
            with self.state.lock:
                paused = verdict is RolloutAction.PAUSE
                self.state.admit(self.core.end_rollout(task, whole, paused, now()))

    def _stream(self, task: SampleTask) -> RolloutAction:
        """Run a sample; return ``CONTINUE`` if it came to its end whole."""
        since = now()
        named = self._names_versions()
        before = None if named else self._read_mark(task)
        if not named and before is None:
            return RolloutAction.STOP
        request_id = f"{task.spec.sample}#{task.spec.attempt}.{task.run_id}"
        chat = ChatRequest(
            request_id,
            task.model,
            task.spec.prompt,
            task.spec.max_tokens,
            task.spec.seed,
            ROLLOUT_PRIORITY,
            task.text,
        )
        for chunk in self.state.engine.stream(chat.to_bytes(), request_id):
            version = chunk.weight_version if named else before.version
            verdict = self._take_piece(task, chunk, version, since)
            if verdict is RolloutAction.PAUSE and not named and self._read_mark(task) != before:
                verdict = RolloutAction.STOP  # what it has so far has no sure label
            if verdict is not RolloutAction.CONTINUE:
                return verdict
        if not named and self._read_mark(task) != before:
            self.state.metrics.count("label_unsure", task.model)
            return RolloutAction.STOP
        return RolloutAction.CONTINUE

    def _take_piece(
        self, task: SampleTask, chunk: Chunk, version: int | None, since: float
    ) -> RolloutAction:
        with self.state.lock:
            verdict = self.core.rollout_piece(task, chunk.text, chunk.tokens, version, since)
            if version is None or not self.core.served_versions.may_have_served(
                task.model, version, since
            ):
                self.core.served_versions.invalidate(now())
        if verdict is RolloutAction.PAUSE:
            self.state.metrics.count("rollout_paused", task.model)
        return verdict

    def _names_versions(self) -> bool:
        with self.state.lock:
            endpoint = self.core.endpoint
            return endpoint is not None and endpoint.names_versions

    def _read_mark(self, task: SampleTask) -> ServedMark | None:
        """Read back what the engine serves, together with its start mark."""
        with self.state.lock:
            generation = self.core.served_versions.generation
        read = self.state.engine.versions()
        version = None if read is None else read.weights.get(task.model)
        if version is None:
            return None
        return ServedMark(read.boot, version, generation)


__all__ = ["RolloutRunner"]
