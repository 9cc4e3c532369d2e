"""HTTP resources of a sidecar: calls from gateways, and metrics."""

from __future__ import annotations

import hmac
import uuid
from typing import TYPE_CHECKING

import cherrypy
import msgspec

from threadramp.core.keys import Binding, EndpointResponse
from threadramp.core.sidecar import CallRequest
from threadramp.sidecar.calls import IncomingCall, Replayed
from threadramp.sidecar.engine import CHAT_PATH, BrokenAnswerError, ChatRequest, NeverSentError
from threadramp.sidecar.state import now
from threadramp.wire import headers
from threadramp.wire.http import answer_bytes, answer_json, answer_refusal, edge, header, read_body
from threadramp.wire.outcomes import Outcome, Reason, Refusal, RefusedError, bad_request
from threadramp.wire.seal import digest

if TYPE_CHECKING:
    from collections.abc import Iterator

    from threadramp.sidecar.calls import CallRunner
    from threadramp.sidecar.engine import Chunk
    from threadramp.sidecar.state import SidecarState
    from threadramp.wire.seal import Seal

STREAM_TYPE = "text/event-stream"
MS_PER_S = 1000


class ChatBody(msgspec.Struct, frozen=True):
    """A chat completion request as it comes from a caller."""

    model: str
    messages: list[dict[str, str]]
    max_tokens: int = 256
    seed: int = 0


class CallResource:
    """``/v1/call/PATH``: one call to this sidecar's endpoint."""

    exposed = True
    _cp_config = {"response.stream": True}

    def __init__(self, state: SidecarState, seal: Seal, runner: CallRunner) -> None:
        self.state = state
        self.seal = seal
        self.runner = runner

    @edge
    def GET(self, *path: str, **query: str) -> bytes | Iterator[bytes]:  # noqa: N802
        """Take a call without a body."""
        return self._call("GET", path)

    @edge
    def POST(self, *path: str, **query: str) -> bytes | Iterator[bytes]:  # noqa: N802
        """Take a call."""
        return self._call("POST", path)

    @edge
    def PUT(self, *path: str, **query: str) -> bytes | Iterator[bytes]:  # noqa: N802
        """Take a call."""
        return self._call("PUT", path)

    def _call(self, method: str, path: tuple[str, ...]) -> bytes | Iterator[bytes]:
        self._check_key()
        body = read_body(self.state.core.settings.max_body_bytes)
        call = self._incoming(method, "/" + "/".join(path), body)
        if call.path == CHAT_PATH:
            return self._stream(call)
        result = self.runner.run(call)
        return self._answer(call, result)

    def _check_key(self) -> None:
        given = header("Authorization")
        if not hmac.compare_digest(given.encode(), f"Bearer {self.seal.token}".encode()):
            message = "sidecars take work only with the fleet's key"
            raise RefusedError(Refusal.not_run(Reason.UNAUTHORIZED, message))

    def _incoming(self, method: str, path: str, body: bytes) -> IncomingCall:
        chat = path == CHAT_PATH
        request = CallRequest(
            call=uuid.uuid4().hex,
            rank=_number(headers.PRIORITY),
            time_left_s=_number(headers.DEADLINE_MS) / MS_PER_S,
            revision=_number(headers.REVISION),
            binding=_binding(header(headers.BINDING)),
            body_digest=digest(body),
            refusal_seen=_number(headers.REFUSAL),
            model=_chat_body(body).model if chat else "",
        )
        request_id = header(headers.REQUEST_ID)
        query = cherrypy.request.query_string
        target = f"{path}?{query}" if query else path
        return IncomingCall(request, request_id, method, target, header("Content-Type"), body)

    def _answer(self, call: IncomingCall, result: EndpointResponse | Replayed | Refusal) -> bytes:
        if isinstance(result, Refusal):
            self.state.metrics.count("refused", result.reason.value)
            return answer_refusal(result, self._echo(call))
        replayed = isinstance(result, Replayed)
        answer = result.answer if replayed else result
        self.state.metrics.count("answered", "replayed" if replayed else "ran")
        echo = self._echo(call)
        echo[headers.OUTCOME] = Outcome.RAN.value
        echo[headers.BODY_DIGEST] = digest(answer.body)
        if replayed:
            echo[headers.REPLAYED] = "1"
        return answer_bytes(answer.body, answer.status, answer.content_type, echo)

    def _stream(self, call: IncomingCall) -> bytes | Iterator[bytes]:
        chat = _chat_body(call.body)
        request = ChatRequest(
            request_id=f"{call.request_id}.{call.request.call}",
            model=chat.model,
            prompt="\n".join(message.get("content", "") for message in chat.messages),
            max_tokens=chat.max_tokens,
            seed=chat.seed,
            priority=call.request.rank,
        )
        result = self.runner.stream(call, request)
        if isinstance(result, Refusal):
            return self._answer(call, result)
        sent_at = now()
        try:
            first = next(result, None)  # so that a failure before the first piece has its status
        except NeverSentError as error:
            return self._answer(call, Refusal.not_run(Reason.ENDPOINT_FAILED, str(error), 1))
        except BrokenAnswerError as error:
            ended = self.runner.reason(error, sent_at) is Reason.ENDPOINT_ENDED
            reason = Reason.ENDPOINT_ENDED if ended else Reason.ENDPOINT_FAILED
            return self._answer(call, Refusal.unknown(reason, str(error), 1))
        cherrypy.response.headers["Content-Type"] = STREAM_TYPE
        for name, value in self._echo(call).items():
            cherrypy.response.headers[name] = value
        cherrypy.response.headers[headers.OUTCOME] = Outcome.RAN.value
        return _events(first, result, call.request_id)

    def _echo(self, call: IncomingCall) -> dict[str, str]:
        return {
            headers.REQUEST_ID: call.request_id,
            headers.ATTEMPT: header(headers.ATTEMPT),
            headers.ENDPOINT: self.state.core.settings.endpoint,
            headers.REVISION: str(self.state.core.chain.revision),
        }


