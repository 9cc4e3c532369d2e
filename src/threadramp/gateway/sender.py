"""Sends a call to a sidecar and checks that the whole, own answer came back."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

import msgspec
from urllib3 import Timeout
from urllib3.exceptions import (
    ConnectTimeoutError,
    HTTPError,
    NewConnectionError,
    ReadTimeoutError,
)

from threadramp.core.call import Failure
from threadramp.core.keys import EndpointResponse
from threadramp.report.log import log_state
from threadramp.wire import headers
from threadramp.wire.outcomes import Outcome, Refusal
from threadramp.wire.response_limits import BoundedPool, bounded_pool_manager
from threadramp.wire.seal import digest

if TYPE_CHECKING:
    from urllib3 import BaseHTTPResponse

CONNECT_TIMEOUT_S = 0.5
PIECE_TIMEOUT_S = 35.0
ANSWER_MARGIN_S = 0.25  # the sidecar answers at the deadline; its word is worth waiting for
STREAM_TYPE = "text/event-stream"


class RefusalBody(msgspec.Struct, frozen=True):
    """A refusal as it travels in a body."""

    error: Refusal


@dataclass(frozen=True)
class Outgoing:
    """A call on its way to a sidecar."""

    method: str
    address: str
    path: str
    headers: dict[str, str]
    body: bytes
    time_left_s: float


@dataclass(frozen=True)
class Stream:
    """A streamed answer whose head was checked."""

    response: BaseHTTPResponse


class Sender:
    """Sends calls to sidecars over kept connections.

    :param token: by which sidecars know the fleet
    """

    def __init__(self, token: str, connections: int) -> None:
        self.token = token
        self.pool = bounded_pool_manager(
            BoundedPool, num_pools=512, maxsize=connections, retries=False
        )

    def send(self, call: Outgoing) -> EndpointResponse | Stream | Refusal | Failure:
        """Send a call and return its answer, the sidecar's refusal, or how it failed."""
        try:
            response = self._request(call)
        except (NewConnectionError, ConnectTimeoutError):
            return Failure.NEVER_LEFT
        except ReadTimeoutError:
            return Failure.TIMED_OUT
        except (HTTPError, OSError):
            return Failure.BROKEN
        if not self._is_own(response, call):
            response.close()
            return Failure.BROKEN
        if response.headers.get("Content-Type", "").startswith(STREAM_TYPE):
            return Stream(response)
        return self._whole(response)

    def _request(self, call: Outgoing) -> BaseHTTPResponse:
        streamed = call.path.endswith("/chat/completions")
        wait_s = PIECE_TIMEOUT_S if streamed else call.time_left_s + ANSWER_MARGIN_S
        return self.pool.request(
            call.method,
            f"http://{call.address}{call.path}",
            body=call.body,
            headers={**call.headers, "Authorization": f"Bearer {self.token}"},
            timeout=Timeout(connect=min(CONNECT_TIMEOUT_S, call.time_left_s), read=wait_s),
            preload_content=False,
        )

    def _is_own(self, response: BaseHTTPResponse, call: Outgoing) -> bool:
        """Return whether an answer names the call's id and attempt; one that does not is logged."""
        names = (headers.REQUEST_ID, headers.ATTEMPT)
        if all(response.headers.get(name) == call.headers[name] for name in names):
            return True
        log_state(
            "answer_not_own",
            sidecar=call.address,
            request=call.headers[headers.REQUEST_ID],
            attempt=call.headers[headers.ATTEMPT],
            named=response.headers.get(headers.REQUEST_ID),
            named_attempt=response.headers.get(headers.ATTEMPT),
            status=response.status,
        )
        return False

    def _whole(self, response: BaseHTTPResponse) -> EndpointResponse | Refusal | Failure:
        try:
            body = response.read()
        except ReadTimeoutError:
            return Failure.TIMED_OUT
        except (HTTPError, OSError):
            return Failure.BROKEN
        finally:
            response.release_conn()
        named = response.headers.get(headers.BODY_DIGEST)
        # A refusal has none, also one that says that the call ran.
        if named is None or response.headers.get(headers.OUTCOME) != Outcome.RAN.value:
            return _refusal(body)
        if named != digest(body):
            return Failure.BROKEN
        return EndpointResponse(response.status, response.headers.get("Content-Type", ""), body)


def _refusal(body: bytes) -> Refusal | Failure:
    try:
        return msgspec.json.decode(body, type=RefusalBody).error
    except msgspec.DecodeError:
        return Failure.BROKEN


__all__ = ["Outgoing", "Sender", "Stream"]
