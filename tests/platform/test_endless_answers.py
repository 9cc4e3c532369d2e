"""The platform's store and its interfaces for duties, if they send bytes without end."""

from __future__ import annotations

import pytest

from tests.endless import BODIES, HEADS, SOME, assert_was_stopped, result_within
from threadramp.platform.duty_calls import DutyCalls, DutyOutcome
from threadramp.platform.standins.endless import EndlessServer
from threadramp.platform.store import StoreClient
from threadramp.platform.store_model import (
    KeptLineError,
    Put,
    StoreError,
    StoreRefusedError,
    StoreUnknownError,
    Transaction,
)

TIMEOUT_S = 0.2
BODY_S = 0.1  # beyond that, for a body
WRITE = Transaction({"a": 0}, (Put("a", b"v"),))


@pytest.fixture
def endless(monkeypatch):
    monkeypatch.setattr("threadramp.wire.response_limits.BODY_EXTRA_S", BODY_S)
    monkeypatch.setattr("threadramp.platform.duty_calls.ANSWER_S", TIMEOUT_S)
    servers = []

    def start(*args) -> EndlessServer:
        servers.append(EndlessServer(*args))
        return servers[-1]

    yield start
    for server in servers:
        server.close()


def error_of(work) -> StoreError:
    with pytest.raises(StoreError) as caught:
        work()
    return caught.value


@pytest.mark.parametrize("slow", [False, True], ids=["fast", "slow"])
@pytest.mark.parametrize("kind", SOME)
def test_the_outcome_of_a_write_is_unknown(endless, kind, slow):
    """A time-out for each read never passed, so that the call and its lot had no end."""
    server = endless(kind, slow)
    store = StoreClient(server.address, timeout_s=TIMEOUT_S)
    error = result_within(TIMEOUT_S + BODY_S, lambda: error_of(lambda: store.transact(WRITE)))
    assert isinstance(error, StoreUnknownError)
    assert not isinstance(error, StoreRefusedError)
    assert_was_stopped(server)


@pytest.mark.parametrize("kind", SOME)
def test_a_watch_ends_within_its_time(endless, monkeypatch, kind):
    monkeypatch.setattr("threadramp.platform.store.WATCH_MARGIN_S", TIMEOUT_S)
    server = endless(kind, True)
    store = StoreClient(server.address, timeout_s=TIMEOUT_S)
    line = store.watch_line()
    time_s = 0.1 + TIMEOUT_S + BODY_S
    error = result_within(time_s, lambda: error_of(lambda: store.watch("a", 0, 0.1, line)))
    assert isinstance(error, StoreUnknownError)
    assert_was_stopped(server)


def test_a_write_on_a_kept_connection_is_not_repeated(endless, store_address):
    server = endless(*[kind for kind in BODIES if kind.name == "CHUNKS"])
    store = StoreClient(store_address, timeout_s=TIMEOUT_S)
    store.get("a")
    store.lines.kept.pool.host, _, port = server.address.partition(":")
    store.lines.kept.pool.port = int(port)
    store.lines.kept.pool.pool.get().close()
    error = result_within(TIMEOUT_S + BODY_S, lambda: error_of(lambda: store.transact(WRITE)))
    assert isinstance(error, KeptLineError)
    assert len(server.requests) <= 1  # none if the processor was too busy


@pytest.mark.parametrize("slow", [False, True], ids=["fast", "slow"])
@pytest.mark.parametrize("kind", HEADS)
def test_the_outcome_of_a_duty_call_is_unknown(endless, kind, slow):
    server = endless(kind, slow)
    calls = DutyCalls(server.address, "box-1")
    answer = result_within(TIMEOUT_S, lambda: calls.usage(1, 1, {"o": 1}, lambda: True))
    assert answer.outcome is DutyOutcome.UNKNOWN
    assert_was_stopped(server)


@pytest.mark.parametrize("kind", BODIES)
def test_the_body_of_a_duty_call_is_not_read(endless, kind):
    server = endless(kind)
    calls = DutyCalls(server.address, "box-1")
    result_within(TIMEOUT_S, lambda: calls.usage(1, 1, {"o": 1}, lambda: True))
    assert_was_stopped(server)
