"""Limits the requests that one gateway has open at a pool; all gateways share its slots.

No counter is shared between gateways. Each infers from its own answers whether it may send more, so
that together they keep the endpoints busy without long queues there. A limit below one is carried
out as a pace.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from threadramp.config.registry import Registry

if TYPE_CHECKING:
    from random import Random

LIMITS: Registry[type[ConcurrencyLimit]] = Registry()
UNLIMITED = "none"  # the name under which every request is sent at once

INITIAL_LIMIT = 4.0
MIN_LIMIT = 0.25
MIN_FACTOR = 0.5  # by which a limit is reduced at once
MAX_PACE_S = 0.2  # between two requests at a limit of one; answers that are later tell nothing new
MAX_LIMIT = 64.0
# Bounds of the pressure up to which requests are sent. Below the lower one no request waits, so a
# noise of one request more or less at an endpoint refuses nobody.
MIN_BOUND, MAX_BOUND = 0.2, 0.9
STANDING_S = 0.05  # a queue that lasts longer is a standing one; about a time of work
BURST_BOUND = 1.0  # of the pressure while there is no standing queue
# Less urgent requests are held back at this part of the bound, so that more urgent ones of other
# gateways find room at the endpoints.
LESS_URGENT_PART = 0.5
MIN_URGENCY_PART = 0.25  # however many more urgent priorities there are, so that none is starved
# A gateway without open requests learns nothing of an overload that has ended. Under overload a
# gateway has answers more often than this, so it adds no load then.
MAX_REPORT_AGE_S = 0.1
MARK_PRESSURE = 0.5  # of an endpoint, from which its answers count as marked
LATENCY_WEIGHT = 0.3  # of the newest answer in the mean latency
# Multiple of the usual time of work that is left of the latency objective before any waiting: work
# of twice the usual time still ends in time.
WORK_MARGIN = 2.0


@dataclass(frozen=True)
class PoolState:
    """What is known about a pool when a request may be sent.

    :param at: current time
    :param pressure: of the endpoint with the least, see ``pressure``
    :param reported: whether the endpoints report their load
    :param report_age_s: seconds since the last of these reports
    :param in_flight: own open requests at the pool
    :param since_start_s: seconds since the last own request was sent
    :param more_urgent: number of more urgent priorities that were seen lately
    :param has_less_urgent: whether a less urgent priority was seen lately
    """

    at: float
    pressure: float
    reported: bool
    report_age_s: float
    in_flight: int
    since_start_s: float
    more_urgent: int = 0
    has_less_urgent: bool = False


@dataclass(frozen=True)
class Answer:
    """One answer of an endpoint.

    :param latency_s: from sending to the answer
    :param pressure: of that endpoint, for a request that is sent now
    :param rejected: whether the endpoint was full and did not run the request
    :param in_flight: own open requests at the pool, with this one
    :param target_s: latency objective of the request's route
    """

    latency_s: float
    pressure: float
    rejected: bool
    in_flight: int
    target_s: float


def pressure(wait_s: float, work_s: float, target_s: float) -> float:
    """Return the expected wait as a part of the time that the latency objective leaves for it.

    It is 0 if a slot is free and more than 1 if the request would probably be late.

    :param work_s: expected time of work at the endpoint
    """
    if wait_s <= 0.0:
        return 0.0
    spare_s = target_s - WORK_MARGIN * work_s
    return wait_s / spare_s if spare_s > 0.0 else float("inf")


class ConcurrencyLimit:
    """Base of the limits.

    :param random: a seeded source
    :ivar value: the number of open requests, for a limit that has one
    """

    value = MAX_LIMIT

    def __init__(self, random: Random) -> None:
        self.random = random

    def allows(self, pool: PoolState) -> bool:
        """Return whether one more request may be sent now."""
        raise NotImplementedError

    def record(self, answer: Answer, now: float) -> None:
        """Record an answer."""


@LIMITS.register(UNLIMITED)
class NoLimit(ConcurrencyLimit):
    """Sends every request at once."""

    def allows(self, pool: PoolState) -> bool:
        """Return true."""
        return True


@LIMITS.register("expected_wait")
class ExpectedWait(ConcurrencyLimit):
    """Sends while the expected wait at some endpoint is short, by what endpoints report.

    As in CoDel, a queue that builds up and clears soon is left alone and only a standing queue is
    reduced. The bound for that is drawn anew for each request. Reports are as old as the last
    answer, so with a fixed bound all gateways would start and stop sending at the same time.

    :ivar low_at: when the pressure was last below all bounds, none before the first request
    """

    def __init__(self, random: Random) -> None:
        super().__init__(random)
        self.bound = self._draw()
        self.low_at: float | None = None

    def allows(self, pool: PoolState) -> bool:
        """Return whether the pressure is within the bound.

        One request is always sent to learn the load, if nothing was reported for a while.
        """
        if self.low_at is None or pool.pressure <= MIN_BOUND:
            self.low_at = pool.at
        is_uninformed = pool.in_flight == 0 and pool.report_age_s > MAX_REPORT_AGE_S
        if pool.pressure > self._bound(pool) and not is_uninformed:
            return False
        self.bound = self._draw()
        return True

    def _bound(self, pool: PoolState) -> float:
        if pool.at - self.low_at <= STANDING_S:
            bound = BURST_BOUND
        elif pool.has_less_urgent:  # these leave room, so nothing needs to be left to chance
            bound = MAX_BOUND
        else:
            bound = self.bound
        return bound * max(MIN_URGENCY_PART, LESS_URGENT_PART**pool.more_urgent)

    def _draw(self) -> float:
        return self.random.uniform(MIN_BOUND, MAX_BOUND)


class _AdaptiveLimit(ConcurrencyLimit):
    """A number of requests that follows the answers.

    :ivar round_trip_s: mean latency of the answers
    """

    def __init__(self, random: Random) -> None:
        super().__init__(random)
        self.value = INITIAL_LIMIT
        self.round_trip_s = 0.05
        self.reduced_at = float("-inf")

    def allows(self, pool: PoolState) -> bool:
        """Return whether the limit has room; below one it is carried out as a pace."""
        if self.value >= 1.0:
            return pool.in_flight + 1 <= self.value
        return pool.in_flight == 0 and pool.since_start_s >= self.pace_s

    @property
    def pace_s(self) -> float:
        """Return the seconds between two requests for a limit below one."""
        return min(MAX_PACE_S, self.round_trip_s) / self.value

    def _observe(self, answer: Answer) -> None:
        self.round_trip_s += LATENCY_WEIGHT * (answer.latency_s - self.round_trip_s)

    def _raise(self, step: float, answer: Answer) -> None:
        if answer.in_flight + 1 >= self.value:  # else the limit was not in use
            self.value = min(MAX_LIMIT, self.value + step / max(1.0, self.value))

    def _reduce(self, factor: float, now: float, least: float = MIN_LIMIT) -> None:
        if now - self.reduced_at >= self.round_trip_s:
            self.reduced_at = now
            self.value = min(self.value, max(least, self.value * factor))


@LIMITS.register("reported_queue")
class ReportedQueue(_AdaptiveLimit):
    """Follows the share of answers whose endpoint reports a long queue, as DCTCP follows marks."""

    STEP = 0.5
    MARK_WEIGHT = 0.1

    def __init__(self, random: Random) -> None:
        super().__init__(random)
        self.marked_share = 0.0

    def record(self, answer: Answer, now: float) -> None:
        """Raise the limit after an unmarked answer, reduce it after a marked one."""
        if not answer.rejected:
            self._observe(answer)
        marked = answer.rejected or answer.pressure > MARK_PRESSURE
        self.marked_share += self.MARK_WEIGHT * (marked - self.marked_share)
        if marked:
            self._reduce(1.0 - self.marked_share / 2, now)
        else:
            self._raise(self.STEP, answer)


@LIMITS.register("latency_gradient")
class LatencyGradient(_AdaptiveLimit):
    """Follows the ratio of the shortest to the current latency; for endpoints without reports.

    Latencies alone never take the limit below one: with one open request its latency is not due to
    the requests of this gateway, and a call would be refused although the endpoints may be idle.
    Only endpoints that are full do.
    """

    STEP = 0.25
    TOLERANCE = 1.8  # latencies up to this many times the shortest are normal
    TARGET_PART = 0.3  # of the latency objective; up to it a latency needs no limit
    SHORTEST_TTL_S = 30.0

    def __init__(self, random: Random) -> None:
        super().__init__(random)
        self.shortest_s = float("inf")
        self.shortest_at = float("-inf")

    def record(self, answer: Answer, now: float) -> None:
        """Raise the limit while latencies are short, reduce it as they grow."""
        if answer.rejected:  # at once, which says nothing about the time of work
            self._reduce(MIN_FACTOR, now)
            return
        self._observe(answer)
        if self.round_trip_s < self.shortest_s or now - self.shortest_at > self.SHORTEST_TTL_S:
            self.shortest_s, self.shortest_at = self.round_trip_s, now
        usual_s = max(self.TOLERANCE * self.shortest_s, self.TARGET_PART * answer.target_s)
        gradient = usual_s / self.round_trip_s
        if gradient < 1.0:
            self._reduce(max(MIN_FACTOR, gradient), now, least=1.0)
        else:
            self._raise(self.STEP, answer)


@LIMITS.register("adaptive")
class Adaptive(ConcurrencyLimit):
    """Uses the expected wait where endpoints report their load, else the gradient of latencies."""

    def __init__(self, random: Random) -> None:
        super().__init__(random)
        self.expected_wait = ExpectedWait(random)
        self.gradient = LatencyGradient(random)

    @property
    def value(self) -> float:
        """Return the limit of the gradient."""
        return self.gradient.value

    def allows(self, pool: PoolState) -> bool:
        """Return whether the policy that fits the endpoints allows one more request."""
        return (self.expected_wait if pool.reported else self.gradient).allows(pool)

    def record(self, answer: Answer, now: float) -> None:
        """Record an answer; the gradient keeps up in case the reports cease."""
        self.gradient.record(answer, now)


__all__ = [
    "INITIAL_LIMIT",
    "LIMITS",
    "UNLIMITED",
    "Answer",
    "ConcurrencyLimit",
    "PoolState",
    "pressure",
]
