"""Runs CherryPy's HTTP server (cheroot) with our own handler.

The handler needs the bytes as the caller sent them.
"""

from __future__ import annotations

import socket
import threading
from contextlib import contextmanager
from typing import TYPE_CHECKING

from cheroot.server import Gateway
from urllib3 import HTTPHeaderDict

from threadramp.edge.caller_server import CallerServer
from threadramp.edge.slow_readers import SlowReaders, send_now
from threadramp.policy.request_buffers import DEFAULT_MAX_BYTES
from threadramp.report.log import log_state
from threadramp.wire.body_framing import BodyTooLongError
from threadramp.wire.receiving import DEFAULT_MAX_CONNECTIONS, NoRoomError
from threadramp.wire.response_limits import process_limits

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Iterator

    from threadramp.fleet.model import CallerLimits
    from threadramp.report.metrics import Metrics

BACKLOG = 256
# A smaller body is written by the thread of its request: the kernel's buffer takes it at once.
MAX_DIRECT_BYTES = 16_384
# Of the kernel for each connection, which doubles it. By default it grows to megabytes for a slow
# reader, and none of that would be bounded here.
SEND_BUFFER_BYTES = 32_768
DEFAULT_MAX_HELD_BYTES = 40_000_000
REASONS = {
    200: "OK",
    202: "Accepted",
    400: "Bad Request",
    401: "Unauthorized",
    404: "Not Found",
    408: "Request Timeout",
    413: "Content Too Large",
    500: "Internal Server Error",
    502: "Bad Gateway",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}


class CallerRequest:
    """One request of a caller, with methods to respond to it."""

    def __init__(self, raw) -> None:  # noqa: ANN001 - cheroot's request has no public type
        self.raw = raw
        self.method = raw.method.decode("latin-1")
        self.target = raw.uri.decode("latin-1")
        self.headers = HTTPHeaderDict()
        for name, value in raw.inheaders.items():
            self.headers[name.decode("latin-1")] = value.decode("latin-1")

    @property
    def host(self) -> str:
        """Return the host of the request, without the port."""
        return self.headers.get("Host", "").partition(":")[0].lower()

    @property
    def path(self) -> str:
        """Return the path without the query."""
        return self.target.partition("?")[0]

    @property
    def socket(self) -> socket.socket:
        """Return the caller's socket."""
        return self.raw.conn.socket

    @property
    def arrived_at(self) -> float:
        """Return the monotonic time at which the first bytes of the request had arrived."""
        return self.raw.conn.arrived_at

    def read_body(self, limit: int) -> bytes:
        """Return the complete body.

        If it has not arrived, the request waits without a thread and is handled again once it has:
        call this before anything that must not be done twice.

        :param limit: in bytes
        :raises BodyPending: if it has not arrived; let it pass
        :raises BodyTooLongError: if it is longer than ``limit``
        :raises NoRoomError: if there is no room for it now
        :raises OSError: if the caller stopped, disconnected or sent malformed chunks before its end
        """
        return self.raw.receive_body(limit)

    @property
    def max_request_bytes(self) -> int:
        """Return how many bytes may be held of all requests."""
        return self.raw.server.buffers.max_bytes

    @contextmanager
    def reserved(self, size: int) -> Iterator[None]:
        """Have room for bytes that the request needs beyond its body.

        :raises NoRoomError: if there is none
        """
        buffers = self.raw.server.buffers
        if not buffers.reserve(size):
            raise NoRoomError(f"no room for {size} bytes")
        try:
            yield
        finally:
            buffers.unreserve(size)

    def respond(
        self,
        status: int,
        headers: Iterable[tuple[str, str]] = (),
        body: bytes = b"",
        reason: str = "",
        close: bool = False,
    ) -> None:
        """Send a complete response."""
        self._head(status, headers, reason, close)
        pairs = self.raw.outheaders
        bodiless = status < 200 or status in (204, 304)
        if not bodiless and not any(name.lower() == b"content-length" for name, _ in pairs):
            pairs.append((b"Content-Length", str(len(body)).encode()))
        self.raw.ensure_headers_sent()
        if body and self.raw.method != b"HEAD":
            self._send_body(body)

    def _send_body(self, body: bytes) -> None:
        """Send a body; the rest of a large one is sent without this thread."""
        slow_readers = self.raw.server.slow_readers
        if slow_readers is None or self.raw.chunked_write or len(body) <= MAX_DIRECT_BYTES:
            self.raw.write(body)
            return
        rest = memoryview(body)
        rest = rest[send_now(self.socket, rest) :]
        if rest:
            self.raw.conn.send_rest(rest)

    def start_response(
        self, status: int, headers: Iterable[tuple[str, str]], reason: str, close: bool
    ) -> None:
        """Send the head of a response whose body follows in chunks."""
        self._head(status, headers, reason, close)
        self.raw.ensure_headers_sent()

    def write(self, data: bytes) -> None:
        """Send a chunk of the body.

        :raises OSError: if the caller has disconnected
        """
        self.raw.write(data)

    def abort(self) -> None:
        """Close the connection in the middle of a response, without the final chunk.

        A body that is not chunked, as for a caller with HTTP/1.0, would end with a regular close.
        """
        self.raw.conn.resets = not self.raw.chunked_write
        self.raw.chunked_write = False
        self.raw.close_connection = True

    def _head(
        self, status: int, headers: Iterable[tuple[str, str]], reason: str, close: bool
    ) -> None:
        phrase = reason or REASONS.get(status, "Status")
        self.raw.status = f"{status} {phrase}".encode("latin-1")
        self.raw.outheaders = [
            (name.encode("latin-1"), value.encode("latin-1")) for name, value in headers
        ]
        if close:
            self.raw.close_connection = True

    def close_without_response(self) -> None:
        """Close the connection without a response, as the caller has disconnected."""
        self.raw.close_connection = True
        self.raw.sent_headers = True


