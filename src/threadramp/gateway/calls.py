"""Callers' calls: read, bound, routed, sent, answered."""

from __future__ import annotations

import time
import uuid
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

import msgspec

from threadramp.core.call import Call, CallStateMachine, Failure, Finish, Send
from threadramp.core.keys import EndpointResponse
from threadramp.gateway.beats import catch_up_with
from threadramp.gateway.crashing_calls import CallGuard
from threadramp.gateway.sender import Outgoing, Sender, Stream
from threadramp.gateway.state import now
from threadramp.report.log import log_state
from threadramp.wire import headers
from threadramp.wire.outcomes import BEHIND, Outcome, Reason, Refusal, RefusedError, bad_request
from threadramp.wire.response_limits import MAX_EVENT_BYTES

if TYPE_CHECKING:
    from collections.abc import Iterator

    from threadramp.config.resources import Pool
    from threadramp.core.keys import Binding
    from threadramp.gateway.keys import KeyBinder
    from threadramp.gateway.settle import Settler
    from threadramp.gateway.state import GatewayState

DEFAULT_DEADLINE_MS = 10_000
MAX_DEADLINE_MS = 3_600_000
MS_PER_S = 1000
MAX_REFUSAL = 2**53
DEFAULT_CLASS = "interactive"
FIRST_ATTEMPT = "1"
RANKS = {"interactive": 0, "internal": 1, "batch": 2}
END_MARK = b"data: [DONE]"
ERROR_EVENT = b"event: error"
EVENT_END = b"\n\n"
LINE_BLOCK = 4096


@dataclass(frozen=True)
class CallerRequest:
    """A caller's request as it came in.

    :param headers: the request's headers that threadramp reads
    """

    pool: str
    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    arrived: float

    def text(self, name: str) -> str:
        """Return a header, empty if it is not there."""
        return self.headers.get(name, "")


@dataclass(frozen=True)
class CallerAnswer:
    """A whole answer for a caller."""

    answer: EndpointResponse
    request_id: str
    endpoint: str
    replayed: bool = False


@dataclass(frozen=True)
class CallerStream:
    """A streamed answer for a caller."""

    lines: Iterator[bytes]
    request_id: str
    endpoint: str


