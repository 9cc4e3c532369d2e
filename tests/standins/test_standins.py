from __future__ import annotations

import threading
import time

import msgspec
import pytest

from threadramp.standins.engine import ModelEngine
from threadramp.standins.kv import KeyValueService
from threadramp.standins.server import Request

PATIENCE_S = 20.0


def ask(method: str, path: str, body: bytes = b"", **query: str) -> Request:
    return Request(method, tuple(path.split("/")), query, {"x-request-id": "r"}, body)


def test_swap_takes_effect_only_at_the_expected_version() -> None:
    kv = KeyValueService({})
    created = kv.answer(ask("PUT", "kv/a", b"1", expect="0"))
    assert created.status == 200
    lost = kv.answer(ask("PUT", "kv/a", b"2", expect="0"))
    assert (lost.status, lost.body) == (409, b"1")


def test_value_goes_with_its_lapsed_lease() -> None:
    kv = KeyValueService({})
    lease = kv.answer(ask("POST", "leases", ttl="0")).body.decode()
    kv.answer(ask("PUT", "kv/a", b"1", expect="0", lease=lease))
    assert kv.answer(ask("PUT", "kv/a", b"2", expect="0")).status == 200


def test_calls_above_the_rate_are_refused_and_counted() -> None:
    kv = KeyValueService({})
    kv.faults["calls_per_s"] = 2
    kv.faults_changed()
    statuses = [kv.answer(ask("GET", "kv/a")).status for _ in range(10)]
    assert statuses.count(429) >= 7
    assert kv.record()["refused"] == statuses.count(429)


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
