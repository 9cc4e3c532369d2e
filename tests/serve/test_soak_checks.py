"""The checks of the soak themselves: what they find, and what they let pass."""

from __future__ import annotations

import pytest

from tests.serve.order_watch import OrderWatch
from tests.serve.texts import text_errors
from threadramp.platform.standins.endpoint import MadeEvent, PlatformEngine

EVENTS = 3
SIDE, FRONT = "side-0", "front-1"


def order(holder: str, number: int, at: float, status: int = 202) -> dict:
    return {"holder": holder, "fence": number, "at": at, "version": 2, "status": status}


def watch(orders: list[dict], thawed: float = -1.0, mended: float = -1.0) -> OrderWatch:
    engine = PlatformEngine({"instance": "i-e0"})
    engine.arrived += orders
    thaws = {SIDE: [thawed]}
    return OrderWatch([engine], lambda name: thaws.get(name, ()), lambda _: [mended], 3.0)


@pytest.mark.parametrize(
    ("orders", "word"),
    [
        ([order(FRONT, 12, 1.0), order(SIDE, 9, 9.0)], "lower fencing token"),
        ([order(FRONT, 12, 1.0), order(SIDE, 9, 9.0, status=409)], "lower fencing token"),
        ([order(FRONT, 12, 1.0), order(SIDE, 12, 9.0)], "two holders"),
        ([order(SIDE, 9, 1.0), order(FRONT, 12, 2.0), order(SIDE, 14, 3.5)], "alternating holders"),
    ],
)
def test_orders_of_two_holders_are_found(orders, word):
    (found,) = watch(orders).check()
    assert found.startswith("i-e0: ")
    assert word in found


def test_what_was_seen_once_is_told_once_and_to_the_end():
    seen = watch([order(FRONT, 12, 1.0), order(SIDE, 9, 9.0)])
    assert seen.check() == seen.check()
    assert len(seen.check()) == 1


def test_holders_one_after_the_other_are_in_order():
    orders = [order(SIDE, 9, 1.0), order(SIDE, 9, 2.0), order(FRONT, 12, 8.0), order(SIDE, 14, 15)]
    assert watch(orders).check() == []


@pytest.mark.parametrize(("since", "counts"), [(0.2, False), (0.4, True), (-0.1, True)])
def test_what_arrives_right_after_a_thaw_or_a_mend_does_not_count(since, counts):
    orders = [order(FRONT, 12, 1.0), order(SIDE, 9, 9.0)]
    assert bool(watch(orders, thawed=9.0 - since).check()) is counts
    assert bool(watch(orders, mended=9.0 - since).check()) is counts


def test_a_thaw_of_another_box_counts_for_nothing():
    orders = [order(FRONT, 12, 1.0), order("side-1", 9, 9.0)]
    assert watch(orders, thawed=8.9).check()


def made(run: str, numbers: range, after: int = 0, version: int = 1) -> list[MadeEvent]:
    return [MadeEvent(n, f"s1-{n} {run}", run, after, version) for n in numbers]


def text(*events: MadeEvent) -> str:
    return "\n".join(event.line for event in events)


def test_a_text_that_was_made_for_it_is_right():
    whole = made("a", range(1, 4))
    assert text_errors(text(*whole), [1], whole, EVENTS) == []


def test_a_text_that_goes_on_where_it_was_asked_to_is_right():
    first, second = made("a", range(1, 3)), made("b", range(2, 4), after=1, version=2)
    both = [*first, *second]
    assert text_errors(text(first[0], *second), [1, 2], both, EVENTS) == []


@pytest.mark.parametrize(
    ("lines", "versions", "word"),
    [
        (["s1-1 a", "s1-2 a"], [1], "2 lines instead of 3"),
        (["s1-1 a", "s1-2 a", "s2-3 a"], [1], "never generated"),
        (["s1-1 a", "s1-3 a", "s1-2 a"], [1], "never generated"),
        (["s1-1 a", "s1-2 b", "s1-3 b"], [1], "resumed after line 0"),
        (["s1-1 a", "s1-2 a", "s1-3 a"], [1, 2], "versions"),
        (["s1-1 a", "s1-2 a", "s1-3 a"], [], "versions"),
    ],
)
def test_texts_that_were_not_made_so_are_found(lines, versions, word):
    events = [*made("a", range(1, 4)), *made("b", range(1, 4))]
    assert any(word in one for one in text_errors("\n".join(lines), versions, events, EVENTS))
