"""The sample runs of one sidecar: running and waiting ones, and ended ones whose text is kept."""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING

from threadramp.core.lot_tracker import RunOutcome
from threadramp.runner.run import Run
from threadramp.wire.runner import is_changing

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Iterable

    from threadramp.runner.send_limit import SendLimit
    from threadramp.wire.runner import RunOrder, RunUpdate

MAX_QUEUED = 2  # samples that may wait beyond the slots, so that no slot idles for a round trip
# A waiting sample gives its place to one that must start earlier by this much. Its gateway sends it
# to another engine, which takes a round trip.
DISPLACE_MARGIN_S = 0.5
# A gateway that has not polled for this long may have sent its samples to another sidecar.
GATEWAY_TIMEOUT_S = 1.0
# A run without an event for this long counts as stalled; an event takes 0.04 s, and 0.16 s at an
# engine that is slowed down 4 times.
STALL_TIMEOUT_S = 0.4
# Delay before a sample that the engine did not begin is retried; doubles with each rejection.
REJECTED_RETRY_S = 0.05
MAX_REJECTED_RETRY_S = 0.8
MAX_ENDED_RUNS = 400  # ended runs whose text is kept
ENDED_RUN_TTL_S = 45.0  # a sample may come back in one of the next lots; there is a lot every 4 s
BATCH_DELAY_S = 0.03  # other samples that end within this time are sent with the same reply
RESTARTABLE_OUTCOMES = (RunOutcome.CUT, RunOutcome.FAILED, RunOutcome.CRASHED)
READINESS_POLL_S = 0.1  # interval at which a waiting reply checks the engine's readiness