class MetricsResource:
    """``/metrics``: counters and latencies in the usual text form."""

    exposed = True

    def __init__(self, state: SidecarState) -> None:
        self.state = state

    def GET(self) -> bytes:  # noqa: N802
        """Return the metrics."""
        return answer_bytes(self.state.metrics.text(), 200, "text/plain; version=0.0.4")


class HealthResource:
    """``/healthz``: whether the process answers."""

    exposed = True

    def GET(self) -> bytes:  # noqa: N802
        """Say that it does."""
        return answer_json({"ok": True})


class Node:
    """A place in the tree of resources that answers nothing itself."""


def sidecar_root(state: SidecarState, seal: Seal, runner: CallRunner) -> Node:
    """Return the tree of resources."""
    root = Node()
    root.metrics = MetricsResource(state)
    root.healthz = HealthResource()
    root.v1 = Node()
    root.v1.call = CallResource(state, seal, runner)
    return root


def _number(name: str) -> int:
    text = header(name, "0")
    try:
        return int(text)
    except ValueError:
        raise bad_request(f"header {name}", f"{text!r} is not a whole number") from None


def _binding(text: str) -> Binding | None:
    if not text:
        return None
    try:
        return msgspec.json.decode(text, type=Binding)
    except msgspec.DecodeError as error:
        raise bad_request(f"header {headers.BINDING}", str(error)) from error


def _chat_body(body: bytes) -> ChatBody:
    try:
        return msgspec.json.decode(body, type=ChatBody)
    except msgspec.DecodeError as error:
        raise bad_request("body", str(error)) from error


def _events(first: Chunk | None, rest: Iterator[Chunk], request_id: str) -> Iterator[bytes]:
    try:
        if first is not None:
            yield _event(first, request_id)
        for chunk in rest:
            yield _event(chunk, request_id)
        yield b"data: [DONE]\n\n"
    except BrokenAnswerError as error:
        refusal = Refusal.unknown(Reason.BROKEN_ANSWER, str(error), 1)
        yield b"event: error\ndata: " + msgspec.json.encode({"error": refusal}) + b"\n\n"
    finally:
        rest.close()


def _event(chunk: Chunk, request_id: str) -> bytes:
    own = msgspec.structs.replace(chunk, id=request_id)
    return b"data: " + msgspec.json.encode(own) + b"\n\n"


__all__ = ["sidecar_root"]
