"""Client of one endpoint: model engine or plain service."""

from __future__ import annotations

from contextlib import closing
from dataclasses import dataclass
from http.client import HTTPException
from typing import TYPE_CHECKING

import msgspec
from urllib3 import Timeout
from urllib3.exceptions import (
    ConnectTimeoutError,
    HTTPError,
    IncompleteRead,
    NewConnectionError,
    ProtocolError,
)

from threadramp.core.keys import EndpointResponse
from threadramp.edge.endpoint_probe import EndpointState, probe_without_request
from threadramp.edge.exchange import is_connection_error
from threadramp.report.log import log_state
from threadramp.wire.headers import REQUEST_ID
from threadramp.wire.late_bytes import TooLateError, body_in_time, drop_what_is_late
from threadramp.wire.lines import response_lines
from threadramp.wire.response_limits import BoundedConnection, BoundedPool, ends_with_connection

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from urllib3 import BaseHTTPResponse

    from threadramp.core.served_versions import Order

CONNECT_TIMEOUT_S = 1.0
CONTROL_TIMEOUT_S = 5.0
PIECE_TIMEOUT_S = 30.0  # between two pieces of a stream
CONTROL = Timeout(CONNECT_TIMEOUT_S, CONTROL_TIMEOUT_S)
CHAT_PATH = "/v1/chat/completions"
ORDER_PATH = "/v1/orders/load"
VERSIONS_PATH = "/v1/weights"
END_MARK = b"[DONE]"
DATA_PREFIX = b"data: "
JSON_TYPE = "application/json"
JSON_BRACKETS = (b"{", b"[")  # a number that is cut is one still
CLOSE = {"Connection": "close"}
STATUS_OK = 200
STATUS_OLD_FENCE = 409


class NeverSentError(Exception):
    """No byte of the request has reached the endpoint."""


class BrokenAnswerError(Exception):
    """The answer was cut short, belongs to another request or did not come in time.

    :param broken: whether the endpoint broke the connection while it owed the answer
    """

    def __init__(self, message: str, broken: bool = False) -> None:
        self.broken = broken
        super().__init__(message)


class Delta(msgspec.Struct, frozen=True):
    """The new text of a choice."""

    content: str = ""


class Choice(msgspec.Struct, frozen=True):
    """One choice of a chat completion chunk."""

    delta: Delta


class Chunk(msgspec.Struct, frozen=True):
    """One event of a streamed chat completion.

    :param weight_version: version that produced it; none if the engine does not know or say
    :param tokens: how many tokens it carries
    """

    id: str
    choices: tuple[Choice, ...]
    weight_version: int | None = None
    tokens: int = 1

    @property
    def text(self) -> str:
        """Return the new text."""
        return "".join(choice.delta.content for choice in self.choices)


class EngineVersions(msgspec.Struct, frozen=True):
    """What an engine says that it serves.

    :param boot: the engine's start mark
    """

    boot: str
    weights: dict[str, int | None]


class FenceRefusal(msgspec.Struct, frozen=True):
    """An engine's refusal of an old order."""

    fence: int = 0


@dataclass(frozen=True)
class ChatRequest:
    """A chat completion to ask of the engine.

    :param resume_text: what an earlier run produced already
    """

    request_id: str
    model: str
    prompt: str
    max_tokens: int
    seed: int
    priority: int
    resume_text: str = ""

    def to_bytes(self) -> bytes:
        """Return the request in the common HTTP form."""
        return msgspec.json.encode(
            {
                "model": self.model,
                "messages": [{"role": "user", "content": self.prompt}],
                "max_tokens": self.max_tokens,
                "seed": self.seed,
                "priority": self.priority,
                "resume_text": self.resume_text,
                "stream": True,
            }
        )


