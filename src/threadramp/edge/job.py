"""A request to forward, and its outcome."""

from __future__ import annotations

import socket
from dataclasses import dataclass
from enum import Enum
from functools import cached_property
from typing import TYPE_CHECKING

from threadramp.edge.connection_pool import is_readable
from threadramp.platform.headers import caller_of
from threadramp.policy.callers import UNIDENTIFIED
from threadramp.policy.fingerprint import OWED_METHOD, fingerprint

if TYPE_CHECKING:
    from threadramp.edge.exchange import EndpointResponse
    from threadramp.fleet.model import Route
    from threadramp.policy.callers import Caller


class Ending(Enum):
    """How a forwarded request ended; ``CUT`` is a stream that began and could not continue."""

    ANSWERED = "answered"
    NOT_RUN = "not run"
    UNKNOWN = "unknown"
    TIMED_OUT = "time over"
    CALLER_DISCONNECTED = "caller gone"
    STREAMED = "streamed"
    CUT = "cut"


@dataclass(frozen=True)
class Job:
    """A request to forward.

    :param target: path and query, as the caller sent them
    :param deadline: time at which the caller gets a final response in any case
    :param caller_socket: socket of the caller, watched for a disconnect; none if nobody waits
    :param retry_errors: whether a status 500 is retried at another endpoint; else it is passed on
    :param identity: who sent the request
    :param arrived_at: time at which its first bytes had arrived
    :param owed: whether it is work of an accepted lot, whose sender repeats it until it is answered
    """

    request_id: str
    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    route: Route
    deadline: float
    caller_socket: socket.socket | None = None
    retry_errors: bool = True
    identity: Caller = UNIDENTIFIED
    arrived_at: float = 0.0
    owed: bool = False

    @cached_property
    def fingerprint(self) -> bytes:
        """Return the fingerprint of this request, which does not depend on its id."""
        known = self.identity.organisation
        caller = caller_of(self.headers) if known is None else known
        method = OWED_METHOD if self.owed else self.method
        return fingerprint(self.route.host, method, self.target, caller, self.body)


@dataclass(frozen=True)
class Outcome:
    """The outcome of forwarding a job.

    :param response: response of the endpoint, if there is one to pass on
    :param first_event_s: seconds until a stream's first event was passed on, none if none was
    """

    ending: Ending
    response: EndpointResponse | None = None
    retry_after_s: float = 0.0
    first_event_s: float | None = None


def is_disconnected(caller: socket.socket) -> bool:
    """Return whether the caller closed its connection."""
    try:
        if not is_readable(
            caller.fileno()
        ):  # a socket with a time-out would wait in the call below
            return False
        return caller.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT) == b""
    except BlockingIOError:
        return False
    except OSError:
        return True


__all__ = ["Ending", "Job", "Outcome", "is_disconnected"]
