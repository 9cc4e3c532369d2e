"""Sends requests to any of several gateways."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING, Any

import msgspec
from urllib3 import PoolManager, Timeout
from urllib3.exceptions import HTTPError

from threadramp.client.errors import RequestRefusedError, UnreachableError
from threadramp.config.findings import Finding
from threadramp.wire.outcomes import Refusal

if TYPE_CHECKING:
    from collections.abc import Sequence

    from urllib3 import BaseHTTPResponse

CONNECT_TIMEOUT_S = 1.0
FIRST_ERROR = 400


class ErrorBody(msgspec.Struct, frozen=True):
    """A refusal's body."""

    error: Refusal
    findings: tuple[Finding, ...] = ()


class Api:
    """The gateways, behind one name or named one by one.

    :param gateways: base addresses, ``http://ip:port``
    :param token: bearer token of the role
    """

    def __init__(self, gateways: Sequence[str], token: str) -> None:
        self.gateways = [gateway.rstrip("/") for gateway in gateways]
        self.token = token
        self.turns = itertools.count()
        self.http = PoolManager(maxsize=16, retries=False)

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

        :raises HTTPError: if no answer came
        """
        sent = {"Authorization": f"Bearer {self.token}", **(headers or {})}
        encoded = body if isinstance(body, bytes) or body is None else msgspec.json.encode(body)
        return self.http.request(
            method,
            (gateway or self.next_gateway()) + path,
            body=encoded,
            headers=sent,
            timeout=Timeout(connect=CONNECT_TIMEOUT_S, read=timeout_s),
            preload_content=not stream,
        )

    def ask(self, method: str, path: str, body: Any = None, **options: Any) -> BaseHTTPResponse:
        """Send a request that may be repeated, to each gateway until one answers.

        :raises RequestRefusedError: if it was refused
        :raises UnreachableError: if no gateway answered
        """
        last = ""
        for _ in self.gateways:
            try:
                return checked(self.request(method, path, body, **options))
            except HTTPError as error:
                last = type(error).__name__
        raise UnreachableError(f"no gateway answered: {last}")


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


__all__ = ["Api", "checked", "refusal_of"]
