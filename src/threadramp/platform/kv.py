"""Client of the platform's key-value service."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from urllib3 import PoolManager, Timeout
from urllib3.exceptions import HTTPError

if TYPE_CHECKING:
    from urllib3 import BaseHTTPResponse

VERSION_HEADER = "X-Version"
ABSENT = 0  # the version of a key that does not exist
WATCH_MARGIN_S = 2.0


class KvUnavailableError(Exception):
    """The service did not answer; a write may have taken effect all the same."""


@dataclass(frozen=True)
class KvValue:
    """A value with the version at which it was written; version 0 if there is none."""

    value: bytes
    version: int


@dataclass(frozen=True)
class KvWrite:
    """The answer to a compare-and-swap.

    :param written: whether it took effect
    :param current: what the key holds now
    """

    written: bool
    current: KvValue


class KvClient:
    """Calls the key-value service.

    :param base: ``http://ip:port``
    :param timeout_s: seconds after which a call is given up
    """

    def __init__(self, base: str, timeout_s: float) -> None:
        self.base = base.rstrip("/")
        self.timeout_s = timeout_s
        self.pool = PoolManager(maxsize=16, retries=False)
        self.calls = 0

    def get(self, key: str) -> KvValue:
        """Read a key; the answer may come from an older copy.

        :raises KvUnavailableError: if no answer came
        """
        return _value(self._call("GET", key, {}, None, self.timeout_s))

    def swap(self, key: str, expected: int, value: bytes, lease: str = "") -> KvWrite:
        """Write a key if it is still at the expected version.

        :param expected: ``ABSENT`` creates the key
        :param lease: id of a lease with which the key goes
        :raises KvUnavailableError: if no answer came; the write may have taken effect
        """
        query = {"expect": str(expected)}
        if lease:
            query["lease"] = lease
        response = self._call("PUT", key, query, value, self.timeout_s)
        if response.status == 409:
            return KvWrite(False, _value(response))
        return KvWrite(True, KvValue(value, _value(response).version))

    def watch(self, key: str, after: int, wait_s: float) -> KvValue:
        """Wait until a key's version differs from ``after``, or the wait is over.

        :raises KvUnavailableError: if no answer came
        """
        query = {"after": str(after), "wait": str(wait_s)}
        return _value(self._call("GET", key, query, None, wait_s + WATCH_MARGIN_S))

    def lease(self, ttl_s: float) -> str:
        """Grant a lease that lapses after ``ttl_s`` seconds.

        :raises KvUnavailableError: if no answer came
        """
        url = f"{self.base}/leases"
        return self._send("POST", url, {"ttl": str(ttl_s)}, None, self.timeout_s).data.decode()

    def _call(
        self, method: str, key: str, query: dict[str, str], body: bytes | None, timeout_s: float
    ) -> BaseHTTPResponse:
        return self._send(method, f"{self.base}/kv/{key}", query, body, timeout_s)

    def _send(
        self, method: str, url: str, query: dict[str, str], body: bytes | None, timeout_s: float
    ) -> BaseHTTPResponse:
        self.calls += 1
        text = "&".join(f"{name}={value}" for name, value in query.items())
        try:
            response = self.pool.request(
                method,
                f"{url}?{text}",
                body=body,
                timeout=Timeout(connect=self.timeout_s, read=timeout_s),
            )
        except HTTPError as error:
            raise KvUnavailableError(type(error).__name__) from error
        if response.status not in (200, 404, 409):
            raise KvUnavailableError(f"status {response.status}")
        return response


def _value(response: BaseHTTPResponse) -> KvValue:
    return KvValue(response.data, int(response.headers.get(VERSION_HEADER, ABSENT)))


__all__ = ["ABSENT", "KvClient", "KvUnavailableError", "KvValue", "KvWrite", "VERSION_HEADER"]
