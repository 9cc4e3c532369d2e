"""Connections to endpoints, kept open between requests."""

from __future__ import annotations

import select
import socket
import threading
from collections import deque
from contextlib import suppress
from dataclasses import dataclass
from typing import TYPE_CHECKING

from urllib3.exceptions import HTTPError

from threadramp.edge.endpoint_connection import SHOWN_BYTES, EndpointConnection
from threadramp.edge.exchange import Exchange, ExchangeError
from threadramp.platform.headers import named_id

if TYPE_CHECKING:
    from collections.abc import Callable

    from threadramp.edge.exchange import EndpointResponse
    from threadramp.fleet.model import Endpoint, Start

CONNECT_TIMEOUT_S = 0.3  # a sound endpoint answers within a few ms, across regions within tens
IDLE_S = 3.0  # a kept connection is used again within this time if the endpoint names none
IDLE_MARGIN_S = 1.0  # before the time that it names
IDLE_MOST_S = 30.0  # whatever it names


@dataclass(frozen=True, eq=False)
class _Idle:
    connection: EndpointConnection
    until: float


class ConnectionPool:
    """Opens, keeps and hands out connections to endpoints.

    :param count: counts by kind and label
    """

    def __init__(self, count: Callable[[str, str], None] = lambda kind, label: None) -> None:
        self.idle: dict[Start, deque[_Idle]] = {}
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
        """Return an exchange on a kept or a new connection.

        :param force_new: whether kept ones are left alone, since they may pass nothing any more
        :param request_id: a connection that carried this request may bring its answer again
        :raises ExchangeError: if the endpoint can not be reached
        """
        kept = None if force_new else self._kept(endpoint, now, request_id)
        first_s = min(CONNECT_TIMEOUT_S, timeout_s)  # to connect, and to send the request
        if kept is not None:
            kept.timeout = first_s
            return Exchange(endpoint, kept, True)
        host, _, port = endpoint.address.partition(":")
        connection = EndpointConnection(host, int(port), first_s)
        try:
            connection.connect()
        except (OSError, HTTPError) as error:
            connection.close()
            nobody = isinstance(error.__cause__ or error, ConnectionRefusedError)
            raise ExchangeError(False, repr(error), nobody=nobody) from error
        with self.lock:
            self.opened += 1
        return Exchange(endpoint, connection, False)

    def release(
        self, exchange: Exchange, answer: EndpointResponse, now: float, most: int = 1
    ) -> None:
        """Keep the connection of an exchange whose answer was read whole.

        :param most: connections that may be kept to this endpoint
        """
        if exchange.duplicates:  # its own response may be repeated as well
            self.count("answer_not_own", "named")
            exchange.connection.close()
            return
        unnamed = exchange.ident and not answer.head.request_id  # nor would the next one be known
        if answer.head.leaving or unnamed or exchange.connection.sock is None:
            exchange.connection.close()
            return
        surplus = exchange.connection.surplus()
        if surplus:
            self._surplus(exchange, surplus, "behind an answer")
            return
        until = now + _idle_s(answer)
        with self.lock:
            row = self.idle.setdefault(exchange.endpoint.start, deque())
            if len(row) < most:
                row.append(_Idle(exchange.connection, until))
                return
        exchange.connection.close()

    def retain_only(self, starts: set[Start]) -> None:
        """Close the kept connections of all starts but these."""
        for gone in [one for one in list(self.idle) if one not in starts]:
            self.close_idle(gone)

    def close_idle(self, start: Start) -> None:
        """Close the kept connections of one start of an endpoint."""
        with self.lock:
            row = self.idle.pop(start, ())
        for idle in row:
            idle.connection.close()

    def _kept(self, endpoint: Endpoint, now: float, request_id: str) -> EndpointConnection | None:
        """Take a kept connection that did not carry an id, none if there is none."""
        while True:
            with self.lock:
                row = self.idle.get(endpoint.start, deque())
                fitting = (one for one in reversed(row) if request_id not in one.connection.carried)
                idle = next(fitting, None)
                if idle is None:
                    return None
                row.remove(idle)
            if idle.until > now and not is_readable(idle.connection.sock.fileno()):
                return idle.connection
            self._let_go(endpoint, idle.connection)

    def _let_go(self, endpoint: Endpoint, connection: EndpointConnection) -> None:
        """Close a connection that rested too long, was closed, or holds surplus bytes."""
        surplus = b""
        with suppress(OSError):
            if is_readable(connection.sock.fileno()):  # a socket with a time-out would wait below
                surplus = connection.sock.recv(SHOWN_BYTES, socket.MSG_PEEK)
        if surplus:
            self._surplus(Exchange(endpoint, connection, True), surplus, "at rest")
        else:
            connection.close()

    def _surplus(self, exchange: Exchange, surplus: bytes, when: str) -> None:
        """Close a connection that passed bytes which belong to no request."""
        last = next(reversed(exchange.connection.carried), "")
        exchange.ident = last
        exchange.log("surplus", named=named_id(surplus), bytes=len(surplus), when=when)
        self.count("surplus", when)
        exchange.close()


def is_readable(descriptor: int) -> bool:
    """Return whether bytes or an end wait at a descriptor."""
    poll = select.poll()
    poll.register(descriptor, select.POLLIN)
    return bool(poll.poll(0))


def _idle_s(answer: EndpointResponse) -> float:
    """Return the seconds for which a connection is used again, by what the endpoint names."""
    for name, value in answer.headers:
        if name.lower() == "keep-alive":
            digits = value.rpartition("=")[2].strip()
            if digits.isdigit():
                return min(IDLE_MOST_S, float(digits) - IDLE_MARGIN_S)
    return IDLE_S


__all__ = ["ConnectionPool", "is_readable"]
