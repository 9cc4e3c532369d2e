"""Decides how many connections of callers a process keeps open, and which it closes first.

The load that it answers: thousands of connections on which nothing or half a request arrives. Each
needs a descriptor, and a process without free descriptors accepts nobody. What has waited longest
without a request is closed for a new connection; a request that goes on arriving is kept.
"""

from __future__ import annotations

import heapq
from dataclasses import dataclass
from typing import TYPE_CHECKING

from threadramp.policy.request_buffers import STALLED_BYTES_PER_S

if TYPE_CHECKING:
    from collections.abc import Iterable

    from threadramp.policy.request_buffers import HeldRequest

FILE_DESCRIPTORS = 200  # that the platform reserves for files
CALLER_SHARE = 0.5  # of the other descriptors; endpoints, peers and the store need the rest
# An open connection takes about 20 KB here; all of them together may have this part of the memory.
CONNECTION_BYTES = 20_000
MEMORY_SHARE = 0.125
MIN_CONNECTIONS = 32
# At an address that only the platform asks, with requests without a body:
PROBE_CONNECTIONS = 64
PROBE_BYTES = 1_000_000  # of all requests


@dataclass(eq=False)
class WaitingConnection:
    """A connection on which the next bytes are awaited.

    :param since: time of its last response, or at which the request that arrives began
    :param request: what arrives
    """

    since: float
    request: HeldRequest

    def age_s(self, now: float) -> float:
        """Return for how long nothing useful has arrived."""
        arrives = self.request.rate_at(now) >= STALLED_BYTES_PER_S
        return 0.0 if arrives else now - self.since


def max_connections(max_fds: int, memory_mb: int) -> int:
    """Return how many connections of callers a process may keep open."""
    by_descriptors = int((max_fds - FILE_DESCRIPTORS) * CALLER_SHARE)
    by_memory = int(memory_mb * 1_000_000 * MEMORY_SHARE / CONNECTION_BYTES)
    return max(MIN_CONNECTIONS, min(by_descriptors, by_memory))


def connections_to_close(
    waiting: Iterable[WaitingConnection], excess: int, now: float
) -> list[WaitingConnection]:
    """Return the connections to close: those that have waited longest."""
    return heapq.nlargest(excess, waiting, key=lambda one: one.age_s(now))


__all__ = [
    "MIN_CONNECTIONS",
    "PROBE_BYTES",
    "PROBE_CONNECTIONS",
    "WaitingConnection",
    "connections_to_close",
    "max_connections",
]
