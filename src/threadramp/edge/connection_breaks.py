"""What is known of an endpoint that broke a connection before its response was complete."""

from __future__ import annotations

import time
from collections import Counter
from contextlib import contextmanager
from dataclasses import dataclass
from threading import Lock
from typing import TYPE_CHECKING

from threadramp.edge.endpoint_probe import EndpointState, probe_endpoint
from threadramp.fleet.clock import steady_s

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from threadramp.fleet.model import Incarnation

# All connections to a crashing endpoint break within some ms; threads that wait for a CPU notice a
# little later.
OTHERS_WAIT_S = 0.1
OTHERS_POLL_S = 0.005


@dataclass(frozen=True)
class BrokenExchange:
    """A broken connection as one request saw it.

    :param sent_ago_s: seconds from sending the request until the break
    :param reused: whether the connection was a reused one
    :param own_open: exchanges of this request that still count as open at the endpoint
    :param count_open: returns the number of requests of this process open at the endpoint
    """

    sent_ago_s: float
    reused: bool
    own_open: int
    count_open: Callable[[], int]


@dataclass(frozen=True)
class ProbeResult:
    """The state that a probe found, and the seconds that it took."""

    state: EndpointState
    took_s: float


def timed_probe(
    address: str, probe: Callable[[str], EndpointState] = probe_endpoint
) -> ProbeResult:
    """Probe an endpoint and return its state and the duration.

    If the endpoint breaks the connection it is probed once more, and the longer duration counts.
    """
    first = _measure(address, probe)
    if first.state is not EndpointState.BREAKS:
        return first
    second = _measure(address, probe)
    return ProbeResult(second.state, max(first.took_s, second.took_s))


def _measure(address: str, probe: Callable[[str], EndpointState]) -> ProbeResult:
    started_at = steady_s()
    state = probe(address)
    return ProbeResult(state, steady_s() - started_at)


class PendingBreaks:
    """Breaks whose endpoint is being probed; their exchanges may still be counted as open."""

    def __init__(self) -> None:
        self.pending: Counter[Incarnation] = Counter()
        self.pending_open: Counter[Incarnation] = Counter()
        self.responded: set[Incarnation] = set()
        self.lock = Lock()

    @contextmanager
    def probing(self, incarnation: Incarnation, broken: BrokenExchange) -> Iterator[None]:
        """Count a request as broken while its endpoint is probed."""
        with self.lock:
            self.pending[incarnation] += 1
            self.pending_open[incarnation] += broken.own_open
        try:
            yield
        finally:
            self._finish_probe(incarnation, broken)

    def record_response(self, incarnation: Incarnation) -> None:
        """Record a response of an endpoint if a break of it is being probed."""
        if incarnation in self.pending:
            with self.lock:
                self.responded.add(incarnation)

    def others_still_active(self, incarnation: Incarnation, broken: BrokenExchange) -> bool:
        """Return whether other requests stay open or got a response there, after a short wait."""
        deadline = steady_s() + OTHERS_WAIT_S
        while broken.count_open() > self.pending_open[incarnation]:
            if steady_s() > deadline:
                return True
            time.sleep(OTHERS_POLL_S)
        return incarnation in self.responded

    def _finish_probe(self, incarnation: Incarnation, broken: BrokenExchange) -> None:
        with self.lock:
            self.pending[incarnation] -= 1
            self.pending_open[incarnation] -= broken.own_open
            if not self.pending[incarnation]:
                del self.pending[incarnation], self.pending_open[incarnation]
                self.responded.discard(incarnation)


__all__ = ["BrokenExchange", "PendingBreaks", "ProbeResult", "timed_probe"]
