"""Selects the endpoint of a pool for a request, and defines when a request is hedged."""

from __future__ import annotations

import threading
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection, Sequence
    from random import Random

    from threadramp.fleet.model import Endpoint, Incarnation, Route
    from threadramp.platform.headers import EndpointLoad

SUSPEND_S = 0.5  # after a failure; doubles with each further failure
MAX_SUSPEND_S = 4.0
ERRORS_UNTIL_SUSPEND = (
    3  # consecutive answers 500; a single one may be caused by the request itself
)
MAX_LOAD_AGE_S = 0.5  # an older load report is ignored
# Share of the route's target latency after which a repeatable request is sent to a second endpoint.
HEDGE_AFTER_SHARE = 0.5


@dataclass
class EndpointRecord:
    """What this process has observed of one incarnation of an endpoint."""

    open: int = 0
    failures: int = 0
    errors: int = 0
    suspended_until: float = 0.0
    load: EndpointLoad | None = None
    load_at: float = 0.0


class EndpointSelector:
    """Picks the less loaded of two random endpoints; recently failed ones are a last resort.

    The load is the larger of the own open requests and the load that the endpoint reported.

    :param random: a seeded source
    """

    def __init__(self, random: Random) -> None:
        self.random = random
        self.records: dict[Incarnation, EndpointRecord] = {}
        self.lock = threading.Lock()

    def choose_pool(self, route: Route) -> str:
        """Return the pool for one request, chosen at random by the weights of the route."""
        shares = [share for share in route.shares if share.weight > 0] or list(route.shares)
        if len(shares) == 1:
            return shares[0].pool
        weights = [max(share.weight, 0.0) for share in shares]
        return self.random.choices(shares, weights)[0].pool if any(weights) else shares[0].pool

    def choose(
        self, endpoints: Sequence[Endpoint], tried: Collection[Incarnation], now: float
    ) -> Endpoint | None:
        """Return an endpoint that was not tried yet, none if all were tried."""
        untried = [one for one in endpoints if not one.leaving and one.incarnation not in tried]
        if not untried:
            return None
        with self.lock:
            healthy = [one for one in untried if self._record(one).suspended_until <= now]
            candidates = self.random.sample(healthy or untried, min(2, len(healthy or untried)))
            return min(candidates, key=lambda one: self._expected(one, now))

    def request_started(self, endpoint: Endpoint) -> None:
        """Record that a request was sent."""
        with self.lock:
            self._record(endpoint).open += 1

    def request_finished(self, endpoint: Endpoint) -> None:
        """Record that a request ended."""
        with self.lock:
            record = self._record(endpoint)
            record.open = max(0, record.open - 1)

    def open_requests(self, endpoint: Endpoint) -> int:
        """Return how many requests of this process are open at an endpoint."""
        with self.lock:
            return self._record(endpoint).open

    def record_success(self, endpoint: Endpoint, load: EndpointLoad | None, now: float) -> None:
        """Record a successful answer and the load that it reported."""
        with self.lock:
            record = self._record(endpoint)
            record.failures = 0
            record.errors = 0
            record.suspended_until = 0.0
            if load is not None:
                record.load = load
                record.load_at = now

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

    def _expected(self, endpoint: Endpoint, now: float) -> float:
        record = self._record(endpoint)
        slots = max(1, endpoint.slots)
        reported = 0
        if record.load is not None and now - record.load_at <= MAX_LOAD_AGE_S:
            reported = record.load.running + record.load.waiting
        return max(record.open, reported) / slots


__all__ = ["HEDGE_AFTER_SHARE", "EndpointRecord", "EndpointSelector"]
