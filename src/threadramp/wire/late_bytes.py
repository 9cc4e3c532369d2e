"""Sockets whose undelivered bytes are dropped by the kernel, even after their process has ended.

Sent bytes stay queued in the kernel until the peer acknowledges them, for minutes during a network
partition, even if the process has ended or is paused meanwhile. Where they must not arrive after
another box has taken over, the kernel itself has to drop them.
"""

from __future__ import annotations

import socket
import struct
from typing import TYPE_CHECKING

from threadramp.report.log import log_state

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

RESET_AT_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER: also applies if the process is killed
MS_PER_S = 1000


class TooLateError(Exception):
    """Raised if a request may no longer be sent; no complete request was sent."""


def body_in_time(body: bytes, may_send: Callable[[], bool]) -> Iterator[bytes]:
    """Yield the body of a request only if the request may still be sent.

    A request is incomplete without its body. The check runs now and again right before the body is
    sent, because the process may be paused at any point in between.

    :raises TooLateError: if it may no longer be sent
    """
    _check(may_send)
    return _pieces(body, may_send)


def _pieces(body: bytes, may_send: Callable[[], bool]) -> Iterator[bytes]:
    _check(may_send)
    yield body


def _check(may_send: Callable[[], bool]) -> None:
    if not may_send():
        raise TooLateError


def drop_what_is_late(sock: socket.socket, seconds: float) -> None:
    """Let the kernel drop bytes that the peer does not acknowledge in time, or at the close."""
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_AT_CLOSE)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, int(seconds * MS_PER_S))
    except OSError as error:  # a late delivery is possible then; not sending would be worse
        log_state("late_bytes_not_dropped", error=str(error))


__all__ = ["TooLateError", "body_in_time", "drop_what_is_late"]