class Calls:
    """Takes callers' calls through the gateway."""

    def __init__(self, state: GatewayState, binder: KeyBinder, settler: Settler) -> None:
        self.state = state
        self.binder = binder
        self.settler = settler
        self.guard = CallGuard()
        self.sender = Sender(state.seal.token, state.settings.threads)

    def run(self, request: CallerRequest) -> CallerAnswer | CallerStream:
        """Run a call.

        :raises RefusedError: with the final refusal, as soon as it is known
        """
        try:
            call = self._read(request)
            if call.first_send:  # else its sidecar may have the answer
                self.guard.admit(request)
        except RefusedError as error:
            raise RefusedError(_careful(request, error.refusal)) from error
        machine = CallStateMachine(
            call,
            self.state.members,
            self.state.candidates,
            self.state.routing,
            self.state.retries,
            self.state.outstanding,
        )
        return self._drive(machine, request)

    def _read(self, request: CallerRequest) -> Call:
        pool = self.state.declared("pool", request.pool)
        return self._call(request, pool)

    def _drive(
        self, machine: CallStateMachine, request: CallerRequest
    ) -> CallerAnswer | CallerStream:
        action = machine.start(now())
        while isinstance(action, Send):
            if action.pause_s:
                time.sleep(action.pause_s)
            result = self._send(machine, action, request)
            if isinstance(result, CallerAnswer):
                self.guard.answered(request)
            if isinstance(result, CallerAnswer | CallerStream):
                return result
            if isinstance(result, Failure):
                self.state.metrics.count("send_failed", result.name.lower())
                action = machine.failed(result, now())
            else:
                if result.reason in BEHIND:
                    catch_up_with(self.state, action.member)
                ended = result.reason is Reason.ENDPOINT_ENDED
                if ended and self.guard.ended(request, action.member.name):
                    break
                action = machine.refused(result, now())
        refusal = action.refusal if isinstance(action, Finish) else result
        raise RefusedError(self._last_word(machine.call, refusal))

    def _last_word(self, call: Call, refusal: Refusal) -> Refusal:
        """Return the refusal, made definite where the key's sidecar has left a note."""
        if refusal.reason is Reason.INCARNATION_GONE and call.binding is not None:
            refusal = self.settler.refusal_for_gone(call.binding) or refusal
        self.state.metrics.count("refused", f"{refusal.reason.value}:{refusal.outcome.value}")
        return refusal

    def _send(
        self, machine: CallStateMachine, action: Send, request: CallerRequest
    ) -> CallerAnswer | CallerStream | Refusal | Failure:
        call = machine.call
        name = action.member.name
        self.state.opened(name, 1)
        streaming = False
        try:
            result = self.sender.send(self._outgoing(call, action, request))
            if isinstance(result, Stream):
                streaming = True
                lines = self._lines(result, name)
                return CallerStream(lines, call.request_id, name)
        finally:
            if not streaming:
                self.state.opened(name, -1)
        if isinstance(result, EndpointResponse):
            return CallerAnswer(result, call.request_id, name)
        return result

    def _outgoing(self, call: Call, action: Send, request: CallerRequest) -> Outgoing:
        sent = {
            headers.REQUEST_ID: call.request_id,
            headers.ATTEMPT: str(action.attempt),
            headers.DEADLINE_MS: str(int(action.time_left_s * MS_PER_S)),
            headers.PRIORITY: str(call.rank),
            headers.REVISION: str(self.state.chain.revision),
            headers.REFUSAL: str(call.refusal_seen),
            "Content-Type": request.text("Content-Type") or "application/json",
        }
        if call.binding is not None:
            sent[headers.BINDING] = msgspec.json.encode(call.binding).decode()
        return Outgoing(
            request.method,
            action.member.spec.sidecar_http,
            f"/v1/call{request.path}",
            sent,
            request.body,
            action.time_left_s,
        )

    def _lines(self, stream: Stream, endpoint: str) -> Iterator[bytes]:
        """Pass a stream on by whole events; one without its end mark ends in an error event.

        An event that was cut is dropped, else the error event would be read as its rest.
        """
        has_ended = False
        rest = b""
        try:
            for block in stream.response.stream(LINE_BLOCK):
                *events, rest = (rest + block).split(EVENT_END)
                if len(rest) > MAX_EVENT_BYTES:
                    break
                has_ended = has_ended or any(map(_ends_stream, events))
                if events:
                    yield EVENT_END.join([*events, b""])
        except Exception as error:  # noqa: BLE001 - whatever broke the stream, the caller is told
            log_state("stream_broken", endpoint=endpoint, error=repr(error))
        finally:
            stream.response.close()
            self.state.opened(endpoint, -1)
        if not has_ended:
            yield _broken_event()

    def _call(self, request: CallerRequest, pool: Pool) -> Call:
        deadline_ms = _number(request, headers.DEADLINE_MS, DEFAULT_DEADLINE_MS, MAX_DEADLINE_MS)
        repeatable = _flag(request, headers.REPEATABLE, pool.repeatable or pool.type == "model")
        first_send = request.text(headers.ATTEMPT) == FIRST_ATTEMPT
        binding = self._binding(request, repeatable)
        own_key = request.text(headers.TICKET) or request.text(headers.IDEMPOTENCY_KEY)
        return Call(
            request_id=request.text(headers.REQUEST_ID) or uuid.uuid4().hex,
            pool=request.pool,
            repeatable=repeatable,
            rank=self._rank(request),
            deadline=request.arrived + deadline_ms / MS_PER_S,
            binding=binding,
            first_send=first_send or not own_key,
            refusal_seen=_number(request, headers.REFUSAL, 0, MAX_REFUSAL),
        )

    def _binding(self, request: CallerRequest, repeatable: bool) -> Binding | None:
        ticket = request.text(headers.TICKET)
        if ticket:
            return self.binder.read_ticket(ticket, request.pool)
        key = request.text(headers.IDEMPOTENCY_KEY)
        if key:
            return self.binder.assign(key, request.pool)
        return None if repeatable else self.binder.mint(request.pool)

    def _rank(self, request: CallerRequest) -> int:
        name = request.text(headers.PRIORITY) or DEFAULT_CLASS
        declared = self.state.chain.get("priority", name)
        if declared is not None:
            return declared.rank
        if name not in RANKS:
            raise bad_request(f"header {headers.PRIORITY}", f"unknown class {name!r}")
        return RANKS[name]


def _careful(request: CallerRequest, refusal: Refusal) -> Refusal:
    """Return what may be said before a sidecar was asked.

    A key may have run through an earlier send, unless the caller says that this is the first.
    """
    keyed = request.text(headers.TICKET) or request.text(headers.IDEMPOTENCY_KEY)
    if not keyed or request.text(headers.ATTEMPT) == FIRST_ATTEMPT:
        return refusal
    return replace(refusal, outcome=Outcome.UNKNOWN)


def _number(request: CallerRequest, name: str, default: int, most: int) -> int:
    text = request.text(name)
    if not text:
        return default
    if not text.isdigit() or not 0 < int(text) <= most:
        raise bad_request(f"header {name}", f"expected a whole number from 1 to {most}")
    return int(text)


def _flag(request: CallerRequest, name: str, default: bool) -> bool:
    text = request.text(name).lower()
    if not text:
        return default
    if text not in ("true", "false"):
        raise bad_request(f"header {name}", "expected true or false")
    return text == "true"


def _ends_stream(event: bytes) -> bool:
    return event == END_MARK or event.startswith(ERROR_EVENT)


def _broken_event() -> bytes:
    refusal = Refusal.unknown(Reason.BROKEN_ANSWER, "the stream ended without its end mark", 1)
    return ERROR_EVENT + b"\ndata: " + msgspec.json.encode({"error": refusal}) + b"\n\n"


__all__ = ["CallerAnswer", "CallerRequest", "CallerStream", "Calls"]
