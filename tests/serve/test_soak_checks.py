"""The checks of the soak test: which violations they report, and what they accept."""

from __future__ import annotations

import pytest

from tests.serve.order_watch import OrderWatch
from tests.serve.soak_checks import refused_lots_that_ran
from tests.serve.texts import text_errors
from tests.serve.trainer import Attempt
from threadramp.platform.standins.endpoint import MadeEvent, PlatformEngine

EVENTS = 3
SIDE, FRONT = "side-0", "front-1"


def order(holder: str, token: int, at: float, status: int = 202) -> dict:
    return {"holder": holder, "fence": token, "at": at, "version": 2, "status": status}


def watch(orders: list[dict], resumed: float = -1.0, healed: float = -1.0) -> OrderWatch:
    engine = PlatformEngine({"instance": "i-e0"})
    engine.arrived += orders
    resumes = {SIDE: [resumed]}
    return OrderWatch([engine], lambda name: resumes.get(name, ()), lambda _: [healed], 3.0)


@pytest.mark.parametrize(
    ("orders", "word"),
    [
        ([order(FRONT, 12, 1.0), order(SIDE, 9, 9.0)], "lower fencing token"),
        ([order(FRONT, 12, 1.0), order(SIDE, 9, 9.0, status=409)], "lower fencing token"),
        ([order(FRONT, 12, 1.0), order(SIDE, 12, 9.0)], "two holders"),
        ([order(SIDE, 9, 1.0), order(FRONT, 12, 2.0), order(SIDE, 14, 3.5)], "alternating holders"),
    ],
)
def test_orders_of_two_holders_are_reported(orders, word):
    (found,) = watch(orders).check()
    assert found.startswith("i-e0: ")
    assert word in found


def test_a_violation_is_reported_once_and_stays_reported():
    order_watch = watch([order(FRONT, 12, 1.0), order(SIDE, 9, 9.0)])
    assert order_watch.check() == order_watch.check()
    assert len(order_watch.check()) == 1


def test_successive_holders_are_accepted():
    orders = [order(SIDE, 9, 1.0), order(SIDE, 9, 2.0), order(FRONT, 12, 8.0), order(SIDE, 14, 15)]
    assert watch(orders).check() == []


@pytest.mark.parametrize(("since", "counts"), [(0.2, False), (0.4, True), (-0.1, True)])
def test_orders_right_after_a_resume_or_a_healed_partition_are_ignored(since, counts):
    orders = [order(FRONT, 12, 1.0), order(SIDE, 9, 9.0)]
    assert bool(watch(orders, resumed=9.0 - since).check()) is counts
    assert bool(watch(orders, healed=9.0 - since).check()) is counts


def test_a_resume_of_another_box_is_ignored():
    orders = [order(FRONT, 12, 1.0), order("side-1", 9, 9.0)]
    assert watch(orders, resumed=8.9).check()


def generated(run: str, numbers: range, after: int = 0, version: int = 1) -> list[MadeEvent]:
    return [MadeEvent(n, f"s1-{n} {run}", run, after, version) for n in numbers]


def text(*events: MadeEvent) -> str:
    return "\n".join(event.line for event in events)


def test_a_text_that_was_generated_for_its_sample_is_accepted():
    events = generated("a", range(1, 4))
    assert text_errors(text(*events), [1], events, EVENTS) == []


def test_a_text_that_was_resumed_at_the_requested_event_is_accepted():
    first, second = generated("a", range(1, 3)), generated("b", range(2, 4), after=1, version=2)
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
def test_texts_that_were_not_generated_so_are_reported(lines, versions, word):
    events = [*generated("a", range(1, 4)), *generated("b", range(1, 4))]
    assert any(word in one for one in text_errors("\n".join(lines), versions, events, EVENTS))


def attempts(*statuses: int) -> list[Attempt]:
    return [Attempt(FRONT, status) for status in statuses]


@pytest.mark.parametrize("ran", ["lot1-s3", "lot1-r0"])
@pytest.mark.parametrize("statuses", [(503,), (503, 429, 408, 421)])
def test_a_lot_that_was_refused_at_every_attempt_and_ran_is_reported(statuses, ran):
    """The sample, or the reward call, of a refused lot is enough."""
    made = {"lot1": attempts(*statuses), "lot10": attempts(503)}
    (found,) = refused_lots_that_ran(made, {ran, "call7"})
    assert found.startswith("lot1 ")
    assert f"{FRONT} 503" in found


@pytest.mark.parametrize("other", [0, 202, 500, 502, 504])
def test_a_lot_with_an_attempt_that_promised_nothing_may_run(other):
    made = {"lot1": attempts(503, other, 503), "lot2": []}
    assert list(refused_lots_that_ran(made, {"lot1-s0", "lot2-s0"})) == []


def test_a_refused_lot_that_did_not_run_is_accepted():
    assert list(refused_lots_that_ran({"lot1": attempts(503)}, {"lot11-s0"})) == []
