"""Runs CherryPy's HTTP server (cheroot) with our own handler.

The handler needs the bytes as the caller sent them.
"""

from __future__ import annotations

import socket
import threading
from typing import TYPE_CHECKING

from cheroot.errors import MaxSizeExceeded
from cheroot.server import Gateway, SizeCheckWrapper
from urllib3 import HTTPHeaderDict

from threadramp.edge.caller_server import CallerServer
from threadramp.edge.slow_readers import SlowReaders, send_now
from threadramp.report.log import log_state

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from threadramp.fleet.model import CallerLimits

MAX_IDLE_CONNECTIONS = 1000  # of callers, without a request
BACKLOG = 256
# A smaller body is written by the thread of its request: the kernel's buffer takes it at once.
MAX_DIRECT_BYTES = 16_384
# Of the kernel for each connection, which doubles it. By default it grows to megabytes for a slow
# reader, and none of that would be bounded here.
SEND_BUFFER_BYTES = 32_768
DISCARD_BYTES = 65_536  # read at once from a body that nobody wants
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


class BodyTooLongError(Exception):
    """The request body is longer than allowed."""


class CallerRequest:
    """One request of a caller, with methods to respond to it."""

    def __init__(self, raw) -> None:  # noqa: ANN001 - cheroot's request has no public type
        self.raw = raw
        self.is_read = not raw.chunked_read  # cheroot discards the rest of a body with a length
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
        """Read the complete body.

        :param limit: in bytes
        :raises BodyTooLongError: if it is longer than ``limit``
        :raises OSError: if the caller stopped, disconnected or sent malformed chunks before its end
        """
        length = self.headers.get("Content-Length", "")
        if length.isdigit() and int(length) > limit:
            raise BodyTooLongError(f"body of {length} bytes exceeds the limit of {limit}")
        body = self._read_chunked() if self.raw.chunked_read else self._read_known_length()
        if len(body) > limit:
            raise BodyTooLongError(f"body of {len(body)} bytes exceeds the limit of {limit}")
        return body

    def _read_known_length(self) -> bytes:
        body = self.raw.rfile.read()
        if self.raw.rfile.remaining:
            raise ConnectionError("the caller disconnected before the end of its body")
        return body

    def _read_chunked(self, size: int | None = None) -> bytes:
        """Read a chunked body, or the next bytes of it; at its end also the trailers.

        cheroot leaves the line that ends the body, and trailers, for the next request.
        """
        try:
            data = self.raw.rfile.read(size)
            if self.raw.rfile.closed and not self.is_read:
                self._read_trailers()
                self.is_read = True
        except (MaxSizeExceeded, ValueError) as error:
            raise OSError(f"the chunked body is incomplete or malformed: {error!r}") from error
        return data

    def _read_trailers(self) -> None:
        trailers = SizeCheckWrapper(self.raw.conn.rfile, self.raw.server.limits.header_bytes)
        while (line := trailers.readline()) != b"\r\n":
            if not line:
                raise ConnectionError("the caller disconnected before the end of its body")

    def _discard_body(self) -> None:
        """Read the rest of a chunked body, which would be taken for the next request.

        The connection is closed instead if the rest is too long or does not arrive.
        """
        left = self.raw.server.limits.body_bytes
        try:
            while not self.is_read and left > 0:
                left -= len(self._read_chunked(DISCARD_BYTES))
        except OSError as error:
            log_state("body_not_discarded", error=repr(error))
        if not self.is_read:
            self.raw.close_connection = True

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
        if not self.raw.close_connection:
            self._discard_body()

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
    """

    def __init__(
        self,
        address: str,
        handle: Callable[[CallerRequest], None],
        threads: int,
        limits: CallerLimits,
        max_held_bytes: int = DEFAULT_MAX_HELD_BYTES,
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
        self.server.keep_alive_conn_limit = MAX_IDLE_CONNECTIONS
        self.server.server_name = "threadramp"
        self.server.error_log = _log_server_error
        self.server.prepare()
        # Accepted connections inherit it.
        self.server.socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
        self.thread = threading.Thread(target=self.server.serve, name="http", daemon=True)
        self.thread.start()

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


__all__ = ["BodyTooLongError", "CallerRequest", "EdgeServer"]
