"""Stand-in for the way to an endpoint that stutters: what it answered once, it answers again.

It stands before any other stand-in and passes its answers on byte by byte. Behind an answer that
is whole it sends a second one on the same connection, of a kind and at a moment that a test names.
"""

from __future__ import annotations

import re
import select
import socket
import threading
import time
from contextlib import nullcontext, suppress
from dataclasses import dataclass, field
from enum import Enum
from random import Random
from typing import TYPE_CHECKING

from threadramp.platform.headers import REQUEST_ID

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator
    from io import BufferedReader

IDLE_S = 0.02  # behind an answer, before most callers send again
LATER_S = 2.0
ACCEPT_S = 0.05
POLL_S = 0.001
MS_PER_S = 1000
OTHER = b"of-another-request"
_ID_LINE = re.compile(rb"(?i)\r\n" + REQUEST_ID.encode() + rb":[^\r\n]*")


class Second(Enum):
    """What a second answer is like."""

    WHOLE = "whole"  # a copy, which has the id of the request that it belongs to
    CUT = "cut short in its body"
    BEGUN = "cut short in its head"
    OTHER_ID = "of another id"
    NO_ID = "without an id"


class Moment(Enum):
    """When it comes.

    ``SPLIT`` sends its first half together with the end of the answer before, the rest once the
    next request was sent.
    """

    AT_ONCE = "in the segment of the answer's end"
    IDLE = "while the connection rests"
    AFTER_NEXT = "after the next request was sent, before its answer"
    AMID = "in the midst of the next answer"
    LATER = "seconds later"
    SPLIT = "begun with the answer's end, gone on with after the next request was sent"


@dataclass(frozen=True)
class Stutter:
    """Which answers are given twice, and how.

    :param share: of the answers it concerns
    :param concerns: whether it concerns a request, by its method and path and its id
    :param apart: whether no second answer is sent amid another answer, which ``IDLE`` and ``LATER``
        may meet
    """

    second: Second
    moment: Moment
    share: float = 1.0
    concerns: Callable[[str, str], bool] = lambda target, ident: True
    apart: bool = False


@dataclass
class _Way:
    """One caller's connection."""

    caller: socket.socket
    due: dict[Moment, list[bytes]] = field(default_factory=dict)
    lock: threading.Lock = field(default_factory=threading.Lock)
    answering: threading.Lock = field(default_factory=threading.Lock)

    def send(self, data: bytes) -> None:
        with self.lock:
            self.caller.sendall(data)

    def send_due(self, moment: Moment) -> None:
        for data in self.due.pop(moment, ()):
            self.send(data)


