"""Who may order an engine: one holder at a time, with numbers that rise from holder to holder."""

from __future__ import annotations

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from tests.stores import MemoryStore
from threadramp.fleet.rights import AGAIN_S, Right
from threadramp.platform.store_model import Item
from threadramp.runner.order_right import HAND_OVER_MARGIN_S, order_right

APART_S = 3.0
WAIT_S = APART_S + HAND_OVER_MARGIN_S


@pytest.fixture
def store() -> MemoryStore:
    return MemoryStore()


def right(store, holder, clock, **how) -> Right:
    return order_right(store, "10.0.0.1:80", holder, APART_S, clock, **how)


def sure(store, holder, clock) -> Right:
    return right(store, holder, clock, is_sure=lambda: True)


def test_who_takes_it_first_orders_at_once_and_asks_once(store, clock):
    side = sure(store, "side", clock)
    assert side.usable_number() == 11
    assert side.usable_number() == 11
    assert store.calls == 1


def test_another_holder_has_a_higher_number_and_waits(store, clock):
    first = sure(store, "side", clock).usable_number()
    front = sure(store, "front", clock)
    assert front.usable_number() == 0
    clock.at += WAIT_S - 0.1
    assert front.usable_number() == 0
    clock.at += 0.2
    assert front.usable_number() > first


def test_the_one_before_sees_that_it_is_gone_and_takes_it_back_the_same_way(store, clock):
    side, front = sure(store, "side", clock), sure(store, "front", clock)
    side.usable_number()
    front.usable_number()
    clock.at += WAIT_S
    number = front.usable_number()
    side.doubt()
    assert side.usable_number() == 0
    clock.at += WAIT_S
    assert side.usable_number() > number
    front.doubt()
    assert front.usable_number() == 0


def test_who_may_not_take_it_leaves_it(store, clock):
    front = right(store, "front", clock, may_take=lambda: False)
    assert front.usable_number() == 0
    assert store.calls == 0


def test_the_next_process_of_a_box_goes_on_with_its_number(store, clock):
    number = sure(store, "side", clock).usable_number()
    assert sure(store, "side", clock).usable_number() == number


def test_the_next_process_of_a_box_waits_out_the_rest(store, clock):
    sure(store, "side", clock).usable_number()
    sure(store, "front", clock).usable_number()
    clock.at += 1.0
    again = sure(store, "front", clock)
    assert again.usable_number() == 0
    clock.at += WAIT_S - 1.1
    assert again.usable_number() == 0
    clock.at += 0.2
    assert again.usable_number()


def test_a_lost_answer_is_settled_by_the_next_look(store, clock):
    store.loses = True
    side = sure(store, "side", clock)
    assert side.usable_number() == 0
    store.loses = False
    clock.at += AGAIN_S
    assert side.usable_number() == store.revision


def test_a_value_that_nobody_can_read_is_taken_over_as_from_another(store, clock):
    key = "engine/10.0.0.1:80"
    store.items[key] = Item(key, b"\xc1", 10)
    side = sure(store, "side", clock)
    assert side.usable_number() == 0
    clock.at += WAIT_S
    assert side.usable_number() == 11


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
        order = holders[number].usable_number()
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
