"""Which gateways collect for the duties, and which may take them over from a lost holder."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from threadramp.policy.duty_assignment import (
    MAX_MISSED_ROUNDS,
    is_collector,
    may_take_over,
    succession_order,
)

NAMES = [f"front-{number}" for number in range(6)]
ORDER = succession_order(NAMES)
ALL = len(NAMES) - 1


def test_the_holder_and_the_first_two_collect():
    holder = ORDER[4]
    assert [name for name in ORDER if is_collector(name, holder, NAMES)] == [*ORDER[:2], holder]


def test_no_gateway_takes_over_from_a_holder_that_answers():
    for me in NAMES:
        assert not may_take_over(me, ORDER[0], NAMES, {ORDER[0]: MAX_MISSED_ROUNDS - 1}, ALL)


def test_exactly_one_gateway_takes_over_from_an_unresponsive_holder():
    gone = {ORDER[0]: MAX_MISSED_ROUNDS}
    assert [me for me in ORDER if may_take_over(me, ORDER[0], NAMES, gone, ALL - 1)] == [ORDER[1]]


def test_exactly_one_gateway_takes_over_without_a_holder_in_the_member_list():
    assert [me for me in ORDER if may_take_over(me, "", NAMES, {}, ALL)] == [ORDER[0]]
    assert [me for me in ORDER if may_take_over(me, "front-9", NAMES, {}, ALL)] == [ORDER[0]]


def test_the_next_gateway_takes_over_if_the_first_is_gone_too():
    gone = dict.fromkeys(ORDER[:2], MAX_MISSED_ROUNDS)
    left = ORDER[2:]
    assert [me for me in left if may_take_over(me, ORDER[0], NAMES, gone, ALL - 2)] == [ORDER[2]]


def test_a_gateway_that_is_cut_off_does_not_take_over():
    gone = dict.fromkeys((name for name in NAMES if name != ORDER[1]), 9)
    assert not may_take_over(ORDER[1], ORDER[0], NAMES, gone, 0)


def test_a_single_gateway_takes_over():
    assert may_take_over("front-0", "", ["front-0"], {}, 0)
    assert may_take_over("front-1", "front-0", ["front-1"], {}, 0)


@given(st.sets(st.sampled_from(NAMES), min_size=1), st.sampled_from([*NAMES, ""]))
def test_with_the_same_view_at_most_one_gateway_may_take_over(listed, holder):
    names = sorted(listed)
    takers = [me for me in names if may_take_over(me, holder, names, {}, len(names) - 1)]
    assert len(takers) <= 1
    assert bool(takers) == (holder not in names)
