"""One request to an endpoint and its answer, on one connection."""

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

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator, Mapping

    from urllib3 import BaseHTTPResponse

    from threadramp.edge.endpoint_connection import EndpointConnection
    from threadramp.fleet.model import Endpoint
    from threadramp.platform.headers import AnswerHead

RESET_AT_CLOSE = struct.pack("ii", 1, 0)  # what was not delivered yet is dropped
FINAL_STATUS = 200  # the least one; others tell that an answer is to come
DUPLICATES_MOST = 4  # responses that may be skipped before the one to a request
DUPLICATE_S = 0.1  # for the rest of such a response, whose head is there
PIECE_BYTES = 65_536  # of a body that is taken as it comes
NO_USER_AGENT = {"User-Agent": SKIP_HEADER}
# For bytes that are no answer the library raises what is none of its own connections' errors.
UNREADABLE = (OSError, HTTPError, HTTPException, ValueError, AttributeError)


class ExchangeError(Exception):
    """An exchange that brought no whole answer.

    :param sent: whether the request may have reached the endpoint
    :param stale: whether a kept connection was found closed; that says nothing of the endpoint
    :param timed_out: whether no head of an answer came in time
    :param unresponsive: whether that was on a kept connection; it may pass nothing any more
    :param broken: whether the other end closed or reset the connection while an answer was owed
    :param nobody: whether its box says that nobody listens there
    """

    def __init__(
        self,
        sent: bool,
        reason: str,
        stale: bool = False,
        unresponsive: bool = False,
        broken: bool = False,
        nobody: bool = False,
        timed_out: bool = False,
    ) -> None:
        self.sent = sent
        self.stale = stale
        self.unresponsive = unresponsive
        self.broken = broken
        self.nobody = nobody
        self.timed_out = timed_out
        super().__init__(reason)


@dataclass(frozen=True)
class EndpointResponse:
    """A whole answer of an endpoint."""

    head: AnswerHead
    reason: str
    headers: tuple[tuple[str, str], ...]
    body: bytes


