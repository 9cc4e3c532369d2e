"""An engine over raw sockets that ends its responses as its script says."""

from __future__ import annotations

import json
import socket
import struct
import threading
from contextlib import suppress
from dataclasses import dataclass

from threadramp.fleet.model import Endpoint
from threadramp.wire.response_limits import Framing

RESET = struct.pack("ii", 1, 0)  # SO_LINGER: reset at close
EVENT_COUNT = 3
BLOCK_BYTES = 65_536
POLL_S = 0.01
REPORT = json.dumps({"models": [], "busy": False, "seq": 0}).encode()


def events(first: int, last: int, name: str = "req") -> bytes:
    """Return events of the stream of a request."""
    return b"".join(f"id: {n}\ndata: {name}-{n}\n\n".encode() for n in range(first, last + 1))


@dataclass(frozen=True)
class Ending:
    """How one response of the engine ends.

    :param size: bytes of its framed body after which it ends, none for all of them
    :param resets: whether the connection is reset, else closed
    :param crashes: whether the engine ends with it
    :param copies: bytes of a copy of the whole response that follow; -1 for all
    :param holds: whether it ends only once it is released or the gateway has closed the connection
    """

    size: int | None = None
    resets: bool = False
    crashes: bool = False
    copies: int = 0
    holds: bool = False


WHOLE = Ending()


class ClosingEngine:
    """Streams events, or one body, and ends each connection behind the response.

    :param endings: of its responses in turn; later ones are whole
    :param body: sent instead of a stream
    :param restarts_as: id of the start that listens once it has crashed, empty for none
    :param rejections: of requests after the first run
    """

    def __init__(
        self,
        number: int,
        framing: Framing,
        endings: tuple[Ending, ...] = (),
        body: bytes | None = None,
        restarts_as: str = "",
        status: int = 200,
        rejections: int = 0,
    ) -> None:
        self.framing = framing
        self.endings = list(endings)
        self.body = body
        self.restarts_as = restarts_as
        self.status = status
        self.rejections = rejections
        self.instance = f"i-{number}"
        self.after: list[int] = []  # of each run
        self.checks = 0
        self.is_silent = False
        self.released = threading.Event()  # what it holds
        self.listener = socket.create_server(("127.0.0.1", 0))
        host, port = self.listener.getsockname()
        self.endpoint = Endpoint(self.instance, "p", f"{host}:{port}", "a", 6)
        threading.Thread(target=self._accept, args=(self.listener,), daemon=True).start()

    def close(self) -> None:
        """Stop listening."""
        with suppress(OSError):
            self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()

    def _accept(self, listener: socket.socket) -> None:
        with suppress(OSError):
            while True:
                sock, _ = listener.accept()
                threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _serve(self, sock: socket.socket) -> None:
        with suppress(OSError), sock:
            target, headers = _read_request(sock)
            if headers.get("x-expect-instance", self.instance) != self.instance:
                sock.sendall(b"HTTP/1.1 421 Other\r\nContent-Length: 0\r\n\r\n")
            elif target.startswith("/threadramp/report"):
                self.checks += 1
                if self.is_silent:
                    sock.recv(1)
                sock.sendall(_head(200, headers, f"Content-Length: {len(REPORT)}") + REPORT)
            elif self.after and self.rejections:
                self.rejections -= 1
                more = "X-Not-Executed: 1\r\nContent-Length: 0"
                sock.sendall(_head(503, headers, more))
            else:
                self._answer(sock, headers)

    def _answer(self, sock: socket.socket, headers: dict[str, str]) -> None:
        after = int(headers.get("last-event-id", "0"))
        self.after.append(after)
        ending = self.endings.pop(0) if self.endings else WHOLE
        name = headers.get("x-attempt-id", "")
        content = events(after + 1, EVENT_COUNT, name) if self.body is None else self.body
        kind = "text/event-stream" if self.body is None else "text/plain"
        framing, body = _framed(self.framing, content)
        head = _head(self.status, headers, f"Content-Type: {kind}", "X-Server-Stamp: s", *framing)
        size = len(body) if ending.size is None else ending.size
        copy = (head + body)[: None if ending.copies < 0 else ending.copies]
        sock.sendall(head + body[:size] + copy)
        if ending.holds:
            while not self.released.wait(POLL_S) and not _is_closed(sock):
                pass
        if ending.crashes:  # the kernel closes what it listened on as well
            self._crash()
        if ending.resets:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)

    def _crash(self) -> None:
        address = self.listener.getsockname()
        self.close()
        if self.restarts_as:
            self.instance = self.restarts_as
            self.listener = socket.create_server(address)
            threading.Thread(target=self._accept, args=(self.listener,), daemon=True).start()


def framed_size(framing: Framing, content: bytes) -> int:
    """Return the bytes of a framed body."""
    return len(_framed(framing, content)[1])


def _framed(framing: Framing, content: bytes) -> tuple[list[str], bytes]:
    if framing is Framing.LENGTH:
        return [f"Content-Length: {len(content)}"], content
    if framing is Framing.CLOSE:
        return ["Connection: close"], content
    pieces = [piece + b"\n\n" for piece in content.split(b"\n\n") if piece]
    chunks = b"".join(b"%x\r\n%s\r\n" % (len(piece), piece) for piece in pieces)
    return ["Transfer-Encoding: chunked"], chunks + b"0\r\n\r\n"


def _head(status: int, headers: dict[str, str], *more: str) -> bytes:
    own = f"X-Attempt-Id: {headers.get('x-attempt-id', '')}"
    return "\r\n".join([f"HTTP/1.1 {status} Answer", own, *more, "", ""]).encode()


def _is_closed(sock: socket.socket) -> bool:
    try:
        return sock.recv(1, socket.MSG_DONTWAIT) == b""
    except BlockingIOError:
        return False
    except OSError:
        return True


def _read_request(sock: socket.socket) -> tuple[str, dict[str, str]]:
    received = b""
    while b"\r\n\r\n" not in received:
        data = sock.recv(BLOCK_BYTES)
        if not data:
            raise ConnectionError
        received += data
    head, _, body = received.partition(b"\r\n\r\n")
    first, *lines = head.decode().split("\r\n")
    headers = {name.lower(): value for name, _, value in (one.partition(": ") for one in lines)}
    left = int(headers.get("content-length", "0")) - len(body)
    while left > 0:
        left -= len(sock.recv(BLOCK_BYTES))
    return first.split(" ")[1], headers


__all__ = ["EVENT_COUNT", "WHOLE", "ClosingEngine", "Ending", "events", "framed_size"]
