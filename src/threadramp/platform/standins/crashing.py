"""Stand-in for an endpoint that crashes under some requests, and starts again as another one.

It ends as a killed process does: its open connections are reset and its port refuses new ones,
until the next start listens there under an id of its own. Behind a front that goes on listening,
new connections are taken and reset instead, and the next start has the same id and another birth.
"""

from __future__ import annotations

import socket
import struct
import threading
import time
from contextlib import suppress
from dataclasses import dataclass
from enum import Enum
from http.client import HTTPMessage, parse_headers
from io import BufferedReader
from typing import TYPE_CHECKING

from threadramp.platform.standins.endpoint import CutOffError, PlatformEngine
from threadramp.standins.server import Request, Response

if TYPE_CHECKING:
    from collections.abc import Callable

CRASHES = b"crashes"  # a request crashes it that holds this in its path or body
RESET = struct.pack("ii", 1, 0)
ACCEPT_S = 0.05
MS_PER_S = 1000


class WhileDown(Enum):
    """What a front does with connections while its endpoint is down."""

    RESETS = "resets each connection as it is opened"
    CLOSES = "reads a request and closes its connection"
    REFUSES = "answers each request with 503"


@dataclass(frozen=True)
class FrontProxy:
    """What stands before an endpoint and goes on listening when that ends.

    :param down: what it does meanwhile
    :param new_ids: whether each start has an id of its own, else a birth of its own alone
    :param lists_births: whether entries tell the birth of a start, else reports alone
    """

    down: WhileDown = WhileDown.RESETS
    new_ids: bool = False
    lists_births: bool = True


