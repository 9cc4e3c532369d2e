"""Writes to the store through a peer that a cut holds up on their way to it."""

from __future__ import annotations

import time

import msgspec
import pytest
from tools.fleet import free_address

from tests.holding import HoldingWay
from threadramp.fleet.relaying import RELAY_TIMEOUT_S, StoreRelay, relay_through
from threadramp.fleet.store_health import StoreHealth
from threadramp.platform.store import StoreClient
from threadramp.platform.store_model import Call, Put, RawAnswer, Transaction
from threadramp.platform.store_wire import transaction_body
from threadramp.wire.fleet import CallStore, StoreAnswered, decode_ask, decode_reply
from threadramp.wire.packing import Packing
from threadramp.wire.sync import SyncClient, SyncServer

HELD_S = 0.5
HANDLED_S = 0.5  # after which what was held has been handled
PATIENCE_S = 5.0
WRITE = Call(
    "POST", "/threadramp/kv-txn", transaction_body(Transaction({}, (Put("a", b"v"),))), 1.0, True
)


@pytest.fixture
def relay(clock, store_address) -> StoreRelay:
    return StoreRelay(StoreClient(store_address, timeout_s=1.0), StoreHealth(clock))


@pytest.fixture
def way(relay):
    address = free_address()
    server = SyncServer(address, Packing(), relay.answer, 4, decode_ask)
    made = HoldingWay(address)
    yield made
    made.close()
    server.close()


@pytest.fixture
def client():
    made = SyncClient(Packing(), decode_reply, redial=True)
    yield made
    made.close()


def test_a_write_that_a_cut_holds_up_is_not_done_once_it_is_over(
    way, client, clock, platform_store
) -> None:
    """It was done when its sender had long given it up, and others had gone on without it."""
    sent: list[CallStore] = []

    def send(address: str, ask: CallStore, timeout_s: float) -> object:
        sent.append(ask)
        if ask.mark:
            way.hold()
        return client.ask(address, ask, HELD_S)

    answer = relay_through([way.address], CallStore("g0", "g0:1", WRITE), send)
    assert answer is None
    clock.at += RELAY_TIMEOUT_S + HELD_S
    way.release()
    time.sleep(HANDLED_S)
    assert platform_store.data == {}
    assert len(sent) == 2


def test_a_write_that_is_held_up_before_its_mark_is_given_is_not_done(
    way, client, platform_store
) -> None:
    client.ask(way.address, CallStore("g0", "g0:1", Call("GET", "/x", b"", 1.0, True)), PATIENCE_S)
    way.hold()
    answer = relay_through(
        [way.address],
        CallStore("g0", "g0:1", WRITE),
        lambda address, ask, timeout_s: client.ask(address, ask, HELD_S),
    )
    assert answer is None
    way.release()
    time.sleep(HANDLED_S)
    assert platform_store.data == {}


def test_a_write_is_passed_on(way, client, platform_store) -> None:
    answer = relay_through([way.address], CallStore("g0", "g0:1", WRITE), client.ask)
    assert answer.status == 200
    assert list(platform_store.data) == ["a"]


def test_a_mark_holds_for_one_write(relay) -> None:
    first = relay.answer(CallStore("g0", "g0:1", WRITE, ""))
    assert first.answer is None
    marked = CallStore("g0", "g0:1", WRITE, first.mark)
    assert relay.answer(marked).answer.status == 200
    again = relay.answer(marked)
    assert again.answer is None
    assert again.mark not in ("", first.mark)


def test_marks_that_nobody_used_are_forgotten(relay, clock) -> None:
    for _ in range(3):
        relay.answer(CallStore("g0", "g0:1", WRITE, ""))
        clock.at += RELAY_TIMEOUT_S + 1.0
    assert len(relay.marks) == 1


def test_what_a_process_of_an_earlier_release_asks_for_is_done_at_once(relay) -> None:
    assert relay.answer(CallStore("g0", "g0:1", WRITE)).answer.status == 200


def test_a_relay_of_an_earlier_release_is_understood() -> None:
    answer = RawAnswer(200, msgspec.json.encode({"rev": 1}))
    reply = relay_through(
        ["old"], CallStore("g0", "g0:1", WRITE), lambda *sent: StoreAnswered(answer)
    )
    assert reply == answer
