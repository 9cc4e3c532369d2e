"""Sends the rest of answers to callers that read slowly, without a thread for each of them.

A thread that waits for a slow caller serves nobody else, and a gateway has 40 threads: 40 slow
callers would stop it.
"""

from __future__ import annotations

import os
import select
import threading
from dataclasses import dataclass
from typing import TYPE_CHECKING

from threadramp.fleet.clock import steady_s
from threadramp.policy.reader_buffers import SlowReader, readers_to_end
from threadramp.report.guard import start_loop
from threadramp.report.log import log_state

if TYPE_CHECKING:
    import socket
    from collections.abc import Callable

POLL_S = 0.1  # bound of the time until a new slow reader is served
MAX_SEND_BYTES = 65_536  # to one reader at a time, so that all make progress


@dataclass(eq=False)
class _Unsent:
    """The rest of one answer.

    :param on_end: called once with whether everything was sent
    """

    sock: socket.socket
    rest: memoryview
    reader: SlowReader
    on_end: Callable[[bool], None]


class SlowReaders:
    """The slow readers of one server; thread-safe.

    :param max_bytes: bytes that may be held for all of them together
    :param max_silence_s: returns the time without progress after which one is disconnected
    """

    def __init__(self, max_bytes: int, max_silence_s: Callable[[], float]) -> None:
        self.max_bytes = max_bytes
        self.max_silence_s = max_silence_s
        self.unsent: dict[int, _Unsent] = {}
        self.lock = threading.Lock()
        self.has_some = threading.Event()
        self.stopped = threading.Event()
        self.ended_count = 0
        start_loop(self._run, self.stopped)

    @property
    def count(self) -> int:
        """Return the number of slow readers."""
        with self.lock:
            return len(self.unsent)

    @property
    def held_bytes(self) -> int:
        """Return the bytes that are held for all slow readers."""
        return sum(len(one.rest) for one in list(self.unsent.values()))

    def add(self, sock: socket.socket, rest: memoryview, on_end: Callable[[bool], None]) -> None:
        """Send the rest of an answer as its reader takes it."""
        now = steady_s()
        reader = SlowReader(len(rest), len(rest), now, now)
        with self.lock:
            self.unsent[sock.fileno()] = _Unsent(sock, rest, reader, on_end)
        self._end_some()
        self.has_some.set()

    def _run(self) -> None:
        while not self.stopped.is_set():
            if not self.count:
                self.has_some.clear()
                if not self.count:
                    self.has_some.wait(POLL_S)
                continue
            self._send_once()
            self._end_some()

    def _send_once(self) -> None:
        """Send to the readers that take more bytes, waiting shortly for one."""
        poll = select.poll()
        with self.lock:
            for descriptor in self.unsent:
                poll.register(descriptor, select.POLLOUT)
        for descriptor, _ in poll.poll(POLL_S * 1000):
            with self.lock:
                one = self.unsent.get(descriptor)
            if one is not None:
                self._send_to(descriptor, one)

    def _send_to(self, descriptor: int, one: _Unsent) -> None:
        try:
            sent = send_now(one.sock, one.rest[:MAX_SEND_BYTES])
        except OSError:
            self._finish(descriptor, one, False)
            return
        if sent:
            one.rest = one.rest[sent:]
            one.reader.left = len(one.rest)
            one.reader.progress_at = steady_s()
        if not one.rest:
            self._finish(descriptor, one, True)

    def _end_some(self) -> None:
        """Disconnect the readers that hold up too much for too long."""
        now = steady_s()
        with self.lock:
            found = {id(one.reader): (key, one) for key, one in self.unsent.items()}
        readers = [one.reader for _, one in found.values()]
        for reader in readers_to_end(readers, self.max_bytes, self.max_silence_s(), now):
            key, one = found[id(reader)]
            if not self._finish(key, one, False):
                continue  # another thread has ended it meanwhile
            self.ended_count += 1
            log_state(
                "slow_reader_disconnected",
                unread=reader.left,
                bytes_per_s=round(reader.speed(now)),
                since_s=round(now - reader.since, 2),
                silent_s=round(now - reader.progress_at, 2),
                slow_readers=len(readers),
            )

    def _finish(self, descriptor: int, one: _Unsent, complete: bool) -> bool:
        """End a reader; false if that was done before."""
        with self.lock:
            if self.unsent.get(descriptor) is not one:
                return False
            del self.unsent[descriptor]
        one.rest = memoryview(b"")
        one.on_end(complete)
        return True


def send_now(sock: socket.socket, data: memoryview) -> int:
    """Send as many bytes as the connection takes at once; returns their number.

    :param sock: has a timeout, so its descriptor does not block; ``send`` would wait for that time
    :raises OSError: if the connection is broken
    """
    try:
        return os.write(sock.fileno(), data)
    except BlockingIOError:
        return 0


__all__ = ["SlowReaders", "send_now"]
