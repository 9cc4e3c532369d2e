"""The client of one endpoint against one that answers twice, the second time late."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import msgspec
import pytest

from tests.cutting import Cut, CuttingServer, End, framed
from tests.stuttering import LATE, SOON, SOON_S, Stutterer, header_of, response
from threadramp.core.served_versions import Order
from threadramp.sidecar import engine as engine_module
from threadramp.sidecar.engine import (
    CONNECT_TIMEOUT_S,
    BrokenAnswerError,
    ChatRequest,
    EngineClient,
)
from threadramp.wire.headers import REQUEST_ID
from threadramp.wire.response_limits import Framing

if TYPE_CHECKING:
    from collections.abc import Callable

TIMES = 3
WHOLE_BYTES = 1_000_000
WAYS = pytest.mark.parametrize("when", [SOON, LATE])


@pytest.fixture
def make():
    made: list[Stutterer] = []

    def start(answer: Callable[[int, bytes], bytes], when: str) -> EngineClient:
        made.append(Stutterer(answer, when))
        return EngineClient(made[-1].address)

    yield start
    for one in made:
        one.close()


@pytest.fixture
def logged(monkeypatch) -> list[tuple[str, dict]]:
    lines: list[tuple[str, dict]] = []
    monkeypatch.setattr(
        engine_module,
        "log_state",
        lambda kind, **fields: lines.append((kind, fields)),
        raising=False,
    )
    return lines


def weights(number: int, request: bytes) -> bytes:
    """Say that the version is the number of the request."""
    return response(msgspec.json.encode({"boot": "b", "weights": {"m": number}}))


def call(client: EngineClient, request_id: str, echoes: bool = False) -> bytes:
    sent = {REQUEST_ID: request_id, "Content-Type": "application/json"}
    return client.call("POST", "/transfers", sent, b"{}", 5.0, echoes).body


def chat(client: EngineClient, request_id: str) -> str:
    body = ChatRequest(request_id, "m", "prompt", 8, 1, 0).to_bytes()
    return "".join(chunk.text for chunk in client.stream(body, request_id))


def events(request_id: str, text: str) -> bytes:
    """Return a whole stream of one piece."""
    piece = {"id": request_id, "choices": [{"delta": {"content": text}}], "weight_version": 1}
    return b"data: " + msgspec.json.encode(piece) + b"\n\ndata: [DONE]\n\n"


@WAYS
def test_versions_are_those_of_this_question(make, when) -> None:
    """A read-back took the answer of the one before it, and what it says becomes a label."""
    client = make(weights, when)
    assert [client.versions().weights["m"] for _ in range(TIMES)] == [1, 2, 3]


@WAYS
def test_an_order_is_accepted_by_its_own_answer(make, when) -> None:
    """A swap that failed was taken for one that succeeded, by the second answer of the last."""

    def answer(number: int, request: bytes) -> bytes:
        return response(b"{}", "200 OK" if number == 1 else "500 Error")

    client = make(answer, when)
    orders = [Order("m", number, number) for number in range(TIMES)]
    assert [client.order(order, lambda: True)[0] for order in orders] == [True, False, False]


@WAYS
def test_a_call_gets_its_own_answer_where_the_service_names_no_id(make, when) -> None:
    """A service that keeps connections though it was asked to close them, and echoes nothing."""
    client = make(lambda number, request: response(f"a{number}".encode()), when)
    assert [call(client, f"r{number}") for number in range(TIMES)] == [b"a1", b"a2", b"a3"]


@WAYS
def test_a_call_gets_its_own_answer_where_the_service_names_the_id(make, when) -> None:
    """The second answer of another call was refused by its id, and a call that ran was lost."""

    def answer(number: int, request: bytes) -> bytes:
        return response(f"a{number}".encode(), X_Request_Id=header_of(request, REQUEST_ID))

    client = make(answer, when)
    bodies = [call(client, f"r{number}", echoes=True) for number in range(TIMES)]
    assert bodies == [b"a1", b"a2", b"a3"]


@WAYS
def test_a_stream_gets_its_own_pieces(make, when) -> None:
    """A stream with a length is read to its last byte, so that its connection would be kept."""

    def answer(number: int, request: bytes) -> bytes:
        return response(events(header_of(request, REQUEST_ID), f"t{number}"))

    client = make(answer, when)
    assert [chat(client, f"r{number}") for number in range(TIMES)] == ["t1", "t2", "t3"]


@WAYS
def test_a_stream_does_not_follow_the_answer_of_a_read_back(make, when) -> None:
    """The second answer of a read-back was taken for a stream, which was broken by it."""

    def answer(number: int, request: bytes) -> bytes:
        if request.startswith(b"GET"):
            return weights(number, request)
        return response(events(header_of(request, REQUEST_ID), f"t{number}"))

    client = make(answer, when)
    client.versions()
    assert chat(client, "r") == "t2"


def test_a_stream_whose_head_is_anothers_brings_no_piece(make, logged) -> None:
    """Its pieces name no other request; the head came first and was not looked at."""

    def answer(number: int, request: bytes) -> bytes:
        return response(events(header_of(request, REQUEST_ID), "text"), X_Request_Id="another")

    client = make(answer, LATE)
    with pytest.raises(BrokenAnswerError):
        chat(client, "own")
    assert logged == [
        ("answer_not_own", {"endpoint": client.address, "request": "own", "named": "another"})
    ]


def test_a_piece_that_is_anothers_ends_the_stream_and_is_logged(make, logged) -> None:
    client = make(lambda number, request: response(events("another", "text")), LATE)
    with pytest.raises(BrokenAnswerError):
        chat(client, "own")
    assert logged == [
        ("answer_not_own", {"endpoint": client.address, "request": "own", "named": "another"})
    ]


def test_an_answer_that_is_anothers_is_logged(make, logged) -> None:
    client = make(lambda number, request: response(b"", X_Request_Id="another"), LATE)
    with pytest.raises(BrokenAnswerError):
        call(client, "own")
    assert logged == [
        ("answer_not_own", {"endpoint": client.address, "request": "own", "named": "another"})
    ]


def test_a_refusal_of_an_old_order_that_cannot_be_read_is_none(make) -> None:
    """The loop that orders ended in an error and stood still for a second."""
    client = make(lambda number, request: response(b"busy", "409 Conflict"), LATE)
    assert client.order(Order("m", 1, 1), lambda: True) == (False, 0)


def test_an_order_whose_answer_takes_longer_than_a_connection_is_waited_for(make) -> None:
    """A swap may take seconds."""

    def answer(number: int, request: bytes) -> bytes:
        time.sleep(CONNECT_TIMEOUT_S + SOON_S)
        return response(b"{}")

    assert make(answer, LATE).order(Order("m", 1, 1), lambda: True) == (True, 0)


def test_an_order_that_may_not_be_sent_any_more_does_not_reach_the_engine(make) -> None:
    seen = []

    def answer(number: int, request: bytes) -> bytes:
        seen.append(request)
        return response(b"{}")

    assert make(answer, LATE).order(Order("m", 1, 1), lambda: False) == (False, 0)
    time.sleep(SOON_S)
    assert seen == []


@pytest.mark.parametrize("is_alive", [True, False])
def test_answer_without_a_length_counts_only_while_its_endpoint_is_there(is_alive) -> None:
    """The kernel closes the connections of a process that was killed: a part was the answer."""
    server = CuttingServer(lambda request, framing: framed(framing, b"text, which may be cut", {}))
    server.cut = Cut(Framing.CLOSE, WHOLE_BYTES, End.CLOSE)
    server.ends_first = not is_alive
    if is_alive:
        assert call(EngineClient(server.address), "r1") == b"text, which may be cut"
    else:
        with pytest.raises(BrokenAnswerError) as caught:
            call(EngineClient(server.address), "r1")
        assert caught.value.broken
    server.close()


def test_number_in_json_that_may_be_cut_counts_only_while_its_endpoint_is_there() -> None:
    """A part of a number is a number."""
    server = CuttingServer(
        lambda request, framing: framed(framing, b"12345", {"Content-Type": "application/json"})
    )
    whole = len(framed(Framing.CLOSE, b"12345", {"Content-Type": "application/json"}))
    server.cut = Cut(Framing.CLOSE, whole - 2, End.CLOSE)
    server.ends_first = True
    with pytest.raises(BrokenAnswerError):
        call(EngineClient(server.address), "r1")
    server.close()
