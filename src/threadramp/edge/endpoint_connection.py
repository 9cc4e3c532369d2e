"""An HTTP connection that remembers its requests and detects surplus bytes behind a response."""

from __future__ import annotations

import io
from collections import OrderedDict
from contextlib import suppress
from http.client import HTTPResponse
from typing import TYPE_CHECKING

from urllib3 import HTTPHeaderDict
from urllib3 import HTTPResponse as BodyResponse
from urllib3.connection import HTTPConnection

from threadramp.fleet.clock import steady_s
from threadramp.platform.headers import ends_in_head, holds_head

if TYPE_CHECKING:
    import socket

    from urllib3 import BaseHTTPResponse

MAX_REMEMBERED_IDS = 256  # per connection; duplicate responses came within seconds
SURPLUS_SAMPLE_BYTES = 400  # enough to find the request id in surplus bytes
STATUS_LINE = b"HTTP/1."


class EndpointConnection(HTTPConnection):
    """One connection, for all requests that it carries.

    :param timeout_s: seconds to connect
    """

    def __init__(self, host: str, port: int, timeout_s: float) -> None:
        super().__init__(host, port, timeout=timeout_s)
        self.opened_at = steady_s()
        self.uses = 0
        self.request_ids: OrderedDict[str, None] = OrderedDict()
        self.reader: _ResponseReader | None = None
        self.method = ""

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
        if not request_id:
            return
        self.request_ids[request_id] = None
        while len(self.request_ids) > MAX_REMEMBERED_IDS:
            self.request_ids.popitem(last=False)

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
    ) -> HTTPResponse:
        response = HTTPResponse(sock, debuglevel, method)
        raw = response.fp.detach()
        self.reader = _ResponseReader(
            _PrependedReader(read_ahead, raw) if read_ahead else raw, sock
        )
        response.fp = self.reader
        return response

    def read_surplus(self) -> bytes:
        """Return the first bytes behind a response that was read completely, empty for none."""
        if self.reader is None:
            return b""
        self.reader.close()
        return self.reader.surplus_sample

    def contains_other_response(self, body: bytes) -> bool:
        """Return whether bytes of another response got into a body of known length.

        A duplicate response to an earlier request, or to this one if the first copy was truncated,
        fills up the length too early. Then the body contains a response head, or the bytes behind
        it do not begin a response; these bytes may not have arrived yet.
        """
        surplus_sample = self.read_surplus()
        if STATUS_LINE in body and holds_head(body):
            return True
        is_reused = self.uses > 1
        if (surplus_sample or is_reused) and ends_in_head(body):
            return True
        return is_reused and not STATUS_LINE.startswith(surplus_sample[: len(STATUS_LINE)])


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


class _ResponseReader(io.BufferedReader):
    """Reads one response; at its end it checks for more bytes without waiting.

    http.client reads ahead and discards the surplus together with the reader.
    """

    def __init__(self, raw: io.RawIOBase, sock: socket.socket) -> None:
        super().__init__(raw)
        self.sock = sock
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
        except (OSError, ValueError):  # it is closed already
            return b""
        finally:
            with suppress(OSError):
                self.sock.settimeout(timeout)


__all__ = ["SURPLUS_SAMPLE_BYTES", "EndpointConnection"]
