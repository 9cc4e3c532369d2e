"""Structured logs: one JSON line for each decision on a request and each change of known state.

A thread of its own writes the lines from a bounded buffer, so that a slow reader of the output
never blocks the process. Messages that do not fit are dropped and counted; the count is logged with
the next lines.
"""

from __future__ import annotations

import os
import sys
import threading
from collections import deque
from typing import TYPE_CHECKING, Any

import msgspec
from eliot import add_destinations, log_message

if TYPE_CHECKING:
    from collections.abc import Mapping

MAX_BUFFERED_LINES = 2000  # about a megabyte at 500 bytes a line
BATCH_WAIT_S = 0.05  # lines that arrive within this time are written together


class LineWriter:
    """Writes log messages to a file descriptor in a thread of its own.

    :param descriptor: descriptor of an open file
    """

    def __init__(self, descriptor: int) -> None:
        self.descriptor = descriptor
        self.lines: deque[Mapping[str, Any]] = deque()
        self.dropped = 0
        self.has_lines = threading.Event()
        self.thread = threading.Thread(target=self._run, name="log", daemon=True)
        self.thread.start()

    def __call__(self, message: Mapping[str, Any]) -> None:
        """Buffer one message, or drop and count it if the buffer is full."""
        if len(self.lines) >= MAX_BUFFERED_LINES:
            self.dropped += 1
            return
        self.lines.append(message)
        if not self.has_lines.is_set():
            self.has_lines.set()

    def flush(self) -> None:
        """Write all buffered messages, and the number of dropped ones if there are any."""
        encoded = []
        while self.lines:
            encoded.append(_encode(_without_task_ids(self.lines.popleft())))
        if self.dropped:
            dropped, self.dropped = self.dropped, 0
            encoded.append(_encode({"message_type": "threadramp:log_lost", "lines": dropped}))
        if encoded:
            _write_all(self.descriptor, b"\n".join(encoded) + b"\n")

    def _run(self) -> None:
        batch_wait = threading.Event()
        while True:
            self.has_lines.wait()
            batch_wait.wait(BATCH_WAIT_S)
            self.has_lines.clear()
            try:
                self.flush()
            except OSError:  # the output has no reader any more: there is nowhere to report it
                self.lines.clear()


_encode = msgspec.json.Encoder(enc_hook=str).encode
_writers: list[LineWriter] = []


def log_to_stderr() -> None:
    """Write the log to standard error as JSON lines."""
    _log_to(sys.stderr.fileno())


def log_to_stdout() -> None:
    """Write the log to standard output as JSON lines."""
    _log_to(sys.stdout.fileno())


def log_state(what: str, **fields: Any) -> None:
    """Log one decision or change of state; the fields must not contain secrets.

    :param what: name of the event
    """
    log_message(message_type=f"threadramp:{what}", **fields)


def flush_logs() -> None:
    """Write all buffered messages; called before the process exits."""
    for writer in _writers:
        writer.flush()


def _log_to(descriptor: int) -> None:
    writer = LineWriter(descriptor)
    _writers.append(writer)
    add_destinations(writer)


def _without_task_ids(message: Mapping[str, Any]) -> dict[str, Any]:
    """Remove eliot's task identifiers, which only matter for nested actions."""
    return {
        name: value for name, value in message.items() if name not in ("task_uuid", "task_level")
    }


def _write_all(descriptor: int, data: bytes) -> None:
    view = memoryview(data)
    while view:
        view = view[os.write(descriptor, view) :]


__all__ = ["flush_logs", "log_state", "log_to_stderr", "log_to_stdout"]
