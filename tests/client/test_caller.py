"""The callers' client against answers that a gateway would give."""

from __future__ import annotations

from dataclasses import dataclass, field

import msgspec
import pytest

from threadramp.client import caller as caller_module
from threadramp.client.caller import CallerClient
from threadramp.client.errors import OutcomeUnknownError, RequestRefusedError
from threadramp.wire import headers
from threadramp.wire.outcomes import Outcome, Reason, Refusal


@dataclass
class Response:
    """What a gateway answers."""

    status: int
    headers: dict[str, str]
    data: bytes


def ran(body: bytes = b"{}") -> Response:
    return Response(200, {headers.OUTCOME: Outcome.RAN.value, headers.ENDPOINT: "bank-1"}, body)


def refused(reason: Reason, outcome: Outcome = Outcome.NOT_RUN) -> Response:
    refusal = Refusal(reason, outcome, "refused")
    body = msgspec.json.encode({"error": refusal, "findings": []})
    return Response(refusal.status, {}, body)


@dataclass
class Gateway:
    """Answers calls in order and gives tickets by number."""

    answers: list[Response]
    tickets: int = 0
    sent: list[tuple[str, str]] = field(default_factory=list)

    def ask(self, method: str, path: str, body: object = None, **more: object) -> Response:
        self.tickets += 1
        return Response(200, {}, msgspec.json.encode({"ticket": f"t{self.tickets}"}))

    def request(
        self, method: str, path: str, body: object, sent: dict[str, str], **more: object
    ) -> Response:
        self.sent.append((sent[headers.TICKET], sent[headers.ATTEMPT]))
        return self.answers.pop(0)


@pytest.fixture
def made(monkeypatch):
    monkeypatch.setattr(caller_module, "RESEND_PAUSE_S", 0.0)

    def make(*answers: Response) -> tuple[CallerClient, Gateway]:
        client = CallerClient(["http://127.0.0.1:1"], "token")
        client.api = Gateway(list(answers))
        return client, client.api

    return make


def test_a_call_whose_endpoint_has_begun_to_leave_is_made_with_a_new_ticket(made):
    """A ticket that was taken just before a drain was refused, and the transfer not made."""
    client, gateway = made(refused(Reason.LEAVING), refused(Reason.LEAVING), ran(b"done"))
    assert client.call_once("bank", "/transfers", {}).body == b"done"
    assert gateway.sent == [("t1", "1"), ("t2", "1"), ("t3", "1")]


def test_a_ticket_of_an_earlier_try_is_not_replaced(made):
    """What became of that try is known by its ticket alone."""
    client, gateway = made(refused(Reason.LEAVING))
    with pytest.raises(RequestRefusedError):
        client.call_once("bank", "/transfers", {}, ticket="earlier")
    assert gateway.sent == [("earlier", "2")]


@pytest.mark.parametrize("reason", [Reason.OVERLOADED, Reason.DEADLINE, Reason.BAD_REQUEST])
def test_other_refusals_are_told(made, reason):
    client, gateway = made(refused(reason))
    with pytest.raises(RequestRefusedError):
        client.call_once("bank", "/transfers", {})
    assert gateway.tickets == 1


def test_what_may_have_run_is_never_made_with_another_ticket(made):
    client, gateway = made(refused(Reason.LEAVING, Outcome.UNKNOWN))
    with pytest.raises(OutcomeUnknownError):
        client.call_once("bank", "/transfers", {})
    assert gateway.tickets == 1
