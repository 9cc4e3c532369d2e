"""Limits of bytes and time for responses, which a server in trouble may send without end.

A read timeout bounds only the pause between two pieces. So each part of a response (its head, its
body, one event of a stream) has a total size and a deadline here, whatever reads it.
"""

from __future__ import annotations

import io
import math
from contextlib import suppress
from dataclasses import dataclass, field
from enum import Enum
from http.client import HTTPException, HTTPResponse, IncompleteRead
from typing import TYPE_CHECKING

from urllib3 import HTTPConnectionPool, PoolManager
from urllib3.connection import HTTPConnection
from urllib3.exceptions import HTTPError

from threadramp.fleet.clock import steady_s
from threadramp.policy.response_buffers import ResponseBuffers, max_read_bytes
from threadramp.report.log import log_state

if TYPE_CHECKING:
    import socket
    from collections.abc import Callable

    from urllib3 import BaseHTTPResponse

MAX_HEAD_BYTES = 131_072  # with all interim responses before it
MAX_LINE_BYTES = 65_536  # as in http.client, which limits header lines to 100 as well
MAX_EVENT_BYTES = 1_048_576  # and the largest line of a stream
FRAMING_FACTOR = 2  # bytes of a chunked body for each byte of its content
STREAM_TYPE = "text/event-stream"
BODYLESS = (204, 304)  # final statuses without a body, whatever the head states
# Beyond the timeout of a call, for a body whose head arrived just in time.
BODY_EXTRA_S = 0.5
PIECE_BYTES = 65_536  # read at once from a chunked body
# A read whose timeout ends hardly later than the deadline keeps it: each change is a system call.
SHORTENED_SHARE = 0.9
LINE_END_BYTES = 40  # of an incomplete line, for the error's message
MIN_READ_S = 0.01  # for the first bytes of each part


class Part(Enum):
    """The part of a response that is being read; the value is logged."""

    HEAD = "head"
    BODY = "body"
    EVENT = "event"


class Framing(Enum):
    """What tells the end of a response's body (RFC 9112, section 6.3); the value is logged.

    ``CLOSE``: the end of its connection, which an early end cannot be told from.
    """

    CHUNKED = "chunked"
    LENGTH = "length"
    CLOSE = "close"


class EndlessResponseError(HTTPError):
    """A response exceeded its size or its deadline; its connection must be closed.

    It is no connection error of http.client or urllib3, which would count as a crash.

    :param part: what exceeded it
    :param too_slow: whether the deadline passed while bytes still arrived
    """

    def __init__(self, part: Part, too_slow: bool, size: int) -> None:
        self.part = part
        self.too_slow = too_slow
        self.kind = f"{part.value} too {'slow' if too_slow else 'long'}"
        super().__init__(f"{self.kind}: {size} bytes")


class IncompleteHeadError(ConnectionError):
    """The connection ended within the head of a response, whose meaning is unknown then.

    Without its last lines a head may lack the length of the body or the rest of a value.
    """


class InvalidFramingError(HTTPError):
    """The head of a response does not tell for certain where its body ends.

    RFC 9112, section 6.3: it must not be used, nor its connection.
    """


@dataclass
class ProcessLimits:
    """What all responses to this process share.

    :param count: increments a counter by kind and label
    """

    buffers: ResponseBuffers = field(default_factory=ResponseBuffers)
    count: Callable[[str, str], None] = lambda kind, label: None

    def configure(self, memory_mb: int, count: Callable[[str, str], None]) -> None:
        """Apply the memory limit of this process, and count in its metrics."""
        self.buffers.max_bytes = max_read_bytes(memory_mb)
        self.count = count


process_limits = ProcessLimits()


