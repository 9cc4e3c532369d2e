"""Takes the heads of callers' requests within the limits of their size and time.

CherryPy's HTTP server bounds neither the time that a whole head takes nor the threads that new
connections without a request hold; both are done here, on its own types of connection and request.
"""

from __future__ import annotations

import socket
import threading
from typing import TYPE_CHECKING

from cheroot.makefile import MakeFile, StreamReader
from cheroot.server import HTTPConnection, HTTPRequest, HTTPServer

from threadramp.edge.connection_pool import is_readable
from threadramp.fleet.clock import steady_s
from threadramp.fleet.model import CallerLimits
from threadramp.report.log import log_state

if TYPE_CHECKING:
    from cheroot.makefile import StreamWriter

ONCE_ONLY = (b"Authorization", b"Host", b"Content-Length")  # as the library spells them
TOO_LARGE = "431 Request Header Fields Too Large"
LIBRARY_TOO_LARGE = ("413", "414")  # what the library says of a head over the limit
DISCARD_BYTES = 65_536  # read at once of a head that is refused
IDLE_MARGIN_S = 1.0  # beyond the idle time, since a request may cross our close
LEAST_WAIT_S = 0.001  # a time-out of zero would mean not to wait at all


class _TimedSocket(socket.SocketIO):
    """Reads from a socket, and while ``until`` is set, no longer than until then."""

    def __init__(self, sock: socket.socket) -> None:
        super().__init__(sock, "rb")
        self.sock = sock
        self.until: float | None = None

    def readinto(self, buffer: memoryview) -> int | None:
        """Read some bytes.

        :raises TimeoutError: if none came in time
        """
        if self.until is not None:
            self.sock.settimeout(max(LEAST_WAIT_S, self.until - steady_s()))
        return super().readinto(buffer)


class _CallerReader(StreamReader):
    """A caller's bytes, some of which must come in time."""

    def __init__(self, sock: socket.socket, bufsize: int) -> None:
        self.timed = _TimedSocket(sock)
        super(StreamReader, self).__init__(self.timed, bufsize)  # in place of an untimed socket
        self.bytes_read = 0


def _make_file(sock: socket.socket, mode: str, bufsize: int) -> _CallerReader | StreamWriter:
    return _CallerReader(sock, bufsize) if "r" in mode else MakeFile(sock, mode, bufsize)


class _CallerHeaders(dict):
    """A caller's headers; of one that may stand once only, all values are kept, with commas.

    The library keeps the last value alone, so that two different ones would pass for a single one.
    """

    def __setitem__(self, name: bytes, value: bytes) -> None:
        if name in ONCE_ONLY and name in self:
            value = b", ".join((self[name], value))
        super().__setitem__(name, value)


class _CallerHead(HTTPRequest):
    """A request whose head is taken within the limits of its server."""

    def __init__(self, *args: object, **options: object) -> None:
        super().__init__(*args, **options)
        self.inheaders = _CallerHeaders()

    def parse_request(self) -> None:
        """Read the head."""
        limits = self.server.limits
        timed = self.conn.rfile.timed
        self.in_head = True
        timed.until = steady_s() + limits.header_s
        super().parse_request()  # one that takes too long ends in a time-out, answered with 408
        self.in_head = False
        timed.until = None
        self.conn.socket.settimeout(limits.idle_s)  # for each piece of the body

    def simple_response(self, status: str, msg: str = "") -> None:
        """Answer a head that can not be served."""
        if self.in_head:
            if status.startswith(LIBRARY_TOO_LARGE):
                status = TOO_LARGE
            self.close_connection = True
            log_state("head_refused", status=status)
        super().simple_response(status, msg)
        if self.in_head:
            _read_what_came(self.conn.socket)


def _read_what_came(sock: socket.socket) -> None:
    """Read bytes that nobody wants: a close with unread ones would take the answer back."""
    sock.settimeout(LEAST_WAIT_S)
    try:
        while sock.recv(DISCARD_BYTES):
            pass
    except OSError:
        return  # nothing more has come, or the caller has gone: either way there is no more to do


class _CallerConnection(HTTPConnection):
    """A caller's connection."""

    RequestHandlerClass = _CallerHead

    def __init__(self, server: CallerServer, sock: socket.socket, makefile: object = None) -> None:
        super().__init__(server, sock, _make_file)
        self.has_sent = False
        self.arrived = 0.0

    def communicate(self) -> bool:
        """Serve one request; true if the connection is kept."""
        try:
            return super().communicate()
        finally:
            self.server.served()


class CallerServer(HTTPServer):
    """CherryPy's HTTP server, with limits that may change while it serves."""

    ConnectionClass = _CallerConnection
    limits = CallerLimits()

    def __init__(self, *args: object, **options: object) -> None:
        super().__init__(*args, **options)
        self.taken = 0
        self.is_closing = False
        self.lock = threading.Lock()

    def set_limits(self, limits: CallerLimits) -> None:
        """Hold callers to these limits from now on."""
        self.limits = limits
        self.timeout = limits.idle_s + IDLE_MARGIN_S
        self.max_request_header_size = limits.header_bytes

    def process_conn(self, conn: _CallerConnection) -> None:
        """Hand a connection to a thread once the caller has sent something."""
        if not conn.has_sent and not is_readable(conn.socket.fileno()):
            self.put_conn(conn)
            return
        conn.has_sent = True
        conn.arrived = steady_s()  # it may wait for a thread from here on
        with self.lock:
            takes = not self.is_closing
            self.taken += takes
        if takes:
            super().process_conn(conn)
        else:
            conn.close()  # nothing was read of it, so that its caller may ask elsewhere

    def served(self) -> None:
        """Count a connection that its thread is done with for now."""
        with self.lock:
            self.taken -= 1

    def stop_accepting(self) -> None:
        """Close connections on which a request comes from now on, without reading it."""
        with self.lock:
            self.is_closing = True


__all__ = ["CallerServer"]
