"""Distinguishes a crashed endpoint from one whose connection was cut.

A reset or close looks the same for a crash, a network failure and a full accept queue. The port
tells them apart: when the process has ended, its box refuses connections at once.

A reverse proxy in front of the endpoint keeps its port open. It accepts connections and closes them
at once or at the first request, or it responds itself with an error. So the probe requests the
endpoint's report. Only the start time in the report, once the endpoint responds again, is proof.
"""

from __future__ import annotations

import socket
from enum import Enum
from http.client import HTTPException

from urllib3.exceptions import HTTPError

from threadramp.fleet.clock import steady_s
from threadramp.platform.engine import REPORT_PATH, read_report
from threadramp.wire.response_limits import (
    BoundedConnection,
    BoundedResponse,
    ends_with_connection,
)

# A reachable box responds within one round trip; an unreachable one does not respond at all.
PROBE_TIMEOUT_S = 0.1
CLOSE_WAIT_S = 0.02  # a reverse proxy without a backend closes at once
MIN_REPORT_WAIT_S = 0.01  # for the report, however long connecting took
REPORT_TIMEOUT_S = 0.3  # for the report, which takes no slot
STATUS_OK = 200
SERVER_ERROR = 500


class EndpointState(Enum):
    """What a new connection to an endpoint shows; the values are logged.

    ``ENDED`` means that the connection is refused, ``LISTENS`` that the endpoint is alive or at
    least did not break the connection, ``UNKNOWN`` that it could not be reached.
    """

    ENDED = "ended"
    BREAKS = "breaks"  # accepts a connection, but gives no response of the endpoint
    LISTENS = "listens"
    UNKNOWN = "unknown"


def probe_endpoint(
    address: str, timeout_s: float = PROBE_TIMEOUT_S, sends_request: bool = True
) -> EndpointState:
    """Probe an address with a new connection and return the state of the endpoint there.

    :param sends_request: whether to request its report; a plain service of our own interface has
        none and would run this as a request that nobody sent
    """
    host, _, port = address.partition(":")
    started_at = steady_s()
    try:
        connection = socket.create_connection((host, int(port)), timeout_s)
    except ConnectionRefusedError:
        return EndpointState.ENDED
    except ConnectionError:  # accepted and reset before connect returned
        return EndpointState.BREAKS
    except OSError:  # timeout or no route; the box is unreachable, but the endpoint may be alive
        return EndpointState.UNKNOWN
    with connection:
        if not sends_request:
            return _wait_for_close(connection, min(CLOSE_WAIT_S, timeout_s))
        return _probe_report(
            connection, address, max(MIN_REPORT_WAIT_S, timeout_s - (steady_s() - started_at))
        )


def probe_without_request(address: str) -> EndpointState:
    """Probe an endpoint with a new connection on which nothing is sent."""
    return probe_endpoint(address, sends_request=False)


def _wait_for_close(connection: socket.socket, wait_s: float) -> EndpointState:
    """Wait briefly for the endpoint to close an accepted connection."""
    connection.settimeout(wait_s)
    try:
        data = connection.recv(1)
    except TimeoutError:
        return EndpointState.LISTENS
    except OSError:
        return EndpointState.BREAKS
    return EndpointState.LISTENS if data else EndpointState.BREAKS


def _probe_report(connection: socket.socket, address: str, wait_s: float) -> EndpointState:
    """Request the endpoint's report on a new connection and return the state it shows."""
    connection.settimeout(wait_s)
    request = f"GET {REPORT_PATH} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n\r\n"
    try:
        connection.sendall(request.encode())
        response = BoundedResponse(connection, head_deadline=steady_s() + wait_s)
        response.begin()
    except (TimeoutError, HTTPError):  # busy, unreachable, or alive and in trouble
        return EndpointState.LISTENS
    except (OSError, HTTPException):
        return EndpointState.BREAKS
    # A reverse proxy responds with a server error for an endpoint that is down.
    return EndpointState.BREAKS if response.status >= SERVER_ERROR else EndpointState.LISTENS


def fetch_start_time(address: str, timeout_s: float = REPORT_TIMEOUT_S) -> int | None:
    """Return the start time that an endpoint reports, in milliseconds since the epoch.

    It is 0 if the endpoint reports no start time, and none if it does not respond.
    """
    host, _, port = address.partition(":")
    connection = BoundedConnection(host, int(port), timeout=timeout_s)
    try:
        connection.request("GET", REPORT_PATH, headers={"Host": address}, preload_content=False)
        response = connection.getresponse()
        body = response.read(decode_content=False)
    except (OSError, HTTPError, HTTPException, ValueError):
        return None
    finally:
        connection.close()
    return _parse_start_time(response.status, body, ends_with_connection(response))


def _parse_start_time(status: int, body: bytes, may_be_cut: bool) -> int | None:
    """Return the start time in a report, 0 for another response, none if there was no whole one.

    :param may_be_cut: whether an early end of the body would not show
    """
    if status >= SERVER_ERROR:  # from a reverse proxy, for an endpoint that is down
        return None
    try:
        return read_report(body).born if status == STATUS_OK else 0
    except ValueError:
        return None if may_be_cut else 0


__all__ = [
    "PROBE_TIMEOUT_S",
    "EndpointState",
    "fetch_start_time",
    "probe_endpoint",
    "probe_without_request",
]
