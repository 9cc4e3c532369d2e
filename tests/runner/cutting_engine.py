"""An engine whose responses end where a test says, over real sockets."""

from __future__ import annotations

import socket
import struct
import threading
import time
from collections import Counter
from contextlib import suppress
from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

from tests.runner.test_runs import order
from tests.runner.test_weight_loader import facts
from threadramp.core.lot_tracker import RunOutcome
from threadramp.fleet.clock import Clock
from threadramp.lots.model import Sample
from threadramp.report.metrics import Metrics
from threadramp.runner.engine import Engine
from threadramp.runner.runs import RunTable
from threadramp.runner.sample_run import SampleRun

if TYPE_CHECKING:
    from collections.abc import Callable

    from threadramp.runner.run import Run

MOST_STARTS = 40
EVENTS = 4
LONG = "x" * 400  # an event that is longer than the head of a response
RESET = struct.pack("ii", 1, 0)  # SO_LINGER
BLOCK_BYTES = 65_536
DELIVERY_S = 0.002  # for the bytes before a reset


class Frame(Enum):
    """What tells the end of a response."""

    CHUNKED = "chunked"
    LENGTH = "length"
    BOTH = "both"
    NONE = "none"

    @property
    def is_framed(self) -> bool:
        """Return whether an early end can be told from the last one."""
        return self is not Frame.NONE


@dataclass(frozen=True)
class Plan:
    """One response.

    :param cut: bytes that are sent of it, none for all
    :param resets: whether the connection is then reset, not closed
    :param keeps_open: whether it stays open instead
    :param status: another one than 200 has no events
    :param behind: turns the bytes of the response into others that follow on the same connection
    :param amid: called before those
    """

    frame: Frame
    cut: int | None = None
    resets: bool = False
    keeps_open: bool = False
    status: int = 200
    behind: Callable[[bytes], bytes] = lambda whole: b""
    amid: Callable[[], None] | None = None


def text_of(name: str) -> list[str]:
    """Return the events of a sample."""
    more = f" {LONG}" if name.startswith("long") else ""
    return [f"{name} {number}{more}" for number in range(1, EVENTS + 1)]


def event(name: str, number: int) -> bytes:
    """Return one event as it is sent."""
    version = "x-weight-versions: 1\n" if number == 1 else ""
    return f"{version}id: {number}\ndata: {text_of(name)[number - 1]}\n\n".encode()


def response(name: str, after: int, frame: Frame, status: int = 200) -> bytes:
    """Return a whole response to a request to go on after an event."""
    body = b""
    pieces = [event(name, number) for number in range(after + 1, EVENTS + 1)]
    if status != 200:
        pieces = []
    head = f"HTTP/1.1 {status} Answer\r\nX-Attempt-Id: {name}\r\nX-Server-Stamp: s\r\n"
    if status == 200:
        head += "Content-Type: text/event-stream\r\n"
    else:
        head += "X-Not-Executed: 1\r\n"
    if frame in (Frame.CHUNKED, Frame.BOTH):
        head += "Transfer-Encoding: chunked\r\n"
        body = b"".join(b"%x\r\n%s\r\n" % (len(piece), piece) for piece in pieces) + b"0\r\n\r\n"
    else:
        body = b"".join(pieces)
    if frame in (Frame.LENGTH, Frame.BOTH):
        head += f"Content-Length: {len(b''.join(pieces))}\r\n"
    return head.encode() + b"\r\n" + body


def event_ends(name: str, after: int) -> list[int]:
    """Return where the events of a response without a length end, its head's end first."""
    head = response(name, after, Frame.NONE).index(b"\r\n\r\n") + 4
    ends = [head]
    for number in range(after + 1, EVENTS + 1):
        ends.append(ends[-1] + len(event(name, number)))
    return ends


