"""What a process sees of an endpoint that broke a connection while it owed an answer."""

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

    from threadramp.fleet.model import Start

# All connections to an endpoint that ends break within some ms; threads that wait for a processor
# notice a little later.
OTHERS_S = 0.1
OTHERS_LOOK_S = 0.005


@dataclass(frozen=True)
class Signs:
    """What one request tells of its break.

    :param lived_s: seconds from its sending until the break
    :param kept: whether its connection was a kept one
    :param own: exchanges of this request that still count as open at the endpoint
    :param open_there: returns the requests of this process that are open at the endpoint
    """

    lived_s: float
    kept: bool
    own: int
    open_there: Callable[[], int]


@dataclass(frozen=True)
class Look:
    """What a new connection showed, and after how long."""

    state: EndpointState
    took_s: float


def timed_probe(address: str, look: Callable[[str], EndpointState] = probe_endpoint) -> Look:
    """Look at an endpoint and return how long it took to show what it did.

    Where it breaks a connection it is looked at once more, and the longer look counts.
    """
    first = _timed(address, look)
    if first.state is not EndpointState.BREAKS:
        return first
    second = _timed(address, look)
    return Look(second.state, max(first.took_s, second.took_s))


def _timed(address: str, look: Callable[[str], EndpointState]) -> Look:
    began = steady_s()
    state = look(address)
    return Look(state, steady_s() - began)


class Breaking:
    """Breaks that are being looked at; their exchanges may still be counted as open."""

    def __init__(self) -> None:
        self.looking: Counter[Start] = Counter()
        self.counted: Counter[Start] = Counter()
        self.answered: set[Start] = set()
        self.lock = Lock()

    @contextmanager
    def looked_at(self, start: Start, signs: Signs) -> Iterator[None]:
        """Count a request as broken while it is looked at."""
        with self.lock:
            self.looking[start] += 1
            self.counted[start] += signs.own
        try:
            yield
        finally:
            self._looked(start, signs)

    def note_answer(self, start: Start) -> None:
        """Note an answer of an endpoint; it counts if a break of it is being looked at."""
        if start in self.looking:
            with self.lock:
                self.answered.add(start)

    def others_go_on(self, start: Start, signs: Signs) -> bool:
        """Return whether other requests stay open or are answered there, after a short wait."""
        until = steady_s() + OTHERS_S
        while signs.open_there() > self.counted[start]:
            if steady_s() > until:
                return True
            time.sleep(OTHERS_LOOK_S)
        return start in self.answered

    def _looked(self, start: Start, signs: Signs) -> None:
        with self.lock:
            self.looking[start] -= 1
            self.counted[start] -= signs.own
            if not self.looking[start]:
                del self.looking[start], self.counted[start]
                self.answered.discard(start)


__all__ = ["Breaking", "Look", "Signs", "timed_probe"]
