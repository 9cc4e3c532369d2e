"""Selects the endpoint of a pool for a request, and defines when a request is hedged.

The better of two random endpoints is chosen, by the expected time until the answer: the wait behind
the requests there and the time of work, with the endpoint's own speed. Two random ones, because all
gateways would send to the single best one until its next report.
"""

from __future__ import annotations

import threading
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from threadramp.config.registry import Registry
from threadramp.policy.concurrency_limit import pressure
from threadramp.policy.endpoint_speed import EndpointTimes, WorkTime

if TYPE_CHECKING:
    from collections.abc import Collection, Sequence
    from random import Random

    from threadramp.fleet.model import Endpoint, Incarnation, Route
    from threadramp.platform.headers import EndpointLoad

CHOICES: Registry[type[EndpointSelector]] = Registry()

SUSPEND_S = 0.5  # after a failure; doubles with each further failure
MAX_SUSPEND_S = 4.0
ERRORS_UNTIL_SUSPEND = (
    3  # consecutive answers 500; a single one may be caused by the request itself
)
# Share of the route's target latency after which a repeatable request is sent to a second endpoint.
HEDGE_AFTER_SHARE = 0.5
MAX_DESCRIBED = 8  # endpoints in one log line
MAX_LOGGED_PRESSURE = 99.0  # infinity is no number in JSON
# Part of the slots up to which a request certainly found a free one, although its gateway knows
# only what was reported with the last answer.
FREE_SHARE = 0.5
MAX_LOAD_AGE_S = 0.5  # an older load report is ignored by the choice by open requests
OCCUPANCY_SHARE = 0.25  # endpoints get slower as they fill up


@dataclass
class EndpointRecord:
    """What this process has observed of one incarnation of an endpoint."""

    open: int = 0
    failures: int = 0
    errors: int = 0
    suspended_until: float = 0.0
    times: EndpointTimes = field(default_factory=EndpointTimes)