class CrashingEndpoint:
    """A row of starts of one endpoint, each with a stand-in that answers what does not crash it.

    :param name: of which the ids of its starts are made
    :param run_s: time from a request's begin to its crash, and to plain answers
    :param back_s: time from a crash to the next start
    :param on_start: called with the id of each start
    :param front: before it; its starts tell their births in reports then, and where they have one
        id the entry of the first one stays as it was
    """

    def __init__(
        self,
        name: str,
        run_s: float = 0.03,
        back_s: float = 0.6,
        on_start: Callable[[CrashingEndpoint], None] = lambda endpoint: None,
        front: FrontProxy | None = None,
    ) -> None:
        self.name = name
        self.run_s = run_s
        self.back_s = back_s
        self.on_start = on_start
        self.front = front
        self.is_down = False  # behind its front
        self.most_open: int | None = None  # further connections are reset, as by a full queue
        self.starts = 0
        self.engines: list[PlatformEngine] = []
        self.crashed_at: list[float] = []
        self.begun: list[tuple[float, str]] = []
        self.open: set[socket.socket] = set()
        self.lock = threading.RLock()
        self.port = 0
        self.closed = False
        self.mended = False  # nothing crashes it any more
        self.listener: socket.socket | None = None
        self.start()

    @property
    def instance(self) -> str:
        """Return the id of the current start."""
        has_one_id = self.front is not None and not self.front.new_ids
        return f"i-{self.name}" if has_one_id else f"i-{self.name}-{self.starts}"

    @property
    def answered(self) -> list[dict]:
        """Return what its starts ran, apart from what crashed them."""
        return [run for engine in self.engines for run in engine.runs]

    @property
    def address(self) -> str:
        """Return where it listens, whichever start it is."""
        return f"127.0.0.1:{self.port}"

    def start(self) -> None:
        """Start again, as another one."""
        with self.lock:
            if self.closed:
                return
            self._begin()
            if self.is_down:
                self.is_down = False
                self.on_start(self)
                return
            listener = socket.socket()
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            listener.bind(("127.0.0.1", self.port))
            listener.listen(64)
            listener.settimeout(ACCEPT_S)
            self.port = listener.getsockname()[1]
            self.listener = listener
        threading.Thread(target=self._accept, args=(listener,), daemon=True).start()
        self.on_start(self)

    def crash(self) -> None:
        """End as a killed process does."""
        with self.lock:
            if self.listener is None or self.is_down:
                return
            self.crashed_at.append(time.monotonic())
            if self.front:
                self.is_down = True
                self.cut()
            else:
                self._end()
        threading.Timer(self.back_s, self.start).start()

    def close(self) -> None:
        """End for good."""
        with self.lock:
            self.closed = True
            self._end()

    def cut(self) -> None:
        """Reset what is open; it lives on."""
        with self.lock:
            for one in self.open:
                _reset(one)
            self.open.clear()

    def times_begun(self, word: str) -> list[float]:
        """Return when requests began whose path or body holds a word."""
        with self.lock:
            return [at for at, text in self.begun if word in text]

    def flap(self, for_s: float) -> None:
        """Reset what is open and what is new for a while, as a link does; it lives on."""
        with self.lock:
            self.is_down = True
            self.cut()
        threading.Timer(for_s, self._come_back).start()

    def _come_back(self) -> None:
        with self.lock:
            self.is_down = False

    def _resets(self) -> bool:
        return self.is_down and (self.front is None or self.front.down is WhileDown.RESETS)

    def _is_full(self) -> bool:
        return self.most_open is not None and len(self.open) >= self.most_open

    def _begin(self) -> None:
        self.starts += 1
        self.born = int(time.time() * MS_PER_S) if self.front else 0  # 0 if it does not tell
        options = {"instance": self.instance, "hold_s": self.run_s, "born": self.born}
        self.engine = PlatformEngine(options)
        self.engines.append(self.engine)

    def _end(self) -> None:
        if self.listener is not None:
            self.listener.shutdown(socket.SHUT_RDWR)  # its thread may wait on it still
            self.listener.close()
            self.listener = None
        self.cut()

    def _accept(self, listener: socket.socket) -> None:
        while True:
            try:
                one, _ = listener.accept()
            except TimeoutError:
                continue
            except OSError:  # this start has ended
                return
            one.settimeout(None)
            with self.lock:
                if self.listener is not listener:
                    _reset(one)
                    return
                if self._resets() or self._is_full():
                    _reset(one)
                    continue
                self.open.add(one)
            start = self.starts
            threading.Thread(target=self._serve, args=(one, start), daemon=True).start()

    def _serve(self, one: socket.socket, start: int) -> None:
        with suppress(OSError, ValueError, CutOffError), one.makefile("rb") as reader:
            while (request := _read(reader)) is not None:
                self._answer(one, request, start)
        with self.lock:
            self.open.discard(one)
        with suppress(OSError):
            one.close()

    def _answer(self, one: socket.socket, request: Request, start: int) -> None:
        if self.is_down:
            if self.front is not None and self.front.down is WhileDown.REFUSES:
                _write(one, Response(503, b""))
                return
            raise CutOffError
        engine = self.engine
        text = "/" + "/".join(request.path) + " " + request.body.decode("latin-1")
        expected = request.headers.get("x-expect-instance", engine.instance)
        if expected == engine.instance and request.path[:1] != ("threadramp",):
            with self.lock:
                self.begun.append((time.monotonic(), text))
            if CRASHES.decode() in text and not self.mended:
                time.sleep(self.run_s)
                if self.starts == start:
                    self.crash()
                return
        _write(one, engine.answer(request))


def _read(reader: BufferedReader) -> Request | None:
    line = reader.readline().decode("latin-1").split()
    if len(line) < 2:
        return None
    heads: HTTPMessage = parse_headers(reader)
    headers = {name.lower(): value for name, value in heads.items()}
    body = reader.read(int(headers.get("content-length", 0)))
    path, _, _ = line[1].partition("?")
    return Request(line[0], tuple(part for part in path.split("/") if part), {}, headers, body)


def _write(one: socket.socket, response: Response) -> None:
    whole = isinstance(response.body, bytes)
    size = f"Content-Length: {len(response.body)}" if whole else "Transfer-Encoding: chunked"
    heads = [size, *(f"{name}: {value}" for name, value in response.headers.items())]
    one.sendall(f"HTTP/1.1 {response.status} Status\r\n".encode())
    one.sendall(("\r\n".join(heads) + "\r\n\r\n").encode())
    if whole:
        one.sendall(response.body)
        return
    for piece in response.body:
        one.sendall(f"{len(piece):x}\r\n".encode() + piece + b"\r\n")
    one.sendall(b"0\r\n\r\n")


def _reset(one: socket.socket) -> None:
    with suppress(OSError):
        one.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        one.shutdown(socket.SHUT_RDWR)  # a thread that reads from it would keep it open else
    with suppress(OSError):
        one.close()


__all__ = ["CRASHES", "CrashingEndpoint", "FrontProxy", "WhileDown"]
