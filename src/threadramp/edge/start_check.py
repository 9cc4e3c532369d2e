"""Checks whether an endpoint still runs as the start that a request was sent to.

A response without a length ends with its connection. The kernel also closes the connections of a
process that was killed, so a regular close alone does not show that such a response is complete.
"""

from __future__ import annotations

import time
from enum import Enum
from http.client import HTTPException
from typing import TYPE_CHECKING

from urllib3.exceptions import HTTPError

from threadramp.edge.exchange import is_connection_error
from threadramp.fleet.clock import steady_s
from threadramp.platform.engine import REPORT_PATH, read_report
from threadramp.platform.headers import (
    EXPECT_INSTANCE,
    INSTANCE,
    OTHER_INSTANCE_STATUS,
    read_answer,
)
from threadramp.policy.proxied_crashes import CrashResolution, resolve_crash
from threadramp.wire.response_limits import BoundedConnection

if TYPE_CHECKING:
    from collections.abc import Mapping

    from threadramp.fleet.model import Endpoint

CHECK_TIMEOUT_S = 0.5  # a report takes no slot
RETRY_PAUSE_S = 0.05  # an endpoint with many connections resets those beyond its limit
MIN_ATTEMPT_S = 0.01
SERVER_ERROR = 500


class StartState(Enum):
    """What an endpoint shows right after it closed a connection; the values are logged.

    ``SILENT``: it holds a new connection open without a valid response. A plain service may let the
    check wait for a slot.
    """

    SAME = "same"
    OTHER = "other start"
    ENDED = "ended"
    BREAKS = "breaks"
    SILENT = "silent"
    UNREACHABLE = "unreachable"


def check_start(endpoint: Endpoint, timeout_s: float = CHECK_TIMEOUT_S) -> StartState:
    """Request an endpoint's report on a new connection, and again if that is broken.

    :param timeout_s: for all attempts together
    """
    deadline = steady_s() + timeout_s
    while True:
        state = _check_once(endpoint, max(MIN_ATTEMPT_S, deadline - steady_s()))
        if state is not StartState.BREAKS or steady_s() + RETRY_PAUSE_S >= deadline:
            return state
        time.sleep(RETRY_PAUSE_S)


def _check_once(endpoint: Endpoint, timeout_s: float) -> StartState:
    host, _, port = endpoint.address.partition(":")
    connection = BoundedConnection(host, int(port), timeout=timeout_s)
    try:
        connection.connect()
    except (OSError, HTTPError) as error:
        cause = error.__cause__ or error
        if isinstance(cause, ConnectionRefusedError):
            return StartState.ENDED
        is_break = isinstance(cause, ConnectionError)
        return StartState.BREAKS if is_break else StartState.UNREACHABLE
    headers = {"Host": endpoint.address, EXPECT_INSTANCE: endpoint.instance, "Connection": "close"}
    try:
        connection.request("GET", REPORT_PATH, headers=headers, preload_content=False)
        response = connection.getresponse()
        body = response.read(decode_content=False)
    except (OSError, HTTPError, HTTPException, ValueError, AttributeError) as error:
        return StartState.BREAKS if is_connection_error(error) else StartState.SILENT
    finally:
        connection.close()
    return _read_state(endpoint, response.status, response.headers, body)


def _read_state(
    endpoint: Endpoint, status: int, headers: Mapping[str, str], body: bytes
) -> StartState:
    if status == OTHER_INSTANCE_STATUS:
        return StartState.OTHER
    if status >= SERVER_ERROR and not read_answer(status, headers).not_run:
        return StartState.BREAKS  # a reverse proxy responds so for an endpoint that is down
    if headers.get(INSTANCE, endpoint.instance) != endpoint.instance:
        return StartState.OTHER
    resolution = resolve_crash(endpoint.born, _start_time(status, body))
    return StartState.SAME if resolution is CrashResolution.ALIVE else StartState.OTHER


def _start_time(status: int, body: bytes) -> int:
    try:
        return read_report(body).born if status == 200 else 0
    except ValueError:
        return 0


__all__ = ["CHECK_TIMEOUT_S", "SERVER_ERROR", "StartState", "check_start"]
