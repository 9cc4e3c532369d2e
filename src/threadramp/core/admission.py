"""Slots of one endpoint: admission, queueing and refusal of calls, and pausing of rollouts."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

from threadramp.policy.reserve import ReservePolicy
from threadramp.wire.outcomes import DEFAULT_RETRY_AFTER_S, Reason, Refusal

INITIAL_SERVICE_S = 0.05
SERVICE_WEIGHT = 0.1  # weight of the newest call in the exponential moving average


@dataclass(frozen=True)
class Admitted:
    """Decision: the call runs now."""


@dataclass(frozen=True)
class Queued:
    """Decision: the call waits for a slot."""


@dataclass(frozen=True)
class QueuedCall:
    """A call in the queue.

    :param rank: of its priority; lower ranks are served first
    :param deadline: monotonic time by which its response is due
    """

    call: str
    rank: int
    deadline: float


class Admission:
    """Counts calls and rollouts against the slots of one endpoint.

    :param slots: maximum number of calls and rollouts that run at once
    :param max_queue: maximum number of calls in the queue
    :param reserve: decides how many slots rollouts leave free for calls
    :ivar running: start time of each running call
    :ivar rollouts: number of running rollouts
    """

    def __init__(self, slots: int, max_queue: int, reserve: ReservePolicy) -> None:
        self.slots = slots
        self.max_queue = max_queue
        self.reserve = reserve
        self.running: dict[str, float] = {}
        self.queue: deque[QueuedCall] = deque()
        self.rollouts = 0
        self.mean_service_s = INITIAL_SERVICE_S

    def offer(
        self, call: str, rank: int, deadline: float, now: float
    ) -> Admitted | Queued | Refusal:
        """Admit, queue or refuse a call that has arrived."""
        self.reserve.record_arrival(now)
        if deadline <= now:
            return Refusal.not_run(Reason.DEADLINE, "its deadline has passed")
        if self._free_slots() > 0 and not self.queue:
            self._start_call(call, now)
            return Admitted()
        ahead = sum(1 for waiting in self.queue if waiting.rank <= rank)
        wait_s = self.expected_wait_s(ahead)
        if len(self.queue) >= self.max_queue or now + wait_s > deadline:
            retry_s = max(DEFAULT_RETRY_AFTER_S, round(wait_s))
            return Refusal.not_run(
                Reason.OVERLOADED,
                "no slot before its deadline",
                retry_s,
            )
        self.queue.append(QueuedCall(call, rank, deadline))
        return Queued()

    def finish(self, call: str, now: float) -> list[str]:
        """Free a call's slot.

        :returns: the queued calls that were admitted in its place
        """
        started = self.running.pop(call, None)
        if started is not None:
            self.mean_service_s += SERVICE_WEIGHT * (now - started - self.mean_service_s)
        return self.admit_waiting(now)

    def remove_waiting(self, call: str) -> None:
        """Remove a call from the queue."""
        self.queue = deque(waiting for waiting in self.queue if waiting.call != call)

    def admit_waiting(self, now: float) -> list[str]:
        """Admit queued calls, lowest rank first, while slots are free."""
        admitted = []
        while self.queue and self._free_slots() > 0:
            best = min(self.queue, key=lambda waiting: waiting.rank)
            self.queue.remove(best)
            self._start_call(best.call, now)
            admitted.append(best.call)
        return admitted

    def start_rollout(self, now: float) -> bool:
        """Take a slot for a rollout if no call waits and more slots are free than are reserved."""
        if self.queue or self._free_slots() <= self.reserve.reserved_slots(
            self.slots, len(self.running), now
        ):
            return False
        self.rollouts += 1
        return True

    def finish_rollout(self, now: float) -> list[str]:
        """Free a rollout's slot.

        :returns: the queued calls that were admitted in its place
        """
        self.rollouts -= 1
        return self.admit_waiting(now)

    def rollouts_to_pause(self) -> int:
        """Return how many running rollouts must be paused for queued calls."""
        return min(self.rollouts, len(self.queue))

    def expected_wait_s(self, ahead: int) -> float:
        """Return the expected wait behind ``ahead`` queued calls in seconds."""
        if self.rollouts > ahead:
            return 0.0  # enough rollouts can be paused
        return self.mean_service_s * (ahead + 1) / self.slots

    def _free_slots(self) -> int:
        return self.slots - len(self.running) - self.rollouts

    def _start_call(self, call: str, now: float) -> None:
        self.running[call] = now


__all__ = ["Admission", "Admitted", "Queued"]
