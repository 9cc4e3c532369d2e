"""An HTTP connection that remembers its requests and detects surplus bytes behind a response."""

from __future__ import annotations

import io
import os
import select
import socket
from collections import OrderedDict, deque
from contextlib import suppress
from http.client import RemoteDisconnected
from typing import TYPE_CHECKING

from urllib3 import HTTPHeaderDict
from urllib3 import HTTPResponse as BodyResponse

from threadramp.edge.delivery import acked_bytes, is_delivered, was_closed_before
from threadramp.fleet.clock import steady_s
from threadramp.platform.headers import ends_in_head, holds_head, named_id
from threadramp.wire.response_limits import (
    BoundedBuffer,
    BoundedConnection,
    BoundedResponse,
    EndlessResponseError,
    Framing,
)

if TYPE_CHECKING:
    from collections.abc import Callable
    from http.client import HTTPResponse

    from urllib3 import BaseHTTPResponse

    from threadramp.wire.response_limits import BoundedReader

MAX_REMEMBERED_IDS = 256  # per connection; duplicate responses came within seconds
SURPLUS_SAMPLE_BYTES = 400  # enough to find the request id in surplus bytes
STATUS_LINE = b"HTTP/1."
END_OF_HEAD = b"\r\n\r\n"
INTERIM_STATUS_LINES = (b"HTTP/1.1 1", b"HTTP/1.0 1")
HEAD_SAMPLE_BYTES = 4096  # enough to find the request id in a response