class CuttingEngine:
    """Answers each request as planned.

    :param plan: returns the response to a request, by its number from 0 and the event after which
        it is to go on
    """

    def __init__(self, plan: Callable[[int, int], Plan]) -> None:
        self.plan = plan
        self.requests: list[int] = []  # the event after which each is to go on
        self.made: Counter[int] = Counter()  # how often each event was made
        self.connections = 0
        self.before_end: Callable[[int], None] = lambda number: None
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=64)
        threading.Thread(target=self._accept, daemon=True).start()

    @property
    def address(self) -> str:
        """Return where it listens."""
        host, port = self.listener.getsockname()
        return f"{host}:{port}"

    def close(self) -> None:
        """Accept no more connections, as an engine that has ended."""
        with suppress(OSError):
            self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()

    def _accept(self) -> None:
        with suppress(OSError):
            while True:
                sock, _ = self.listener.accept()
                self.connections += 1
                threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _serve(self, sock: socket.socket) -> None:
        with suppress(OSError, ValueError), sock:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            while (fields := _read_request(sock)) is not None:
                if not self._answer(sock, fields):
                    return

    def _answer(self, sock: socket.socket, fields: dict[str, str]) -> bool:
        """Answer a request and return whether the connection stays open."""
        name = fields.get("x-attempt-id", "")
        if not name:  # it probes the engine
            return False
        after = int(fields.get("last-event-id", "0"))
        number = len(self.requests)
        self.requests.append(after)
        plan = self.plan(number, after)
        whole = response(name, after, plan.frame, plan.status)
        if plan.status == 200:
            self.made.update(range(after + 1, EVENTS + 1))
        cut = plan.cut if plan.cut is not None and plan.cut < len(whole) else None
        if plan.amid is None:
            sock.sendall(whole[:cut] + plan.behind(whole))
        else:
            sock.sendall(whole[:cut])
            plan.amid()
            sock.sendall(plan.behind(whole))
        self.before_end(number)
        if plan.resets:
            time.sleep(DELIVERY_S)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        return plan.keeps_open or (cut is None and plan.frame.is_framed and not plan.resets)


def _read_request(sock: socket.socket) -> dict[str, str] | None:
    """Read a request and return its headers, none at the end of the connection."""
    received = b""
    while b"\r\n\r\n" not in received:
        data = sock.recv(BLOCK_BYTES)
        if not data:
            return None
        received += data
    head, _, body = received.partition(b"\r\n\r\n")
    lines = head.decode().split("\r\n")[1:]
    fields = {name.lower(): text for name, text in (line.split(": ", 1) for line in lines)}
    left = int(fields.get("content-length", "0")) - len(body)
    while left > 0:
        left -= len(sock.recv(BLOCK_BYTES))
    return fields


def client_of(cutting: CuttingEngine) -> Engine:
    """Return a sidecar's client of the engine."""
    engine = Engine(cutting.address, "p", "box-1", Clock())
    engine.update_facts(facts())
    return engine


def new_table() -> RunTable:
    """Return a table with room for one run."""
    table = RunTable(Clock().now)
    table.slots = 1
    table.accepting = True
    return table


def submit(table: RunTable, name: str, after: int = 0) -> Run:
    """Submit a sample and return its run."""
    sample = Sample(name, "/p", (("X-Model", "m"),), b"q", 100, "g", None, 10)
    given = {"lineage": "before", "new_lineage": "new", "after": after} if after else {}
    table.submit((order(name, sample=sample, **given),))
    return table.runs[name]


def run_to_end(engine: Engine, table: RunTable, run: Run) -> None:
    """Start a run, and again each time that it is back in the queue."""
    for _ in range(MOST_STARTS):
        if not run.is_open:
            return
        run.not_before = 0.0
        assert table.next_start() is run
        SampleRun(engine, table, run, Clock(), Metrics("t")).execute()
    raise AssertionError("the run never ends")


def whole_text(name: str, run: Run) -> list[str]:
    """Return the events that a run has to add."""
    return text_of(name)[run.base :]


def check(run: Run, name: str) -> None:
    """Check that its text is right as far as it goes, and whole if it counts as complete."""
    whole = whole_text(name, run)
    assert run.events == whole[: len(run.events)]
    if run.outcome is RunOutcome.COMPLETE:
        assert run.events == whole


__all__ = [
    "check",
    "client_of",
    "new_table",
    "run_to_end",
    "submit",
    "whole_text",
    "EVENTS",
    "CuttingEngine",
    "Frame",
    "Plan",
    "event",
    "event_ends",
    "response",
    "text_of",
]