class StutteringFront:
    """Passes requests on to one endpoint, and some of its answers twice.

    :param behind: address of the endpoint
    :param stutter: none while each answer is given once; may be set at any time
    :param listen: address at which it listens, by default at a free port
    """

    def __init__(
        self,
        behind: str,
        stutter: Stutter | None = None,
        seed: int = 1,
        listen: tuple[str, int] = ("127.0.0.1", 0),
    ) -> None:
        self.behind = behind
        self.stutter = stutter
        self.random = Random(seed)
        self.accepted = 0
        self.seconds: list[tuple[str, str]] = []  # target and id of what was answered twice
        self.open: set[socket.socket] = set()
        self.lock = threading.Lock()
        self.listener = socket.create_server(listen, backlog=128)
        self.listener.settimeout(ACCEPT_S)
        self.accepting = threading.Lock()
        self.closed = False
        threading.Thread(target=self._accept, daemon=True).start()

    @property
    def address(self) -> str:
        """Return where it listens."""
        host, port = self.listener.getsockname()
        return f"{host}:{port}"

    @property
    def opened(self) -> int:
        """Return the number of connections that clients have opened.

        A client is connected before its connection is accepted, which may take long on a busy
        processor.
        """
        while not self.closed:
            with self.accepting:
                if not self._has_unaccepted(0.0):
                    break
            time.sleep(POLL_S)
        return self.accepted

    def close(self) -> None:
        """End it and all that is open."""
        self.closed = True
        with self.lock:
            for one in self.open:
                _end(one)

    def _accept(self) -> None:
        with self.listener:
            while not self.closed:
                if not self._has_unaccepted(ACCEPT_S):
                    continue
                with self.accepting:
                    caller, _ = self.listener.accept()
                    self.accepted += 1
                caller.settimeout(None)
                caller.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                with self.lock:
                    self.open.add(caller)
                threading.Thread(target=self._serve, args=(caller,), daemon=True).start()

    def _has_unaccepted(self, timeout_s: float) -> bool:
        """Return whether a client is connected whose connection was not accepted yet."""
        poll = select.poll()
        poll.register(self.listener, select.POLLIN)
        return bool(poll.poll(timeout_s * MS_PER_S))

    def _serve(self, caller: socket.socket) -> None:
        way = _Way(caller)
        with suppress(OSError, ValueError), caller.makefile("rb") as reader:
            while not self.closed and (request := _whole(reader)):
                for moment in (Moment.AFTER_NEXT, Moment.SPLIT):
                    way.send_due(moment)
                with way.answering if self._keeps_apart() else nullcontext():
                    self._exchange(way, request)
        with self.lock:
            self.open.discard(caller)
        _end(caller)

    def _keeps_apart(self) -> bool:
        return self.stutter is not None and self.stutter.apart

    def _exchange(self, way: _Way, request: bytes) -> None:
        """Carry one request to the endpoint and its answer back."""
        host, _, port = self.behind.partition(":")
        with socket.create_connection((host, int(port))) as endpoint:
            endpoint.sendall(request)
            taken = []
            with endpoint.makefile("rb") as reader:
                for piece, is_last in _message(reader):
                    taken.append(piece)
                    if len(taken) == 2:
                        way.send_due(Moment.AMID)
                    if is_last:
                        self._end_answer(way, request, b"".join(taken), piece)
                        return
                    way.send(piece)
        raise ConnectionResetError

    def _end_answer(self, way: _Way, request: bytes, whole: bytes, last: bytes) -> None:
        stutter = self.stutter
        target, ident = _target(request), _ident(request)
        chosen = stutter is not None and stutter.concerns(target, ident)
        if not chosen or self.random.random() >= stutter.share:
            way.send(last)
            return
        with self.lock:
            self.seconds.append((target, ident))
        second = _second(whole, stutter.second)
        moment = stutter.moment
        at_once = {Moment.AT_ONCE: len(second), Moment.SPLIT: len(second) // 2}.get(moment, 0)
        way.send(last + second[:at_once])
        rest = second[at_once:]
        if moment in (Moment.IDLE, Moment.LATER):
            _after(IDLE_S if moment is Moment.IDLE else LATER_S, way, rest, stutter.apart)
        elif rest:
            way.due.setdefault(moment, []).append(rest)


def _after(seconds: float, way: _Way, data: bytes, apart: bool) -> None:
    def send() -> None:
        time.sleep(seconds)
        with suppress(OSError), way.answering if apart else nullcontext():
            way.send(data)

    threading.Thread(target=send, daemon=True).start()


def _second(whole: bytes, kind: Second) -> bytes:
    head = whole.index(b"\r\n\r\n") + 4
    if kind is Second.CUT:
        return whole[: head + (len(whole) - head) // 2]
    if kind is Second.BEGUN:
        return whole[: head // 2]
    if kind is Second.OTHER_ID:
        return _ID_LINE.sub(f"\r\n{REQUEST_ID}: ".encode() + OTHER, whole, count=1)
    return _ID_LINE.sub(b"", whole, count=1) if kind is Second.NO_ID else whole


def _whole(reader: BufferedReader) -> bytes:
    """Return a whole request, nothing if there is none."""
    return b"".join(piece for piece, _ in _message(reader))


def _message(reader: BufferedReader) -> Iterator[tuple[bytes, bool]]:
    """Yield the head of a message and the pieces of its body, each with whether it is the last.

    :raises ConnectionResetError: if it stops before its end
    """
    head = b""
    while not head.endswith(b"\r\n\r\n"):
        line = reader.readline()
        if not line:
            return
        head += line
    fields = head.lower()
    if b"\r\ntransfer-encoding: chunked" in fields:
        yield head, False
        yield from _chunks(reader)
        return
    found = re.search(rb"\r\ncontent-length: *(\d+)", fields)
    size = int(found[1]) if found else 0
    yield head, not size
    if size:
        yield _exactly(reader, size), True


def _chunks(reader: BufferedReader) -> Iterator[tuple[bytes, bool]]:
    while True:
        line = reader.readline()
        size = int(line.partition(b";")[0] or b"x", 16)
        yield line + _exactly(reader, size + 2), not size
        if not size:
            return


def _exactly(reader: BufferedReader, size: int) -> bytes:
    data = reader.read(size)
    if len(data) < size:
        raise ConnectionResetError
    return data


def _target(request: bytes) -> str:
    return " ".join(request.partition(b"\r\n")[0].decode("latin-1").split()[:2])


def _ident(request: bytes) -> str:
    found = _ID_LINE.search(request.partition(b"\r\n\r\n")[0])
    return found[0].partition(b":")[2].strip().decode("latin-1") if found else ""


def _end(one: socket.socket) -> None:
    with suppress(OSError):
        one.shutdown(socket.SHUT_RDWR)
    one.close()


__all__ = ["IDLE_S", "LATER_S", "OTHER", "Moment", "Second", "Stutter", "StutteringFront"]
