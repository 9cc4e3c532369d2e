"""Who may order an engine: one holder at a time, with numbers that rise from holder to holder."""

from __future__ import annotations

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from tests.stores import MemoryStore
from threadramp.fleet.fenced_lock import RETRY_INTERVAL_S, VERIFICATION_TTL_S, FencedLock
from threadramp.platform.store_model import Item, StoreUnknownError
from threadramp.runner.order_right import HAND_OVER_MARGIN_S, order_right

APART_S = 3.0
KEY = "engine/10.0.0.1:80"
WAIT_S = APART_S + HAND_OVER_MARGIN_S


@pytest.fixture
def store() -> MemoryStore:
    return MemoryStore()


def right(store, holder, clock, **how) -> FencedLock:
    return order_right(store, "10.0.0.1:80", holder, APART_S, clock, **how)


def test_who_takes_it_first_orders_at_once_and_asks_for_each_order(store, clock):
    side = right(store, "side", clock)
    assert side.verified_token() == 11
    assert side.verified_token() == 11
    assert store.calls == 2


def test_another_holder_has_a_higher_number_and_waits(store, clock):
    first = right(store, "side", clock).verified_token()
    front = right(store, "front", clock)
    assert front.verified_token() == 0
    clock.at += WAIT_S - 0.1
    assert front.verified_token() == 0
    clock.at += 0.2
    assert front.verified_token() > first


def test_the_one_before_sees_that_it_is_gone_and_takes_it_back_the_same_way(store, clock):
    side, front = right(store, "side", clock), right(store, "front", clock)
    side.verified_token()
    front.verified_token()
    clock.at += WAIT_S
    number = front.verified_token()
    assert side.verified_token() == 0
    clock.at += WAIT_S
    assert side.verified_token() > number
    assert front.verified_token() == 0


def test_who_may_not_take_it_leaves_it(store, clock):
    front = right(store, "front", clock, may_take=lambda: False)
    assert front.verified_token() == 0
    assert store.calls == 0


def test_the_next_process_of_a_box_goes_on_with_its_number(store, clock):
    number = right(store, "side", clock).verified_token()
    assert right(store, "side", clock).verified_token() == number


@pytest.mark.parametrize("jump_s", [-20.0, 0.0, 20.0])
def test_the_next_process_of_a_box_waits_again_whatever_the_time_of_day_is(store, clock, jump_s):
    right(store, "side", clock).verified_token()
    right(store, "front", clock).verified_token()
    clock.at += 1.0
    clock.time_of_day = lambda: 1_700_000_000.0 + clock.at + jump_s
    again = right(store, "front", clock)
    assert again.verified_token() == 0
    clock.at += WAIT_S - 0.1
    assert again.verified_token() == 0
    clock.at += 0.2
    assert again.verified_token()


def test_once_it_has_waited_the_next_process_of_a_box_does_not_wait(store, clock):
    right(store, "side", clock).verified_token()
    front = right(store, "front", clock)
    front.verified_token()
    clock.at += WAIT_S
    number = front.verified_token()
    assert right(store, "front", clock).verified_token() == number


def test_a_take_over_that_the_store_does_late_is_waited_for_from_when_it_is_found(store, clock):
    """The holder before may have been told that it holds the right until the write was done."""
    side, front = right(store, "side", clock), right(store, "front", clock)
    side.verified_token()
    transact, late = store.transact, []

    def keep_for_later(transaction, repeatable=False):
        if transaction.expected == {KEY: 11} and not late:
            late.append(transaction)
            raise StoreUnknownError("no answer")
        return transact(transaction, repeatable)

    store.transact = keep_for_later
    assert front.verified_token() == 0
    clock.at += WAIT_S - 1.0
    assert side.verified_token() == 11
    transact(late[0])
    clock.at += RETRY_INTERVAL_S
    assert front.verified_token() == 0
    clock.at += WAIT_S - 0.1
    assert front.verified_token() == 0
    clock.at += 0.2
    assert front.verified_token() > 11


def test_a_proof_is_old_after_a_second_whoever_asks_this_process_meanwhile(store, clock):
    side = right(store, "side", clock)
    side.verified_token()
    clock.at += VERIFICATION_TTL_S - 0.01
    assert side.is_verified()
    clock.at += 0.02
    assert not side.is_verified()


def test_an_answer_that_lay_here_proves_nothing(store, clock):
    """The process stood still after the store had answered: the proof counts from the question."""
    side = right(store, "side", clock)
    side.verified_token()
    get = store.get

    def stand_still(key):
        found = get(key)
        clock.at += VERIFICATION_TTL_S + 0.1
        return found

    store.get = stand_still
    assert side.verified_token() == 0
    store.get = get
    assert side.verified_token() == 11


def test_a_lost_answer_is_settled_by_the_next_look(store, clock):
    store.loses = True
    side = right(store, "side", clock)
    assert side.verified_token() == 0
    store.loses = False
    clock.at += RETRY_INTERVAL_S
    assert side.verified_token() == store.revision


def test_a_value_that_nobody_can_read_is_taken_over_as_from_another(store, clock):
    store.items[KEY] = Item(KEY, b"\xc1", 10)
    side = right(store, "side", clock)
    assert side.verified_token() == 0
    clock.at += WAIT_S
    assert side.verified_token() == 12  # of the write that says that it has waited


STEPS = st.lists(
    st.tuples(st.integers(0, 2), st.booleans(), st.floats(0.0, 4.0)), min_size=5, max_size=60
)


@settings(suppress_health_check=[HealthCheck.function_scoped_fixture])
@given(steps=STEPS)
def test_numbers_of_orders_never_fall_and_holders_never_take_turns(clock, steps):
    """Three that all want it and look each time, in any order, with answers lost now and then."""
    store = MemoryStore()
    clock.at = 100.0
    holders = [right(store, f"box-{n}", clock) for n in range(3)]
    given_orders: list[tuple[int, int, float]] = []
    for number, loses, pause_s in steps:
        store.loses = loses
        order = holders[number].verified_token()
        if order:
            given_orders.append((number, order, clock.at))
        clock.at += pause_s
    for (holder, before, at), (next_holder, after, then) in zip(
        given_orders, given_orders[1:], strict=False
    ):
        if holder == next_holder:
            assert after >= before
        else:
            assert after > before
            assert then - at >= APART_S
