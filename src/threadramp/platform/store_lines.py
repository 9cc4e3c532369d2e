"""Connections to the store: shared ones that are used again, and one of its own for each watch.

An open connection may pass nothing any more, without a reset, while new ones work. That no answer
came on one that was used before therefore says nothing of the store, only that what is open now is
not to be believed.
"""

from __future__ import annotations

import socket
import threading
from contextlib import suppress
from dataclasses import dataclass
from http.client import HTTPException
from typing import TYPE_CHECKING

from urllib3 import Timeout
from urllib3.exceptions import ConnectTimeoutError, HTTPError, NewConnectionError
from urllib3.util.wait import wait_for_read

from threadramp.platform.store_model import (
    GivenUpError,
    KeptLineError,
    RawAnswer,
    StoreRefusedError,
    StoreUnknownError,
)
from threadramp.report.log import log_state
from threadramp.wire.response_limits import BoundedConnection, BoundedPool

if TYPE_CHECKING:
    from threadramp.platform.store_model import Call

CONNECT_TIMEOUT_S = 0.6  # two lost opening packets are not waited for
POOL_SIZE = 8  # connections that are kept open


@dataclass(eq=False)
class _Kept:
    """Connections that were opened since others were given up.

    :param has_answered: whether a call was answered on one of them
    """

    pool: BoundedPool
    has_answered: bool = False


class StoreLines:
    """The connections that calls share; its methods may be called from any thread.

    :param address: ``ip:port``
    """

    def __init__(self, address: str) -> None:
        host, _, port = address.partition(":")
        self.host = host
        self.port = int(port)
        self.lock = threading.Lock()
        self.kept = self._new()

    def send(self, call: Call) -> RawAnswer:
        """Send a call on a connection that is kept, or on a new one.

        :raises StoreRefusedError: if there was no connection to send it on
        :raises KeptLineError: if no answer came on connections that had brought some before; they
            are not used again
        :raises StoreUnknownError: if no answer came
        """
        kept = self.kept
        timeout = Timeout(connect=CONNECT_TIMEOUT_S, read=call.timeout_s)
        try:
            response = kept.pool.urlopen(
                call.method, call.path, body=call.body or None, headers=_headers(call),
                timeout=timeout,
            )  # fmt: skip
        except (NewConnectionError, ConnectTimeoutError) as error:
            raise StoreRefusedError(f"not sent: {error!r}") from error
        except (HTTPError, OSError) as error:
            is_first = self._give_up(kept)
            if kept.has_answered:
                raise KeptLineError(_text(call, error), is_first) from error
            raise StoreUnknownError(_text(call, error)) from error
        kept.has_answered = True
        return RawAnswer(response.status, response.data)

    def give_up(self) -> None:
        """Use no connection again that is open now."""
        self._give_up(self.kept)

    def watch_line(self) -> WatchLine:
        """Return a connection for one watch."""
        return WatchLine(self.host, self.port)

    def _give_up(self, kept: _Kept) -> bool:
        """Go on with new ones; false if that was done before.

        Those at work end by themselves, the others with their pool.
        """
        with self.lock:
            if self.kept is not kept:
                return False
            self.kept = self._new()
            return True

    def _new(self) -> _Kept:
        return _Kept(BoundedPool(self.host, self.port, maxsize=POOL_SIZE, retries=False))


class WatchLine:
    """The connection of one watch; other threads may give it up while a call waits on it.

    Closing a pool of the library would close what rests in it, not what a call waits on.
    """

    def __init__(self, host: str, port: int) -> None:
        self.host = host
        self.port = port
        self.connection: BoundedConnection | None = None
        self.lock = threading.Lock()

    def send(self, call: Call) -> RawAnswer:
        """Send a call and wait for its answer.

        :raises StoreRefusedError: if there was no connection to send it on
        :raises GivenUpError: if the connection was given up meanwhile
        :raises StoreUnknownError: if no answer came
        """
        connection = self._taken()
        try:
            if _has_surplus(connection):
                log_state("answer_not_own", store=f"{self.host}:{self.port}", asked=call.cause)
                connection.close()
            if connection.sock is None:
                connection.timeout = CONNECT_TIMEOUT_S
                connection.connect()
            # What was given up while it connected had no socket to be woken by.
            if self._was_given_up(connection):
                raise OSError("given up while it connected")
            connection.timeout = call.timeout_s
            connection.request(call.method, call.path, body=call.body, headers=_headers(call))
            response = connection.getresponse()
            return RawAnswer(response.status, response.data)
        except (NewConnectionError, ConnectTimeoutError) as error:
            raise StoreRefusedError(f"not sent: {error!r}") from error
        except (HTTPError, HTTPException, OSError, AttributeError) as error:
            raise self._failure(connection, _text(call, error)) from error

    def give_up(self) -> None:
        """Wake the call that waits, and use the connection no more."""
        with self.lock:
            connection, self.connection = self.connection, None
        if connection is not None and connection.sock is not None:
            with suppress(OSError):  # it is closed already
                connection.sock.shutdown(socket.SHUT_RDWR)

    def _taken(self) -> BoundedConnection:
        with self.lock:
            if self.connection is None:
                self.connection = BoundedConnection(self.host, self.port)
            return self.connection

    def _was_given_up(self, connection: BoundedConnection) -> bool:
        with self.lock:
            return self.connection is not connection

    def _failure(self, connection: BoundedConnection, text: str) -> StoreUnknownError:
        """Close a connection that brought no answer; return what became of its call."""
        was_given_up = self._was_given_up(connection)
        if not was_given_up:
            self.connection = None
        connection.close()
        return GivenUpError(text) if was_given_up else StoreUnknownError(text)


def _has_surplus(connection: BoundedConnection) -> bool:
    """Return whether bytes lie on a connection that is at rest; they answer no call to come."""
    if connection.sock is None or not wait_for_read(connection.sock, 0.0):
        return False  # a socket with a time-out would wait below, and no watch stand meanwhile
    with suppress(OSError):  # its next use shows what became of it
        return bool(connection.sock.recv(1, socket.MSG_PEEK))
    return False


def _headers(call: Call) -> dict[str, str]:
    return {"Content-Type": "application/json"} if call.body else {}


def _text(call: Call, error: Exception) -> str:
    return f"{call.method} {call.path.partition('?')[0]}: {error!r}"


__all__ = ["StoreLines", "WatchLine"]
