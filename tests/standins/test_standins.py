from __future__ import annotations

import threading
import time

import msgspec
import pytest

from tests.cutting import Cut, CuttingServer, End, framed
from tests.serve.test_one_holder import TAKEOVER_S
from threadramp.platform.standins.store import PlatformStore, encoded
from threadramp.standins.engine import ModelEngine
from threadramp.standins.server import Request
from threadramp.wire.response_limits import Framing

WHOLE_BYTES = 1_000_000

PATIENCE_S = 20.0


def ask(method: str, path: str, body: bytes = b"", **query: str) -> Request:
    return Request(method, tuple(path.split("/")), query, {"x-request-id": "r"}, body)


def transact(
    store: PlatformStore, expected: dict[str, int], key: str, value: bytes, lease: int = 0
) -> tuple[int, dict]:
    body = {
        "expected": [{"key": name, "rev": rev} for name, rev in expected.items()],
        "puts": [{"key": key, "value": encoded(value), "lease": lease}],
    }
    response = store.answer(ask("POST", "threadramp/kv-txn", msgspec.json.encode(body)))
    return response.status, msgspec.json.decode(response.body or b"null")


def grant(store: PlatformStore, ttl_ms: float) -> int:
    body = msgspec.json.encode({"ttlMs": ttl_ms})
    return msgspec.json.decode(store.answer(ask("POST", "threadramp/kv-lease", body)).body)["lease"]


def test_a_write_takes_effect_only_at_the_expected_revision() -> None:
    store = PlatformStore({})
    assert transact(store, {"a": 0}, "a", b"1")[0] == 200
    status, answer = transact(store, {"a": 0}, "a", b"2")
    assert status == 412
    assert [(row["key"], row["value"]) for row in answer["requests"]] == [("a", encoded(b"1"))]


def test_a_value_goes_with_its_lapsed_lease() -> None:
    store = PlatformStore({})
    transact(store, {"a": 0}, "a", b"1", grant(store, 20))
    time.sleep(0.03)  # the lease lapses meanwhile
    assert transact(store, {"a": 0}, "a", b"2")[0] == 200


def test_a_value_goes_with_its_ended_lease_and_not_before() -> None:
    store = PlatformStore({})
    lease = grant(store, 60_000)
    transact(store, {"a": 0}, "a", b"1", lease)
    assert store.answer(ask("POST", f"threadramp/kv-keep/{lease}")).status == 200
    assert transact(store, {"a": 0}, "a", b"2")[0] == 412
    store.answer(ask("DELETE", f"threadramp/kv-lease-end/{lease}"))
    assert store.answer(ask("POST", f"threadramp/kv-keep/{lease}")).status == 404
    assert transact(store, {"a": 0}, "a", b"2")[0] == 200


def test_a_lease_that_is_over_takes_no_keys() -> None:
    store = PlatformStore({})
    assert transact(store, {}, "a", b"1", lease=77)[0] == 404


def test_a_watch_after_the_history_is_forgotten_says_so() -> None:
    store = PlatformStore({})
    transact(store, {}, "a", b"1")
    query = {"pathPrefix": "", "after": "0", "waitMs": "10"}
    assert store.answer(ask("GET", "threadramp/kv-watch", **query)).status == 200
    store.faults["forget"] = True
    store.faults_changed()
    assert store.answer(ask("GET", "threadramp/kv-watch", **query)).status == 410


def test_calls_above_the_rate_are_refused_and_counted() -> None:
    store = PlatformStore({})
    store.faults["calls_per_s"] = 2
    store.faults_changed()
    read = ask("GET", "threadramp/kv-key", key="a")
    statuses = [store.answer(read).status for _ in range(10)]
    assert statuses.count(429) >= 7
    assert store.record()["refused"] == statuses.count(429)


def chat(priority: int, engine: ModelEngine) -> list[bytes]:
    body = {"model": "m", "messages": [{"content": "p"}], "max_tokens": 4, "priority": priority}
    request = ask("POST", "v1/chat/completions", msgspec.json.encode(body))
    return list(engine.answer(request).body)


def test_engine_serves_the_lowest_priority_number_first_within_its_batch() -> None:
    engine = ModelEngine({"prefill_s": 0.0})
    engine.faults["batch"] = 1
    order: list[int] = []
    engine._enter(0)  # the batch is full
    threads = [
        threading.Thread(target=lambda at=rank: (chat(at, engine), order.append(at)))
        for rank in (100, 1, 50)
    ]
    for thread in threads:
        thread.start()
    deadline = time.monotonic() + PATIENCE_S
    while len(engine.waiting) < 3 and time.monotonic() < deadline:
        time.sleep(0.01)
    engine._note_running(-1)
    for thread in threads:
        thread.join(PATIENCE_S)
    assert order == [1, 50, 100]


def test_load_report_lags() -> None:
    engine = ModelEngine({})
    engine.faults["load_lag_s"] = 3600.0
    engine._enter(0)
    assert msgspec.json.decode(engine.answer(ask("GET", "v1/load")).body) == {"running": 0}
    engine.faults["load_lag_s"] = 0.0
    assert msgspec.json.decode(engine.answer(ask("GET", "v1/load")).body) == {"running": 1}


@pytest.mark.parametrize(("ignores", "status"), [(False, 409), (True, 200)])
def test_old_order_is_refused_or_obeyed(ignores: bool, status: int) -> None:
    engine = ModelEngine({"swap_s": 0.0, "ignore_fence": ignores})
    for fence, version in ((5, 2), (4, 1)):
        order = msgspec.json.encode({"model": "m", "version": version, "fence": fence})
        answer = engine.answer(ask("POST", "v1/orders/load", order))
    assert answer.status == status
    assert engine.weights["m"] == (1 if ignores else 2)


def test_a_stand_in_waits_for_a_request_that_is_held_up_on_its_connection():
    """It closed the connection after 10 s, so a late order never arrived and broke no rule."""
    server = PlatformStore({}).start("127.0.0.1:0", 4)
    try:
        assert server.timeout > TAKEOVER_S
    finally:
        server.stop()


def test_engine_does_not_load_weights_that_were_cut() -> None:
    """It loaded a part of them, or none, where the store's head or its body was cut."""
    server = CuttingServer(lambda request, framing: framed(framing, b"weights", {}))
    engine = ModelEngine({"weight_store": f"http://{server.address}"})
    order = {"model": "m", "version": 1}
    server.cut = Cut(Framing.LENGTH, WHOLE_BYTES, End.CLOSE)
    assert engine._load_weights(order)
    assert server.sent
    for after in range(len(server.sent)):
        server.cut = Cut(Framing.LENGTH, after, End.CLOSE)
        assert not engine._load_weights(order), after
    server.close()
