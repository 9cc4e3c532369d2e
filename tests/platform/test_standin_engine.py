"""What the stand-in of an engine keeps of orders and texts; ids of leases in that of the store."""

from __future__ import annotations

import json

import pytest

from threadramp.platform.standins.endpoint import CutOffError
from threadramp.standins.server import Request

ORDER = {"op": "version", "model": "m", "version": 2, "holder": "side-0", "fence": 9}


def ask(engine, path: str, body: bytes = b"", **headers: str):
    named = {name.replace("_", "-"): value for name, value in headers.items()}
    return engine.answer(Request("POST", tuple(path.split("/")), {}, named, body))


def sample(engine, name: str, after: int = 0) -> list[str]:
    """Run a sample and return its lines."""
    answer = ask(
        engine, "p", b"q", x_attempt_id=name, x_model="m", last_event_id=str(after)
    )  # fmt: skip
    text = b"".join(answer.body).decode()
    return [line.removeprefix("data: ") for line in text.split("\n") if line.startswith("data: ")]


@pytest.mark.parametrize(
    ("instance", "expected", "status"), [("i-1", 0, 202), ("i-1", 3, 409), ("i-2", 0, 421)]
)
def test_each_order_is_kept_as_it_arrives_whatever_it_is_answered(
    engine, instance, expected, status
):
    body = json.dumps(ORDER | {"expected": expected}).encode()
    assert ask(engine, "threadramp/order", body, x_expect_instance=instance).status == status
    (row,) = engine.arrived
    assert (row["holder"], row["fence"], row["status"]) == ("side-0", 9, status)
    assert len(engine.orders) == (status == 202)


@pytest.mark.parametrize(("mode", "breaks"), [("truncate", True), ("keep", False)])
def test_an_order_that_truncates_breaks_running_streams_off(engine, mode, breaks):
    stream = ask(engine, "p", b"q", x_attempt_id="a", x_model="m").body
    assert next(stream)
    order = json.dumps(ORDER | {"mode": mode}).encode()
    assert ask(engine, "threadramp/order", order).status == 202
    if breaks:
        with pytest.raises(CutOffError):
            next(stream)
    else:
        assert len(list(stream)) == 4


def test_lines_name_their_run_and_are_kept_while_they_are_marked(engine):
    engine.faults["marked"] = True
    first = sample(engine, "a")
    engine.start_again()
    second = sample(engine, "a", after=3)
    assert first == [f"a-{number} i-1.0.1" for number in range(1, 6)]
    assert second == ["a-4 i-1.1.2", "a-5 i-1.1.2"]
    assert [event.line for event in engine.made["a"]] == first + second
    assert {event.after for event in engine.made["a"]} == {0, 3}


def test_lines_are_as_ever_while_they_are_not_marked(engine):
    assert sample(engine, "a") == [f"a-{number}" for number in range(1, 6)]
    assert engine.made == {}


def test_a_new_lease_never_has_the_id_of_a_living_one(platform_store):
    def grant() -> int:
        asked = Request("POST", ("threadramp", "kv-lease"), {}, {}, b'{"ttlMs":60000}')
        return json.loads(platform_store.answer(asked).body)["lease"]

    first, second = grant(), grant()
    platform_store.answer(
        Request("DELETE", ("threadramp", "kv-lease-end", str(first)), {}, {}, b"")
    )
    assert grant() not in (first, second)
