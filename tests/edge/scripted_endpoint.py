"""An endpoint that follows a script for long requests, and counts what it runs."""

from __future__ import annotations

import socket
import struct
import threading
from contextlib import suppress
from typing import TYPE_CHECKING

from threadramp.fleet.model import Endpoint

if TYPE_CHECKING:
    from collections.abc import Callable

FIRST_BYTES = 65_536  # of a long body, with which an endpoint begins to run it
LONG_BODY = b"x" * 12_000_000  # more than the kernel queues for a peer that does not read
WINDOW_BYTES = 65_536
RESET = struct.pack("ii", 1, 0)  # SO_LINGER: reset at close
BLOCK_BYTES = 262_144


class Connection:
    """One connection of the endpoint, on which a script serves a long request."""

    def __init__(self, endpoint: ScriptedEndpoint, sock: socket.socket) -> None:
        self.endpoint = endpoint
        self.sock = sock
        self.received = b""
        self.request_id = ""
        self.size = 0
        self.left = 0  # of the body

    def read_head(self) -> None:
        """Read the next head; raises ConnectionError at the end of the connection."""
        while b"\r\n\r\n" not in self.received:
            self.received += self._receive(BLOCK_BYTES)
        head, _, self.received = self.received.partition(b"\r\n\r\n")
        fields = dict(
            line.lower().split(": ", 1) for line in head.decode().split("\r\n")[1:] if ": " in line
        )
        self.request_id = fields.get("x-attempt-id", "")
        self.left = self.size = int(fields.get("content-length", "0"))

    def read(self, size: int) -> None:
        """Read and discard bytes of the body."""
        size = min(size, self.left)
        while size:
            if not self.received:
                self.received = self._receive(min(size, BLOCK_BYTES))
            count = min(size, len(self.received))
            self.received = self.received[count:]
            size -= count
            self.left -= count

    def begin(self) -> None:
        """Begin to run the request after the first bytes of its body."""
        self.read(FIRST_BYTES)
        if self.request_id:  # a health check has none
            self.endpoint.runs.append(self.request_id)

    def answer(self, status: int = 200, more: str = "", body: str = "done") -> None:
        """Send a complete response."""
        head = f"HTTP/1.1 {status} Answer\r\nX-Attempt-Id: {self.request_id}\r\n{more}"
        if status == 200:
            head += "X-Server-Stamp: s\r\n"
        self.sock.sendall(f"{head}Content-Length: {len(body)}\r\n\r\n{body}".encode())

    def reset(self) -> None:
        """Reset the connection."""
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        raise ConnectionError

    def _receive(self, size: int) -> bytes:
        data = self.sock.recv(size)
        if not data:
            raise ConnectionError
        return data


class ScriptedEndpoint:
    """Answers short requests, and serves long ones as its script says.

    :param script: serves a long request whose head was read
    """

    def __init__(self, number: int, script: Callable[[Connection], None]) -> None:
        self.script = script
        self.runs: list[str] = []
        self.connections = 0
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, WINDOW_BYTES)
        self.listener.bind(("127.0.0.1", 0))
        self.listener.listen(16)
        host, port = self.listener.getsockname()
        self.endpoint = Endpoint(f"i-{number}", "p", f"{host}:{port}", "a", 6)
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self) -> None:
        """Accept no more connections."""
        self.listener.close()

    def _accept(self) -> None:
        with suppress(OSError):
            while True:
                sock, _ = self.listener.accept()
                self.connections += 1
                threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _serve(self, sock: socket.socket) -> None:
        connection = Connection(self, sock)
        with suppress(OSError), sock:
            while True:
                connection.read_head()
                if connection.size > FIRST_BYTES:
                    self.script(connection)
                else:
                    connection.begin()
                    connection.answer()
