"""Stand-in for the way to an endpoint that reframes responses, cuts them and repeats them.

It stands in front of any other stand-in. What it does to each response is a plan, which a test
draws from a seed and from the request.
"""

from __future__ import annotations

import re
import socket
import struct
import sys
import threading
import time
from collections import Counter
from contextlib import suppress
from dataclasses import dataclass, field
from enum import Enum
from random import Random
from typing import TYPE_CHECKING

from threadramp.config.registry import Registry
from threadramp.platform.headers import REQUEST_ID
from threadramp.platform.standins.stuttering import (
    Moment,
    StutteringFront,
    _ident,
    _message,
    _target,
    _Way,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

EARLY_S = 0.004
LATE_S = 0.25
LINGER_RESET = struct.pack("ii", 1, 0)
_FRAMING_LINE = re.compile(rb"(?i)\r\n(?:transfer-encoding|content-length):[^\r\n]*")
_ID_LINE = re.compile(rb"(?i)\r\n" + REQUEST_ID.encode() + rb":[^\r\n]*")
_AFTER_LINE = re.compile(rb"(?i)\r\nlast-event-id: *(\d+)")


class End(Enum):
    """How a connection ends.

    ``CLOSE`` is also how the kernel ends the connections of a killed process that had read all that
    was sent to it.
    """

    CLOSE = "close"
    RESET = "reset"


class Repeat(Enum):
    """When a copy of a response follows on its connection."""

    AT_ONCE = "in the segment of the response's end"
    EARLY = "4 ms later"
    LATE = "250 ms later"
    NEXT = "in the place of the next response"


class Kind(Enum):
    """What a piece of a response is."""

    HEAD = "head"
    CONTENT = "content"  # one event of a stream, or a whole body
    LAST = "last"  # what marks the end of the body; empty unless it is chunked


@dataclass(frozen=True)
class Piece:
    """A piece of a response.

    :param number: of the content, from 1
    """

    kind: Kind
    data: bytes
    number: int = 0


@dataclass(frozen=True)
class Cut:
    """Where a response ends early, and how its connection ends.

    :param place: name in ``PLACES``
    :param number: of the event that it concerns, from 1, for the places that concern one
    :param share: where within the head or the event, from 0.0 to 1.0
    """

    place: str
    end: End
    number: int = 1
    share: float = 0.5


@dataclass(frozen=True)
class ResponsePlan:
    """What is done to one response.

    :param framing: name in ``FRAMINGS``
    """

    framing: str = "kept"
    cut: Cut | None = None
    repeat: Repeat | None = None


@dataclass(frozen=True)
class SeenRequest:
    """A request as the front sees it.

    :param after: its ``Last-Event-Id``, 0 without one
    :param number: of the responses to this request id, from 1
    """

    request_id: str
    target: str
    after: int
    number: int


@dataclass(frozen=True)
class PlayedResponse:
    """What was done to one response.

    :param contents: number of its events, or 1 for a body, that were sent whole
    :param is_cut: whether it ended early
    :param is_broken: whether the endpoint broke it off
    """

    request: SeenRequest
    plan: ResponsePlan
    sent_bytes: int
    contents: int
    is_cut: bool
    is_broken: bool


@dataclass
class ResponseFaults:
    """Draws a plan for each response of some fronts, and keeps what they did.

    :param draw: returns the plan, or none to pass the response on as it is; its random numbers
        depend on the seed, the request id and the number of the response alone
    """

    seed: int
    draw: Callable[[SeenRequest, Random], ResponsePlan | None]
    numbers: Counter[str] = field(default_factory=Counter)
    played: list[PlayedResponse] = field(default_factory=list)
    lock: threading.Lock = field(default_factory=threading.Lock)

    def plan(self, request: bytes) -> tuple[SeenRequest, ResponsePlan | None]:
        """Return a request and the plan for its response."""
        request_id = _ident(request)
        with self.lock:
            self.numbers[request_id] += 1
            number = self.numbers[request_id]
        found = _AFTER_LINE.search(request.partition(b"\r\n\r\n")[0])
        seen = SeenRequest(request_id, _target(request), int(found[1]) if found else 0, number)
        return seen, self.draw(seen, Random(f"{self.seed} {request_id} {number}"))

    def note(self, played: PlayedResponse) -> None:
        """Keep what was done to a response."""
        with self.lock:
            self.played.append(played)

    def of(self, request_id: str) -> list[PlayedResponse]:
        """Return what was done to the responses to one request id, in order of their ends."""
        with self.lock:
            return [each for each in self.played if each.request.request_id == request_id]


FRAMINGS: Registry[Callable[[Iterator[Piece]], Iterator[Piece]]] = Registry()
PLACES: Registry[Callable[[Cut, Piece], int | None]] = Registry()


@FRAMINGS.register("kept")
def _kept(pieces: Iterator[Piece]) -> Iterator[Piece]:
    """Keep the framing; a body with a length stays one piece."""
    head = next(pieces)
    is_chunked = b"\r\ntransfer-encoding: chunked" in head.data.lower()
    yield from (_chunked if is_chunked else _with_length)(_chain(head, pieces))


@FRAMINGS.register("chunked")
def _chunked(pieces: Iterator[Piece]) -> Iterator[Piece]:
    yield _head(next(pieces), b"Transfer-Encoding: chunked")
    for piece in pieces:
        data = f"{len(piece.data):x}\r\n".encode() + piece.data + b"\r\n"
        yield Piece(Kind.CONTENT, data, piece.number)
    yield Piece(Kind.LAST, b"0\r\n\r\n")


@FRAMINGS.register("length")
def _with_length(pieces: Iterator[Piece]) -> Iterator[Piece]:
    """State the length, which for a stream means to hold it until it is whole."""
    head, contents = next(pieces), list(pieces)
    size = sum(len(piece.data) for piece in contents)
    yield _head(head, f"Content-Length: {size}".encode())
    yield from contents
    yield Piece(Kind.LAST, b"")


@FRAMINGS.register("close")
def _close_delimited(pieces: Iterator[Piece]) -> Iterator[Piece]:
    yield _head(next(pieces), b"")
    yield from pieces
    yield Piece(Kind.LAST, b"")


@PLACES.register("head")
def _in_head(cut: Cut, piece: Piece) -> int | None:
    return int(cut.share * (len(piece.data) - 1)) if piece.kind is Kind.HEAD else None


@PLACES.register("before framing")
def _before_framing(cut: Cut, piece: Piece) -> int | None:
    """Cut between the line of the request id and the one that states the framing."""
    if piece.kind is not Kind.HEAD:
        return None
    framing = _FRAMING_LINE.search(piece.data)
    last = framing.start() + 2 if framing else len(piece.data) - 2
    found = _ID_LINE.search(piece.data)
    first = found.end() + 2 if found else last
    return first + int(cut.share * (last - first))


@PLACES.register("head end")
def _at_head_end(cut: Cut, piece: Piece) -> int | None:
    return len(piece.data) if piece.kind is Kind.HEAD else None


@PLACES.register("event")
def _in_event(cut: Cut, piece: Piece) -> int | None:
    if piece.kind is not Kind.CONTENT or piece.number != cut.number or len(piece.data) < 2:
        return None
    return 1 + int(cut.share * (len(piece.data) - 2))


@PLACES.register("event end")
def _at_event_end(cut: Cut, piece: Piece) -> int | None:
    is_it = piece.kind is Kind.CONTENT and piece.number == cut.number
    return len(piece.data) if is_it else None


@PLACES.register("before the last chunk")
def _before_last_chunk(cut: Cut, piece: Piece) -> int | None:
    return 0 if piece.kind is Kind.LAST else None


class FramingFront(StutteringFront):
    """Passes requests on to one endpoint, and does to the responses what is drawn for them.

    :param behind: address of the endpoint
    :param faults: draws the plans; none while responses are passed on as they are, or stuttered
    :param broken_end: how a connection ends whose response the endpoint broke off
    """

    def __init__(
        self,
        behind: str,
        faults: ResponseFaults | None = None,
        broken_end: End = End.RESET,
        seed: int = 1,
        listen: tuple[str, int] = ("127.0.0.1", 0),
    ) -> None:
        self.faults = faults
        self.broken_end = broken_end
        super().__init__(behind, seed=seed, listen=listen)

    def _keeps_apart(self) -> bool:
        return self.faults is not None or super()._keeps_apart()

    def _exchange(self, way: _Way, request: bytes) -> None:
        faults = self.faults
        seen, plan = faults.plan(request) if faults else (None, None)
        if plan is None:
            super()._exchange(way, request)
            return
        response = _Response(way, plan)
        host, _, port = self.behind.partition(":")
        is_broken = False
        try:
            with socket.create_connection((host, int(port))) as endpoint:
                endpoint.sendall(request)
                with endpoint.makefile("rb") as reader:
                    for piece in FRAMINGS[plan.framing](_pieces(_message(reader))):
                        if response.send(piece):
                            break
                    response.repeat()
        except (OSError, ValueError, RuntimeError):
            is_broken = not response.caller_left
        finally:
            faults.note(response.played(seen, is_broken))
        if is_broken:
            _end_connection(way.caller, self.broken_end)
        elif response.is_cut and plan.cut:
            _end_connection(way.caller, plan.cut.end)
        elif plan.framing == "close":
            _end_connection(way.caller, End.CLOSE)


class _Response:
    """Sends one response by its plan."""

    def __init__(self, way: _Way, plan: ResponsePlan) -> None:
        self.way = way
        self.plan = plan
        self.sent = b""
        self.contents = 0
        self.is_cut = False
        self.caller_left = False

    def send(self, piece: Piece) -> bool:
        """Send a piece, and return whether the response ends early here."""
        cut = self.plan.cut
        size = PLACES[cut.place](cut, piece) if cut else None
        data = piece.data if size is None else piece.data[:size]
        is_whole = size is None or size == len(piece.data)
        if piece.kind is Kind.CONTENT and is_whole:
            self.contents += 1
        self.is_cut = size is not None
        self.sent += data
        if self.plan.repeat is Repeat.AT_ONCE and (self.is_cut or piece.kind is Kind.LAST):
            data += self.sent
        self._send(data)
        return self.is_cut

    def repeat(self) -> None:
        """Send a copy of what was sent, or have it sent in place of the next response."""
        repeat = self.plan.repeat
        ends = self.is_cut or self.plan.framing == "close"
        if repeat is Repeat.NEXT and not ends:
            self.way.due.setdefault(Moment.AFTER_NEXT, []).append(self.sent)
        if repeat not in (Repeat.EARLY, Repeat.LATE):
            return
        wait_s = EARLY_S if repeat is Repeat.EARLY else LATE_S
        if ends:
            time.sleep(wait_s)
            self._send(self.sent)
        else:
            threading.Thread(target=self._send_later, args=(wait_s,), daemon=True).start()

    def _send_later(self, wait_s: float) -> None:
        """Send the copy, but not amid another response, of which it could not be told apart."""
        time.sleep(wait_s)
        with suppress(OSError), self.way.answering:
            self.way.send(self.sent)

    def _send(self, data: bytes) -> None:
        try:
            if data:
                self.way.send(data)
        except OSError:
            self.caller_left = True
            raise

    def played(self, seen: SeenRequest, is_broken: bool) -> PlayedResponse:
        """Return what was done."""
        return PlayedResponse(
            seen, self.plan, len(self.sent), self.contents, self.is_cut, is_broken
        )


def _pieces(message: Iterator[tuple[bytes, bool]]) -> Iterator[Piece]:
    """Yield the head and the contents of a response without their framing."""
    head, is_last = next(message)
    yield Piece(Kind.HEAD, head)
    is_chunked = b"\r\ntransfer-encoding: chunked" in head.lower()
    for number, (data, _) in enumerate(message, start=1):
        content = data[data.index(b"\r\n") + 2 : -2] if is_chunked else data
        if content:
            yield Piece(Kind.CONTENT, content, number)


def _head(piece: Piece, framing: bytes) -> Piece:
    """Return a head whose request id comes first and whose framing comes last."""
    head = _FRAMING_LINE.sub(b"", piece.data)
    found = _ID_LINE.search(head)
    id_line = found[0] if found else b""
    status, _, rest = _ID_LINE.sub(b"", head, count=1).partition(b"\r\n")
    lines = status + id_line + b"\r\n" + rest.removesuffix(b"\r\n")
    if framing:
        lines += framing + b"\r\n"
    return Piece(Kind.HEAD, lines + b"\r\n")


def _chain(first: Piece, rest: Iterator[Piece]) -> Iterator[Piece]:
    yield first
    yield from rest


def _end_connection(caller: socket.socket, end: End) -> None:
    """End a connection.

    For a reset there is no ``shutdown``: it would send a regular end first.

    :raises ConnectionResetError: always, which ends the work for the connection
    """
    if end is End.CLOSE:
        with suppress(OSError):
            caller.shutdown(socket.SHUT_RDWR)
    else:
        caller.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
    caller.close()
    raise ConnectionResetError


def serve_process(listen: str, behind: str, framing: str) -> None:
    """Run a front that only reframes, until its process is killed."""
    host, _, port = listen.partition(":")
    faults = ResponseFaults(1, lambda request, random: ResponsePlan(framing))
    FramingFront(behind, faults, listen=(host, int(port)))
    threading.Event().wait()


__all__ = [
    "EARLY_S",
    "FRAMINGS",
    "LATE_S",
    "PLACES",
    "Cut",
    "End",
    "FramingFront",
    "Kind",
    "Piece",
    "PlayedResponse",
    "Repeat",
    "ResponseFaults",
    "ResponsePlan",
    "SeenRequest",
]

if __name__ == "__main__":
    serve_process(*sys.argv[1:4])