class _HandlerGateway(Gateway):
    """cheroot gateway that passes each request to the handler of its server."""

    def respond(self) -> None:
        """Serve one request."""
        self.req.server.edge.serve(CallerRequest(self.req))


class EdgeServer:
    """An HTTP server at one address.

    :param handle: responds to a request
    :param threads: number of requests that are served at once
    :param limits: limits on size and time of requests, until others are set
    :param max_held_bytes: of answers that callers have not read, over all callers
    :param max_connections: that are open at once; for a further one another is closed
    :param max_request_bytes: of requests that arrive or are served, over all callers
    """

    def __init__(
        self,
        address: str,
        handle: Callable[[CallerRequest], None],
        threads: int,
        limits: CallerLimits,
        max_held_bytes: int = DEFAULT_MAX_HELD_BYTES,
        max_connections: int = DEFAULT_MAX_CONNECTIONS,
        max_request_bytes: int = DEFAULT_MAX_BYTES,
    ) -> None:
        host, _, port = address.partition(":")
        self.handle = handle
        self.server = CallerServer(
            (host, int(port)), _HandlerGateway, minthreads=threads, maxthreads=threads
        )
        self.server.edge = self
        self.server.slow_readers = SlowReaders(max_held_bytes, lambda: self.server.limits.idle_s)
        self.server.set_limits(limits)
        self.server.request_queue_size = BACKLOG
        self.server.max_connections = max_connections
        self.server.buffers.max_bytes = max_request_bytes
        self.server.buffers.held_elsewhere = self._held_elsewhere
        self.server.server_name = "threadramp"
        self.server.error_log = _log_server_error
        self.server.prepare()
        # Accepted connections inherit it.
        self.server.socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
        self.thread = threading.Thread(target=self.server.serve, name="http", daemon=True)
        self.thread.start()

    def observe(self, metrics: Metrics, address: str) -> None:
        """Count refusals in the metrics, and show what requests hold and the open connections.

        :param address: label of this server's address
        """
        self.server.count = metrics.count
        metrics.show("request_bytes", address, lambda: self.server.buffers.held)
        metrics.show("open_connections", address, lambda: len(self.server.open))

    def _held_elsewhere(self) -> int:
        """Return the bytes that the process holds of responses and of unread answers."""
        return process_limits.buffers.held + self.server.slow_readers.held_bytes

    @property
    def limits(self) -> CallerLimits:
        """Return the current limits for callers."""
        return self.server.limits

    def set_limits(self, limits: CallerLimits) -> None:
        """Apply other limits from now on."""
        self.server.set_limits(limits)

    @property
    def is_busy(self) -> bool:
        """Return whether a request is being read or served."""
        return self.server.active > 0 or self.server.slow_readers.count > 0

    def stop_accepting(self) -> None:
        """Read no further requests; those that were read are still served."""
        self.server.stop_accepting()

    def serve(self, request: CallerRequest) -> None:
        """Serve one request."""
        self.handle(request)


def _log_server_error(message: str = "", level: int = 20, traceback: bool = False) -> None:
    if level >= 30:
        log_state("http_error", message=message.strip()[:500])


__all__ = ["BodyTooLongError", "CallerRequest", "EdgeServer", "NoRoomError"]