class Exchange:
    """One request on one connection; its answer is read when its socket is readable."""

    def __init__(self, endpoint: Endpoint, connection: EndpointConnection, reused: bool) -> None:
        self.endpoint = endpoint
        self.connection = connection
        self.reused = reused
        self.ident = ""
        self.duplicates = 0

    @property
    def is_readable(self) -> bool:
        """Return whether bytes of a response were read already, which no poll tells."""
        return bool(self.duplicates and self.connection.read_ahead)

    def fileno(self) -> int:
        """Return the socket's descriptor."""
        return self.connection.sock.fileno()

    def send(
        self, method: str, target: str, headers: Mapping[str, str], body: bytes | Iterable[bytes]
    ) -> None:
        """Send the request.

        :param body: pieces of it only where a header names their length
        :raises ExchangeError: if it could not be sent whole
        """
        names = {name.lower() for name in headers}
        extra = {} if "user-agent" in names else NO_USER_AGENT
        self.ident = sent_id(headers)
        self.connection.carries(self.ident, method)
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
            self.close()
            stale, broken = self._is_stale(error), is_connection_error(error)
            raise ExchangeError(True, repr(error), stale, broken=broken) from error

    def response(self, timeout_s: float) -> BaseHTTPResponse:
        """Return the answer with its head read and its body to come.

        :raises ExchangeError: if no head came
        """
        try:
            response = self._next_response(max(0.01, timeout_s))
        except UNREADABLE as error:
            self.close()
            late = isinstance(error, TimeoutError)
            stale, broken = self._is_stale(error), is_connection_error(error)
            raise ExchangeError(
                True, repr(error), stale, self.reused and late, broken, timed_out=late
            ) from error
        if response.status < FINAL_STATUS:  # the library waits behind one kind of these alone
            self.close()
            raise ExchangeError(True, f"status {response.status} is not final")
        return response

    def read_own_head(self, timeout_s: float) -> BaseHTTPResponse:
        """Return the first response that repeats none to an earlier request.

        :raises ExchangeError: if none came
        """
        until = steady_s() + timeout_s
        response = self.response(timeout_s)
        while self.skip(response):
            response = self.response(until - steady_s())
        return response

    def skip(self, response: BaseHTTPResponse) -> bool:
        """Skip a response that repeats the one to an earlier request on this connection.

        An endpoint may send a response once more in the place of the next one, which follows it.
        Given up there, a request that may run once was lost with each such repetition.

        :returns: whether it was skipped; the response to this request is still to come then
        :raises ExchangeError: if it is not whole, so that nothing tells where the next one begins
        """
        named = response.headers.get(REQUEST_ID, "")
        is_earlier = named != self.ident and named in self.connection.carried
        sock = self.connection.sock
        if not is_earlier or sock is None or self.duplicates >= DUPLICATES_MOST:
            return False
        sock.settimeout(DUPLICATE_S)
        try:
            self.rest(response)
        except ExchangeError:
            self.log("answer_not_own", named=named, status=response.status, skipped=False)
            raise
        self.duplicates += 1
        self.log("answer_not_own", named=named, status=response.status, skipped=True)
        return True

    def _next_response(self, timeout_s: float) -> BaseHTTPResponse:
        if self.duplicates:
            self.connection.sock.settimeout(timeout_s)
            return self.connection.next_response()
        self.connection.timeout = timeout_s  # the library sets it at the socket
        return self.connection.getresponse()

    def _is_stale(self, error: Exception) -> bool:
        """Return whether a kept connection broke before a byte of an answer came."""
        return self.reused and isinstance(error, (ConnectionError, ProtocolError))

    def read(self, timeout_s: float) -> EndpointResponse:
        """Read the whole answer.

        :raises ExchangeError: if it is not whole
        """
        return self.rest(self.response(timeout_s))

    def rest(self, response: BaseHTTPResponse) -> EndpointResponse:
        """Read the body of an answer whose head was read.

        :raises ExchangeError: if it is not whole
        """
        try:
            body = response.read(decode_content=False)
        except UNREADABLE as error:
            self.close()
            raise ExchangeError(True, repr(error), broken=is_connection_error(error)) from error
        if self.connection.holds_another(body):
            self.close()
            self.log("answer_mixed", status=response.status)
            raise ExchangeError(True, "another answer within its body")
        return _answer(response, body)

    def is_own(self, head: AnswerHead) -> bool:
        """Return whether an answer is to this request.

        The id that it names is the proof, since no connection carries one twice. Without one only
        the first answer on a connection cannot be a second one to what was asked before.
        """
        own = head.request_id == self.ident if head.request_id else not self.reused
        if not own:
            self.log("answer_not_own", named=head.request_id, status=head.status)
        return own

    def log(self, kind: str, **more: object) -> None:
        """Log what came on the connection, and what it is like."""
        log_state(
            kind,
            request=self.ident,
            instance=self.endpoint.instance,
            age_s=round(self.connection.age_s, 3),
            uses=self.connection.uses,
            **more,
        )

    def close(self) -> None:
        """Reset the connection; most endpoints then drop the request.

        Closed plainly, a request that a cut link holds up would still arrive once it heals, up to
        ten seconds later, and run though its lot had ended or its caller had left.
        """
        sock = self.connection.sock
        if sock is not None:
            with suppress(OSError):  # it is closed already
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_AT_CLOSE)
        self.connection.close()


def is_connection_error(error: BaseException) -> bool:
    """Return whether an error says that the other end closed or reset a connection."""
    return isinstance(error, (ConnectionError, ProtocolError))


def iter_body(response: BaseHTTPResponse) -> Iterator[bytes]:
    """Yield the bytes of a body as they come."""
    if response.chunked:
        yield from response.read_chunked(PIECE_BYTES, decode_content=False)
        return
    while data := response.read1(PIECE_BYTES, decode_content=False):
        yield data


def streamed_response(response: BaseHTTPResponse) -> EndpointResponse:
    """Return an answer whose body was taken piece by piece."""
    return _answer(response, b"")


def _answer(response: BaseHTTPResponse, body: bytes) -> EndpointResponse:
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
