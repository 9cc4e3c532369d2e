"""Relayed writes to the store that a network cut delays on the way to the relay."""

from __future__ import annotations

import time

import msgspec
import pytest
from tools.fleet import free_address

from tests.holding import HoldingWay
from threadramp.fleet.relaying import RELAY_TIMEOUT_S, StoreRelay, relay_through
from threadramp.fleet.store_health import StoreHealth
from threadramp.platform.store import StoreClient
from threadramp.platform.store_model import (
    Call,
    Put,
    RawAnswer,
    StoreRefusedError,
    StoreUnknownError,
    Transaction,
)
from threadramp.platform.store_wire import transaction_body
from threadramp.wire.fleet import CallStore, StoreAnswered, decode_ask, decode_reply
from threadramp.wire.packing import Packing
from threadramp.wire.sync import SyncClient, SyncServer

DELAY_S = 0.5
HANDLED_S = 0.5  # time after which delayed messages have been handled
REPLY_TIMEOUT_S = 5.0
WRITE = Call(
    "POST", "/threadramp/kv-txn", transaction_body(Transaction({}, (Put("a", b"v"),))), 1.0, True
)


@pytest.fixture
def relay(clock, store_address) -> StoreRelay:
    return StoreRelay(StoreClient(store_address, timeout_s=1.0), StoreHealth(clock))


@pytest.fixture
def proxy(relay):
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


def test_a_write_that_a_cut_delays_is_not_applied_after_the_cut(
    proxy, client, clock, platform_store
) -> None:
    """The write was applied long after its sender had given up, when others had moved on."""
    sent: list[CallStore] = []

    def send(address: str, ask: CallStore, timeout_s: float) -> object:
        sent.append(ask)
        if ask.mark:
            proxy.hold()
        return client.ask(address, ask, DELAY_S)

    with pytest.raises(StoreUnknownError):
        relay_through([proxy.address], CallStore("g0", "g0:1", WRITE), send)
    clock.at += RELAY_TIMEOUT_S + DELAY_S
    proxy.release()
    time.sleep(HANDLED_S)
    assert platform_store.data == {}
    assert len(sent) == 2


def test_a_write_that_is_delayed_before_its_token_is_issued_is_not_applied(
    proxy, client, platform_store
) -> None:
    client.ask(
        proxy.address, CallStore("g0", "g0:1", Call("GET", "/x", b"", 1.0, True)), REPLY_TIMEOUT_S
    )
    proxy.hold()
    with pytest.raises(StoreRefusedError):
        relay_through(
            [proxy.address],
            CallStore("g0", "g0:1", WRITE),
            lambda address, ask, timeout_s: client.ask(address, ask, DELAY_S),
        )
    proxy.release()
    time.sleep(HANDLED_S)
    assert platform_store.data == {}


def test_a_write_is_passed_on(proxy, client, platform_store) -> None:
    answer = relay_through([proxy.address], CallStore("g0", "g0:1", WRITE), client.ask)
    assert answer.status == 200
    assert list(platform_store.data) == ["a"]


def test_a_token_is_valid_for_one_write(relay) -> None:
    first = relay.answer(CallStore("g0", "g0:1", WRITE, ""))
    assert first.answer is None
    marked = CallStore("g0", "g0:1", WRITE, first.mark)
    assert relay.answer(marked).answer.status == 200
    again = relay.answer(marked)
    assert again.answer is None
    assert again.mark not in ("", first.mark)


@pytest.mark.parametrize("relay_is_new", [False, True], ids=["same relay", "new relay"])
@pytest.mark.parametrize("unreachable", [False, True], ids=["store there", "store lost"])
def test_a_write_that_is_delivered_again_is_not_reported_as_not_done(
    relay, clock, store_address, relay_is_new, unreachable
) -> None:
    """After a reconnect the copy was refused, and the asker took the write that was done for
    refused."""

    def deliver_twice(address: str, ask: CallStore, timeout_s: float) -> StoreAnswered:
        reply = relay.answer(ask)
        if not ask.mark:
            return reply
        assert reply.answer.status == 200
        second = StoreRelay(relay.store, StoreHealth(clock)) if relay_is_new else relay
        if unreachable:
            second.health.record_failure(clock.now(), OSError("reset"))
        return second.answer(ask)

    with pytest.raises(StoreUnknownError):
        relay_through(["g1"], CallStore("g0", "g0:1", WRITE), deliver_twice)


def test_a_write_whose_token_has_expired_was_not_done(relay, clock) -> None:
    """The caller may try another way without risk."""
    token = relay.answer(CallStore("g0", "g0:1", WRITE, "")).mark
    clock.at += RELAY_TIMEOUT_S + 0.1
    late = relay.answer(CallStore("g0", "g0:1", WRITE, token))
    assert (late.answer, late.not_done) == (None, True)


def test_unused_tokens_expire(relay, clock) -> None:
    for _ in range(3):
        relay.answer(CallStore("g0", "g0:1", WRITE, ""))
        clock.at += RELAY_TIMEOUT_S + 1.0
    assert len(relay.tokens) == 1


def test_a_write_of_an_earlier_release_needs_no_token(relay) -> None:
    assert relay.answer(CallStore("g0", "g0:1", WRITE)).answer.status == 200


def test_a_relay_of_an_earlier_release_is_understood() -> None:
    answer = RawAnswer(200, msgspec.json.encode({"rev": 1}))
    reply = relay_through(
        ["old"], CallStore("g0", "g0:1", WRITE), lambda *sent: StoreAnswered(answer)
    )
    assert reply == answer
