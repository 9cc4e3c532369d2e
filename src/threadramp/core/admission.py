"""Slots of one endpoint: who runs, who waits, who is refused, which rollouts give way."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

from threadramp.policy.reserve import ReservePolicy
from threadramp.wire.outcomes import DEFAULT_RETRY_AFTER_S, Reason, Refusal

INITIAL_SERVICE_S = 0.05
SERVICE_WEIGHT = 0.1  # of the newest call in the mean service time


@dataclass(frozen=True)
class Admitted:
    """The call runs now."""


@dataclass(frozen=True)
class Queued:
    """The call waits for a slot."""


@dataclass(frozen=True)
class Waiting:
    """A call in the queue.

    :param deadline: monotonic time by which its answer is due
    """

    call: str
    rank: int
    deadline: float


class Admission:
    """Counts calls and rollouts against the slots of one endpoint.

    :param slots: how many run at once
    :param max_queue: how many calls may wait
    """

    def __init__(self, slots: int, max_queue: int, reserve: ReservePolicy) -> None:
        self.slots = slots
        self.max_queue = max_queue
        self.reserve = reserve
        self.running: dict[str, float] = {}
        self.queue: deque[Waiting] = deque()
        self.rollouts = 0
        self.service_s = INITIAL_SERVICE_S

    def offer(
        self, call: str, rank: int, deadline: float, now: float
    ) -> Admitted | Queued | Refusal:
        """Decide on a call that has arrived."""
        self.reserve.record_arrival(now)
        if deadline <= now:
            return Refusal.not_run(Reason.DEADLINE, "its deadline has passed")
        if self._free() > 0 and not self.queue:
            self._start(call, now)
            return Admitted()
        ahead = sum(1 for waiting in self.queue if waiting.rank <= rank)
        wait_s = self.expected_wait_s(ahead)
        if len(self.queue) >= self.max_queue or now + wait_s > deadline:
            retry_s = max(DEFAULT_RETRY_AFTER_S, round(wait_s))
            return Refusal.not_run(Reason.OVERLOADED, "no slot before its deadline", retry_s)
        self.queue.append(Waiting(call, rank, deadline))
        return Queued()

    def finish(self, call: str, now: float) -> list[str]:
        """Free a call's slot.

        :returns: the calls that were admitted into the room
        """
        started = self.running.pop(call, None)
        if started is not None:
            self.service_s += SERVICE_WEIGHT * (now - started - self.service_s)
        return self.admit_waiting(now)

    def give_up(self, call: str) -> None:
        """Take a call out of the queue."""
        self.queue = deque(waiting for waiting in self.queue if waiting.call != call)

    def admit_waiting(self, now: float) -> list[str]:
        """Admit calls from the queue, best rank first, as far as there is room."""
        admitted = []
        while self.queue and self._free() > 0:
            best = min(self.queue, key=lambda waiting: waiting.rank)
            self.queue.remove(best)
            self._start(best.call, now)
            admitted.append(best.call)
        return admitted

    def start_rollout(self, now: float) -> bool:
        """Take a slot for a rollout if the calls leave one."""
        if self.queue or self._free() <= self.reserve.reserved_slots(
            self.slots, len(self.running), now
        ):
            return False
        self.rollouts += 1
        return True

    def finish_rollout(self, now: float) -> list[str]:
        """Free a rollout's slot.

        :returns: the calls that were admitted into the room
        """
        self.rollouts -= 1
        return self.admit_waiting(now)

    def rollouts_to_pause(self) -> int:
        """Return how many running rollouts must give way to calls that wait."""
        return min(self.rollouts, len(self.queue))

    def expected_wait_s(self, ahead: int) -> float:
        """Return the expected wait behind ``ahead`` queued calls in seconds."""
        if self.rollouts > ahead:
            return 0.0  # rollouts give way
        return self.service_s * (ahead + 1) / self.slots

    def _free(self) -> int:
        return self.slots - len(self.running) - self.rollouts

    def _start(self, call: str, now: float) -> None:
        self.running[call] = now


__all__ = ["Admission", "Admitted", "Queued"]
