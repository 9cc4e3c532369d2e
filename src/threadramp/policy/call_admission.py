"""Decides which call of a gateway is sent next, which waits and which is refused.

The load that it answers: for some seconds callers send more than the endpoints of a pool can answer
in the latency objective of the route. Sent on at once, all of these calls would wait at the
endpoints and nearly all would be late. So a call waits here only as long as it can still be
answered in time, in a short queue, and is refused early enough for its caller to return.

The queue is ordered by priority, then by organisation (start-time fair queueing), then by the least
time left. A caller that returns after a refusal has less time left than a new one, whichever
gateway it returns to, so it goes first without any message between gateways.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from threadramp.policy.concurrency_limit import ConcurrencyLimit, PoolState

# A call waits for at most this part of its latency objective. Refused by then, its caller still has
# time to return and be answered in time.
QUEUE_SHARE = 0.25
# A returning caller is refused for good if it is refused again, so it may wait for longer: for the
# part that leaves the usual time of work and of waiting at an endpoint.
RETURN_QUEUE_SHARE = 0.35
MAX_QUEUED = 64  # as many threads wait; a gateway has 40 for all requests
RATE_WINDOW_S = 0.5  # over which the rate of started calls is measured
MIN_RATE_PER_S = 4.0  # assumed while nothing was started in the window
MIN_RETRY_AFTER_S = 0.05
PRIORITY_SEEN_S = 10.0  # for which a priority counts as in use after its last call
# Of the rate of started calls, the part that is promised to callers that were refused.
RETURN_RATE_SHARE = 0.1


class Reason(Enum):
    """Why a call is refused."""

    QUEUE_TOO_LONG = "expected wait too long"
    WAITED_TOO_LONG = "no place in time"
    DISPLACED = "queue full of calls that go first"
    ABANDONED = "caller gave up"


@dataclass(frozen=True)
class Call:
    """One call that wants to be sent.

    :param key: identifies it within this gateway
    :param organisation: empty if the configuration names none
    :param weight: of the organisation; one of weight 2 has twice the share of one of weight 1
    :param target_s: latency objective of its route
    :param deadline: time at which its caller gives up
    :param returns: whether its caller was refused before
    """

    key: int
    priority: int
    organisation: str
    weight: float
    arrived_at: float
    target_s: float
    deadline: float
    returns: bool = False

    @property
    def latest_start(self) -> float:
        """Return the time by which it is refused if there is no place for it."""
        share = RETURN_QUEUE_SHARE if self.returns else QUEUE_SHARE
        return min(self.deadline, self.arrived_at + share * self.target_s)


@dataclass(frozen=True)
class Refusal:
    """A call that is not sent.

    :param retry_after_s: seconds after which room for its caller is foreseen
    :param queued: calls that waited then
    :param rate_per_s: calls started in a second
    """

    key: int
    reason: Reason
    retry_after_s: float
    queued: int
    rate_per_s: float


class CallAdmission:
    """The queue of one gateway for one pool, without I/O; callers pass in the time.

    :param limit: decides whether one more call may be sent
    """

    def __init__(self, limit: ConcurrencyLimit) -> None:
        self.limit = limit
        self.waiting: dict[int, Call] = {}
        self.in_flight: set[int] = set()
        self.started_at: deque[float] = deque()
        self.last_start = float("-inf")
        self.virtual_time = 0.0
        self.finish_tags: dict[str, float] = {}
        self.return_booked_until = float("-inf")
        self.seen_at: dict[int, float] = {}  # by priority

    def offer(self, call: Call, now: float) -> Refusal | None:
        """Queue a call; returns a refusal if it, or a call that it displaces, cannot be served."""
        self.seen_at[call.priority] = now
        wait_s = self.expected_wait_s(call, now)
        if self.waiting and now + wait_s > call.latest_start:
            return self._refuse(call, Reason.QUEUE_TOO_LONG, now)
        self.waiting[call.key] = call
        if len(self.waiting) <= MAX_QUEUED:
            return None
        last = max(self.waiting.values(), key=self._order)
        return self._remove(last, Reason.DISPLACED, now)

    def withdraw(self, key: int) -> None:
        """Remove a waiting call whose caller has disconnected."""
        self.waiting.pop(key, None)

    def first(self) -> Call | None:
        """Return the waiting call that goes next, none if none waits."""
        return min(self.waiting.values(), key=self._order, default=None)

    def next_call(self, pool: PoolState, now: float) -> Call | None:
        """Return the call to send now, none if none waits or the limit has no room."""
        first = self.first()
        if first is None or not self.limit.allows(pool):
            return None
        del self.waiting[first.key]
        self._start(first, now)
        return first

    def other_priorities(self, priority: int, now: float) -> tuple[int, int]:
        """Return how many more urgent and how many less urgent priorities were seen lately."""
        lately = [other for other, at in self.seen_at.items() if now - at <= PRIORITY_SEEN_S]
        more_urgent = sum(other < priority for other in lately)
        return more_urgent, sum(other > priority for other in lately)

    def expired(self, now: float) -> list[Refusal]:
        """Remove and return the waiting calls that found no place in time.

        Called after all calls were started for which there is a place: a call that waited for a
        thread of a slow box is late, but is answered sooner than if its caller had to return.
        """
        late = [call for call in self.waiting.values() if call.latest_start <= now]
        return [self._remove(call, Reason.WAITED_TOO_LONG, now) for call in late]

    def abandoned(self, now: float) -> list[Refusal]:
        """Remove and return the waiting calls whose callers have given up."""
        late = [call for call in self.waiting.values() if call.deadline <= now]
        return [self._remove(call, Reason.ABANDONED, now) for call in late]

    def finished(self, key: int) -> None:
        """Record that a call that was sent has ended."""
        self.in_flight.discard(key)

    def rate_per_s(self, now: float) -> float:
        """Return how many calls were started in a second lately."""
        while self.started_at and self.started_at[0] < now - RATE_WINDOW_S:
            self.started_at.popleft()
        return max(MIN_RATE_PER_S, len(self.started_at) / RATE_WINDOW_S)

    def expected_wait_s(self, call: Call, now: float) -> float:
        """Return the expected seconds until a call could be sent."""
        order = self._order(call)
        ahead = sum(self._order(other) < order for other in self.waiting.values())
        return ahead / self.rate_per_s(now)

    def retry_after_s(self, now: float) -> float:
        """Return the seconds after which room for one more refused caller is foreseen.

        Each refused caller is booked behind the one before, so that those refused together do not
        return together. Each gateway promises a part of its own rate.
        """
        rate = self.rate_per_s(now)
        earliest = now + max(MIN_RETRY_AFTER_S, len(self.waiting) / rate)
        self.return_booked_until = max(
            earliest, self.return_booked_until + 1.0 / (RETURN_RATE_SHARE * rate)
        )
        return self.return_booked_until - now

    def _start(self, call: Call, now: float) -> None:
        self.in_flight.add(call.key)
        self.last_start = now
        self.started_at.append(now)
        start_tag = self._start_tag(call.organisation)
        self.virtual_time = start_tag
        self.finish_tags[call.organisation] = start_tag + 1.0 / max(1e-6, call.weight)
        if not self.waiting:  # nobody is behind anybody now
            self.finish_tags.clear()
            self.virtual_time = 0.0

    def _start_tag(self, organisation: str) -> float:
        return max(self.virtual_time, self.finish_tags.get(organisation, 0.0))

    def _order(self, call: Call) -> tuple[int, float, float, int]:
        """Return the key by which waiting calls are ordered."""
        return (call.priority, self._start_tag(call.organisation), call.deadline, call.key)

    def _remove(self, call: Call, reason: Reason, now: float) -> Refusal:
        del self.waiting[call.key]
        return self._refuse(call, reason, now)

    def _refuse(self, call: Call, reason: Reason, now: float) -> Refusal:
        retry_after_s = self.retry_after_s(now)
        return Refusal(call.key, reason, retry_after_s, len(self.waiting), self.rate_per_s(now))


__all__ = ["QUEUE_SHARE", "Call", "CallAdmission", "Reason", "Refusal"]
