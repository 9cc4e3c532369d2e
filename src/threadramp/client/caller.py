"""Client for callers: tickets, safe resends, streamed model calls."""

from __future__ import annotations

import time
import uuid
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import msgspec
from urllib3.exceptions import HTTPError

from threadramp.client.errors import OutcomeUnknownError, RequestRefusedError, UnreachableError
from threadramp.client.http import Api, checked, refusal_of
from threadramp.fleet.clock import steady_s
from threadramp.report.log import log_state
from threadramp.wire import headers
from threadramp.wire.lines import response_lines
from threadramp.wire.outcomes import Outcome, Reason

if TYPE_CHECKING:
    from collections.abc import Iterator, Sequence

RESEND_PAUSE_S = 0.2
DATA_PREFIX = "data: "
END_MARK = "[DONE]"


@dataclass(frozen=True)
class CallResult:
    """A whole answer."""

    status: int
    body: bytes
    endpoint: str

    def json(self) -> Any:
        """Return the decoded body."""
        return msgspec.json.decode(self.body)


class CallerClient:
    """Makes calls through any gateway.

    :param gateways: base addresses, ``http://ip:port``
    """

    def __init__(self, gateways: Sequence[str], token: str) -> None:
        self.api = Api(gateways, token)

    def call(
        self,
        pool: str,
        path: str,
        body: Any = None,
        deadline_s: float = 10.0,
        priority: str = "interactive",
    ) -> CallResult:
        """Make a call that may be repeated.

        :raises RequestRefusedError: if it was refused
        """
        sent = {
            headers.DEADLINE_MS: str(int(deadline_s * 1000)),
            headers.PRIORITY: priority,
            headers.REPEATABLE: "true",
        }
        method = "GET" if body is None else "POST"
        url = f"/v1/call/{pool}{path}"
        response = self.api.ask(method, url, body, headers=sent, timeout_s=deadline_s + 1)
        return _result(response)

    def ticket(self, pool: str) -> str:
        """Return a ticket for one call that must not repeat."""
        response = self.api.ask("POST", "/v1/tickets", {"pool": pool})
        return msgspec.json.decode(response.data)["ticket"]

    def call_once(
        self, pool: str, path: str, body: Any, ticket: str = "", deadline_s: float = 10.0
    ) -> CallResult:
        """Make a call that must not run twice, and resend it safely until its outcome is known.

        A ticket is bound to one endpoint. Where that one has begun to leave since a ticket was
        taken here, the call was not run and never will be by it, so that a new one is taken.

        :param ticket: from an earlier try of the same call; empty to take a new one
        :raises OutcomeUnknownError: if it may have run; the error carries the ticket
        :raises RequestRefusedError: if it was not run
        """
        deadline = steady_s() + deadline_s
        if ticket:
            return self._call_with(ticket, pool, path, body, deadline, attempt=2)
        while True:
            try:
                return self._call_with(self.ticket(pool), pool, path, body, deadline, attempt=1)
            except RequestRefusedError as error:
                if error.refusal.reason is not Reason.LEAVING or steady_s() >= deadline:
                    raise
                time.sleep(RESEND_PAUSE_S)

    def _call_with(
        self, ticket: str, pool: str, path: str, body: Any, deadline: float, attempt: int
    ) -> CallResult:
        """Make a call with one ticket.

        :param attempt: 1 if nothing was sent with that ticket before
        :raises OutcomeUnknownError: if it may have run; the error carries the ticket
        :raises RequestRefusedError: if it was not run
        """
        reason = "no answer came"
        while (left := deadline - steady_s()) > 0:
            sent = {headers.TICKET: ticket, headers.ATTEMPT: str(attempt)}
            sent[headers.DEADLINE_MS] = str(max(1, int(left * 1000)))
            try:
                response = self.api.request(
                    "POST", f"/v1/call/{pool}{path}", body, sent, timeout_s=left + 1
                )
            except HTTPError as error:
                reason = type(error).__name__
            else:
                if response.headers.get(headers.OUTCOME) == Outcome.RAN and _is_answer(response):
                    return _result(response)
                refusal, _ = refusal_of(response.data)
                if refusal.outcome is not Outcome.UNKNOWN:
                    raise RequestRefusedError(refusal)
                reason = refusal.message
                if not refusal.retry_after_s:
                    break
            attempt += 1
            time.sleep(RESEND_PAUSE_S)
        raise OutcomeUnknownError(ticket, reason)

    def chat(
        self, pool: str, model: str, prompt: str, max_tokens: int = 64, deadline_s: float = 30.0
    ) -> Iterator[str]:
        """Stream a model's answer to its end mark.

        :raises RequestRefusedError: if it was refused or its stream broke
        """
        body = {"model": model, "messages": [{"role": "user", "content": prompt}]}
        body |= {"max_tokens": max_tokens, "stream": True}
        request_id = uuid.uuid4().hex
        sent = {headers.DEADLINE_MS: str(int(deadline_s * 1000)), headers.REQUEST_ID: request_id}
        path = f"/v1/call/{pool}/v1/chat/completions"
        response = checked(
            self.api.request("POST", path, body, sent, timeout_s=deadline_s, stream=True)
        )
        yield from _texts(response, request_id)

    def settle(self, key: str, pool: str = "") -> dict[str, str]:
        """Ask what became of a ticket, or of an own key of a pool."""
        query = f"?pool={pool}" if pool else ""
        response = self.api.ask("GET", f"/v1/requests/{key}{query}")
        return msgspec.json.decode(response.data)


def _texts(response: Any, request_id: str) -> Iterator[str]:
    failed = False
    for raw in response_lines(response):
        line = raw.decode()
        failed = failed or line.startswith("event: error")
        if not line.startswith(DATA_PREFIX):
            continue
        data = line.removeprefix(DATA_PREFIX)
        if data == END_MARK:
            return
        if failed:
            raise RequestRefusedError(*refusal_of(data.encode()))
        chunk = msgspec.json.decode(data)
        _check_piece(chunk, request_id)
        yield "".join(choice["delta"].get("content", "") for choice in chunk["choices"])
    raise UnreachableError("the stream has no end mark")


def _check_piece(chunk: dict[str, Any], request_id: str) -> None:
    """Let a piece of a stream count only if it names its request.

    :raises UnreachableError: if it does not
    """
    named = chunk.get("id")
    if named != request_id:
        log_state("answer_not_own", request=request_id, named=named)
        raise UnreachableError("a piece of the stream is another request's")


def _is_answer(response: Any) -> bool:
    """Return whether the body is the endpoint's answer and not a refusal."""
    return headers.ENDPOINT in response.headers


def _result(response: Any) -> CallResult:
    return CallResult(response.status, response.data, response.headers.get(headers.ENDPOINT, ""))


__all__ = ["CallResult", "CallerClient"]
