"""Divides what a cold endpoint bears between the processes that send to it.

A cold endpoint bears a number of requests a second, over all boxes together. No counter is shared,
so the number is divided by rules that every process can evaluate alone:

- The samples of an engine are sent by one process, its sidecar, or by a gateway that hosts it. Both
  may be active for a moment when the sidecar comes back, so each has its own part.
- Calls come from all gateways. For each endpoint a few gateways, chosen by rendezvous hash, have a
  whole number of calls a second; an equal part for each gateway would be less than one.
"""

from __future__ import annotations

import threading
from collections import deque
from dataclasses import dataclass
from math import floor
from typing import TYPE_CHECKING

from threadramp.policy.routing import rendezvous

if TYPE_CHECKING:
    from collections.abc import Collection

WINDOW_S = 1.0  # the number that an endpoint bears holds for any span of this length
# Parts of the number that an engine bears. Two gateways with different member lists may host an
# engine at the same time, so a host has half of what its sidecar has.
CALLS_PART = 0.25
SIDECAR_PART = 2 / 3
HOST_PART = 1 / 3


@dataclass(frozen=True)
class ColdRate:
    """What a cold endpoint of a pool bears.

    :param per_s: requests per second by the configuration, 0 for a pool without such a limit
    :param overage: factor by which that may be exceeded
    :param slack: requests per second beyond that
    """

    per_s: float
    overage: float = 1.0
    slack: float = 0.0

    @property
    def total(self) -> int:
        """Return the requests in any second, over all boxes together."""
        return floor(self.per_s * self.overage + self.slack) if self.per_s > 0 else 0


def calls_total(total: int, has_engines: bool, serves_calls: bool) -> int:
    """Return how many of the requests of a cold endpoint are left for calls.

    :param serves_calls: whether any route sends calls to the pool
    """
    if not has_engines:
        return total
    return floor(total * CALLS_PART) if serves_calls else 0


def samples_share(total: int, serves_calls: bool, is_host: bool) -> int:
    """Return how many samples a second one process may send to a cold engine.

    :param is_host: whether it is a gateway that hosts the engine in place of its sidecar
    """
    left = total - calls_total(total, True, serves_calls)
    if is_host:
        return floor(left * HOST_PART)
    return max(min(1, left), floor(left * SIDECAR_PART))


def gateway_share(endpoint: str, gateway: str, gateways: Collection[str], total: int) -> int:
    """Return how many calls a second one gateway may send to a cold endpoint.

    The shares of all gateways add up to at most ``total``.

    :param endpoint: instance id
    :param gateways: names of all gateways that may send, including this one
    """
    ranked = rendezvous(endpoint, sorted(gateways))[:total]
    return total // len(ranked) if gateway in ranked else 0


class SlidingLimit:
    """Limits the requests in any span of one second; thread-safe.

    :param blocked_until: time before which nothing may be sent, because the process does not know
        what it sent before its start
    """

    def __init__(self, blocked_until: float = float("-inf")) -> None:
        self.blocked_until = blocked_until
        self.times: deque[float] = deque()
        self.lock = threading.Lock()

    def has_room(self, limit: int, now: float) -> bool:
        """Return whether a request may be sent now."""
        with self.lock:
            return self._has_room(limit, now)

    def take(self, limit: int, now: float) -> bool:
        """Record a request that is about to be sent; returns false if it must not be sent."""
        with self.lock:
            if not self._has_room(limit, now):
                return False
            self.times.append(now)
            return True

    def confirm(self, taken_at: float | None, limit: int, now: float) -> bool:
        """Record the time of sending for a request that was taken earlier.

        A request that was delayed for long, as by a pause of the process, needs room again.

        :param taken_at: time at which it was taken, none if it was not
        """
        with self.lock:
            self._forget(now)
            if taken_at in self.times:
                self.times.remove(taken_at)
            elif not self._has_room(limit, now):
                return False
            self.times.append(now)
            return True

    def _has_room(self, limit: int, now: float) -> bool:
        if now < self.blocked_until:
            return False
        self._forget(now)
        return len(self.times) < limit

    def _forget(self, now: float) -> None:
        while self.times and self.times[0] <= now - WINDOW_S:
            self.times.popleft()


__all__ = [
    "WINDOW_S",
    "ColdRate",
    "SlidingLimit",
    "calls_total",
    "gateway_share",
    "samples_share",
]