class BoundedReader(io.RawIOBase):
    """Reads a socket within limits of bytes and time for each part of a response."""

    def __init__(self, raw: io.RawIOBase, sock: socket.socket) -> None:
        self.raw = raw
        self.sock = sock
        self.buffers = process_limits.buffers
        self.part = Part.HEAD
        self.max_bytes: float = MAX_HEAD_BYTES
        self.deadline = math.inf
        self.bytes_read = 0  # of this part; the buffering reader may have read ahead
        self.was_reset = False  # which a failed send was told, so that no read is told again

    def readable(self) -> bool:
        """Return true."""
        return True

    def start_part(self, part: Part, max_bytes: float, deadline: float) -> None:
        """Apply new limits from here on.

        :param deadline: by the steady clock, in seconds
        """
        self._release()
        self.part = part
        self.max_bytes = max_bytes
        self.deadline = deadline
        self.bytes_read = 0

    def readinto(self, buffer: memoryview) -> int | None:
        """Read what has arrived, after a wait within the limits.

        :raises EndlessResponseError: if one of them is exceeded
        :raises TimeoutError: if nothing arrived
        :raises ConnectionResetError: if it ends, and was reset before
        """
        timeout_s = self.sock.gettimeout()
        if timeout_s == 0.0:  # it only looks for surplus bytes
            return self.raw.readinto(buffer)
        left_s = self.deadline - steady_s()
        if not self.bytes_read:  # the process may have been paused while these arrived
            left_s = max(MIN_READ_S, left_s)
        if left_s <= 0.0:
            raise self.error(True, self.bytes_read)
        if timeout_s is None or left_s < timeout_s * SHORTENED_SHARE:
            size = self._read_within(buffer, left_s, timeout_s)
        else:
            size = self.raw.readinto(buffer)
        if size == 0 and self.was_reset:
            raise ConnectionResetError("the connection was reset while the request was sent")
        self._count(size or 0)
        return size

    def close(self) -> None:
        """Close it; its bytes no longer count as held."""
        self._release()
        self.raw.close()
        super().close()

    def _read_within(
        self, buffer: memoryview, left_s: float, timeout_s: float | None
    ) -> int | None:
        self.sock.settimeout(left_s)
        try:
            return self.raw.readinto(buffer)
        except TimeoutError as error:
            if not self.bytes_read:
                raise
            raise self.error(True, self.bytes_read) from error
        finally:
            with suppress(OSError):  # another thread has closed it
                self.sock.settimeout(timeout_s)

    def _count(self, size: int) -> None:
        read = self.bytes_read + size
        if self.part is Part.BODY and not self.buffers.grow(self.bytes_read, read):
            raise self.error(False, read)
        self.bytes_read = read
        if read > self.max_bytes:
            raise self.error(False, read)

    def _release(self) -> None:
        if self.part is Part.BODY:
            self.buffers.release(self.bytes_read)
            self.bytes_read = 0

    def error(self, too_slow: bool, size: int) -> EndlessResponseError:
        """Log and count that a limit is exceeded, and return the error.

        :param size: bytes that were read, or that the response states
        """
        peer = ""
        with suppress(OSError):  # it is closed already
            peer = "{}:{}".format(*self.sock.getpeername()[:2])
        error = EndlessResponseError(self.part, too_slow, size)
        log_state("response_without_end", endpoint=peer, kind=error.kind, bytes=size)
        process_limits.count("response_without_end", error.kind)
        return error


class BoundedBuffer(io.BufferedReader):
    """Buffers what a bounded reader reads; a line that is too long is no connection error.

    http.client takes the end of the connection for the end of a line, and of a head.

    :param raw: reads the bounded reader, or is the same
    """

    def __init__(self, raw: io.RawIOBase, bounded: BoundedReader) -> None:
        super().__init__(raw)
        self.bounded = bounded
        self.has_line = False

    def readline(self, size: int | None = -1) -> bytes:
        """Read a line of a head, of the framing of chunks or of their trailers.

        :raises IncompleteHeadError: if the connection ends within a head
        :raises IncompleteRead: if it ends within another line
        """
        try:
            line = super().readline(size)
        except ConnectionError as error:
            if self._is_within_head(b""):
                raise IncompleteHeadError(repr(error)) from error
            raise
        if len(line) > MAX_LINE_BYTES:
            raise self.bounded.error(False, len(line))
        if not line.endswith(b"\n"):
            if self._is_within_head(line):
                raise IncompleteHeadError(f"the connection ended after {line[-LINE_END_BYTES:]!r}")
            if line:
                raise IncompleteRead(line)
        self.has_line = True
        return line

    def _is_within_head(self, line: bytes) -> bool:
        has_begun = self.has_line or bool(line) or self.bounded.bytes_read > 0
        return self.bounded.part is Part.HEAD and has_begun


