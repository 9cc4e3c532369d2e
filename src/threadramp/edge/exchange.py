"""One HTTP request to an endpoint and its response, on one connection."""

from __future__ import annotations

import socket
import struct
from contextlib import suppress
from dataclasses import dataclass
from http.client import HTTPException
from typing import TYPE_CHECKING

from urllib3.exceptions import HTTPError, ProtocolError
from urllib3.util import SKIP_HEADER

from threadramp.fleet.clock import steady_s
from threadramp.platform.headers import REQUEST_ID, read_answer, sent_id
from threadramp.report.log import log_state
from threadramp.wire.response_limits import EndlessResponseError, IncompleteHeadError

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator, Mapping

    from urllib3 import BaseHTTPResponse

    from threadramp.edge.endpoint_connection import EndpointConnection
    from threadramp.fleet.model import Endpoint
    from threadramp.platform.headers import AnswerHead
    from threadramp.wire.response_limits import Framing

RESET_AT_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER: discards undelivered data
MIN_FINAL_STATUS = 200  # lower ones are interim responses
MAX_DUPLICATES = 4  # responses that may be skipped before the own one
DUPLICATE_READ_TIMEOUT_S = 0.1  # for the body of such a response, after its head
DUPLICATE_BODY_S = 0.5  # for that body as a whole
CHUNK_BYTES = 65_536  # read at once from a streamed body
NO_USER_AGENT = {"User-Agent": SKIP_HEADER}
# For bytes that are not HTTP, urllib3 raises errors that are not connection errors.
READ_ERRORS = (OSError, HTTPError, HTTPException, ValueError, AttributeError)


class ExchangeError(Exception):
    """An exchange without a complete response.

    :param sent: whether bytes of the request may have reached the endpoint, so that it may run
    :param stale: whether an idle connection was found closed, which says nothing of the endpoint
    :param timed_out: whether no response head arrived in time
    :param unresponsive: whether that was on a reused connection, which may deliver nothing any more
    :param broken: whether the endpoint closed or reset the connection before a complete response
    :param refused: whether the endpoint's box refused the connection
    """

    def __init__(
        self,
        sent: bool,
        reason: str,
        stale: bool = False,
        unresponsive: bool = False,
        broken: bool = False,
        refused: bool = False,
        timed_out: bool = False,
    ) -> None:
        self.sent = sent
        self.stale = stale
        self.unresponsive = unresponsive
        self.broken = broken
        self.refused = refused
        self.timed_out = timed_out
        super().__init__(reason)


@dataclass(frozen=True)
class EndpointResponse:
    """A complete response of an endpoint."""

    head: AnswerHead
    reason: str
    headers: tuple[tuple[str, str], ...]
    body: bytes


