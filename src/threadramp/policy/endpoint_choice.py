"""Which endpoint of a pool a caller's request goes to, and when a second one is asked."""

from __future__ import annotations

import threading
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection, Sequence
    from random import Random

    from threadramp.fleet.model import Endpoint, Incarnation, Route
    from threadramp.platform.headers import EndpointLoad

SUSPEND_S = 0.5  # after a failure; doubles with each further one
SUSPEND_MOST_S = 4.0
ERRORS_UNTIL_SUSPEND = 3  # answers 500 in a row; a single one may be the request's own fault
LOAD_AGE_S = 0.5  # a load that was told longer ago is not believed
SECOND_AFTER = 0.5  # share of the route's target after which a repeatable request is sent again


@dataclass
class EndpointRecord:
    """What this process has seen of one start of an endpoint."""

    open: int = 0
    failures: int = 0
    errors: int = 0
    suspended_until: float = 0.0
    load: EndpointLoad | None = None
    load_at: float = 0.0


class EndpointChoice:
    """Two choices on own counts and told load; endpoints that just failed come last.

    :param random: a seeded source
    """

    def __init__(self, random: Random) -> None:
        self.random = random
        self.records: dict[Incarnation, EndpointRecord] = {}
        self.lock = threading.Lock()

    def pool_for(self, route: Route) -> str:
        """Return the pool for one request of a route, by weight."""
        shares = [share for share in route.shares if share.weight > 0] or list(route.shares)
        if len(shares) == 1:
            return shares[0].pool
        weights = [max(share.weight, 0.0) for share in shares]
        return self.random.choices(shares, weights)[0].pool if any(weights) else shares[0].pool

    def choose(
        self, endpoints: Sequence[Endpoint], tried: Collection[Incarnation], now: float
    ) -> Endpoint | None:
        """Return an endpoint that was not tried yet, none if all were."""
        fresh = [one for one in endpoints if not one.leaving and one.incarnation not in tried]
        if not fresh:
            return None
        with self.lock:
            sound = [one for one in fresh if self._record(one).suspended_until <= now]
            pair = self.random.sample(sound or fresh, min(2, len(sound or fresh)))
            return min(pair, key=lambda one: self._expected(one, now))

    def began(self, endpoint: Endpoint) -> None:
        """Count a request that was sent."""
        with self.lock:
            self._record(endpoint).open += 1

    def finished(self, endpoint: Endpoint) -> None:
        """Count a request that is over."""
        with self.lock:
            record = self._record(endpoint)
            record.open = max(0, record.open - 1)

    def open_at(self, endpoint: Endpoint) -> int:
        """Return the requests of this process that are open at an endpoint."""
        with self.lock:
            return self._record(endpoint).open

    def answered(self, endpoint: Endpoint, load: EndpointLoad | None, now: float) -> None:
        """Note a sound answer with the load that it told."""
        with self.lock:
            record = self._record(endpoint)
            record.failures = 0
            record.errors = 0
            record.suspended_until = 0.0
            if load is not None:
                record.load = load
                record.load_at = now

    def failed(self, endpoint: Endpoint, now: float) -> float:
        """Note a failure; returns the seconds for which others are preferred."""
        with self.lock:
            record = self._record(endpoint)
            record.failures += 1
            pause = min(SUSPEND_MOST_S, SUSPEND_S * 2 ** (record.failures - 1))
            record.suspended_until = now + pause
            return pause

    def erred(self, endpoint: Endpoint, now: float) -> float:
        """Note an answer 500; returns the seconds for which others are preferred."""
        with self.lock:
            record = self._record(endpoint)
            record.errors += 1
            errors = record.errors
        return self.failed(endpoint, now) if errors >= ERRORS_UNTIL_SUSPEND else 0.0

    def forget(self, starts: Collection[Incarnation]) -> None:
        """Drop what is known of all starts but these."""
        with self.lock:
            for gone in [one for one in self.records if one not in starts]:
                if not self.records[gone].open:
                    del self.records[gone]

    def _record(self, endpoint: Endpoint) -> EndpointRecord:
        return self.records.setdefault(endpoint.incarnation, EndpointRecord())

    def _expected(self, endpoint: Endpoint, now: float) -> float:
        record = self._record(endpoint)
        slots = max(1, endpoint.slots)
        told = 0
        if record.load is not None and now - record.load_at <= LOAD_AGE_S:
            told = record.load.running + record.load.waiting
        return max(record.open, told) / slots


__all__ = ["SECOND_AFTER", "EndpointChoice", "EndpointRecord"]
