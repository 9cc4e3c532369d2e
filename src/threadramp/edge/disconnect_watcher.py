"""Detects callers that disconnect while their stream is relayed.

The thread of a stream waits for its endpoint, so one thread here checks the callers of all streams.
"""

from __future__ import annotations

import socket
import threading
from contextlib import contextmanager
from typing import TYPE_CHECKING

from threadramp.edge.job import is_disconnected
from threadramp.report.guard import start_loop

if TYPE_CHECKING:
    from collections.abc import Iterator

    from threadramp.edge.exchange import Exchange

POLL_S = 0.1  # the users allow half a second of work for a disconnected caller


class DisconnectWatcher:
    """Ends the exchange of each caller that has disconnected."""

    def __init__(self) -> None:
        self.watched: dict[int, tuple[socket.socket, Exchange]] = {}
        self.disconnected: set[int] = set()
        self.lock = threading.Lock()
        self.any_watched = threading.Event()
        self.stopped = threading.Event()

    def start(self) -> None:
        """Start watching."""
        start_loop(self._run, self.stopped)

    @contextmanager
    def watching(self, caller: socket.socket, exchange: Exchange) -> Iterator[None]:
        """Watch a caller while its exchange is read."""
        key = caller.fileno()
        with self.lock:
            self.disconnected.discard(key)
            self.watched[key] = (caller, exchange)
        self.any_watched.set()
        try:
            yield
        finally:
            with self.lock:
                self.watched.pop(key, None)

    def has_disconnected(self, caller: socket.socket) -> bool:
        """Return whether a caller that is or was watched has disconnected."""
        with self.lock:
            return caller.fileno() in self.disconnected or is_disconnected(caller)

    def check_callers(self) -> None:
        """Check all watched callers once."""
        with self.lock:
            for key, (caller, exchange) in list(self.watched.items()):
                if is_disconnected(caller):
                    self.disconnected.add(key)
                    del self.watched[key]
                    _unblock_reader(exchange)

    def _run(self) -> None:
        while not self.stopped.is_set():
            self.any_watched.wait()
            with self.lock:
                descriptors = list(self.watched)
                if not descriptors:
                    self.any_watched.clear()
                    continue
            self.stopped.wait(POLL_S)
            self.check_callers()


def _unblock_reader(exchange: Exchange) -> None:
    """Interrupt the thread that reads an exchange."""
    try:
        exchange.socket.shutdown(socket.SHUT_RDWR)
    except (OSError, AttributeError):  # it is closed already
        return


__all__ = ["DisconnectWatcher"]
