"""Structured logs: one line for each decision that touches a request or changes a belief.

Lines go through a bounded buffer to a thread of their own, so that a slow reader of the output
never holds up the work; what does not fit is counted and said with the next line that does.
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

BUFFER_LINES = 2000  # about a megabyte at 500 bytes a line
GATHER_S = 0.05  # lines of this time are written with one call


class LineWriter:
    """Writes log messages to a file descriptor from a thread of its own.

    :param descriptor: of an open file
    """

    def __init__(self, descriptor: int) -> None:
        self.descriptor = descriptor
        self.lines: deque[Mapping[str, Any]] = deque()
        self.lost = 0
        self.filled = threading.Event()
        self.thread = threading.Thread(target=self._run, name="log", daemon=True)
        self.thread.start()

    def __call__(self, message: Mapping[str, Any]) -> None:
        """Take one message, or count it as lost if the buffer is full."""
        if len(self.lines) >= BUFFER_LINES:
            self.lost += 1
            return
        self.lines.append(message)
        if not self.filled.is_set():
            self.filled.set()

    def flush(self) -> None:
        """Write what waits."""
        blocks = []
        while self.lines:
            blocks.append(_encode(_plain(self.lines.popleft())))
        if self.lost:
            lost, self.lost = self.lost, 0
            blocks.append(_encode({"message_type": "threadramp:log_lost", "lines": lost}))
        if blocks:
            _write_all(self.descriptor, b"\n".join(blocks) + b"\n")

    def _run(self) -> None:
        gather = threading.Event()
        while True:
            self.filled.wait()
            gather.wait(GATHER_S)
            self.filled.clear()
            try:
                self.flush()
            except OSError:  # nobody reads any more: there is nowhere left to say so
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
    """Log one decision or change of state; never pass a secret."""
    log_message(message_type=f"threadramp:{what}", **fields)


def flush_logs() -> None:
    """Write what waits; for the last lines of a process."""
    for writer in _writers:
        writer.flush()


def _log_to(descriptor: int) -> None:
    writer = LineWriter(descriptor)
    _writers.append(writer)
    add_destinations(writer)


def _plain(message: Mapping[str, Any]) -> dict[str, Any]:
    """Leave out eliot's identifiers of an action's tree, which single lines do not need."""
    return {
        name: value for name, value in message.items() if name not in ("task_uuid", "task_level")
    }


def _write_all(descriptor: int, data: bytes) -> None:
    view = memoryview(data)
    while view:
        view = view[os.write(descriptor, view) :]


__all__ = ["flush_logs", "log_state", "log_to_stderr", "log_to_stdout"]
