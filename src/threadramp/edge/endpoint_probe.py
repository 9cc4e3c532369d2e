"""Tells an endpoint that has ended from one whose connection was cut.

A reset or a close looks alike for a crash, for a cut link and for a queue that is too long. What
tells them apart is the port: where the process has ended, the box refuses connections at once.
"""

from __future__ import annotations

import socket
from enum import Enum

LOOK_S = 0.1  # a box that lives answers within its round trip; one that is dark tells nothing


class EndpointState(Enum):
    """What a new connection to an endpoint shows."""

    ENDED = "ended"
    LISTENS = "listens"
    UNKNOWN = "unknown"


def look_at(address: str, timeout_s: float = LOOK_S) -> EndpointState:
    """Return whether a process still listens at an address."""
    host, _, port = address.partition(":")
    try:
        socket.create_connection((host, int(port)), timeout_s).close()
    except ConnectionRefusedError:
        return EndpointState.ENDED
    except OSError:  # no answer, no way there, or reset by a full queue: it may live
        return EndpointState.UNKNOWN
    return EndpointState.LISTENS


__all__ = ["LOOK_S", "EndpointState", "look_at"]
