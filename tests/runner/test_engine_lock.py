"""The engine lock: one holder at a time, and fencing tokens that increase with each holder."""

from __future__ import annotations

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from tests.stores import MemoryStore
from threadramp.fleet.fenced_lock import RETRY_INTERVAL_S, VERIFICATION_TTL_S, FencedLock
from threadramp.platform.store_model import Item, StoreUnknownError
from threadramp.runner.engine_lock import TAKEOVER_MARGIN_S, make_engine_lock

APART_S = 3.0
KEY = "engine/10.0.0.1:80"
WAIT_S = APART_S + TAKEOVER_MARGIN_S


@pytest.fixture
def store() -> MemoryStore:
    return MemoryStore()


def lock_of(store, holder, clock, **options) -> FencedLock:
    return make_engine_lock(store, "10.0.0.1:80", holder, APART_S, clock, **options)


def test_the_first_holder_orders_at_once_and_verifies_each_order(store, clock):
    sidecar = lock_of(store, "sidecar", clock)
    assert sidecar.verified_token() == 11
    assert sidecar.verified_token() == 11
    assert store.calls == 2


def test_another_holder_has_a_higher_token_and_waits(store, clock):
    first = lock_of(store, "sidecar", clock).verified_token()
    gateway = lock_of(store, "gateway", clock)
    assert gateway.verified_token() == 0
    clock.at += WAIT_S - 0.1
    assert gateway.verified_token() == 0
    clock.at += 0.2
    assert gateway.verified_token() > first


def test_the_previous_holder_detects_the_loss_and_takes_the_lock_back_the_same_way(store, clock):
    sidecar, gateway = lock_of(store, "sidecar", clock), lock_of(store, "gateway", clock)
    sidecar.verified_token()
    gateway.verified_token()
    clock.at += WAIT_S
    number = gateway.verified_token()
    assert sidecar.verified_token() == 0
    clock.at += WAIT_S
    assert sidecar.verified_token() > number
    assert gateway.verified_token() == 0


def test_a_process_that_may_not_take_the_lock_sends_no_request(store, clock):
    gateway = lock_of(store, "gateway", clock, may_take=lambda: False)
    assert gateway.verified_token() == 0
    assert store.calls == 0


def test_the_next_process_of_a_box_keeps_the_token(store, clock):
    number = lock_of(store, "sidecar", clock).verified_token()
    assert lock_of(store, "sidecar", clock).verified_token() == number


@pytest.mark.parametrize("jump_s", [-20.0, 0.0, 20.0])
def test_the_next_process_of_a_box_waits_again_whatever_the_time_of_day_is(store, clock, jump_s):
    lock_of(store, "sidecar", clock).verified_token()
    lock_of(store, "gateway", clock).verified_token()
    clock.at += 1.0
    clock.time_of_day = lambda: 1_700_000_000.0 + clock.at + jump_s
    again = lock_of(store, "gateway", clock)
    assert again.verified_token() == 0
    clock.at += WAIT_S - 0.1
    assert again.verified_token() == 0
    clock.at += 0.2
    assert again.verified_token()


def test_the_next_process_of_a_box_does_not_wait_once_the_wait_is_over(store, clock):
    lock_of(store, "sidecar", clock).verified_token()
    gateway = lock_of(store, "gateway", clock)
    gateway.verified_token()
    clock.at += WAIT_S
    number = gateway.verified_token()
    assert lock_of(store, "gateway", clock).verified_token() == number


def test_a_late_takeover_write_is_waited_for_from_its_detection(store, clock):
    """The previous holder may have been verified until the write was committed."""
    sidecar, gateway = lock_of(store, "sidecar", clock), lock_of(store, "gateway", clock)
    sidecar.verified_token()
    transact, late = store.transact, []

    def delay(transaction, repeatable=False):
        if transaction.expected == {KEY: 11} and not late:
            late.append(transaction)
            raise StoreUnknownError("no answer")
        return transact(transaction, repeatable)

    store.transact = delay
    assert gateway.verified_token() == 0
    clock.at += WAIT_S - 1.0
    assert sidecar.verified_token() == 11
    transact(late[0])
    clock.at += RETRY_INTERVAL_S
    assert gateway.verified_token() == 0
    clock.at += WAIT_S - 0.1
    assert gateway.verified_token() == 0
    clock.at += 0.2
    assert gateway.verified_token() > 11


def test_a_verification_expires_after_a_second(store, clock):
    sidecar = lock_of(store, "sidecar", clock)
    sidecar.verified_token()
    clock.at += VERIFICATION_TTL_S - 0.01
    assert sidecar.is_verified()
    clock.at += 0.02
    assert not sidecar.is_verified()


def test_a_store_response_that_is_processed_late_verifies_nothing(store, clock):
    """The process was suspended after the store had answered: the time counts from the request."""
    sidecar = lock_of(store, "sidecar", clock)
    sidecar.verified_token()
    get = store.get

    def get_late(key):
        found = get(key)
        clock.at += VERIFICATION_TTL_S + 0.1
        return found

    store.get = get_late
    assert sidecar.verified_token() == 0
    store.get = get
    assert sidecar.verified_token() == 11


def test_a_lost_response_is_resolved_by_the_next_read(store, clock):
    store.loses = True
    sidecar = lock_of(store, "sidecar", clock)
    assert sidecar.verified_token() == 0
    store.loses = False
    clock.at += RETRY_INTERVAL_S
    assert sidecar.verified_token() == store.revision


def test_an_undecodable_value_is_taken_over_as_from_another_holder(store, clock):
    store.items[KEY] = Item(KEY, b"\xc1", 10)
    sidecar = lock_of(store, "sidecar", clock)
    assert sidecar.verified_token() == 0
    clock.at += WAIT_S
    assert sidecar.verified_token() == 12  # revision of the write that ends the wait


STEPS = st.lists(
    st.tuples(st.integers(0, 2), st.booleans(), st.floats(0.0, 4.0)), min_size=5, max_size=60
)


@settings(suppress_health_check=[HealthCheck.function_scoped_fixture])
@given(steps=STEPS)
def test_tokens_of_orders_never_decrease_and_holders_never_alternate(clock, steps):
    """Three processes request the lock in random order; some store responses are lost."""
    store = MemoryStore()
    clock.at = 100.0
    holders = [lock_of(store, f"box-{n}", clock) for n in range(3)]
    sent_orders: list[tuple[int, int, float]] = []
    for index, loses, pause_s in steps:
        store.loses = loses
        token = holders[index].verified_token()
        if token:
            sent_orders.append((index, token, clock.at))
        clock.at += pause_s
    for (holder, before, at), (next_holder, after, next_at) in zip(
        sent_orders, sent_orders[1:], strict=False
    ):
        if holder == next_holder:
            assert after >= before
        else:
            assert after > before
            assert next_at - at >= APART_S
