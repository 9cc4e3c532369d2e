"""Notices callers that leave while their stream is being passed on.

The thread of a stream waits for its endpoint; one thread here looks at the callers of all streams.
"""

from __future__ import annotations

import socket
import threading
from contextlib import contextmanager
from typing import TYPE_CHECKING

from threadramp.edge.job import has_ended
from threadramp.report.guard import start_loop

if TYPE_CHECKING:
    from collections.abc import Iterator

    from threadramp.edge.exchange import Exchange

LOOK_S = 0.1  # work for a caller that has left may go on for half a second on the users' sheets


class DisconnectWatcher:
    """Ends the exchange of each caller that has left."""

    def __init__(self) -> None:
        self.watched: dict[int, tuple[socket.socket, Exchange]] = {}
        self.gone: set[int] = set()
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
            self.gone.discard(key)
            self.watched[key] = (caller, exchange)
        self.any_watched.set()
        try:
            yield
        finally:
            with self.lock:
                self.watched.pop(key, None)

    def has_left(self, caller: socket.socket) -> bool:
        """Return whether a caller that is or was watched has left."""
        with self.lock:
            return caller.fileno() in self.gone or has_ended(caller)

    def look(self) -> None:
        """Look at all callers once."""
        with self.lock:
            for key, (caller, exchange) in list(self.watched.items()):
                if has_ended(caller):
                    self.gone.add(key)
                    del self.watched[key]
                    _wake(exchange)

    def _run(self) -> None:
        while not self.stopped.is_set():
            self.any_watched.wait()
            with self.lock:
                descriptors = list(self.watched)
                if not descriptors:
                    self.any_watched.clear()
                    continue
            self.stopped.wait(LOOK_S)
            self.look()


def _wake(exchange: Exchange) -> None:
    """End the wait of the thread that reads an exchange."""
    try:
        exchange.connection.sock.shutdown(socket.SHUT_RDWR)
    except (OSError, AttributeError):  # it is closed already
        return


__all__ = ["DisconnectWatcher"]
