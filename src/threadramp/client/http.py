"""Sends requests to any of several gateways."""

from __future__ import annotations

import itertools
import uuid
from typing import TYPE_CHECKING, Any

import msgspec
from urllib3 import Timeout
from urllib3.exceptions import HTTPError

from threadramp.client.errors import RequestRefusedError, UnreachableError
from threadramp.config.findings import Finding
from threadramp.report.log import log_state
from threadramp.wire.headers import REQUEST_ID
from threadramp.wire.outcomes import Refusal
from threadramp.wire.response_limits import (
    StreamPool,
    bounded_pool_manager,
    ends_with_connection,
)

if TYPE_CHECKING:
    from collections.abc import Sequence

    from urllib3 import BaseHTTPResponse

CONNECT_TIMEOUT_S = 1.0
FIRST_ERROR = 400


class ErrorBody(msgspec.Struct, frozen=True):
    """A refusal's body."""

    error: Refusal
    findings: tuple[Finding, ...] = ()


class ForeignAnswerError(HTTPError):
    """What came is not the answer to what was asked; the request may have run."""


class UnframedAnswerError(HTTPError):
    """An answer ended with its connection; gateways state where each ends, so it was cut."""


class Api:
    """The gateways, behind one name or named one by one.

    Connections are kept, and what comes on one may answer an earlier request once more. So each
    request has an id of its own that its answer must name.

    :param gateways: base addresses, ``http://ip:port``
    :param token: bearer token of the role
    """

    def __init__(self, gateways: Sequence[str], token: str) -> None:
        self.gateways = [gateway.rstrip("/") for gateway in gateways]
        self.token = token
        self.turns = itertools.count()
        self.http = bounded_pool_manager(StreamPool, maxsize=16, retries=False)

    def next_gateway(self) -> str:
        """Return the gateway whose turn it is."""
        return self.gateways[next(self.turns) % len(self.gateways)]

    def request(
        self,
        method: str,
        path: str,
        body: Any = None,
        headers: dict[str, str] | None = None,
        timeout_s: float = 30.0,
        stream: bool = False,
        gateway: str = "",
    ) -> BaseHTTPResponse:
        """Send one request to one gateway.

        :raises ForeignAnswerError: if what came names another request or none
        :raises UnframedAnswerError: if nothing tells that the answer is whole
        :raises HTTPError: if no answer came
        """
        own = {"Authorization": f"Bearer {self.token}", REQUEST_ID: uuid.uuid4().hex}
        sent = own | (headers or {})
        encoded = body if isinstance(body, bytes) or body is None else msgspec.json.encode(body)
        response = self.http.request(
            method,
            (gateway or self.next_gateway()) + path,
            body=encoded,
            headers=sent,
            timeout=Timeout(connect=CONNECT_TIMEOUT_S, read=timeout_s),
            preload_content=False,
        )
        _check_own(response, sent[REQUEST_ID])
        if not stream:
            _check_framed(response)
            response.read(cache_content=True)
        return response

    def ask(self, method: str, path: str, body: Any = None, **options: Any) -> BaseHTTPResponse:
        """Send a request that may be repeated, to each gateway until one answers.

        :raises RequestRefusedError: if it was refused
        :raises UnreachableError: if no gateway answered
        """
        last = ""
        for _ in self.gateways:
            try:
                return checked(self._own(method, path, body, **options))
            except HTTPError as error:
                last = type(error).__name__
        raise UnreachableError(f"no gateway answered: {last}")

    def _own(self, method: str, path: str, body: Any, **options: Any) -> BaseHTTPResponse:
        """Send a request that may be repeated, once more after an answer that is not its own.

        :raises HTTPError: if no answer came
        """
        gateway = options.pop("gateway", "") or self.next_gateway()
        try:
            return self.request(method, path, body, gateway=gateway, **options)
        except ForeignAnswerError:
            return self.request(method, path, body, gateway=gateway, **options)


def _check_own(response: BaseHTTPResponse, request_id: str) -> None:
    """Close the connection of an answer that is not the request's own.

    :raises ForeignAnswerError: if it names another or none
    """
    named = response.headers.get(REQUEST_ID)
    if named == request_id:
        return
    response.close()
    log_state("answer_not_own", request=request_id, named=named, status=response.status)
    raise ForeignAnswerError(f"the answer to {request_id} names {named}")


def _check_framed(response: BaseHTTPResponse) -> None:
    """Close the connection of an answer whose end nothing but that of its connection tells.

    :raises UnframedAnswerError: if there is no length and there are no chunks
    """
    if ends_with_connection(response):
        response.close()
        raise UnframedAnswerError(f"status {response.status} without a length")


def checked(response: BaseHTTPResponse) -> BaseHTTPResponse:
    """Return the response unless it is a refusal.

    :raises RequestRefusedError: if it is
    """
    if response.status < FIRST_ERROR:
        return response
    raise RequestRefusedError(*refusal_of(response.data))


def refusal_of(data: bytes) -> tuple[Refusal, tuple[Finding, ...]]:
    """Return the refusal in a body, with its findings."""
    try:
        body = msgspec.json.decode(data, type=ErrorBody)
    except msgspec.DecodeError as error:
        raise UnreachableError(f"not a gateway's answer: {data[:80]!r}") from error
    return body.error, body.findings


__all__ = ["Api", "ForeignAnswerError", "UnframedAnswerError", "checked", "refusal_of"]
