from __future__ import annotations

import time
from concurrent.futures import wait
from typing import TYPE_CHECKING

import msgspec
from pytest_bdd import given, parsers, scenarios, then, when

from tests.scenarios.world import BANK, MODEL, MODELS
from threadramp.client.errors import ClientError, RequestRefusedError
from threadramp.standins.engine import prompt_tag
from threadramp.wire.outcomes import Outcome

if TYPE_CHECKING:
    from tests.scenarios.world import World

scenarios("answers.feature")


@given(parsers.parse("the services cross the next {crossed:d} and cut the next {cut:d} answers"))
def spoil_answers(world: World, crossed: int, cut: int) -> None:
    for name in world.services():
        world.fleet.fault(name, cross=crossed, truncate=cut)


@when(parsers.parse("{count:d} callers call at once"))
def call_at_once(world: World, count: int) -> None:
    caller = world.fleet.caller()

    def call(number: int) -> tuple[int, str, str]:
        try:
            result = caller.call(BANK, "/balance", {"id": f"caller-{number}"}, deadline_s=20)
        except RequestRefusedError as error:
            return number, error.refusal.outcome.value, ""
        return number, Outcome.RAN.value, result.json()["id"]

    futures = [world.pool.submit(call, number) for number in range(count)]
    wait(futures)
    world.notes["answers"] = [future.result() for future in futures]


@then("every caller got its own whole answer or a typed error")
def own_answers(world: World) -> None:
    for number, outcome, ident in world.notes["answers"]:
        if outcome == Outcome.RAN.value:
            assert ident == f"caller-{number}"


@then(parsers.parse("at least {count:d} callers got their answer"))
def enough(world: World, count: int) -> None:
    answered = [item for item in world.notes["answers"] if item[1] == Outcome.RAN.value]
    assert len(answered) >= count


@when(parsers.parse("{count:d} callers stream a model's answer at once"))
def stream_at_once(world: World, count: int) -> None:
    caller = world.fleet.caller()

    def stream(number: int) -> tuple[int, list[str], bool]:
        pieces: list[str] = []
        try:
            for piece in caller.chat(MODELS, MODEL, f"question {number}", 64, deadline_s=40):
                pieces.append(piece)
        except ClientError:
            return number, pieces, False
        return number, pieces, True

    futures = [world.pool.submit(stream, number) for number in range(count)]
    wait(futures)
    world.notes["streams"] = [future.result() for future in futures]


@then("every stream was whole and its own, or ended in a typed error")
def own_streams(world: World) -> None:
    whole = 0
    for number, pieces, ended in world.notes["streams"]:
        tag = prompt_tag(f"question {number}")
        assert pieces == [f"t{index}v1p{tag} " for index in range(len(pieces))]
        whole += ended
    assert whole >= len(world.notes["streams"]) // 3


@then(
    parsers.parse(
        'the refusal of transfer "{name}" came long before the deadline with a time to come back'
    )
)
def refused_at_once(world: World, name: str) -> None:
    started = time.monotonic()
    sent = world.sends[name][0].result()
    assert sent.outcome == Outcome.NOT_RUN.value
    assert msgspec.json.decode(sent.body)["error"]["retry_after_s"] > 0
    assert time.monotonic() - started < 15  # half of the deadline


@then("each malformed request is refused with its place and the gateway goes on")
def malformed(world: World) -> None:
    api = world.fleet.operator().api
    cases = [
        ("POST", "/v1/tickets", b"{not json", 400, "body"),
        ("POST", "/v1/tickets", b'{"pool": 3}', 400, "body"),
        ("POST", "/v1/trainers/assistant-trainer/steps/x", b"{}", 400, "path"),
        (
            "POST",
            "/v1/trainers/nobody/steps/1",
            b'{"run":"r","version":1,"groups":[]}',
            404,
            "path",
        ),
        (
            "POST",
            "/v1/trainers/assistant-trainer/steps/1",
            b'{"run":"r","version":1,"groups":[{"group":"g","prompt":"p","samples":100000}]}',
            400,
            "body.groups",
        ),
        ("GET", "/v1/resources/pool/none", None, 404, "path"),
        ("PUT", "/v1/resources/pool/x", b'{"type": "odd"}', 422, ""),
        ("PUT", "/v1/resources/pool/x", b"[]", 400, "body"),
        ("PUT", "/v1/resources/pool", b"{}", 400, "path"),
        ("GET", "/v1/call", None, 400, "path"),
        ("GET", "/v1/status?all=1", None, 400, "path"),
        ("GET", "/v1/requests/not-a-ticket", None, 400, "header X-Ticket"),
        ("POST", "/v1/tickets", b"\xff\xfe", 400, "body"),
    ]
    for method, path, body, status, place in cases:
        response = api.request(method, path, body)
        assert response.status == status, (path, response.data)
        assert msgspec.json.decode(response.data)["error"]["place"] == place, response.data
    long_body = api.request("POST", "/v1/tickets", b"x" * 5_000_000)
    assert long_body.status == 413
    assert msgspec.json.decode(long_body.data)["error"]["place"] == "body"
    unknown = api.request("GET", "/v1/nothing")
    assert unknown.status == 404
    assert msgspec.json.decode(unknown.data)["error"]["reason"] == "not_found"
    assert api.request("DELETE", "/v1/status").status == 405
    api.token = "wrong"
    assert api.request("GET", "/v1/status").status == 401
    api.token = "local-caller"
    assert api.request("GET", "/v1/status").status == 403
    assert world.fleet.operator().status().revision > 0
