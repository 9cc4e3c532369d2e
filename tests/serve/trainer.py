"""A trainer that submits lots as the users' clients do, and writes down each attempt."""

from __future__ import annotations

import time
from dataclasses import dataclass
from typing import TYPE_CHECKING

from urllib3 import HTTPConnectionPool, Timeout
from urllib3.exceptions import HTTPError

from tests.serve.fleet import HOST, PORTS, bearer

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from tests.serve.fleet import Box

NO_ANSWER = 0  # in the place of a status
REFUSALS = frozenset((408, 421, 429, 503))  # each promises that nothing of the lot runs
CONNECT_TIMEOUT_S = 1.0
MIN_ATTEMPT_S = 0.2  # with less time left no attempt is made
MIN_PAUSE_S = 0.05  # between two attempts
CHUNK_BYTES = 16_384


@dataclass(frozen=True)
class Attempt:
    """One attempt to submit a lot.

    :param status: of the response; 0 if there was none
    :param took_s: until the response, or until it was clear that there is none
    """

    gateway: str
    status: int
    took_s: float = 0.0
    retry_after_s: float = 0.0


def is_refused(attempts: Sequence[Attempt]) -> bool:
    """Return whether every attempt promised that nothing of the lot runs."""
    return bool(attempts) and {attempt.status for attempt in attempts} <= REFUSALS


def attempt(
    gateway: Box, lot: str, body: bytes, left_s: float, is_chunked: bool = False
) -> Attempt:
    """Submit a lot once, on a connection of its own."""
    headers = {
        "Host": HOST,
        "X-Attempt-Id": lot,
        "X-Deadline-Ms": str(int(left_s * 1000)),
        "Content-Type": "application/json",
        **bearer(gateway.key),
    }
    timeout = Timeout(connect=min(CONNECT_TIMEOUT_S, left_s), read=left_s)
    began = time.monotonic()
    status, retry_after_s = NO_ANSWER, 0.0
    with HTTPConnectionPool(gateway.ip, PORTS["front"], retries=False) as pool:
        try:
            response = pool.urlopen(
                "POST", f"/lots/{lot}", body=_chunks(body) if is_chunked else body,
                headers=headers, timeout=timeout, redirect=False, chunked=is_chunked,
            )  # fmt: skip
            status = response.status
            retry_after_s = float(response.headers.get("Retry-After", "0"))
        except (HTTPError, OSError):
            pass  # no answer: it promises nothing
    return Attempt(gateway.name, status, time.monotonic() - began, retry_after_s)


def submit(
    gateways: Sequence[Box], lot: str, body: bytes, within_s: float, is_chunked: bool = False
) -> list[Attempt]:
    """Submit a lot at one gateway after the other until it is accepted or the time is over."""
    deadline = time.monotonic() + within_s
    attempts: list[Attempt] = []
    while (left_s := deadline - time.monotonic()) > MIN_ATTEMPT_S:
        gateway = gateways[len(attempts) % len(gateways)]
        attempts.append(attempt(gateway, lot, body, left_s, is_chunked))
        if attempts[-1].status == 202:
            break
        left_s = max(0.0, deadline - time.monotonic())
        time.sleep(min(max(MIN_PAUSE_S, attempts[-1].retry_after_s), left_s / 3))
    return attempts


def _chunks(body: bytes) -> Iterable[bytes]:
    return [body[start : start + CHUNK_BYTES] for start in range(0, len(body), CHUNK_BYTES)]


__all__ = ["NO_ANSWER", "REFUSALS", "Attempt", "attempt", "is_refused", "submit"]
