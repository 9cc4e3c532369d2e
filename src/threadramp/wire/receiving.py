"""An HTTP server whose threads never wait for the bytes of a request.

CherryPy's HTTP server (cheroot) reads a request in the thread that serves it, so that each slow
sender holds a thread, and holds what it has read without a limit. Here the thread that watches all
connections receives what arrives, and hands a request to a thread once its head is complete. A
handler that wants the body calls ``receive_body``; until the body has arrived the request waits
without a thread, and then the handler is called again. What is held of all requests is bounded by
``RequestBuffers``, and the number of connections by ``open_connections``.
"""

from __future__ import annotations

import errno
import io
import os
import socket
import threading
import time
from contextlib import suppress
from enum import Enum
from typing import TYPE_CHECKING

from cheroot.connections import ConnectionManager
from cheroot.makefile import MakeFile
from cheroot.server import HTTPConnection, HTTPRequest, HTTPServer

from threadramp.fleet.clock import steady_s
from threadramp.fleet.model import CallerLimits
from threadramp.policy.open_connections import WaitingConnection, connections_to_close
from threadramp.policy.request_buffers import HeldRequest, RequestBuffers
from threadramp.report.limited_log import LimitedLog
from threadramp.report.log import log_state
from threadramp.wire.body_framing import (
    BodyTooLongError,
    ChunkedDecoder,
    FramingError,
    LengthDecoder,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from threadramp.wire.body_framing import Decoder

RECEIVE_BYTES = 65_536  # at once from a connection, so that all make progress
HEAD_ENDS = (b"\n\r\n", b"\n\n")  # cheroot refuses the second
END_SEARCH_BYTES = 3
IDLE_MARGIN_S = 1.0  # added to the idle time, as a request may cross our close
# After a response to a request that was not read, further bytes are discarded for this time:
# closing with unread bytes would reset the connection, and the response would be lost.
LINGER_S = 2.0
RETRY_S = 1.0  # what was refused for lack of room fits once other requests have ended
NO_ROOM = (
    b"HTTP/1.1 503 Service Unavailable\r\nRetry-After: %.2f\r\nContent-Length: 0\r\n"
    b"Connection: close\r\n\r\n" % RETRY_S
)
NO_DESCRIPTORS_PAUSE_S = 0.05
NO_DESCRIPTORS = (errno.EMFILE, errno.ENFILE)
DEFAULT_MAX_CONNECTIONS = 1024


class BodyPending(BaseException):  # noqa: N818 - no error
    """The body that a handler asks for has not arrived; the handler is called again later.

    Like ``GeneratorExit`` it is no ``Exception``, so that no handler takes it for a failure.
    """


class NoRoomError(Exception):
    """There is no room for a body; nothing of its request ran."""


class Phase(Enum):
    """What is received next on a connection; the value is logged."""

    HEAD = "head"
    BODY = "body"
    REST = "rest of a body"  # which nobody wants; the response was sent
    LINGER = "bytes after the last response"


class ReceivedInput:
    """What arrived on a connection and was not used yet, as the file that cheroot reads."""

    def __init__(self) -> None:
        self.buffer = bytearray()
        self.searched = 0  # bytes in which no head ends
        self.has_ended = False  # the peer sends no more
        self.timed_out = False
        self.closed = False
        self.bytes_read = 0

    def readline(self, size: int = -1) -> bytes:
        """Read a line, or as many bytes of it.

        :raises TimeoutError: if the rest did not arrive in time
        """
        end = self.buffer.find(b"\n") + 1 or (len(self.buffer) if self.has_ended else size)
        return self.read(end if size < 0 else min(end, size))

    def read(self, size: int) -> bytes:
        """Read as many bytes, or those before the end of the connection.

        :raises TimeoutError: if they did not arrive in time
        """
        if not self.has_ended and not 0 <= size <= len(self.buffer):
            raise TimeoutError("timed out")  # cheroot compares this text
        with memoryview(self.buffer) as view:
            data = bytes(view[:size])
        del self.buffer[: len(data)]
        self.searched = 0
        self.bytes_read += len(data)
        return data

    def contains_head(self, max_bytes: int) -> bool:
        """Return whether a head is complete, or will never be."""
        if self.has_ended or self.timed_out or len(self.buffer) > max_bytes:
            return True
        start = max(0, self.searched - END_SEARCH_BYTES)
        self.searched = len(self.buffer)
        return any(self.buffer.find(end, start) >= 0 for end in HEAD_ENDS)

    def has_data(self) -> bool:
        """Return false: the server looks at what has arrived before it asks."""
        return False

    def close(self) -> None:
        """Drop what has arrived."""
        self.closed = True
        self.buffer.clear()


class BodyInput:
    """The body of a request, as the file that an application reads."""

    def __init__(self, request: ReceivingRequest) -> None:
        self.request = request

    @property
    def arrived_at(self) -> float:
        """Return the time on the steady clock at which the request began to arrive."""
        return self.request.conn.arrived_at

    def receive(self, max_bytes: int) -> bytes:
        """Return the whole body; see ``ReceivingRequest.receive_body``."""
        return self.request.receive_body(max_bytes)

    def read(self, size: int = -1) -> bytes:
        """Return the whole body if it is no longer than the server's limit."""
        return self.receive(self.request.server.limits.body_bytes)


class ReceivingRequest(HTTPRequest):
    """A request that may wait for its body without a thread."""

    in_head = False

    def parse_request(self) -> None:
        """Parse the head, unless that was done before the wait for the body."""
        if self.ready:
            return
        self.in_head = True
        super().parse_request()
        self.in_head = False

    def respond(self) -> None:
        """Call the handler; if it needs a body that has not arrived, wait for that."""
        self.rfile = BodyInput(self)
        try:
            self.server.gateway(self).respond()
        except BodyPending:
            self.conn.wait_for_body(self)
            return
        self.ready and self.ensure_headers_sent()
        if self.chunked_write:
            self.conn.wfile.write(b"0\r\n\r\n")

    def receive_body(self, max_bytes: int) -> bytes:
        """Return the whole body.

        A handler calls it before it does anything that must not be done twice.

        :param max_bytes: that the body may have
        :raises BodyPending: if it has not arrived; handlers let it pass
        :raises BodyTooLongError: if it is longer
        :raises NoRoomError: if there is no room for it
        :raises OSError: if the caller stopped, disconnected or sent malformed chunks before its end
        """
        return self.conn.receive_body(lambda: self._new_decoder(max_bytes))

    def _new_decoder(self, max_bytes: int) -> Decoder:
        if self.chunked_read:
            return ChunkedDecoder(max_bytes, self.server.limits.header_bytes)
        length = max(0, int(self.inheaders.get(b"Content-Length", 0)))
        if length > max_bytes:
            raise BodyTooLongError(f"body of {length} bytes exceeds {max_bytes}")
        return LengthDecoder(length, max_bytes)

    def send_headers(self) -> None:
        """Send the head; the connection is closed if it is not known where the body ends."""
        if not self.conn.skip_body(lambda: self._new_decoder(self.server.limits.body_bytes)):
            self.close_connection = True
        super().send_headers()


class ReceivingConnection(HTTPConnection):
    """A connection on which requests are received without a thread.

    It belongs to one thread at a time: to the one that watches the connections, while it is
    registered there, or to the one that serves its request.

    :ivar phase: what is received next
    :ivar request: the request that waits for its body, none while no request waits
    :ivar held: what is counted of the request, whether it arrives or is served
    :ivar has_begun: whether bytes of a request have arrived that was not answered
    :ivar served: requests on this connection that were answered or given up
    :ivar may_linger: whether more bytes may arrive after the last response
    """

    request_class: type[ReceivingRequest] = ReceivingRequest

    def __init__(self, server: ReceivingServer, sock: socket.socket, makefile: object = None):
        super().__init__(server, sock, _make_file)
        self.RequestHandlerClass = self._next_request
        self.phase = Phase.HEAD
        self.request: ReceivingRequest | None = None
        self.decoder: Decoder | None = None
        self.body = io.BytesIO()
        self.body_error: Exception | None = None
        self.held = HeldRequest()
        self.waiting = WaitingConnection(steady_s(), self.held)
        self.has_begun = False
        self.arrived_at = 0.0
        self.served = 0
        self.may_linger = False
        self.is_open = True
        server.open.add(self)

    # -- receiving -------------------------------------------------------------------------

    def receive(self) -> bool:
        """Receive what has arrived; true if a thread is needed now."""
        try:
            data = os.read(self.socket.fileno(), RECEIVE_BYTES)
        except BlockingIOError:
            return False
        except OSError:
            self.rfile.has_ended = True
            data = b""
        if data:
            self.held.record(len(data), steady_s())
            self.rfile.buffer += data
        else:
            self.rfile.has_ended = True
        return self.advance()

    def advance(self) -> bool:
        """Use what has arrived; true if a thread is needed now."""
        is_ready = {
            Phase.HEAD: self._advance_head,
            Phase.BODY: self._advance_body,
            Phase.REST: self._advance_rest,
            Phase.LINGER: self._advance_linger,
        }[self.phase]()
        if self.is_open and not self.server.account(self):
            self.server.refuse(self)
            return False
        return is_ready and self.is_open

    def _advance_head(self) -> bool:
        if not self.rfile.buffer:
            if self.rfile.has_ended:
                self.end()
            return False
        if not self.has_begun and not self._begin():
            return False
        return self.rfile.contains_head(self.server.max_request_header_size or RECEIVE_BYTES)

    def _begin(self) -> bool:
        """Begin a request, unless the server reads no more requests."""
        self.arrived_at = self.waiting.since = steady_s()  # it may wait for a thread from here on
        self.has_begun = self.server.request_begins()
        if not self.has_begun:
            self.end()  # nothing of it was used, so its caller may try another server
        return self.has_begun

    def _advance_body(self) -> bool:
        """Decode what has arrived; true if the body is complete or never will be."""
        if self.body_error is not None:
            return True
        try:
            self.decoder.feed(self.rfile.buffer, self.body.write)
        except BodyTooLongError as error:
            self.body_error = error
        except FramingError as error:
            self.body_error = OSError(f"the chunked body is malformed: {error}")
        else:
            if self.rfile.has_ended and not self.decoder.is_complete:
                self.body_error = ConnectionError(
                    "the caller disconnected before the end of its body"
                )
        return self.decoder.is_complete or self.body_error is not None

    def _advance_rest(self) -> bool:
        try:
            self.decoder.feed(self.rfile.buffer, _discard)
        except (BodyTooLongError, FramingError) as error:
            self.server.limited_log.log(log_state, "body_not_discarded", error=repr(error))
            self.end()
            return False
        if self.decoder.is_complete:
            self._expect_head()
            return self._advance_head()
        if self.rfile.has_ended:
            self.end()
        return False

    def _advance_linger(self) -> bool:
        self.rfile.buffer.clear()
        if self.rfile.has_ended:
            self.end()
        return False

    def expires_at(self) -> float:
        """Return when the wait for the next bytes ends."""
        limits = self.server.limits
        if self.phase is Phase.LINGER:
            return self.waiting.since + LINGER_S
        if self.phase is not Phase.HEAD:
            return self.held.progress_at + limits.idle_s
        if self.has_begun:
            return self.arrived_at + limits.header_s
        return self.waiting.since + limits.idle_s + IDLE_MARGIN_S

    def expire(self) -> bool:
        """End the wait for the next bytes; true if a thread is needed to respond."""
        if self.phase is Phase.HEAD and self.has_begun:
            self.rfile.timed_out = True
            return True
        if self.phase is Phase.BODY:
            self.body_error = TimeoutError("the body stopped arriving")
            return True
        self.end()
        return False

    # -- serving ---------------------------------------------------------------------------

    def _next_request(self, server: ReceivingServer, conn: ReceivingConnection) -> ReceivingRequest:
        """Return the request that waited for its body, or else a new one."""
        waited, self.request = self.request, None
        return waited or self.request_class(server, conn)

    def communicate(self) -> bool:
        """Serve a request; true if the connection stays open."""
        stays_open = False
        try:
            stays_open = super().communicate()
        finally:
            if self.request is None:
                self._finish_request()
        return stays_open or self.request is not None

    def receive_body(self, new_decoder: Callable[[], Decoder]) -> bytes:
        """Return the body; see ``ReceivingRequest.receive_body``."""
        if self.decoder is None:
            decoder = new_decoder()
            left = getattr(decoder, "left", 0)  # of a chunked body nothing is known yet
            if not self.server.buffers.can_fit(left):
                self.server.record_refusal("no room", self)
                raise NoRoomError(f"no room for a body of {left} bytes")
            self.decoder = decoder
        if not self._advance_body():
            raise BodyPending
        if self.body_error is not None:
            raise self.body_error
        return self.body.getvalue()

    def wait_for_body(self, request: ReceivingRequest) -> None:
        """Let a request wait until its body has arrived."""
        self.request = request
        self.phase = Phase.BODY

    def skip_body(self, new_decoder: Callable[[], Decoder]) -> bool:
        """Discard what has arrived of a body that nobody wants; false if its end is not known."""
        self.may_linger = True
        if self.body_error is not None:
            return False
        try:
            self.decoder = self.decoder or new_decoder()
            self.decoder.feed(self.rfile.buffer, _discard)
        except (BodyTooLongError, FramingError):
            return False
        self.may_linger = not self.decoder.is_complete
        return True

    def _finish_request(self) -> None:
        """Drop the request that was answered or given up."""
        if self.has_begun:
            self.has_begun = False
            self.served += 1
            self.server.request_ends()
        self.request = None
        self.body = io.BytesIO()
        self.server.buffers.release(self.held)
        if self.decoder is not None and not self.decoder.is_complete:
            self.phase = Phase.REST
        else:
            self._expect_head()

    def _expect_head(self) -> None:
        self.phase = Phase.HEAD
        self.decoder = self.body_error = None
        self.waiting.since = steady_s()

    # -- ending ----------------------------------------------------------------------------

    def refuse(self) -> None:
        """Refuse the request that arrives, of which nothing ran."""
        if self.phase in (Phase.HEAD, Phase.BODY):
            with suppress(OSError):  # the caller has disconnected
                os.write(self.socket.fileno(), NO_ROOM)

    def close(self) -> None:
        """Close the connection; what still arrives is discarded, so that the response is read."""
        self.may_linger |= self.phase in (Phase.BODY, Phase.REST) or bool(self.rfile.buffer)
        if not self.may_linger or not self._end_output():
            self.end()
            return
        self._finish_request()
        self.phase = Phase.LINGER
        self.waiting.since = steady_s()
        self.rfile.buffer.clear()
        self.server.put_conn(self)

    def _end_output(self) -> bool:
        """End our side of the connection; false if it must be closed at once."""
        if self.phase is Phase.LINGER or self.rfile.has_ended or not self.server.ready:
            return False
        try:
            self.socket.shutdown(socket.SHUT_WR)
        except OSError:
            return False
        return True

    def end(self) -> None:
        """Close the connection at once."""
        if not self.is_open:
            return
        self.is_open = False
        self.server.open.discard(self)
        self._finish_request()
        super().close()


def _discard(data: bytes) -> None:
    """Take bytes of a body that nobody wants."""


def _make_file(sock: socket.socket, mode: str, bufsize: int) -> object:
    return ReceivedInput() if "r" in mode else MakeFile(sock, mode, bufsize)


class WaitingConnections(ConnectionManager):
    """The connections on which bytes are awaited, watched by one thread."""

    def __init__(self, server: ReceivingServer) -> None:
        super().__init__(server)
        self.lock = threading.Lock()
        self.waiting: set[ReceivingConnection] = set()
        self.next_expiry = 0.0

    def put(self, conn: ReceivingConnection) -> None:
        """Watch a connection."""
        with self.lock:
            self.waiting.add(conn)
            super().put(conn)
            self.next_expiry = min(self.next_expiry, conn.expires_at())

    def take(self, conn: ReceivingConnection) -> bool:
        """Stop watching a connection; false if it is not watched, and so in use elsewhere."""
        with self.lock:
            if conn not in self.waiting:
                return False
            self.waiting.discard(conn)
            self._selector.unregister(conn.socket.fileno())
            return True

    def snapshot(self) -> list[ReceivingConnection]:
        """Return all connections that are watched."""
        with self.lock:
            return list(self.waiting)

    def _run(self, expiration_interval: float) -> None:
        while not self._stop_requested:
            timeout_s = max(0.0, min(expiration_interval, self.next_expiry - steady_s()))
            for _, conn in list(self._selector.select(timeout=timeout_s)):
                if conn is self.server:
                    self._accept()
                elif self.take(conn):
                    self.server.process_conn(conn)
            if steady_s() >= self.next_expiry:
                self._expire_some(expiration_interval)

    def _accept(self) -> None:
        try:
            conn = self._from_server_socket(self.server.socket)
        except OSError as error:
            if error.errno not in NO_DESCRIPTORS:
                raise
            if not self.server.close_waiting(1, "no descriptors"):
                time.sleep(NO_DESCRIPTORS_PAUSE_S)  # else the loop would spin
            return
        if conn is None:
            return
        excess = len(self.server.open) - self.server.max_connections
        if excess <= 0 or self.server.close_waiting(excess, "too many"):
            self.server.process_conn(conn)
        else:
            conn.end()  # all others are served

    def _expire_some(self, interval_s: float) -> None:
        """End the waits that took too long."""
        now = steady_s()
        next_expiry = now + interval_s
        for conn in self.snapshot():
            expires_at = conn.expires_at()
            if expires_at > now:
                next_expiry = min(next_expiry, expires_at)
            elif self.take(conn) and conn.expire():
                self.server.serve_conn(conn)
        with self.lock:
            self.next_expiry = next_expiry

    def close(self) -> None:
        """Close all connections that are watched."""
        for conn in self.snapshot():
            if self.take(conn):
                conn.end()
        self._selector.close()


class ReceivingServer(HTTPServer):
    """A server of cheroot whose threads never wait for the bytes of a request.

    :ivar buffers: counts what is held of requests; servers of a process may share it
    :ivar count: increments a counter by kind and label
    """

    ConnectionClass = ReceivingConnection
    limits = CallerLimits()
    max_connections = DEFAULT_MAX_CONNECTIONS
    keep_alive_conn_limit = None  # of idle connections; `max_connections` bounds all

    def __init__(self, *args: object, **options: object) -> None:
        super().__init__(*args, **options)
        self.buffers = RequestBuffers()
        self.limited_log = LimitedLog()
        self.count: Callable[[str, str], None] = lambda kind, label: None
        self.open: set[ReceivingConnection] = set()
        self.lock = threading.Lock()
        self.active = 0  # requests that arrive or are served
        self.is_closing = False

    def prepare(self) -> None:
        """Bind the address and start the threads."""
        super().prepare()
        self._connections.close()
        self._connections = WaitingConnections(self)

    def set_limits(self, limits: CallerLimits) -> None:
        """Apply these limits from now on."""
        self.limits = limits
        self.timeout = limits.idle_s + IDLE_MARGIN_S  # of writes
        self.max_request_header_size = limits.header_bytes
        self.buffers.largest_request = limits.header_bytes + limits.body_bytes + RECEIVE_BYTES

    def process_conn(self, conn: ReceivingConnection) -> None:
        """Receive what has arrived on a connection, which was taken from the watched ones."""
        if conn.receive():
            self.serve_conn(conn)
        elif conn.is_open:
            self._watch(conn)

    def serve_conn(self, conn: ReceivingConnection) -> None:
        """Hand a connection to a thread."""
        self.buffers.complete(conn.held)
        super().process_conn(conn)

    def put_conn(self, conn: ReceivingConnection) -> None:
        """Take back a connection from the thread that served it."""
        if not self.ready:
            conn.end()
        elif conn.advance():
            self.serve_conn(conn)
        elif conn.is_open:
            self._watch(conn)

    def account(self, conn: ReceivingConnection) -> bool:
        """Count what is held for a connection; false if its request must be refused.

        Other requests are refused here if they have to give way.
        """
        size = len(conn.rfile.buffer) + conn.body.tell()
        if size == conn.held.size and conn.held.is_arriving:
            return True
        refused = self.buffers.resize(conn.held, size, steady_s())
        if refused:
            by_request = {one.held: one for one in self._connections.snapshot()}
            for request in refused:
                other = by_request.get(request)
                if other is not None and self._connections.take(other):
                    self.refuse(other)
        return conn.held not in refused

    def _watch(self, conn: ReceivingConnection) -> None:
        """Watch a connection until more of a request arrives."""
        self._connections.put(conn)
        if conn.held.is_refused and self._connections.take(conn):  # by another thread meanwhile
            self.refuse(conn)

    def refuse(self, conn: ReceivingConnection) -> None:
        """Refuse the request that arrives on a connection, as there is no room for it."""
        self.record_refusal("memory", conn)
        conn.refuse()
        conn.close()

    def close_waiting(self, excess: int, reason: str) -> bool:
        """Close connections that have waited longest; true if there were as many."""
        by_waiting = {one.waiting: one for one in self._connections.snapshot()}
        closed = 0
        for one in connections_to_close(by_waiting, excess, steady_s()):
            conn = by_waiting[one]
            if self._connections.take(conn):
                self.record_refusal(reason, conn)
                if conn.has_begun:
                    conn.refuse()
                conn.end()
                closed += 1
        return closed >= excess

    def record_refusal(self, reason: str, conn: ReceivingConnection) -> None:
        """Count and log that a request or a connection was refused for lack of room."""
        now = steady_s()
        self.count("request_refused", reason)
        self.limited_log.log(
            log_state,
            "request_refused",
            reason=reason,
            phase=conn.phase.value,
            caller=f"{conn.remote_addr}:{conn.remote_port}",
            held_bytes=conn.held.size,
            bytes_per_s=round(conn.held.rate_at(now)),
            waited_s=round(now - conn.waiting.since, 2),
            open_connections=len(self.open),
            held_of_all_bytes=self.buffers.held,
            capacity_bytes=self.buffers.capacity,
        )

    def request_begins(self) -> bool:
        """Count a request that arrives; false if no more are read."""
        with self.lock:
            self.active += not self.is_closing
            return not self.is_closing

    def request_ends(self) -> None:
        """Count a request as answered or given up."""
        with self.lock:
            self.active -= 1

    def stop_accepting(self) -> None:
        """From now on close connections on which a request arrives, without reading it."""
        with self.lock:
            self.is_closing = True


__all__ = [
    "BodyPending",
    "NoRoomError",
    "ReceivingConnection",
    "ReceivingRequest",
    "ReceivingServer",
    "RETRY_S",
]
