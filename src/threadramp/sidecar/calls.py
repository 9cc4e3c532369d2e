"""Calls at the sidecar: from the gateway, through admission, to the endpoint and back."""

from __future__ import annotations

import threading
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from threadramp.core.admission import Queued
from threadramp.core.keys import EndpointResponse, Replay, Wait
from threadramp.core.sidecar import CallRequest
from threadramp.edge.endpoint_probe import probe_without_request
from threadramp.runner.crash_detection import has_crashed
from threadramp.sidecar.engine import BrokenAnswerError, ChatRequest, NeverSentError
from threadramp.sidecar.state import now
from threadramp.wire.headers import REQUEST_ID
from threadramp.wire.outcomes import DEFAULT_RETRY_AFTER_S, Outcome, Reason, Refusal

if TYPE_CHECKING:
    from collections.abc import Iterator

    from threadramp.sidecar.engine import Chunk
    from threadramp.sidecar.state import SidecarState

WAIT_STEP_S = 0.25


@dataclass(frozen=True)
class IncomingCall:
    """A call as the gateway sent it.

    :param request: what decisions need of it
    :param request_id: the caller's request id, echoed by the endpoint
    """

    request: CallRequest
    request_id: str
    method: str
    path: str
    content_type: str
    body: bytes


@dataclass(frozen=True)
class Replayed:
    """An answer that was kept from an earlier run."""

    answer: EndpointResponse


class CallRunner:
    """Takes calls through the sidecar."""

    def __init__(self, state: SidecarState) -> None:
        self.state = state
        self.core = state.core

    def run(self, call: IncomingCall) -> EndpointResponse | Replayed | Refusal:
        """Run a call at a plain service, or answer it from memory."""
        deadline = now() + call.request.time_left_s
        admitted = self._admit(call, deadline)
        if admitted is not None:
            return admitted
        sent_at = now()
        try:
            answer = self._send(call, deadline)
        except NeverSentError:
            return self._withdraw(call, Reason.ENDPOINT_FAILED, "the endpoint can not be reached")
        except BrokenAnswerError as error:
            self._end(call, None)
            return Refusal.unknown(self.reason(error, sent_at), str(error), DEFAULT_RETRY_AFTER_S)
        except Exception:
            self._end(call, None)  # whatever went wrong, the slot is free and the key is decided
            raise
        self._end(call, answer)
        return answer

    def reason(self, error: BrokenAnswerError, sent_at: float) -> Reason:
        """Return whether an answer was not whole because its endpoint has ended."""
        lived_s = now() - sent_at
        address = self.state.engine.address
        ended = error.broken and has_crashed(address, lived_s, probe_without_request)
        return Reason.ENDPOINT_ENDED if ended else Reason.BROKEN_ANSWER

    def _send(self, call: IncomingCall, deadline: float) -> EndpointResponse:
        headers = {REQUEST_ID: call.request_id, "Content-Type": call.content_type}
        time_left = deadline - now()
        return self.state.engine.call(
            call.method, call.path, headers, call.body, time_left, self._echoes()
        )

    def stream(self, call: IncomingCall, chat: ChatRequest) -> Iterator[Chunk] | Refusal:
        """Run a model call; return its pieces, or the refusal."""
        deadline = now() + call.request.time_left_s
        admitted = self._admit(call, deadline)
        if isinstance(admitted, Refusal):
            return admitted
        if admitted is not None:
            return Refusal(Reason.ANSWER_NOT_KEPT, Outcome.RAN, "a streamed answer is not kept")
        return self._pieces(call, chat, deadline)

    def _pieces(self, call: IncomingCall, chat: ChatRequest, deadline: float) -> Iterator[Chunk]:
        ended: EndpointResponse | None = None
        try:
            for chunk in self.state.engine.stream(chat.to_bytes(), chat.request_id):
                yield chunk
                if not self._in_time(deadline):
                    raise BrokenAnswerError("its deadline has passed")
            ended = EndpointResponse(200, "text/event-stream", b"")
        finally:
            self._end(call, ended)

    def _admit(self, call: IncomingCall, deadline: float) -> Replayed | Refusal | None:
        """Wait until the call may be sent; return none if so, else its answer."""
        event = threading.Event()
        name = call.request.call
        with self.state.lock:
            self.state.admitted[name] = event
        try:
            decision = self._decide(call, deadline)
            if isinstance(decision, Replay):
                return Replayed(decision.response)
            if isinstance(decision, Refusal):
                return decision
            if isinstance(decision, Queued) and not event.wait(max(0.0, deadline - now())):
                return self._withdraw(call, Reason.OVERLOADED, "no slot before its deadline")
        finally:
            with self.state.lock:
                del self.state.admitted[name]
        if not self._in_time(deadline):
            return self._withdraw(call, Reason.DEADLINE, "its deadline has passed")
        return None

    def _decide(self, call: IncomingCall, deadline: float) -> Any:
        """Ask the core, and wait for an earlier run of the same key as long as there is time."""
        with self.state.work:
            while True:
                moment = now()
                decision = self.core.begin_call(call.request, moment)
                if not isinstance(decision, Wait):
                    return decision
                if moment >= deadline:
                    return Refusal.unknown(
                        Reason.IN_PROGRESS, "it still runs; ask again", DEFAULT_RETRY_AFTER_S
                    )
                self.state.work.wait(min(WAIT_STEP_S, deadline - moment))

    def _in_time(self, deadline: float) -> bool:
        with self.state.lock:
            return self.core.may_send(deadline, now())

    def _withdraw(self, call: IncomingCall, reason: Reason, message: str) -> Refusal:
        with self.state.lock:
            refusal, admitted = self.core.withdraw_call(
                call.request.call, call.request.binding, reason, message, now()
            )
            self.state.admit(admitted)
            return refusal

    def _end(self, call: IncomingCall, answer: EndpointResponse | None) -> None:
        with self.state.lock:
            admitted = self.core.end_call(call.request.call, call.request.binding, answer, now())
            self.state.admit(admitted)

    def _echoes(self) -> bool:
        with self.state.lock:
            pool = self.core.pool
            return pool is not None and pool.echoes_request_id


__all__ = ["CallRunner", "IncomingCall", "Replayed"]
