"""Checks the heads of callers' requests, and sends answers to callers that read slowly."""

from __future__ import annotations

import re
import socket
import threading
from contextlib import suppress
from typing import TYPE_CHECKING

from cheroot.server import HeaderReader

from threadramp.edge.exchange import RESET_AT_CLOSE
from threadramp.report.log import log_state
from threadramp.wire.receiving import ReceivingConnection, ReceivingRequest, ReceivingServer

if TYPE_CHECKING:
    from cheroot.server import SizeCheckWrapper

    from threadramp.edge.slow_readers import SlowReaders

SINGLE_VALUE_HEADERS = (b"Authorization", b"Host", b"Content-Length")  # as cheroot spells them
HEADER_LINE = re.compile(rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+:[\t\x20-\x7e\x80-\xff]*\r\n")
HEAD_ENDS = (b"\r\n", b"")  # the empty line, or the end of the connection
LENGTH = re.compile(rb"[0-9]+")
CHUNKED = b"chunked"
TOO_LARGE = "431 Request Header Fields Too Large"
CHEROOT_TOO_LARGE = ("413", "414")  # cheroot's status for a head over the limit
MAX_LOGGED_TARGET = 200  # characters of the path of a request whose head was refused


class _CallerHeaders(dict):
    """Request headers that join repeated values of single-value headers with commas.

    cheroot keeps only the last value, so that two different values would pass for a single one.
    """

    def __setitem__(self, name: bytes, value: bytes) -> None:
        if name in SINGLE_VALUE_HEADERS and name in self:
            value = b", ".join((self[name], value))
        super().__setitem__(name, value)


class _HeaderLines:
    """The header lines of a request, each with the syntax of RFC 9112, section 5.

    cheroot strips blanks and control characters, and keeps only the last line of a folded value.
    """

    def __init__(self, rfile: SizeCheckWrapper) -> None:
        self.rfile = rfile

    def readline(self) -> bytes:
        """Read one line.

        :raises ValueError: if it is malformed
        """
        line = self.rfile.readline()
        if line not in HEAD_ENDS and not HEADER_LINE.fullmatch(line):
            raise ValueError("Malformed header line.")
        return line


def _check_framing(headers: dict[bytes, bytes], version: str) -> None:
    """Check that the end of the body is known, as in RFC 9112, sections 6.1 and 6.3.

    Codings other than chunked are left to cheroot, which answers 501.

    :param version: of HTTP, both in the request and supported here
    :raises ValueError: if it is not, or if another server may see another end
    """
    length = headers.get(b"Content-Length")
    if length is not None and not LENGTH.fullmatch(length):
        raise ValueError("Malformed Content-Length header.")
    encoding = headers.get(b"Transfer-Encoding")
    if encoding is None:
        return
    if length is not None:
        raise ValueError("Both Content-Length and Transfer-Encoding.")
    if version != "HTTP/1.1":
        raise ValueError("Transfer-Encoding before HTTP/1.1.")
    codings = [coding.strip().lower() for coding in encoding.split(b",")]
    if codings[-1] != CHUNKED or codings.count(CHUNKED) > 1:
        raise ValueError("Transfer-Encoding must end with chunked and hold it once.")


class _CallerHTTPRequest(ReceivingRequest):
    """A request whose head is checked strictly."""

    def __init__(self, *args: object, **options: object) -> None:
        super().__init__(*args, **options)
        self.inheaders = _CallerHeaders()

    def header_reader(self, rfile: SizeCheckWrapper, headers: dict[bytes, bytes]) -> None:
        """Read the headers; cheroot answers an error with status 400.

        :raises ValueError: if a line is malformed, or the end of the body is not known
        """
        HeaderReader()(_HeaderLines(rfile), headers)
        _check_framing(headers, self.response_protocol)

    def _describe_head(self) -> dict[str, object]:
        """Return how much of the head was read, for the log."""
        return {
            "request_line_read": self.started_request,
            "target": getattr(self, "uri", b"").decode("latin-1")[:MAX_LOGGED_TARGET],
            "served_before": self.conn.served,
        }

    def simple_response(self, status: str, msg: str = "") -> None:
        """Respond to a request that cannot be served."""
        if self.in_head:
            if status.startswith(CHEROOT_TOO_LARGE):
                status = TOO_LARGE
            self.close_connection = True
            self.conn.may_linger = True
            self.server.limited_log.log(
                log_state, "head_refused", status=status, **self._describe_head()
            )
        super().simple_response(status, msg)


class _CallerConnection(ReceivingConnection):
    """A connection of a caller, who may read answers slowly."""

    request_class = _CallerHTTPRequest

    def __init__(self, server: CallerServer, sock: socket.socket, makefile: object = None) -> None:
        super().__init__(server, sock, makefile)
        self.unsent_lock = threading.Lock()
        self.has_unsent = False
        self.resets = False  # instead of a regular close
        self.is_broken = False  # whether the rest of an answer could not be sent
        self.keeps_open: bool | None = None  # what to do once everything is sent, none if not known

    def send_rest(self, rest: memoryview) -> None:
        """Let the server send the rest of the answer; the connection is kept until then."""
        self.has_unsent = True
        self.server.slow_readers.add(self.socket, rest, self._rest_ended)

    def defer(self, keeps_open: bool) -> bool:
        """Return whether the end of this turn must wait until the answer is sent.

        :param keeps_open: whether the connection is kept open then
        """
        with self.unsent_lock:
            if self.has_unsent:
                self.keeps_open = keeps_open
            return self.has_unsent

    def close(self) -> None:
        """Close the connection, after the rest of the answer."""
        if not self.defer(False):
            super().close()

    def _end_output(self) -> bool:
        return not (self.resets or self.is_broken) and super()._end_output()

    def _close_kernel_socket(self) -> None:
        """End the connection, as cheroot does; a reset must not follow a regular end."""
        if not self.resets:
            super()._close_kernel_socket()
            return
        with suppress(OSError):  # the caller has disconnected
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_AT_CLOSE)

    def _rest_ended(self, complete: bool) -> None:
        with self.unsent_lock:
            self.has_unsent = False
            self.is_broken = not complete
            keeps_open, self.keeps_open = self.keeps_open, None
        if keeps_open is None:
            return  # the thread of the request does the rest
        if keeps_open:
            self.server.put_conn(self)
        else:
            self.close()


class CallerServer(ReceivingServer):
    """A server for callers, with limits that may be changed while it runs."""

    ConnectionClass = _CallerConnection

    def __init__(self, *args: object, **options: object) -> None:
        super().__init__(*args, **options)
        self.slow_readers: SlowReaders | None = None

    def put_conn(self, conn: _CallerConnection) -> None:
        """Keep a connection open; if its answer is not sent yet, once it is."""
        if conn.is_broken:
            conn.close()
        elif not conn.defer(True):
            super().put_conn(conn)


__all__ = ["CallerServer"]
