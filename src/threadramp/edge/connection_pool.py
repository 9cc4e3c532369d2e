"""A pool of HTTP connections to endpoints."""

from __future__ import annotations

import select
import socket
import threading
from collections import deque
from contextlib import suppress
from dataclasses import dataclass
from typing import TYPE_CHECKING

from urllib3.exceptions import HTTPError

from threadramp.edge.endpoint_connection import SURPLUS_SAMPLE_BYTES, EndpointConnection
from threadramp.edge.exchange import Exchange, ExchangeError
from threadramp.platform.headers import named_id

if TYPE_CHECKING:
    from collections.abc import Callable

    from threadramp.edge.exchange import EndpointResponse
    from threadramp.fleet.model import Endpoint, Incarnation

CONNECT_TIMEOUT_S = 0.3  # a healthy endpoint accepts within a few ms, across regions within tens
DEFAULT_IDLE_S = 3.0  # how long a connection is reused if the endpoint announces no time
IDLE_MARGIN_S = 1.0  # subtracted from the announced time
MAX_IDLE_S = 30.0  # upper bound for any announced time


@dataclass(frozen=True, eq=False)
class _IdleConnection:
    connection: EndpointConnection
    expires_at: float


class ConnectionPool:
    """Opens connections to endpoints and reuses idle ones.

    :param count: increments a counter by kind and label
    """

    def __init__(self, count: Callable[[str, str], None] = lambda kind, label: None) -> None:
        self.idle: dict[Incarnation, deque[_IdleConnection]] = {}
        self.lock = threading.Lock()
        self.opened = 0
        self.count = count

    def acquire(
        self,
        endpoint: Endpoint,
        now: float,
        timeout_s: float,
        force_new: bool = False,
        request_id: str = "",
    ) -> Exchange:
        """Return an exchange on an idle or a new connection.

        :param force_new: whether to skip idle connections, which may be unresponsive
        :param request_id: skips connections that carried this id: they may repeat its response
        :raises ExchangeError: if the endpoint cannot be reached
        """
        reused = None if force_new else self._take_idle(endpoint, now, request_id)
        connect_timeout_s = min(CONNECT_TIMEOUT_S, timeout_s)
        if reused is not None:
            reused.timeout = connect_timeout_s
            return Exchange(endpoint, reused, True)
        host, _, port = endpoint.address.partition(":")
        connection = EndpointConnection(host, int(port), connect_timeout_s)
        try:
            connection.connect()
        except (OSError, HTTPError) as error:
            connection.close()
            refused = isinstance(error.__cause__ or error, ConnectionRefusedError)
            raise ExchangeError(False, repr(error), refused=refused) from error
        with self.lock:
            self.opened += 1
        return Exchange(endpoint, connection, False)

    def release(
        self, exchange: Exchange, response: EndpointResponse, now: float, max_idle: int = 1
    ) -> None:
        """Return the connection of an exchange to the pool, its response read completely.

        :param max_idle: number of idle connections to keep to this endpoint
        """
        if exchange.duplicates:  # this response may be repeated as well
            self.count("answer_not_own", "named")
            exchange.connection.close()
            return
        # An endpoint that names no id would not name it in the next response either.
        lacks_id = exchange.request_id and not response.head.request_id
        if response.head.leaving or lacks_id or exchange.connection.sock is None:
            exchange.connection.close()
            return
        if not exchange.connection.is_request_delivered:
            exchange.close()  # where the rest of the body is due, other bytes would arrive
            return
        surplus = exchange.connection.read_surplus()
        if surplus:
            self._discard_with_surplus(exchange, surplus, "behind an answer")
            return
        expires_at = now + _idle_timeout_s(response)
        with self.lock:
            queue = self.idle.setdefault(exchange.endpoint.incarnation, deque())
            if len(queue) < max_idle:
                queue.append(_IdleConnection(exchange.connection, expires_at))
                return
        exchange.connection.close()

    def retain_only(self, incarnations: set[Incarnation]) -> None:
        """Close the idle connections of all other incarnations."""
        for gone in [one for one in list(self.idle) if one not in incarnations]:
            self.close_idle(gone)

    def close_idle(self, incarnation: Incarnation) -> None:
        """Close the idle connections of one incarnation of an endpoint."""
        with self.lock:
            queue = self.idle.pop(incarnation, ())
        for idle in queue:
            idle.connection.close()

    def _take_idle(
        self, endpoint: Endpoint, now: float, request_id: str
    ) -> EndpointConnection | None:
        """Take an idle connection that has not carried this id, none if there is none."""
        while True:
            with self.lock:
                queue = self.idle.get(endpoint.incarnation, deque())
                fitting = (
                    one for one in reversed(queue) if request_id not in one.connection.request_ids
                )
                idle = next(fitting, None)
                if idle is None:
                    return None
                queue.remove(idle)
            if idle.expires_at > now and not is_readable(idle.connection.sock.fileno()):
                return idle.connection
            self._discard(endpoint, idle.connection)

    def _discard(self, endpoint: Endpoint, connection: EndpointConnection) -> None:
        """Close a connection that expired, was closed by the endpoint or holds surplus bytes."""
        surplus = b""
        with suppress(OSError):
            if is_readable(connection.sock.fileno()):  # recv would block on a socket with a timeout
                surplus = connection.sock.recv(SURPLUS_SAMPLE_BYTES, socket.MSG_PEEK)
        if surplus:
            self._discard_with_surplus(Exchange(endpoint, connection, True), surplus, "at rest")
        else:
            connection.close()

    def _discard_with_surplus(self, exchange: Exchange, surplus: bytes, when: str) -> None:
        """Close a connection that delivered bytes which belong to no request."""
        last = next(reversed(exchange.connection.request_ids), "")
        exchange.request_id = last
        exchange.log("surplus", named=named_id(surplus), bytes=len(surplus), when=when)
        self.count("surplus", when)
        exchange.close()


def is_readable(descriptor: int) -> bool:
    """Return whether a descriptor has bytes to read or was closed by the peer."""
    poll = select.poll()
    poll.register(descriptor, select.POLLIN)
    return bool(poll.poll(0))


def _idle_timeout_s(response: EndpointResponse) -> float:
    """Return the seconds for which an idle connection is reused, from the Keep-Alive header."""
    for name, value in response.headers:
        if name.lower() == "keep-alive":
            digits = value.rpartition("=")[2].strip()
            if digits.isdigit():
                return min(MAX_IDLE_S, float(digits) - IDLE_MARGIN_S)
    return DEFAULT_IDLE_S


__all__ = ["ConnectionPool", "is_readable"]