class BoundedResponse(HTTPResponse):
    """http.client's response, read within the limits.

    :param head_deadline: for the head, by the steady clock in seconds
    :param body_deadline: for a body that is no stream
    """

    is_stream = False  # whether any body is read piece by piece
    framing = Framing.LENGTH  # known once the head is read

    def __init__(
        self,
        sock: socket.socket,
        debuglevel: int = 0,
        method: str | None = None,
        head_deadline: float = math.inf,
        body_deadline: float = math.inf,
    ) -> None:
        super().__init__(sock, debuglevel, method)
        self.sock = sock
        self.reader = BoundedReader(self.fp.detach(), sock)
        self.reader.deadline = head_deadline
        self.body_deadline = body_deadline
        self.fp = BoundedBuffer(self.reader, self.reader)

    def begin(self) -> None:
        """Read the head and check the length that it states."""
        try:
            super().begin()
        except HTTPException as error:
            if type(error) is not HTTPException:  # which only a number of lines raises
                raise
            raise self.reader.error(False, self.reader.bytes_read) from error
        self._check_framing()
        self.framing = self._framing()
        if self.is_stream or self.get_content_type() == STREAM_TYPE:
            self.reader.start_part(Part.EVENT, math.inf, math.inf)
            return
        self.start_body(self.body_deadline)
        if self.length is not None:
            self._check_size(self.length)

    def _check_framing(self) -> None:
        """Read again the values that http.client misreads or ignores as invalid.

        An ignored length leaves a body that ends with its connection, cut or not.

        :raises InvalidFramingError: if the end of the body is not certain
        """
        if self._method == "HEAD" or self.status in BODYLESS:
            return
        codings = _elements(self.headers.get_all("Transfer-Encoding", []))
        lengths = set(_elements(self.headers.get_all("Content-Length", [])))
        if codings:
            if codings != ["chunked"]:
                raise InvalidFramingError(f"transfer codings {codings}")
            self.chunked, self.chunk_left, self.length = True, None, None
        elif lengths:
            if len(lengths) > 1 or not all(map(_is_length, lengths)):
                raise InvalidFramingError(f"lengths {sorted(lengths)}")
            self.length = int(lengths.pop())
        if self.chunked or self.length is not None:
            self.will_close = self._check_close()

    def _framing(self) -> Framing:
        if self.chunked:
            return Framing.CHUNKED
        return Framing.CLOSE if self.length is None else Framing.LENGTH

    def start_body(self, deadline: float) -> None:
        """Apply the limits of a body that is held as a whole."""
        max_bytes = FRAMING_FACTOR * self.reader.buffers.max_response_bytes
        self.reader.start_part(Part.BODY, max_bytes, deadline)

    def start_event(self, deadline: float) -> None:
        """Apply the limits of the next event of a stream."""
        self.reader.start_part(Part.EVENT, MAX_EVENT_BYTES, deadline)

    def get_content_type(self) -> str:
        """Return the media type, empty if there is none."""
        return (self.headers.get("Content-Type") or "").partition(";")[0].strip().lower()

    def _read_chunked(self, amt: int | None = None) -> bytes:
        """Read a chunked body in pieces: http.client keeps an object for each chunk of one read."""
        if amt is not None:
            return super()._read_chunked(amt)
        pieces = []
        while self.fp is not None:
            pieces.append(super()._read_chunked(PIECE_BYTES))
        return b"".join(pieces)

    def _safe_read(self, amt: int) -> bytes:
        """Read that many bytes, for which http.client allocates memory at once."""
        self._check_size(amt)
        return super()._safe_read(amt)

    def _check_size(self, size: int) -> None:
        if size > self.reader.buffers.max_response_bytes:
            raise self.reader.error(False, size)


def _elements(values: list[str]) -> list[str]:
    return [one.strip().lower() for value in values for one in value.split(",")]


def _is_length(text: str) -> bool:
    return text.isascii() and text.isdigit()


class BoundedConnection(HTTPConnection):
    """urllib3's connection, whose read timeout bounds the wait for the whole head as well.

    A body that is no stream has to arrive a little later. The pieces of a stream are bounded by who
    reads them.
    """

    response_type = BoundedResponse
    was_reset = False

    def connect(self) -> None:
        """Open the connection."""
        self.was_reset = False
        super().connect()

    def send(self, data: bytes) -> None:
        """Send bytes of the current request; http.client calls it for the head and the body.

        The kernel reports a reset once. urllib3 reads the response even so, and the end of one
        without a length would look regular.
        """
        try:
            super().send(data)
        except ConnectionResetError:
            self.was_reset = True
            raise

    def response_class(
        self, sock: socket.socket, debuglevel: int = 0, method: str | None = None
    ) -> HTTPResponse:
        """Return the object with which http.client reads the next response."""
        response = self.response_type(sock, debuglevel, method, *self.deadlines())
        response.reader.was_reset = self.was_reset
        return response

    def deadlines(self) -> tuple[float, float]:
        """Return the deadlines of the head and of the body of a response that is read now."""
        timeout_s = self.timeout if isinstance(self.timeout, (int, float)) else math.inf
        deadline = steady_s() + timeout_s
        return deadline, deadline + BODY_EXTRA_S


class BoundedPool(HTTPConnectionPool):
    """urllib3's pool of such connections."""

    ConnectionCls = BoundedConnection


class _StreamResponse(BoundedResponse):
    is_stream = True


class _StreamConnection(BoundedConnection):
    response_type = _StreamResponse


class StreamPool(HTTPConnectionPool):
    """A pool of connections for whom reads each body piece by piece: only heads are bounded."""

    ConnectionCls = _StreamConnection


def ends_with_connection(response: BaseHTTPResponse) -> bool:
    """Return whether only the end of its connection tells where the body of a response ends."""
    return not response.chunked and response.length_remaining is None


def bounded_pool_manager(pool: type[HTTPConnectionPool], **options: object) -> PoolManager:
    """Return urllib3's manager of such pools."""
    manager = PoolManager(**options)
    manager.pool_classes_by_scheme = {**manager.pool_classes_by_scheme, "http": pool}
    return manager


__all__ = [
    "MAX_EVENT_BYTES",
    "MAX_HEAD_BYTES",
    "BoundedConnection",
    "BoundedPool",
    "BoundedReader",
    "BoundedResponse",
    "EndlessResponseError",
    "Framing",
    "IncompleteHeadError",
    "InvalidFramingError",
    "Part",
    "StreamPool",
    "bounded_pool_manager",
    "ends_with_connection",
    "process_limits",
]
