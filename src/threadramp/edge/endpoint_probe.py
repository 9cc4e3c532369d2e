"""Tells an endpoint that has ended from one whose connection was cut.

A reset or a close looks alike for a crash, for a cut link and for a queue that is too long. What
tells them apart is the port: where the process has ended, the box refuses connections at once.
Behind a front that goes on listening it does not: connections are accepted, and broken at once or
when something is asked, or the front answers for its endpoint. So the endpoint is asked for its
report, and what tells for sure is the birth that it reports once it answers again.
"""

from __future__ import annotations

import socket
from enum import Enum
from http.client import HTTPException, HTTPResponse

from urllib3.connection import HTTPConnection
from urllib3.exceptions import HTTPError

from threadramp.fleet.clock import steady_s
from threadramp.platform.engine import REPORT_PATH, read_report

LOOK_S = 0.1  # a box that lives answers within its round trip; one that is dark tells nothing
BROKEN_WITHIN_S = 0.02  # a front that finds nobody behind it breaks a connection at once
LEAST_S = 0.01  # for a report, however long its connection took
ASK_S = 0.3  # for a report, which takes no slot
SERVER_ERROR = 500


class EndpointState(Enum):
    """What a new connection to an endpoint shows."""

    ENDED = "ended"
    BREAKS = "breaks"  # it accepts a connection and gives no answer of the endpoint on it
    LISTENS = "listens"
    UNKNOWN = "unknown"


def probe_endpoint(address: str, timeout_s: float = LOOK_S, asks: bool = True) -> EndpointState:
    """Return whether the process that listens at an address answers.

    :param asks: whether to request its report; a plain service of our own interface has none and
        would run that as a request that nobody sent
    """
    host, _, port = address.partition(":")
    began = steady_s()
    try:
        connection = socket.create_connection((host, int(port)), timeout_s)
    except ConnectionRefusedError:
        return EndpointState.ENDED
    except ConnectionError:  # taken and broken before this process saw that it was taken
        return EndpointState.BREAKS
    except OSError:  # no answer, or no way there: it may live
        return EndpointState.UNKNOWN
    with connection:
        if not asks:
            return _probe_silently(connection, min(BROKEN_WITHIN_S, timeout_s))
        return _probe_report(connection, address, max(LEAST_S, timeout_s - (steady_s() - began)))


def probe_without_request(address: str) -> EndpointState:
    """Probe an endpoint by a new connection on which nothing is sent."""
    return probe_endpoint(address, asks=False)


def _probe_silently(connection: socket.socket, wait_s: float) -> EndpointState:
    """Wait a moment for the endpoint to close an accepted connection."""
    connection.settimeout(wait_s)
    try:
        said = connection.recv(1)
    except TimeoutError:
        return EndpointState.LISTENS
    except OSError:
        return EndpointState.BREAKS
    return EndpointState.LISTENS if said else EndpointState.BREAKS


def _probe_report(connection: socket.socket, address: str, wait_s: float) -> EndpointState:
    """Ask an endpoint for its report on a new connection and return what that shows."""
    connection.settimeout(wait_s)
    request = f"GET {REPORT_PATH} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n\r\n"
    try:
        connection.sendall(request.encode())
        response = HTTPResponse(connection)
        response.begin()
    except TimeoutError:  # it is busy, or dark
        return EndpointState.LISTENS
    except (OSError, HTTPException):
        return EndpointState.BREAKS
    # A front answers with a server error for an endpoint that is down.
    return EndpointState.BREAKS if response.status >= SERVER_ERROR else EndpointState.LISTENS


def born_at(address: str, timeout_s: float = ASK_S) -> int | None:
    """Return the birth that an endpoint tells, 0 if it tells none, none if it does not answer."""
    host, _, port = address.partition(":")
    connection = HTTPConnection(host, int(port), timeout=timeout_s)
    try:
        connection.request("GET", REPORT_PATH, headers={"Host": address}, preload_content=False)
        answer = connection.getresponse()
        body = answer.read(decode_content=False)
    except (OSError, HTTPError, ValueError):
        return None
    finally:
        connection.close()
    return _birth(answer.status, body)


def _birth(status: int, body: bytes) -> int | None:
    if status >= SERVER_ERROR:  # a front says so for an endpoint that is down
        return None
    try:
        return read_report(body).born if status == 200 else 0
    except ValueError:
        return 0


__all__ = ["LOOK_S", "EndpointState", "born_at", "probe_endpoint", "probe_without_request"]
