"""Clients that misbehave: what each of a crowd sends, and the crowd that keeps connections open.

A plan sends its first bytes and then stops, with the connection open; a plan with drips goes on
sending a few bytes at a time.
"""

from __future__ import annotations

import socket
import threading
from concurrent.futures import ThreadPoolExecutor
from contextlib import ExitStack, closing, suppress
from dataclasses import dataclass, field
from pathlib import Path
from typing import TYPE_CHECKING

from threadramp.config.registry import Registry

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Iterator

PIECE = b"x" * 65_536
CHUNK = b"10000\r\n" + PIECE + b"\r\n"
LAST_CHUNK = b"0\r\n"
MAX_ENDLESS_BYTES = 200_000_000  # that a crowd sends together if nobody stops it
DRIP_INTERVAL_S = 0.5
ANSWER_TIMEOUT_S = 60.0
SEND_TIMEOUT_S = 5.0  # without progress, after which a client stops with its connection open


@dataclass(frozen=True)
class Target:
    """Where a crowd sends its requests.

    :param fields: further header lines, each with its line end
    :param body_bytes: of a body of the largest size that is allowed
    :param count: clients in the crowd
    """

    address: tuple[str, int]
    host: str = "h"
    path: str = "/x"
    fields: str = ""
    body_bytes: int = 4_000_000
    count: int = 32

    def head(self, framing: str) -> bytes:
        """Return the head of a request."""
        request_line = f"POST {self.path} HTTP/1.1\r\nHost: {self.host}\r\n"
        return f"{request_line}X-Attempt-Id: crowd\r\n{self.fields}{framing}\r\n\r\n".encode()

    @property
    def chunked_head(self) -> bytes:
        """Return the head of a request with a chunked body."""
        return self.head("Transfer-Encoding: chunked")

    def known_head(self, length: int) -> bytes:
        """Return the head of a request with a body of a known length."""
        return self.head(f"Content-Length: {length}")

    def endless(self, piece: bytes) -> Iterator[bytes]:
        """Yield the same piece up to this client's share of what a crowd sends."""
        for _ in range(MAX_ENDLESS_BYTES // self.count // len(piece)):
            yield piece


@dataclass(frozen=True)
class Plan:
    """What a client sends.

    :param first: yields its first bytes
    :param drip: is sent again and again afterwards, nothing if empty
    """

    first: Callable[[Target], Iterable[bytes]]
    drip: bytes = b""


PLANS: Registry[Plan] = Registry()


def plan(name: str, drip: bytes = b"") -> Callable:
    """Register a function that yields the first bytes as a plan."""

    def register(first: Callable[[Target], Iterable[bytes]]) -> Callable:
        PLANS.register(name)(Plan(first, drip))
        return first

    return register


def pieces(size: int) -> Iterator[bytes]:
    """Yield as many bytes of a body."""
    for start in range(0, size, len(PIECE)):
        yield PIECE[: size - start]


@plan("body one byte short")
def send_body_one_byte_short(target: Target) -> Iterator[bytes]:
    yield target.known_head(target.body_bytes)
    yield from pieces(target.body_bytes - 1)


@plan("chunked body one byte short")
def send_chunked_body_one_byte_short(target: Target) -> Iterator[bytes]:
    yield target.chunked_head
    for _ in range(target.body_bytes // len(PIECE) - 1):
        yield CHUNK
    yield CHUNK[:-3]


@plan("whole body")
def send_whole_body(target: Target) -> Iterator[bytes]:
    yield target.known_head(target.body_bytes)
    yield from pieces(target.body_bytes)


@plan("chunked body with trailers without end")
def send_trailers_without_end(target: Target) -> Iterator[bytes]:
    yield target.chunked_head
    for _ in range(target.body_bytes // len(PIECE)):
        yield CHUNK
    yield LAST_CHUNK
    yield from target.endless(b"X-Trailer: 1\r\n" * 1_000)


@plan("chunked body with one trailer line without end")
def send_trailer_line_without_end(target: Target) -> Iterator[bytes]:
    yield target.chunked_head
    for _ in range(target.body_bytes // len(PIECE)):
        yield CHUNK
    yield LAST_CHUNK + b"X-Trailer: "
    yield from target.endless(PIECE)


@plan("chunked body without end")
def send_chunked_body_without_end(target: Target) -> Iterator[bytes]:
    yield target.chunked_head
    yield from target.endless(CHUNK)


@plan("chunk of 4 GB")
def send_chunk_of_4_gb(target: Target) -> Iterator[bytes]:
    yield target.chunked_head + b"100000000\r\n"
    yield from target.endless(PIECE)


@plan("chunk size line without end")
def send_chunk_size_line_without_end(target: Target) -> Iterator[bytes]:
    yield target.chunked_head + b"5;"
    yield from target.endless(PIECE)


@plan("body of 10 GB")
def send_body_of_10_gb(target: Target) -> Iterator[bytes]:
    yield target.known_head(10_000_000_000)
    yield from target.endless(PIECE)


@plan("no body after the head")
def send_no_body(target: Target) -> Iterator[bytes]:
    yield target.known_head(100)


@plan("body byte by byte", drip=b"x")
def send_body_slowly(target: Target) -> Iterator[bytes]:
    yield target.known_head(100_000)


@plan("chunks byte by byte", drip=b"1\r\nx\r\n")
def send_chunks_slowly(target: Target) -> Iterator[bytes]:
    yield target.chunked_head


@plan("trailers byte by byte", drip=b"x")
def send_trailers_slowly(target: Target) -> Iterator[bytes]:
    yield target.chunked_head + b"1\r\nx\r\n" + LAST_CHUNK + b"X-Trailer: "


@plan("half a head")
def send_half_a_head(target: Target) -> Iterator[bytes]:
    yield target.known_head(100)[:-4]


@plan("head byte by byte", drip=b"x")
def send_head_slowly(target: Target) -> Iterator[bytes]:
    yield target.known_head(100)[:-4]


@plan("nothing")
def send_nothing(target: Target) -> Iterator[bytes]:
    yield from ()


@dataclass
class Crowd:
    """Clients with the same plan, whose connections stay open until the crowd is closed."""

    target: Target
    plan: Plan
    clients: list[socket.socket] = field(default_factory=list)
    opened: ExitStack = field(default_factory=ExitStack)
    stopped: threading.Event = field(default_factory=threading.Event)

    def __enter__(self) -> Crowd:
        """Return the crowd itself."""
        return self

    def __exit__(self, *_: object) -> None:
        """Close all connections."""
        self.stopped.set()
        self.opened.close()

    def send(self) -> None:
        """Let all clients send at once; returns when each has sent its first bytes or gave up."""
        for _ in range(self.target.count):
            try:
                client = socket.create_connection(self.target.address, timeout=SEND_TIMEOUT_S)
            except OSError:
                continue  # refused, which is allowed
            self.clients.append(self.opened.enter_context(closing(client)))
        threads = [
            threading.Thread(target=self._send_first, args=(client,)) for client in self.clients
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        if self.plan.drip:
            threading.Thread(target=self._drip, daemon=True).start()

    def send_each(self, address: tuple[str, int], requests: Iterable[bytes]) -> list[int]:
        """Send requests of their own at once, each on its connection.

        Returns the statuses of the responses, 0 where none came.
        """
        requests = list(requests)
        for _ in requests:
            client = socket.create_connection(address, timeout=ANSWER_TIMEOUT_S)
            self.clients.append(self.opened.enter_context(closing(client)))
        with ThreadPoolExecutor(len(requests)) as threads:
            return list(threads.map(_status_of, self.clients, requests))

    def _send_first(self, client: socket.socket) -> None:
        try:
            for piece in self.plan.first(self.target):
                client.sendall(piece)
        except OSError:
            return  # the server closed or reads no more, which is allowed

    def _drip(self) -> None:
        while not self.stopped.wait(DRIP_INTERVAL_S):
            for client in self.clients:
                try:
                    client.sendall(self.plan.drip)
                except OSError:
                    continue  # closed by the server


def _status_of(client: socket.socket, request: bytes) -> int:
    with suppress(OSError):  # the server closed or reads no more, which is allowed
        client.sendall(request)
    try:
        return int(client.recv(4096)[9:12] or 0)
    except OSError:
        return 0


def peak_bytes(pid: int) -> int:
    """Return the most memory that a process had resident so far."""
    status = Path(f"/proc/{pid}/status").read_text()
    line = next(line for line in status.splitlines() if line.startswith("VmHWM:"))
    return int(line.split()[1]) * 1024


def open_descriptors(pid: int) -> int:
    """Return how many descriptors a process has open."""
    return sum(1 for _ in Path(f"/proc/{pid}/fd").iterdir())


__all__ = ["PLANS", "Crowd", "Plan", "Target", "open_descriptors", "peak_bytes"]
