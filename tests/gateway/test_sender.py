"""Calls to a sidecar whose answers come twice, the second time late."""

from __future__ import annotations

import msgspec
import pytest

from tests.stuttering import LATE, SOON, Stutterer, header_of, response
from threadramp.core.call import Failure
from threadramp.core.keys import EndpointResponse
from threadramp.gateway import sender as sender_module
from threadramp.gateway.sender import Outgoing, Sender
from threadramp.wire import headers
from threadramp.wire.outcomes import Outcome, Reason, Refusal
from threadramp.wire.seal import digest

TIMES = 4
LEFT_S = 5.0


@pytest.fixture
def sidecar(request):
    made = Stutterer(answer, request.param)
    yield made
    made.close()


@pytest.fixture
def logged(monkeypatch) -> list[tuple[str, dict]]:
    lines: list[tuple[str, dict]] = []
    monkeypatch.setattr(
        sender_module,
        "log_state",
        lambda kind, **fields: lines.append((kind, fields)),
        raising=False,
    )
    return lines


def answer(number: int, request: bytes) -> bytes:
    """Answer as a sidecar does, with the request's id as the body.

    Its number would be that of its arrival, and a call that was given up may arrive last.
    """
    body = header_of(request, headers.REQUEST_ID).encode()
    named = {
        "X_Request_Id": header_of(request, headers.REQUEST_ID),
        "X_Attempt": header_of(request, headers.ATTEMPT),
        "X_Outcome": Outcome.RAN.value,
    }
    if not header_of(request, "X-Without"):
        named["X_Body_Digest"] = digest(body)
    return response(body, **named)


def call(address: str, request_id: str, **more: str) -> Outgoing:
    named = {headers.REQUEST_ID: request_id, headers.ATTEMPT: "1"} | more
    return Outgoing("POST", address, "/v1/call/transfers", named, b"{}", LEFT_S)


@pytest.mark.parametrize("sidecar", [SOON, LATE], indirect=True)
def test_each_call_gets_its_own_answer_or_none(sidecar, logged) -> None:
    """It was refused by its id without a line that says whose answer came."""
    sender = Sender("token", 4)
    broken = []
    for number in range(1, TIMES + 1):
        result = sender.send(call(sidecar.address, f"r{number}"))
        if result is Failure.BROKEN:
            broken.append(f"r{number}")
        else:
            assert result == EndpointResponse(200, "", f"r{number}".encode())
    assert broken
    assert [(kind, fields["request"]) for kind, fields in logged] == [
        ("answer_not_own", name) for name in broken
    ]
    assert all(fields["sidecar"] == sidecar.address for _, fields in logged)
    assert all(fields["named"] == f"r{int(fields['request'][1]) - 1}" for _, fields in logged)


@pytest.mark.parametrize("sidecar", [LATE], indirect=True)
def test_an_answer_without_a_digest_is_none(sidecar) -> None:
    """A sidecar names one with each answer of its endpoint."""
    sent = call(sidecar.address, "r1", **{"X-Without": "digest"})
    assert Sender("token", 4).send(sent) is Failure.BROKEN


def test_a_refusal_that_says_that_it_ran_is_no_answer_of_the_endpoint() -> None:
    """A resend whose answer was not kept got the refusal as what the endpoint had answered."""
    refusal = Refusal(Reason.ANSWER_NOT_KEPT, Outcome.RAN, "it ran; its answer is not kept")

    def refuse(number: int, request: bytes) -> bytes:
        named = {
            "X_Request_Id": header_of(request, headers.REQUEST_ID),
            "X_Attempt": header_of(request, headers.ATTEMPT),
            "X_Outcome": Outcome.RAN.value,
        }
        return response(msgspec.json.encode({"error": refusal}), "410 Gone", **named)

    made = Stutterer(refuse, LATE)
    result = Sender("token", 4).send(call(made.address, "r1"))
    made.close()
    assert result == refusal
