"""Decides how many bytes a process holds of requests, and which request gives way.

The load that it answers: callers that send many large bodies at once, and stop before the end. A
process that exceeds its memory limit is ended, with all requests of all callers. What is held is
counted while a request arrives and while it is served. If it exceeds the limit, the requests that
arrive slowest are refused, large ones first: a caller that goes on sending is served, however many
have stopped.
"""

from __future__ import annotations

import math
import threading
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

PROCESS_BYTES = 60_000_000  # of a process that holds no requests
COPIES = 2  # of a body, while it is joined, parsed or sent
RATE_TIME_S = 1.0  # over which the rate of an arriving request is averaged
SMALL_BYTES = 65_536  # up to which a request is refused only after all larger ones
STALLED_BYTES_PER_S = 1_000.0
# What is freed beyond the excess by requests that have stalled, so that they are sorted rarely.
HEADROOM_SHARE = 0.125
DEFAULT_MAX_BYTES = 64_000_000
# What a lot takes while it is decoded and stored, beside its body: some copies of the body, and for
# each string and each object of its JSON the objects that are made of it.
LOT_COPIES = 4
STRING_BYTES = 100
OBJECT_BYTES = 2_000
LOT_SHARE = 0.125  # of the memory limit, for the samples of the lots that a process owns
DEFAULT_MAX_LOT_BYTES = 32_000_000


def max_request_bytes(memory_mb: int) -> int:
    """Return how many bytes of requests a process with this memory limit may hold."""
    return max(0, memory_mb * 1_000_000 - PROCESS_BYTES) // COPIES


def decoded_bytes(body: bytes) -> int:
    """Return an upper bound of what the strings and objects of a lot's JSON take."""
    return STRING_BYTES * body.count(b'"') // 2 + OBJECT_BYTES * body.count(b"{")


def max_lot_bytes(memory_mb: int) -> int:
    """Return how many bytes of samples a process with this memory limit may own."""
    return int(memory_mb * 1_000_000 * LOT_SHARE)


@dataclass(eq=False)
class HeldRequest:
    """What a process holds of one request.

    :param size: bytes that are held of it
    :param is_arriving: whether more of it is awaited, so that it may still be refused as not run
    :param is_refused: whether it must be refused by whoever uses it now
    :param rate: average of the bytes a second that arrived, at ``progress_at``
    :param progress_at: time at which its last bytes arrived
    """

    size: int = 0
    is_arriving: bool = True
    is_refused: bool = False
    rate: float = 0.0
    progress_at: float = 0.0

    def record(self, received: int, now: float) -> None:
        """Count bytes that arrived."""
        self.rate = self.rate_at(now) + received / RATE_TIME_S
        self.progress_at = now

    def rank(self, now: float) -> tuple[bool, float, int]:
        """Return the place in the order of refusal, the lowest first."""
        return self.size <= SMALL_BYTES, self.rate_at(now), -self.size

    def rate_at(self, now: float) -> float:
        """Return the average of the bytes a second that arrived, which fades in a pause."""
        return self.rate * math.exp(min(0.0, self.progress_at - now) / RATE_TIME_S)


class RequestBuffers:
    """Counts what is held of all requests; its methods may be called from any thread.

    :param max_bytes: of all requests together
    :param held_elsewhere: returns the bytes that the process holds for other purposes, which leave
        less for requests
    """

    def __init__(
        self, max_bytes: int = DEFAULT_MAX_BYTES, held_elsewhere: Callable[[], int] = lambda: 0
    ) -> None:
        self.max_bytes = max_bytes
        self.held_elsewhere = held_elsewhere
        self.largest_request = 0  # bytes for which there is room in calm, whatever the limit
        self.held = 0
        self.fixed = 0  # of them, those of requests that are served and of reservations
        self.reservations = 0
        self.arriving: set[HeldRequest] = set()
        self.lock = threading.Lock()

    @property
    def capacity(self) -> int:
        """Return the bytes that may be held now."""
        return max(self.largest_request, self.max_bytes - self.held_elsewhere())

    def can_fit(self, size: int) -> bool:
        """Return whether a request of this size fits once all others that arrive are refused."""
        return self.fixed + size <= self.capacity

    def resize(self, request: HeldRequest, size: int, now: float) -> list[HeldRequest]:
        """Count that an arriving request holds as many bytes; returns the ones to refuse.

        They are no longer counted then. The request itself may be among them.
        """
        with self.lock:
            if request.is_refused:
                request.is_refused = False
                return [request]
            if not request.is_arriving:
                request.is_arriving = True
                self.fixed -= request.size
            self.held += size - request.size
            request.size = size
            self.arriving.add(request)
            if self.held <= self.capacity:
                return []
            return self._refuse_some(now)

    def complete(self, request: HeldRequest) -> None:
        """Count that a request has arrived; what it holds cannot be freed until its end."""
        with self.lock:
            if request in self.arriving:
                self.arriving.discard(request)
                request.is_arriving = False
                self.fixed += request.size

    def release(self, request: HeldRequest) -> None:
        """Count that nothing of a request is held any more."""
        with self.lock:
            self._drop(request)
            request.is_refused = False

    def reserve(self, size: int) -> bool:
        """Count bytes that a served request needs beyond its own; false if there is no room.

        A request that is alone may always have them.
        """
        with self.lock:
            if self.reservations and self.held + size > self.capacity:
                return False
            self.reservations += 1
            self.held += size
            self.fixed += size
            return True

    def unreserve(self, size: int) -> None:
        """Give back bytes that were reserved."""
        with self.lock:
            self.reservations -= 1
            self.held -= size
            self.fixed -= size

    def _refuse_some(self, now: float) -> list[HeldRequest]:
        capacity = self.capacity
        enough = capacity * (1 - HEADROOM_SHARE)
        refused = []
        for request in sorted(self.arriving, key=lambda one: one.rank(now)):
            is_stalled = request.rate_at(now) < STALLED_BYTES_PER_S
            if self.held <= (enough if is_stalled else capacity):
                break
            if request.size:
                self._drop(request)
                request.is_refused = True
                refused.append(request)
        return refused

    def _drop(self, request: HeldRequest) -> None:
        self.held -= request.size
        if not request.is_arriving:
            self.fixed -= request.size
        request.size = 0
        request.is_arriving = True
        self.arriving.discard(request)


__all__ = [
    "DEFAULT_MAX_BYTES",
    "DEFAULT_MAX_LOT_BYTES",
    "LOT_COPIES",
    "OBJECT_BYTES",
    "STALLED_BYTES_PER_S",
    "HeldRequest",
    "RequestBuffers",
    "decoded_bytes",
    "max_lot_bytes",
    "max_request_bytes",
]
