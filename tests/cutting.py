"""An HTTP server whose answers end early, by a close or by a reset of the connection."""

from __future__ import annotations

import socket
import struct
import threading
from contextlib import suppress
from dataclasses import dataclass
from enum import Enum
from itertools import product
from typing import TYPE_CHECKING

from threadramp.wire.response_limits import Framing

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

RESET = struct.pack("ii", 1, 0)  # SO_LINGER: reset at close
PIECE_BYTES = 65_536
CHUNK_BYTES = 60  # so that bodies have several chunks


class End(Enum):
    """How a connection ends."""

    CLOSE = "close"
    RESET = "reset"


@dataclass(frozen=True)
class Cut:
    """Where and how a response ends.

    :param after: bytes that are sent
    """

    framing: Framing
    after: int
    end: End


class CuttingServer:
    """Reads one request on each connection, answers it up to a byte, and ends the connection.

    :param answer: returns the whole answer to a request in a framing
    """

    def __init__(self, answer: Callable[[bytes, Framing], bytes]) -> None:
        self.answer = answer
        self.cut = Cut(Framing.LENGTH, 0, End.CLOSE)
        self.sent = b""  # of the last response
        self.ends_first = False  # whether it stops listening before a connection ends
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=64)
        self.name = self.listener.getsockname()
        threading.Thread(target=self._accept, daemon=True).start()

    @property
    def address(self) -> str:
        """Return where it listens."""
        host, port = self.name
        return f"{host}:{port}"

    def close(self) -> None:
        """Accept no more connections."""
        with suppress(OSError):  # it is closed already
            self.listener.shutdown(socket.SHUT_RDWR)  # its thread may wait on it still
        self.listener.close()

    def _accept(self) -> None:
        with suppress(OSError):  # the listener was closed
            while True:
                caller, _ = self.listener.accept()
                self._serve(caller)

    def _serve(self, caller: socket.socket) -> None:
        cut = self.cut
        with suppress(OSError), caller:
            caller.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            request = read_request(caller)
            self.sent = self.answer(request, cut.framing)[: cut.after]
            caller.sendall(self.sent)
            if self.ends_first:
                self.close()
            if cut.end is End.RESET:
                caller.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)


def cuts(whole: Callable[[Framing], bytes]) -> Iterator[Cut]:
    """Yield each end of a response before its last byte, and the ends behind it.

    :param whole: returns the response in a framing
    """
    for framing, end in product(Framing, End):
        for after in range(len(whole(framing)) + 1):
            yield Cut(framing, after, end)


def framed(framing: Framing, body: bytes, headers: dict[str, str], status: str = "200 OK") -> bytes:
    """Return a whole response; the header that tells its end comes last."""
    named = dict(headers)
    if framing is Framing.LENGTH:
        named["Content-Length"] = str(len(body))
    elif framing is Framing.CHUNKED:
        named["Transfer-Encoding"] = "chunked"
        body = b"".join(_chunks(body))
    lines = [f"HTTP/1.1 {status}", *(f"{name}: {text}" for name, text in named.items()), "", ""]
    return "\r\n".join(lines).encode() + body


def _chunks(body: bytes) -> Iterator[bytes]:
    for start in range(0, len(body), CHUNK_BYTES):
        chunk = body[start : start + CHUNK_BYTES]
        yield b"%04x\r\n%s\r\n" % (len(chunk), chunk)  # leading zeros: a cut size is none
    yield b"0\r\n\r\n"


def read_request(caller: socket.socket) -> bytes:
    """Read one request as a whole: what stays unread turns a close into a reset."""
    read = b""
    while b"\r\n\r\n" not in read:
        read += _received(caller)
    head, _, body = read.partition(b"\r\n\r\n")
    fields = head.lower().split(b"\r\n")[1:]
    length = next((int(one[15:]) for one in fields if one.startswith(b"content-length:")), 0)
    while len(body) < length:
        body += _received(caller)
    if b"transfer-encoding: chunked" in fields:
        while not body.endswith(b"0\r\n\r\n"):
            body += _received(caller)
    return head + b"\r\n\r\n" + body


def _received(caller: socket.socket) -> bytes:
    piece = caller.recv(PIECE_BYTES)
    if not piece:
        raise ConnectionError
    return piece


__all__ = ["Cut", "CuttingServer", "End", "cuts", "framed", "read_request"]