class EndpointConnection(BoundedConnection):
    """One connection, for all requests that it carries.

    :param timeout_s: seconds to connect
    """

    def __init__(self, host: str, port: int, timeout_s: float) -> None:
        super().__init__(host, port, timeout=timeout_s)
        self.opened_at = steady_s()
        self.uses = 0
        self.request_ids: OrderedDict[str, None] = OrderedDict()
        self.reader: _ResponseReader | None = None
        self.response: BoundedResponse | None = None  # the last one
        self.method = ""
        self.request_id = ""
        self.unsent: deque[memoryview] = deque()  # of the current request
        self.defers_rest = False  # whether `send` returns while bytes are unsent
        self.can_send_rest = True
        self.looks_for_response = True  # before the request is sent completely
        self.accepted_bytes = 0  # of the current request, by the kernel
        self.acked_before = 0  # before the current request
        self.closed_before_request = False
        self.was_reset = False  # while the current request was sent

    @property
    def is_sending(self) -> bool:
        """Return whether the rest of the request is still to be sent."""
        return bool(self.unsent) and self.can_send_rest

    @property
    def may_have_arrived(self) -> bool:
        """Return whether the endpoint may have received bytes of the current request."""
        return bool(self.accepted_bytes) and not self.closed_before_request

    @property
    def is_request_delivered(self) -> bool:
        """Return whether the endpoint has received all bytes of the current request."""
        return not self.unsent and is_delivered(self.sock)

    @property
    def age_s(self) -> float:
        """Return the seconds since it was opened."""
        return steady_s() - self.opened_at

    @property
    def read_ahead(self) -> bytes:
        """Return the bytes that were read beyond the end of the last response."""
        return b"" if self.reader is None else self.reader.read_ahead

    def record_request(self, request_id: str, method: str) -> None:
        """Record that a request is sent on this connection."""
        self.uses += 1
        self.method = method
        self.request_id = request_id
        self.unsent.clear()
        self.can_send_rest = self.looks_for_response = True
        self.accepted_bytes = 0
        self.acked_before = 0 if self.sock is None else acked_bytes(self.sock)
        self.closed_before_request = False
        self.was_reset = False
        if not request_id:
            return
        self.request_ids[request_id] = None
        while len(self.request_ids) > MAX_REMEMBERED_IDS:
            self.request_ids.popitem(last=False)

    def send(self, data: bytes | memoryview) -> None:
        """Send bytes of the current request; http.client calls it for the head and the body.

        Stops at a response: an endpoint may respond before it has read a long body.

        :raises OSError: if the connection is broken, or takes nothing for its timeout
        """
        if self.sock is None:
            self.connect()  # as http.client does
        self.unsent.append(memoryview(data))
        self.send_unsent()
        while not self.defers_rest and self.is_sending and not self.has_early_response():
            self.send_more(self.timeout)

    def send_more(self, timeout_s: float) -> None:
        """Wait until the connection takes more bytes or a response arrives, and send.

        :raises OSError: if the connection is broken, or neither happens in time
        """
        poll = select.poll()
        poll.register(self.sock.fileno(), self.poll_events)
        if not poll.poll(max(1, int(timeout_s * 1000))):
            raise TimeoutError("timed out while sending")
        if not self.has_early_response():
            self.send_unsent()

    @property
    def poll_events(self) -> int:
        """Return the events to wait for while the request is sent or its response is awaited."""
        if not self.is_sending:
            return select.POLLIN
        return select.POLLOUT | (select.POLLIN if self.looks_for_response else 0)

    def send_unsent(self) -> None:
        """Send as many bytes as the kernel takes at once.

        :raises OSError: if the connection is broken and no response has arrived
        """
        while self.is_sending:
            piece = self.unsent[0]
            try:
                count = os.write(self.sock.fileno(), piece)  # `send` would wait for the timeout
            except BlockingIOError:
                return
            except ConnectionError as error:
                self._handle_broken(error)
                return
            self.accepted_bytes += count
            self.unsent.popleft()
            if count < len(piece):
                self.unsent.appendleft(piece[count:])

    def _handle_broken(self, error: ConnectionError) -> None:
        """Keep the connection if a response says why the rest could not be sent.

        The kernel reports a reset once: behind the bytes that wait, a regular end follows here.
        """
        self.was_reset = self.was_reset or isinstance(error, ConnectionResetError)
        with suppress(OSError):
            if self._peek():
                self.can_send_rest = False
                return
        if isinstance(error, BrokenPipeError):  # the end of the stream came before the reset
            self.record_end_of_stream()
        raise error

    def record_end_of_stream(self) -> None:
        """Record whether the endpoint had closed the connection before the current request."""
        self.closed_before_request = was_closed_before(self.sock, self.acked_before)

    def has_early_response(self) -> bool:
        """Return whether a response, or the end of the connection, came before all was sent.

        :raises OSError: if the connection was reset
        """
        if not self.looks_for_response:
            return False
        start = self._peek()
        if start is None:
            return False
        named = named_id(start)
        is_duplicate = named != self.request_id and named in self.request_ids
        if start.startswith(INTERIM_STATUS_LINES) or is_duplicate:
            self.looks_for_response = False  # the own response follows once all is sent
            return False
        return True

    def _peek(self) -> bytes | None:
        """Return the first bytes that wait in the socket, empty at its end, none if none wait."""
        timeout = self.sock.gettimeout()
        self.sock.setblocking(False)
        try:
            return self.sock.recv(HEAD_SAMPLE_BYTES, socket.MSG_PEEK)
        except BlockingIOError:
            return None
        finally:
            self.sock.settimeout(timeout)

    def response_class(
        self, sock: socket.socket, debuglevel: int = 0, method: str | None = None
    ) -> HTTPResponse:
        """Return the object with which http.client reads the next response."""
        return self._response(sock, debuglevel, method, b"")

    def next_response(self) -> BaseHTTPResponse:
        """Read the head of one more response, after one that was read completely.

        http.client reads one response for each request and discards what it read ahead.
        """
        response = self._response(self.sock, 0, self.method, self.read_ahead)
        response.begin()
        return BodyResponse(
            body=response,
            headers=HTTPHeaderDict(response.msg.items()),
            status=response.status,
            version=response.version,
            reason=response.reason,
            preload_content=False,
            decode_content=False,
            original_response=response,
            request_method=self.method,
        )

    def _response(
        self, sock: socket.socket, debuglevel: int, method: str | None, read_ahead: bytes
    ) -> BoundedResponse:
        response = _Response(sock, debuglevel, method, *self.deadlines(), self.record_end_of_stream)
        response.reader.bytes_read = len(read_ahead)
        response.reader.was_reset = self.was_reset
        raw = response.fp.detach()
        self.reader = _ResponseReader(
            _PrependedReader(read_ahead, raw) if read_ahead else raw, response.reader
        )
        response.fp = self.reader
        self.response = response
        return response

    def read_surplus(self) -> bytes:
        """Return the first bytes behind a response that was read completely, empty for none."""
        if self.reader is None:
            return b""
        self.reader.close()
        return self.reader.surplus_sample

    def contains_other_response(self, body: bytes) -> bool:
        """Return whether bytes of another response got into a body.

        Behind a response that ends with its connection, all bytes become part of its body.
        A duplicate response to an earlier request, or to this one if the first copy was truncated,
        fills up the length too early. Then the body contains a response head, or the bytes behind
        it do not begin a response; these bytes may not have arrived yet.
        """
        surplus_sample = self.read_surplus()
        if STATUS_LINE in body and holds_head(body):
            return True
        is_reused = self.uses > 1
        may_hold_more = surplus_sample or is_reused or self.response.framing is Framing.CLOSE
        if may_hold_more and ends_in_head(body):
            return True
        return is_reused and not STATUS_LINE.startswith(surplus_sample[: len(STATUS_LINE)])

    def body_before_copy(self, body: bytes) -> bytes | None:
        """Return the body before a whole copy of the response, none if there is no such copy.

        Behind a response that ends with its connection, a copy is part of its body. Two equal
        bodies show that neither was cut.
        """
        own_body, status_line, other = body.partition(STATUS_LINE)
        head, end, copied_body = other.partition(END_OF_HEAD)
        is_copy = status_line and end and named_id(head + end) == self.request_id
        if self.response.framing is not Framing.CLOSE or not self.request_id or not is_copy:
            return None
        return own_body if copied_body == own_body else None


