"""What the kernel knows about the delivery of bytes that were sent on a connection."""

from __future__ import annotations

import fcntl
import select
import socket
import struct
import termios

TCP_INFO_BYTES = 256
STATE_OFFSET = 0  # in struct tcp_info
BYTES_ACKED_OFFSET = 120
CLOSED_STATE = 7  # TCP_CLOSE
RESET_WAIT_MS = 50  # a peer that closed its socket answers more bytes with a reset


def acked_bytes(sock: socket.socket) -> int:
    """Return how many bytes the peer's kernel has acknowledged, 0 if that is not known."""
    return _state_and_acked(sock)[1]


def is_delivered(sock: socket.socket) -> bool:
    """Return whether the peer's kernel has acknowledged all bytes that were sent."""
    try:
        queued = fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, bytes(4))
    except OSError:
        return False
    return not any(queued)


def was_closed_before(sock: socket.socket, acked_before: int) -> bool:
    """Return whether the peer had closed its socket before any byte after ``acked_before`` came.

    Its end of the stream acknowledges all bytes that had arrived by then, and the bytes that
    arrive later are answered with a reset. An end of the stream alone is not enough: a peer that
    read the request may close as well.

    :param sock: on which the end of the stream was read, and not a reset: a peer that resets with
        bytes unread acknowledges nothing either
    """
    if not acked_before:
        return False
    poll = select.poll()
    poll.register(sock.fileno(), 0)  # errors only
    poll.poll(RESET_WAIT_MS)
    return _state_and_acked(sock) == (CLOSED_STATE, acked_before)


def _state_and_acked(sock: socket.socket) -> tuple[int, int]:
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES)
        return info[STATE_OFFSET], struct.unpack_from("=Q", info, BYTES_ACKED_OFFSET)[0]
    except (OSError, struct.error):
        return 0, 0


__all__ = ["acked_bytes", "is_delivered", "was_closed_before"]