class RunTable:
    """All sample runs of a sidecar; the methods are thread-safe.

    :param send_limit: how many samples a second may start, none without a limit
    :ivar configuration_revision: of the newest configuration known here; a sample that an older one
        sent here does not start until its gateway confirms it by this one
    """

    def __init__(self, now: Callable[[], float], send_limit: SendLimit | None = None) -> None:
        self.now = now
        self.send_limit = send_limit
        self.runs: dict[str, Run] = {}
        self.slots = 0
        self.accepting = False
        self.loading_model = ""
        self.configuration_revision = 0
        self.changed = threading.Condition(threading.RLock())

    @property
    def taken(self) -> int:
        """Return the number of wanted samples that are running or waiting."""
        with self.changed:
            return sum(run.is_open and run.wanted for run in self.runs.values())

    def submit(self, orders: tuple[RunOrder, ...]) -> dict[str, str]:
        """Accept samples while there is room.

        :returns: the lineage of each accepted sample
        """
        taken = {}
        with self.changed:
            for order in orders:
                if self._submit_one(order):
                    taken[order.sample.id] = self.runs[order.sample.id].lineage
            self._evict_ended()
            self.changed.notify_all()
        return taken

    def next_start(self) -> Run | None:
        """Return the waiting run that starts next, marked as started, none if none can start."""
        with self.changed:
            if not self.accepting:
                return None
            running = [run for run in self.runs.values() if run.is_open and run.started]
            now = self.now()
            waiting = [run for run in self.runs.values() if self._is_startable(run, now)]
            if not waiting or not self._may_send(now):
                return None
            if len(running) >= self.slots and not self._make_room(running):
                return None
            chosen = min(waiting, key=_start_order)
            if self.send_limit is not None:
                self.send_limit.take(now)
            chosen.started = True
            chosen.last_progress_at = now
            chosen.generation += 1
            return chosen

    def add_event(self, run: Run, generation: int, text: str, version: int) -> bool:
        """Add an event to a run; false if the run has ended or was restarted."""
        with self.changed:
            if run.generation != generation or not run.is_open:
                return False
            run.rejections = 0
            run.unconfirmed_ends = 0
            run.last_progress_at = self.now()
            run.events.append(text)
            run.versions.append(version)
            return True

    def is_routed(self, run: Run) -> bool:
        """Return whether a run's gateway sends it here by the newest known configuration."""
        with self.changed:
            return run.is_routed(self.configuration_revision)

    def add_unconfirmed_end(self, run: Run, generation: int) -> int:
        """Record that a response ended with its connection, which may be an early end.

        :returns: number of such ends behind the last event, 0 if the run has ended or was restarted
        """
        with self.changed:
            if run.generation != generation or not run.is_open:
                return 0
            run.cancel = None
            run.last_progress_at = self.now()
            run.unconfirmed_ends += 1
            return run.unconfirmed_ends

    def may_ask_again(self, run: Run) -> bool:
        """Return whether the engine may be asked to go on with a run once more.

        Neither after the end of the run's lot, nor if the engine takes no new requests, nor if the
        gateway may have sent the sample to another sidecar meanwhile.
        """
        with self.changed:
            is_polled = run.last_polled_at >= self.now() - GATEWAY_TIMEOUT_S
            return run.wanted and self.accepting and is_polled

    def finish(self, run: Run, generation: int, outcome: RunOutcome) -> bool:
        """End a run with an outcome; false if it has already ended or was restarted."""
        with self.changed:
            if run.generation != generation or not run.is_open:
                return False
            self._end(run, outcome)
            return True

    def requeue(self, run: Run, generation: int) -> None:
        """Return a sample that the engine did not begin to the queue, unless its lot has ended.

        The sample may have been dropped while it was being sent to the engine. It never began, so
        there is nothing to let finish, and it is cut.
        """
        with self.changed:
            if run.generation == generation and run.is_open and not run.wanted:
                self._end(run, RunOutcome.CUT)
            elif run.generation == generation and run.is_open:
                run.started = False
                run.cancel = None
                pause = min(MAX_REJECTED_RETRY_S, REJECTED_RETRY_S * 2**run.rejections)
                run.not_before = self.now() + pause
                run.rejections += 1
                self.changed.notify_all()

    def drop(self, samples: dict[str, int], let_finish: bool) -> None:
        """Cancel samples; those that are running may finish if ``let_finish``."""
        cancels = []
        with self.changed:
            for name in samples:
                run = self.runs.get(name)
                if run is None or not run.is_open:
                    continue
                if let_finish and run.started:
                    run.wanted = False
                    continue
                cancels.append(self._cut(run))
        _call_all(cancels)

    def cut_all(self) -> None:
        """Cut all open runs; their text is kept."""
        with self.changed:
            cancels = [self._cut(run) for run in self.runs.values() if run.is_open]
        _call_all(cancels)

    def cut_abandoned(self) -> list[str]:
        """Cut the runs whose gateway has stopped polling; returns their samples."""
        limit = self.now() - GATEWAY_TIMEOUT_S
        cancels = []
        names = []
        with self.changed:
            for name, run in self.runs.items():
                if run.is_open and run.wanted and run.last_polled_at < limit:
                    cancels.append(self._cut(run))
                    names.append(name)
        _call_all(cancels)
        return names

    def restart_stalled(self) -> list[str]:
        """Restart runs without progress after their last event, on new connections.

        Called when open connections are known to pass nothing. The runs stay at this sidecar: an
        engine that is not notified that a connection was closed goes on with the sample, and no
        other engine may run it at the same time. A run whose lot has ended was only allowed to
        finish, so it is cut.

        :returns: the samples of the restarted or cut runs
        """
        limit = self.now() - STALL_TIMEOUT_S
        with self.changed:
            stalled = [
                run
                for run in self.runs.values()
                if run.is_open and run.started and run.last_progress_at < limit
            ]
            cancels = [run.cancel for run in stalled]
            for run in stalled:
                if not run.wanted:
                    self._end(run, RunOutcome.CUT)
                    continue
                run.started = False
                run.cancel = None
                run.generation += 1  # events of the previous thread are ignored
            self.changed.notify_all()
        _call_all(cancels)
        return [run.order.sample.id for run in stalled]

    def find(self, samples: tuple[str, ...], min_version: int) -> dict[str, int]:
        """Return the number of events of samples whose text is here from its beginning.

        :param min_version: samples with an event of an older weight version are left out
        """
        found = {}
        with self.changed:
            for name in samples:
                run = self.runs.get(name)
                if run is None or run.base or not run.events or min(run.versions) < min_version:
                    continue
                found[name] = len(run.events)
        return found

    def record_routes(
        self, have: Iterable[str], rerouted: Collection[str], revision: int
    ) -> list[str]:
        """Record by which configuration a gateway still sends its samples here.

        Rerouted samples that have not started are cut, so that the gateway sends them elsewhere. A
        sample that the engine has begun may finish.

        :param rerouted: samples that the gateway's configuration sends to other engines
        :param revision: of that configuration
        :returns: the samples that were cut
        """
        cut = []
        with self.changed:
            for name in have:
                run = self.runs.get(name)
                if run is None or not run.is_open:
                    continue
                if name not in rerouted:
                    run.routed_at = max(run.routed_at, revision)
                elif not run.started:
                    self._cut(run)
                    cut.append(name)
            self.changed.notify_all()
        return cut

    def collect(
        self, have: dict[str, int], wait_s: float, readiness: Callable[[], tuple[bool, str, int]]
    ) -> tuple[list[RunUpdate], list[str]]:
        """Wait until a sample ends or the time is over; return updates and unknown samples.

        :param have: number of events that the gateway has, by sample
        :param readiness: returns whether the engine accepts samples, the model whose weights are
            being loaded, and the newest configuration's revision; a change of its result ends the
            wait as well
        """
        until = self.now() + wait_s
        before = readiness()
        with self.changed:
            self._record_poll(have)
            while not self._any_ended(have) and readiness() == before:
                remaining_s = until - self.now()
                if remaining_s <= 0:
                    break
                self.changed.wait(min(remaining_s, READINESS_POLL_S))
            else:
                if wait_s:
                    self.changed.wait(BATCH_DELAY_S)
            self._record_poll(have)
            return self._updates(have)

    def _updates(self, have: dict[str, int]) -> tuple[list[RunUpdate], list[str]]:
        updates = []
        unknown = []
        for name, count in have.items():
            run = self.runs.get(name)
            if run is None or run.base > count or run.event_count < count:
                unknown.append(name)
            elif run.event_count > count or not run.is_open:
                updates.append(run.update_since(count))
        return updates, unknown

    def _record_poll(self, have: dict[str, int]) -> None:
        now = self.now()
        for name in have:
            run = self.runs.get(name)
            if run is not None:
                run.last_polled_at = now

    def _any_ended(self, have: dict[str, int]) -> bool:
        for name, count in have.items():
            run = self.runs.get(name)
            if run is None or not run.is_open or run.base > count:
                return True
        return False

    def _is_startable(self, run: Run, now: float) -> bool:
        """Return whether a run may be started and the engine would not reject it."""
        return (
            run.is_startable(now)
            and run.is_routed(self.configuration_revision)
            and not is_changing(self.loading_model, run.order.model)
        )

    def _may_send(self, now: float) -> bool:
        return self.send_limit is None or self.send_limit.has_room(now)

    def _submit_one(self, order: RunOrder) -> bool:
        name = order.sample.id
        run = self.runs.get(name)
        if run is not None and run.can_serve(order):
            return self._resume(run, order)
        if not self._has_room(order):
            return False
        if run is not None and run.is_open:
            _call_all([self._cut(run)])
        self.runs.pop(name, None)
        now = self.now()
        run = Run(order, order.after, order.new_lineage, now, now + order.due)
        run.routed_at = order.configuration_revision
        self.runs[name] = run
        return True

    def _resume(self, run: Run, order: RunOrder) -> bool:
        """Let an existing run serve an order, restarting it if it was interrupted."""
        needs_start = run.outcome in RESTARTABLE_OUTCOMES
        if needs_start and not self._has_room(order):
            return False
        run.order = order
        run.routed_at = order.configuration_revision
        run.wanted = True
        run.last_polled_at = self.now()
        run.due_at = run.last_polled_at + order.due
        if needs_start:
            run.outcome = RunOutcome.NONE
            run.started = False
            run.cancel = None
            run.unconfirmed_ends = 0
            run.generation += 1  # the previous thread may yet report the end caused by the cut
        return True

    def _has_room(self, order: RunOrder) -> bool:
        accepts = self.accepting and not is_changing(self.loading_model, order.model)
        accepts = accepts and not 0 < order.configuration_revision < self.configuration_revision
        return accepts and (self.taken < self.slots + MAX_QUEUED or self._displace(order))

    def _displace(self, order: RunOrder) -> bool:
        """Cut the waiting run that may start last, if it may start much later than an order."""
        waiting = [run for run in self.runs.values() if run.is_open and not run.started]
        last = max(waiting, key=lambda run: run.latest_start, default=None)
        latest_start = self.now() + order.due - order.expected_s
        if last is None or not order.expected_s:
            return False
        if last.latest_start - latest_start < DISPLACE_MARGIN_S:
            return False
        _call_all([self._cut(last)])
        return True

    def _make_room(self, running: list[Run]) -> bool:
        """Cut a run that only later lots may want, in favour of one that is wanted now."""
        for run in running:
            if not run.wanted:
                _call_all([self._cut(run)])
                return True
        return False

    def _cut(self, run: Run) -> Callable[[], None] | None:
        """Cut a run; returns the function that closes its connection, for the caller to call."""
        cancel = run.cancel
        self._end(run, RunOutcome.CUT)
        return cancel

    def _end(self, run: Run, outcome: RunOutcome) -> None:
        run.outcome = outcome
        run.ended_at = self.now()
        run.cancel = None
        self.changed.notify_all()

    def _evict_ended(self) -> None:
        limit = self.now() - ENDED_RUN_TTL_S
        ended = [name for name, run in self.runs.items() if not run.is_open]
        surplus = max(0, len(ended) - MAX_ENDED_RUNS)
        for index, name in enumerate(ended):
            if index < surplus or self.runs[name].ended_at < limit:
                del self.runs[name]


def _start_order(run: Run) -> tuple[bool, float, int]:
    """Return the sort key by which waiting runs start.

    A text that may only lack the confirmation of its end goes first: it holds no slot for long.
    """
    return not run.unconfirmed_ends, run.latest_start, -run.order.sample.expected_tokens


def _call_all(cancels: list[Callable[[], None] | None]) -> None:
    """Call the functions that close the connections of runs."""
    for cancel in cancels:
        if cancel is not None:
            cancel()


__all__ = ["STALL_TIMEOUT_S", "GATEWAY_TIMEOUT_S", "RunTable"]