class EngineClient:
    """Calls one endpoint, each time over a connection of its own that is closed at once.

    An endpoint may answer twice, the second time late, and may keep a connection open that it was
    asked to close. What comes behind an answer therefore meets nobody who could take it for his.

    :param address: ``ip:port``
    """

    def __init__(self, address: str) -> None:
        self.address = address
        host, _, port = address.partition(":")
        self.host = host
        self.port = int(port)

    def call(
        self,
        method: str,
        path: str,
        headers: dict[str, str],
        body: bytes,
        timeout_s: float,
        echoes: bool,
    ) -> EndpointResponse:
        """Make a call and return the whole answer.

        :param echoes: whether the answer must name the request id
        :raises NeverSentError: if no byte has left
        :raises BrokenAnswerError: if no whole answer came; the call may have run
        """
        with self._connection() as line:
            response = self._request(line, method, path, headers, body, timeout_s, preload=True)
        self._check_id(response, headers[REQUEST_ID], echoes)
        content_type = response.headers.get("Content-Type", "application/octet-stream")
        if ends_with_connection(response):
            self._check_end(content_type, response.data)
        return EndpointResponse(response.status, content_type, response.data)

    def stream(self, body: bytes, request_id: str) -> Iterator[Chunk]:
        """Stream a chat completion until its end mark.

        :raises NeverSentError: if no byte has left
        :raises BrokenAnswerError: if the stream ended without its end mark
        """
        headers = {REQUEST_ID: request_id, "Content-Type": "application/json"}
        with self._connection() as line:
            response = self._request(
                line, "POST", CHAT_PATH, headers, body, PIECE_TIMEOUT_S, preload=False
            )
            try:
                if response.status != STATUS_OK:
                    raise BrokenAnswerError(f"status {response.status}")
                self._check_id(response, request_id, echoes=False)
                yield from self._chunks(response, request_id)
            except (HTTPError, msgspec.DecodeError, OSError) as error:
                raise BrokenAnswerError(type(error).__name__, is_connection_error(error)) from error
            finally:
                response.close()  # an unread rest belongs to nobody

    def versions(self) -> EngineVersions | None:
        """Return what the engine says that it serves, none if it does not answer."""
        try:
            with self._connection() as line:
                response = line.request("GET", VERSIONS_PATH, headers=CLOSE, timeout=CONTROL)
            return msgspec.json.decode(response.data, type=EngineVersions)
        except (HTTPError, msgspec.DecodeError):
            return None

    def order(self, order: Order, may_send: Callable[[], bool]) -> tuple[bool, int]:
        """Order a version; what is given up is not delivered later by this box.

        :param may_send: whether the order may still be sent; asked right before its bytes go
        :returns: whether the engine says that it has loaded it, and the fencing number that it
            holds if it refused an older one
        """
        row = {"model": order.model, "version": order.version, "fence": order.fencing_token}
        try:
            status, body = self._ordered(msgspec.json.encode(row), may_send)
        except TooLateError:
            log_state("order_put_off", model=order.model, version=order.version)
            return False, 0
        except (HTTPError, HTTPException, OSError):
            return False, 0
        if status == STATUS_OLD_FENCE:
            return False, _held_fence(body)
        return status == STATUS_OK, 0

    def _ordered(self, body: bytes, may_send: Callable[[], bool]) -> tuple[int, bytes]:
        """Send an order and return the answer's status and body.

        :raises TooLateError: if it may not be sent any more
        """
        connection = BoundedConnection(self.host, self.port, timeout=CONNECT_TIMEOUT_S)
        headers = {"Content-Type": "application/json", "Content-Length": str(len(body))} | CLOSE
        with closing(connection):
            connection.connect()
            drop_what_is_late(connection.sock, CONTROL_TIMEOUT_S)
            connection.sock.settimeout(CONTROL_TIMEOUT_S)
            connection.timeout = CONTROL_TIMEOUT_S
            pieces = body_in_time(body, may_send)
            connection.request("POST", ORDER_PATH, pieces, headers, preload_content=False)
            response = connection.getresponse()
            return response.status, response.data

    def _connection(self) -> BoundedPool:
        """Return the place of one connection, which is closed with it."""
        return BoundedPool(self.host, self.port, retries=False)

    def _request(
        self,
        line: BoundedPool,
        method: str,
        path: str,
        headers: dict[str, str],
        body: bytes,
        timeout_s: float,
        preload: bool,
    ) -> BaseHTTPResponse:
        try:
            return line.request(
                method,
                path,
                body=body,
                headers=headers | CLOSE,
                timeout=Timeout(connect=min(CONNECT_TIMEOUT_S, timeout_s), read=timeout_s),
                preload_content=preload,
            )
        except (NewConnectionError, ConnectTimeoutError) as error:
            raise NeverSentError(type(error).__name__) from error
        except (HTTPError, IncompleteRead, ProtocolError, OSError) as error:
            raise BrokenAnswerError(type(error).__name__, is_connection_error(error)) from error

    def _check_id(self, response: BaseHTTPResponse, request_id: str, echoes: bool) -> None:
        echoed = response.headers.get(REQUEST_ID)
        if echoed is None and not echoes:
            return
        self._check_own(request_id, echoed)

    def _check_end(self, content_type: str, body: bytes) -> None:
        """Let an answer that ended with its connection count only if that was no early end.

        The kernel closes the connections of a process that was killed as regularly.

        :raises BrokenAnswerError: if its JSON is cut, or the endpoint has ended
        """
        if content_type.partition(";")[0].strip().lower() == JSON_TYPE:
            if not _is_whole_json(body):
                raise BrokenAnswerError("its JSON is cut", broken=True)
            if body[:1] in JSON_BRACKETS:
                return
        if probe_without_request(self.address) is not EndpointState.LISTENS:
            raise BrokenAnswerError("its endpoint has ended", broken=True)

    def _check_own(self, request_id: str, named: str | None) -> None:
        """Let bytes count only if they name the request that was sent.

        :raises BrokenAnswerError: if they do not
        """
        if named == request_id:
            return
        log_state("answer_not_own", endpoint=self.address, request=request_id, named=named)
        raise BrokenAnswerError("the answer is another request's")

    def _chunks(self, response: BaseHTTPResponse, request_id: str) -> Iterator[Chunk]:
        for line in response_lines(response):
            if not line.startswith(DATA_PREFIX):
                continue
            data = line[len(DATA_PREFIX) :]
            if data == END_MARK:
                return
            chunk = msgspec.json.decode(data, type=Chunk)
            self._check_own(request_id, chunk.id)
            yield chunk
        raise BrokenAnswerError("the stream has no end mark")


def _is_whole_json(body: bytes) -> bool:
    try:
        msgspec.json.decode(body)
    except msgspec.DecodeError:
        return False
    return True


def _held_fence(body: bytes) -> int:
    """Return the number in an engine's refusal of an old order, 0 if it names none."""
    try:
        return msgspec.json.decode(body, type=FenceRefusal).fence
    except msgspec.DecodeError:
        return 0


__all__ = [
    "BrokenAnswerError",
    "ChatRequest",
    "Chunk",
    "EngineClient",
    "EngineVersions",
    "NeverSentError",
]