class Exchange:
    """One request on one connection; its response is read once the socket is readable."""

    def __init__(self, endpoint: Endpoint, connection: EndpointConnection, reused: bool) -> None:
        self.endpoint = endpoint
        self.connection = connection
        self.reused = reused
        self.request_id = ""
        self.duplicates = 0

    @property
    def has_buffered_response(self) -> bool:
        """Return whether bytes of a response are buffered, which polling the socket misses."""
        return bool(self.duplicates and self.connection.read_ahead)

    @property
    def socket(self) -> socket.socket | None:
        """Return the socket, also of a response that ends with its connection."""
        sock, response = self.connection.sock, self.connection.response
        return sock if sock is not None or response is None else response.sock

    @property
    def framing(self) -> Framing:
        """Return what tells the end of the response whose head was read."""
        return self.connection.response.framing

    def fileno(self) -> int:
        """Return the file descriptor of the socket."""
        return self.connection.sock.fileno()

    @property
    def poll_events(self) -> int:
        """Return the events to wait for while the request is sent or its response is awaited."""
        return self.connection.poll_events

    @property
    def is_sending(self) -> bool:
        """Return whether the rest of the request is still to be sent, with ``send_more``."""
        return self.connection.is_sending

    def send(
        self,
        method: str,
        target: str,
        headers: Mapping[str, str],
        body: bytes | Iterable[bytes],
        defers_rest: bool = False,
        timeout_s: float | None = None,
    ) -> None:
        """Send the request, up to an early response.

        :param body: an iterable only if a header states its length
        :param defers_rest: whether to return, without waiting, while some of it is unsent
        :param timeout_s: bound of each wait for the endpoint to take more, by default the one to
            connect
        :raises ExchangeError: if the connection broke or took nothing in time
        """
        names = {name.lower() for name in headers}
        extra = {} if "user-agent" in names else NO_USER_AGENT
        self.request_id = sent_id(headers)
        self.connection.record_request(self.request_id, method)
        self.connection.defers_rest = defers_rest
        if timeout_s is not None:
            self.connection.timeout = timeout_s
        try:
            self.connection.request(
                method,
                target,
                body=body or None,
                headers={**headers, **extra},
                preload_content=False,
                decode_content=False,
            )
        except (OSError, HTTPError) as error:
            raise self._send_failure(error) from error

    def send_more(self, timeout_s: float = 0.0) -> bool:
        """Send more of the request.

        :param timeout_s: to wait until the endpoint takes more or responds
        :returns: false if a response, or the end of the connection, is to be read instead
        :raises ExchangeError: if the connection broke or took nothing in time
        """
        try:
            if self.connection.has_early_response():
                return False
            if timeout_s:
                self.connection.send_more(timeout_s)
            else:
                self.connection.send_unsent()
        except OSError as error:
            raise self._send_failure(error) from error
        return True

    def _send_failure(self, error: Exception) -> ExchangeError:
        self.close()
        sent, stale = self.connection.may_have_arrived, self._is_stale(error)
        return ExchangeError(sent, repr(error), stale, broken=is_connection_error(error))

    def read_head(self, timeout_s: float) -> BaseHTTPResponse:
        """Return the response with its head read and its body unread.

        :raises ExchangeError: if no valid head arrived
        """
        try:
            response = self._read_next_head(max(0.01, timeout_s))
        except READ_ERRORS as error:
            self.close()
            timed_out = isinstance(error, TimeoutError)
            stale, broken = self._is_stale(error), is_connection_error(error)
            unresponsive, sent = self.reused and timed_out, self.connection.may_have_arrived
            if isinstance(error, EndlessResponseError):
                timed_out = error.too_slow
            raise ExchangeError(
                sent, repr(error), stale, unresponsive, broken, timed_out=timed_out
            ) from error
        if response.status < MIN_FINAL_STATUS:  # http.client skips only status 100
            self.close()
            raise ExchangeError(True, f"status {response.status} is not final")
        return response

    def read_own_head(self, timeout_s: float) -> BaseHTTPResponse:
        """Return the first response that does not repeat one to an earlier request.

        :raises ExchangeError: if none arrived
        """
        deadline = steady_s() + timeout_s
        response = self.read_head(timeout_s)
        while self.skip_duplicate(response):
            response = self.read_head(deadline - steady_s())
        return response

    def skip_duplicate(self, response: BaseHTTPResponse) -> bool:
        """Skip a response that repeats the one to an earlier request on this connection.

        An endpoint may send a response twice, and the response to the next request follows the
        copy. Giving up at the copy lost each request that may run only once.

        :returns: whether it was skipped, so that the response to this request is still to come
        :raises ExchangeError: if it is incomplete, so that the start of the next one is unknown
        """
        named_id = response.headers.get(REQUEST_ID, "")
        is_duplicate = named_id != self.request_id and named_id in self.connection.request_ids
        sock = self.connection.sock
        if not is_duplicate or sock is None or self.duplicates >= MAX_DUPLICATES:
            return False
        sock.settimeout(DUPLICATE_READ_TIMEOUT_S)
        try:
            self.read_body(response, DUPLICATE_BODY_S)
        except ExchangeError:
            self.log("answer_not_own", named=named_id, status=response.status, skipped=False)
            raise
        self.duplicates += 1
        self.log("answer_not_own", named=named_id, status=response.status, skipped=True)
        return True

    def _read_next_head(self, timeout_s: float) -> BaseHTTPResponse:
        self.connection.timeout = timeout_s  # urllib3 applies it to the socket
        if self.duplicates:
            self.connection.sock.settimeout(timeout_s)
            return self.connection.next_response()
        return self.connection.getresponse()

    def _is_stale(self, error: Exception) -> bool:
        """Return whether a reused connection broke before any byte of a response."""
        is_begun = isinstance(error, IncompleteHeadError)
        return self.reused and is_connection_error(error) and not is_begun

    def read(self, timeout_s: float) -> EndpointResponse:
        """Read the complete response.

        :param timeout_s: for the head, and again for the body

        :raises ExchangeError: if it is not complete
        """
        return self.read_body(self.read_head(timeout_s), timeout_s)

    def read_body(self, response: BaseHTTPResponse, timeout_s: float) -> EndpointResponse:
        """Read the body of a response whose head was read.

        :param timeout_s: for all of it

        :raises ExchangeError: if it is not complete
        """
        try:
            self.connection.response.start_body(steady_s() + timeout_s)
            body = response.read(decode_content=False)
        except READ_ERRORS as error:
            self.close()
            raise ExchangeError(True, repr(error), broken=is_connection_error(error)) from error
        if self.connection.contains_other_response(body):
            self.close()
            own_body = self.connection.body_before_copy(body)
            self.log("answer_mixed", status=response.status, is_copy=own_body is not None)
            if own_body is None:
                raise ExchangeError(True, "the body contains bytes of another response")
            body = own_body
        return _endpoint_response(response, body)

    def start_event(self, timeout_s: float) -> None:
        """Apply a deadline to the next event of a stream, as a whole and for each read."""
        self.connection.response.start_event(steady_s() + timeout_s)
        self.socket.settimeout(timeout_s)

    def is_own(self, head: AnswerHead) -> bool:
        """Return whether a response belongs to this request.

        The request id that it names decides, as no connection carries the same id twice. Without
        an id, only the first response on a connection cannot be a duplicate of an earlier one.
        """
        own = head.request_id == self.request_id if head.request_id else not self.reused
        if not own:
            self.log("answer_not_own", named=head.request_id, status=head.status)
        return own

    def log(self, kind: str, **more: object) -> None:
        """Log what arrived on the connection, with the age and use count of the connection."""
        log_state(
            kind,
            request=self.request_id,
            instance=self.endpoint.instance,
            age_s=round(self.connection.age_s, 3),
            uses=self.connection.uses,
            **more,
        )

    def close(self) -> None:
        """Reset the connection; most endpoints then cancel the request.

        After a regular close, a request that is held up by a network outage would still arrive
        when the link recovers, up to ten seconds later, and run although its lot had ended or its
        caller had disconnected.
        """
        sock, response = self.socket, self.connection.response
        if sock is not None:
            with suppress(OSError):  # it is closed already
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_AT_CLOSE)
        self.connection.close()
        if response is not None:  # it keeps the socket open where it ends with its connection
            response.close()


def is_connection_error(error: BaseException) -> bool:
    """Return whether an error means that the peer closed or reset the connection."""
    return isinstance(error, (ConnectionError, ProtocolError))


def iter_body(response: BaseHTTPResponse) -> Iterator[bytes]:
    """Yield the bytes of a body as they arrive."""
    if response.chunked:
        yield from response.read_chunked(CHUNK_BYTES, decode_content=False)
        return
    while data := response.read1(CHUNK_BYTES, decode_content=False):
        yield data


def streamed_response(response: BaseHTTPResponse) -> EndpointResponse:
    """Return a response whose body was already consumed as a stream."""
    return _endpoint_response(response, b"")


def _endpoint_response(response: BaseHTTPResponse, body: bytes) -> EndpointResponse:
    headers = tuple(response.headers.iteritems())
    head = read_answer(response.status, response.headers)
    return EndpointResponse(head, response.reason or "", headers, body)


__all__ = [
    "EndpointResponse",
    "Exchange",
    "ExchangeError",
    "iter_body",
    "is_connection_error",
    "streamed_response",
]