@CHOICES.register("expected_time")
class EndpointSelector:
    """Picks the faster of two random endpoints; recently failed ones are a last resort.

    :param random: a seeded source
    :ivar work_times: usual time of work, by pool
    """

    def __init__(self, random: Random) -> None:
        self.random = random
        self.records: dict[Incarnation, EndpointRecord] = {}
        self.work_times: dict[str, WorkTime] = {}
        self.lock = threading.Lock()

    def choose_pool(self, route: Route) -> str:
        """Return the pool for one request, chosen at random by the weights of the route."""
        shares = route.open_shares
        if len(shares) == 1:
            return shares[0].pool
        weights = [max(share.weight, 0.0) for share in shares]
        return self.random.choices(shares, weights)[0].pool if any(weights) else shares[0].pool

    def choose(
        self,
        endpoints: Sequence[Endpoint],
        tried: Collection[Incarnation],
        now: float,
        target_s: float = 0.0,
    ) -> Endpoint | None:
        """Return an endpoint that was not tried yet, none if all were tried.

        :param target_s: latency objective, 0 if there is none; endpoints at which it would probably
            be missed are used only if there are no others
        """
        untried = [one for one in endpoints if not one.leaving and one.incarnation not in tried]
        if not untried:
            return None
        with self.lock:
            healthy = [one for one in untried if self._record(one).suspended_until <= now]
            usable = healthy or untried
            if target_s:
                usable = [
                    one for one in usable if self._pressure(one, target_s, now) <= 1.0
                ] or usable
            candidates = self.random.sample(usable, min(2, len(usable)))
            return min(candidates, key=lambda one: self._cost(one, now))

    def pressure(self, endpoint: Endpoint, target_s: float, now: float) -> float:
        """Return the pressure at an endpoint for a request that is sent now."""
        with self.lock:
            return self._pressure(endpoint, target_s, now)

    def least_pressure(
        self, endpoints: Sequence[Endpoint], target_s: float, now: float, unsent: int = 0
    ) -> float:
        """Return the least pressure at an endpoint that takes new work.

        It is 0 if there is none: waiting for them would not help.

        :param unsent: own requests that are about to be sent to one of them
        """
        with self.lock:
            usable = [one for one in endpoints if not one.leaving]
            healthy = [one for one in usable if self._record(one).suspended_until <= now]
            chosen = healthy or usable
            share = unsent / max(1, len(chosen))
            found = (self._pressure(one, target_s, now, share) for one in chosen)
            return min(found, default=0.0)

    def report_age_s(self, endpoints: Sequence[Endpoint], now: float) -> float:
        """Return the seconds since one of the endpoints last reported its load."""
        with self.lock:
            return now - max(
                (self._record(one).times.load_at for one in endpoints), default=float("-inf")
            )

    def reports_load(self, endpoints: Sequence[Endpoint]) -> bool:
        """Return whether an endpoint has reported its load."""
        with self.lock:
            return any(self._record(one).times.load is not None for one in endpoints)

    def expected_ahead(self, endpoint: Endpoint, now: float) -> float:
        """Return how many requests are expected to be at an endpoint."""
        with self.lock:
            record = self._record(endpoint)
            usual_s = self._work_time(endpoint).usual_s
            return record.times.ahead(record.open, max(1, endpoint.slots), usual_s, now)

    def describe(
        self, endpoints: Sequence[Endpoint], target_s: float, now: float
    ) -> list[dict[str, object]]:
        """Return what is known about the load and speed of endpoints, for logs."""
        with self.lock:
            return [self._describe(one, target_s, now) for one in endpoints[:MAX_DESCRIBED]]

    def _describe(self, endpoint: Endpoint, target_s: float, now: float) -> dict[str, object]:
        record = self._record(endpoint)
        load = record.times.load
        return {
            "instance": endpoint.instance,
            "open": record.open,
            "running": load.running if load else None,
            "waiting": load.waiting if load else None,
            "work_percent": load.work_percent if load else None,
            "age_ms": round((now - record.times.load_at) * 1000) if load else None,
            "factor": round(record.times.factor, 2),
            "pressure": min(MAX_LOGGED_PRESSURE, round(self._pressure(endpoint, target_s, now), 2)),
        }

    def request_started(self, endpoint: Endpoint) -> None:
        """Record that a request was sent."""
        with self.lock:
            record = self._record(endpoint)
            record.open += 1
            record.times.sent_since += 1

    def request_finished(self, endpoint: Endpoint) -> None:
        """Record that a request ended."""
        with self.lock:
            record = self._record(endpoint)
            record.open = max(0, record.open - 1)

    def open_requests(self, endpoint: Endpoint) -> int:
        """Return how many requests of this process are open at an endpoint."""
        with self.lock:
            return self._record(endpoint).open

    def record_success(
        self,
        endpoint: Endpoint,
        load: EndpointLoad | None,
        now: float,
        latency_s: float | None = None,
        ahead_at_send: float = 0.0,
    ) -> None:
        """Record a successful answer and the load that it reported.

        :param latency_s: from sending to the answer, none if that is no time of work
        :param ahead_at_send: requests that were expected at the endpoint when it was sent
        """
        with self.lock:
            record = self._record(endpoint)
            record.failures = 0
            record.errors = 0
            record.suspended_until = 0.0
            if latency_s is not None:
                self._record_work(endpoint, record, latency_s, ahead_at_send, now)
            if load is not None:
                record.times.record_load(load, now)

    def record_load(self, endpoint: Endpoint, load: EndpointLoad, now: float) -> None:
        """Record a load that came with an answer of any kind."""
        with self.lock:
            self._record(endpoint).times.record_load(load, now)

    def _record_work(
        self,
        endpoint: Endpoint,
        record: EndpointRecord,
        latency_s: float,
        ahead_at_send: float,
        now: float,
    ) -> None:
        work_time = self._work_time(endpoint)
        if ahead_at_send > FREE_SHARE * max(1, endpoint.slots) and work_time.samples:
            return  # it may have waited, and waiting is not work
        work_s = latency_s / record.times.slowdown(now)
        work_time.record(work_s)
        record.times.record_work(work_s, work_time.usual_s)

    def record_failure(self, endpoint: Endpoint, now: float) -> float:
        """Record a failure; returns the seconds for which other endpoints are preferred."""
        with self.lock:
            record = self._record(endpoint)
            record.failures += 1
            pause = min(MAX_SUSPEND_S, SUSPEND_S * 2 ** (record.failures - 1))
            record.suspended_until = now + pause
            return pause

    def record_server_error(self, endpoint: Endpoint, now: float) -> float:
        """Record an answer 500; returns the seconds for which other endpoints are preferred."""
        with self.lock:
            record = self._record(endpoint)
            record.errors += 1
            errors = record.errors
        return self.record_failure(endpoint, now) if errors >= ERRORS_UNTIL_SUSPEND else 0.0

    def retain(self, incarnations: Collection[Incarnation]) -> None:
        """Drop the records of all other incarnations that have no open requests."""
        with self.lock:
            for stale in [one for one in self.records if one not in incarnations]:
                if not self.records[stale].open:
                    del self.records[stale]

    def _record(self, endpoint: Endpoint) -> EndpointRecord:
        return self.records.setdefault(endpoint.incarnation, EndpointRecord())

    def _work_time(self, endpoint: Endpoint) -> WorkTime:
        return self.work_times.setdefault(endpoint.pool, WorkTime())

    def _wait_s(self, endpoint: Endpoint, now: float, unsent: float = 0.0) -> float:
        record = self._record(endpoint)
        usual_s = self._work_time(endpoint).usual_s
        slots = max(1, endpoint.slots)
        return record.times.wait_s(record.open, slots, usual_s, now, unsent)

    def _pressure(
        self, endpoint: Endpoint, target_s: float, now: float, unsent: float = 0.0
    ) -> float:
        work_s = self._record(endpoint).times.work_s(self._work_time(endpoint).usual_s, now)
        return pressure(self._wait_s(endpoint, now, unsent), work_s, target_s)

    def _cost(self, endpoint: Endpoint, now: float) -> float:
        """Return what is compared between two endpoints, here the expected time in seconds."""
        return self._expected_s(endpoint, now)

    def _expected_s(self, endpoint: Endpoint, now: float) -> float:
        """Return the expected seconds until the answer.

        Part of the time of work counts for each request there, also below the number of slots, so
        that of two idle endpoints the emptier one is chosen.
        """
        times = self._record(endpoint).times
        usual_s = self._work_time(endpoint).usual_s
        work_s = times.work_s(usual_s, now)
        slots = max(1, endpoint.slots)
        ahead = times.ahead(self._record(endpoint).open, slots, usual_s, now)
        return self._wait_s(endpoint, now) + work_s * (1.0 + OCCUPANCY_SHARE * ahead / slots)


@CHOICES.register("open_requests")
class OpenRequestsSelector(EndpointSelector):
    """Picks the less loaded of two random endpoints, whatever their speed.

    The load is the larger of the own open requests and the load that the endpoint reported.
    """

    def _cost(self, endpoint: Endpoint, now: float) -> float:
        """Return the occupied part of the slots."""
        record = self._record(endpoint)
        load = record.times.load
        reported = 0
        if load is not None and now - record.times.load_at <= MAX_LOAD_AGE_S:
            reported = load.running + load.waiting
        return max(record.open, reported) / max(1, endpoint.slots)


__all__ = ["CHOICES", "HEDGE_AFTER_SHARE", "EndpointRecord", "EndpointSelector"]