class _Response(BoundedResponse):
    """Reads one response.

    :param on_end_of_stream: called, while the socket is open, if there is none
    """

    def __init__(
        self,
        sock: socket.socket,
        debuglevel: int,
        method: str | None,
        head_deadline: float,
        body_deadline: float,
        on_end_of_stream: Callable[[], None],
    ) -> None:
        super().__init__(sock, debuglevel, method, head_deadline, body_deadline)
        self.on_end_of_stream = on_end_of_stream

    def begin(self) -> None:
        """Read the head."""
        try:
            super().begin()
        except RemoteDisconnected:
            self.on_end_of_stream()
            raise


class _PrependedReader(io.RawIOBase):
    """Reads bytes that were read ahead, then those of the socket."""

    def __init__(self, read_ahead: bytes, raw: io.RawIOBase) -> None:
        self.prefix = read_ahead
        self.raw = raw

    def readable(self) -> bool:
        return True

    def readinto(self, buffer: memoryview) -> int | None:
        if not self.prefix:
            return self.raw.readinto(buffer)
        size = min(len(buffer), len(self.prefix))
        buffer[:size], self.prefix = self.prefix[:size], self.prefix[size:]
        return size

    def close(self) -> None:
        self.raw.close()
        super().close()


class _ResponseReader(BoundedBuffer):
    """Reads one response; at its end it checks for more bytes without waiting.

    http.client reads ahead and discards the surplus together with the reader.
    """

    def __init__(self, raw: io.RawIOBase, bounded: BoundedReader) -> None:
        super().__init__(raw, bounded)
        self.sock = bounded.sock
        self.read_ahead = b""

    @property
    def surplus_sample(self) -> bytes:
        """Return the first bytes behind the response."""
        return self.read_ahead[:SURPLUS_SAMPLE_BYTES]

    def close(self) -> None:
        """Close the reader, but not the connection."""
        if not self.closed:
            self.read_ahead = self._peek_waiting()
        super().close()

    def _peek_waiting(self) -> bytes:
        """Return the bytes that were read ahead, else those that wait in the socket."""
        timeout = self.sock.gettimeout()
        try:
            self.sock.setblocking(False)
            return self.peek(1)
        except (OSError, ValueError, EndlessResponseError):  # it is closed already, or has to be
            return b""
        finally:
            with suppress(OSError):
                self.sock.settimeout(timeout)


__all__ = ["SURPLUS_SAMPLE_BYTES", "EndpointConnection"]
