"""Stand-in for a server in trouble whose response never ends: it sends until its client closes."""

from __future__ import annotations

import re
import socket
import threading
import time
from contextlib import suppress
from enum import Enum

from threadramp.platform.headers import REQUEST_ID, SIGNATURE

BLOCK_BYTES = 16_384
SLOW_BYTES = 4
SLOW_PAUSE_S = 0.05  # shorter than the timeout of any single read
READ_BYTES = 65_536
# Sent at most on one connection; a client that takes it all has no limit, and its test would only
# use up the memory of the machine.
MAX_SENT_BYTES = 80_000_000
STREAM_TYPE = b"Content-Type: text/event-stream\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
_ID = re.compile(rb"(?i)\r\n" + REQUEST_ID.encode() + rb": *([^\r\n]*)")


class Endless(Enum):
    """What never ends; the value is what precedes it, from the status line on, and what repeats.

    ``%`` stands for the complete status line and the headers that make the response one to its
    request.
    """

    STATUS_LINE = (b"HTTP/1.1 200 ", b"a")
    HEADER_LINE = (b"HTTP/1.1 200 OK\r\nX-Filler: ", b"a")
    HEADER_LINES = (b"HTTP/1.1 200 OK\r\n", b"X-Filler: a\r\n")
    INTERIM = (b"", b"HTTP/1.1 100 Continue\r\n\r\n")
    BODY = (b"%Connection: close\r\n\r\n", b"a")
    CHUNKS = (b"%" + CHUNKED, b"4\r\naaaa\r\n")
    CHUNK_SIZE = (b"%" + CHUNKED, b"0")
    CHUNK_EXTENSION = (b"%" + CHUNKED + b"4;", b"a")
    CHUNK_EXTENSIONS = (b"%" + CHUNKED, b"1;" + b"a" * 1000 + b"\r\na\r\n")
    LARGE_CHUNK = (b"%" + CHUNKED + b"ffffffffff\r\n", b"a")
    NEGATIVE_CHUNK = (b"%" + CHUNKED + b"-1\r\n", b"a")
    TRAILERS = (b"%" + CHUNKED + b"4\r\naaaa\r\n0\r\n", b"X-Filler: a\r\n")
    LENGTH = (b"%Content-Length: 1000000000000\r\n\r\n", b"a")
    EVENT = (b"%" + STREAM_TYPE + b"Connection: close\r\n\r\n@data: ", b"a")
    CHUNKED_EVENT = (b"%" + STREAM_TYPE + CHUNKED + b"@ffffffffff\r\ndata: ", b"a")


class EndlessServer:
    """Answers each request with bytes without end, on a connection that it keeps open.

    :param kind: what never ends
    :param slow: whether it sends a few bytes at a time, so that no single read times out
    :param events: number of whole events that precede an event without end
    """

    def __init__(self, kind: Endless, slow: bool = False, events: int = 0) -> None:
        self.kind = kind
        self.slow = slow
        self.events = events
        self.requests: list[bytes] = []
        self.sent_bytes = 0
        self.closed_by_client = threading.Event()  # set once a client has closed its connection
        self.connections: list[socket.socket] = []
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=128)
        threading.Thread(target=self._accept, daemon=True).start()

    @property
    def address(self) -> str:
        """Return where it listens."""
        host, port = self.listener.getsockname()
        return f"{host}:{port}"

    def close(self) -> None:
        """End it and all that is open."""
        for one in (self.listener, *self.connections):
            with suppress(OSError):
                one.shutdown(socket.SHUT_RDWR)
            one.close()

    def _accept(self) -> None:
        with suppress(OSError):  # the listener was closed
            while True:
                client, _ = self.listener.accept()
                client.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                self.connections.append(client)
                threading.Thread(target=self._serve, args=(client,), daemon=True).start()

    def _serve(self, client: socket.socket) -> None:
        with suppress(OSError):
            request = _read_request(client)
            if request:
                self.requests.append(request)
                self._send(client, request)
        self.closed_by_client.set()

    def _send(self, client: socket.socket, request: bytes) -> None:
        start, repeated = self.kind.value
        client.sendall(self._start(start, request))
        block = repeated * (BLOCK_BYTES // len(repeated))
        sent = 0
        while sent < MAX_SENT_BYTES:
            position = sent % len(block)
            piece = block[position : position + SLOW_BYTES] if self.slow else block
            client.sendall(piece)
            sent += len(piece)
            self.sent_bytes += len(piece)
            if self.slow:
                time.sleep(SLOW_PAUSE_S)
        while client.recv(READ_BYTES):
            continue

    def _start(self, start: bytes, request: bytes) -> bytes:
        found = _ID.search(request)
        head = b"HTTP/1.1 200 OK\r\n" + f"{SIGNATURE}: s\r\n".encode()
        if found:
            head += f"{REQUEST_ID}: ".encode() + found[1] + b"\r\n"
        events = [
            b"id: %d\ndata: req-%d\n\n" % (number, number) for number in range(1, self.events + 1)
        ]
        if self.kind is Endless.CHUNKED_EVENT:
            events = [b"%x\r\n%s\r\n" % (len(event), event) for event in events]
        return start.replace(b"%", head).replace(b"@", b"".join(events))


def _read_request(client: socket.socket) -> bytes:
    read = b""
    while b"\r\n\r\n" not in read:
        piece = client.recv(READ_BYTES)
        if not piece:
            return b""
        read += piece
    return read


__all__ = ["Endless", "EndlessServer"]
