"""Sizes of pools: each order under a right that was proven just before."""

from __future__ import annotations

from types import SimpleNamespace

import pytest

from tests.stores import MemoryStore
from threadramp.duties.scale_orders import CALLS_A_LOOK, LOOK_S, ScaleOrders
from threadramp.fleet.fenced_lock import FencedLock
from threadramp.fleet.model import Autoscale, Pool
from threadramp.platform.duty_calls import DutyAnswer, DutyOutcome
from threadramp.report.metrics import Metrics

APART_S = 3.0
SLOWEST_S = 1.3  # that a call may take
PLACES = [f"place-{number:02}" for number in range(CALLS_A_LOOK)]


class Interface:
    """What takes the orders, each after a while."""

    def __init__(self, clock) -> None:
        self.clock = clock
        self.takes_s = 0.0
        self.rows: list[tuple[str, int, str, int]] = []
        self.during = lambda: None

    def caller(self, box: str):
        interface = self

        class Calls:
            def scale(self, number, pool, data_centre, endpoints, may_send):
                assert may_send()
                interface.rows.append((box, number, data_centre, endpoints))
                interface.clock.at += interface.takes_s
                interface.during()
                return DutyAnswer(DutyOutcome.TAKEN, "200")

        return Calls()


class Box:
    """One gateway; ``busy`` is what is open at each data centre."""

    def __init__(self, name: str, store: MemoryStore, interface: Interface, clock) -> None:
        self.busy = 0.0
        self.right = FencedLock(store, "member/.duties", name, APART_S, clock)
        pool = Pool("calls", slots=8, autoscale=Autoscale(1, 9, 0.0))
        listed = [SimpleNamespace(data_centre=one, leaving=False, slots=8) for one in PLACES]
        belief = SimpleNamespace(
            configuration=SimpleNamespace(pools={"calls": pool}), in_pool=lambda _: listed
        )
        self.orders = ScaleOrders(
            self.right,
            interface.caller(name),
            SimpleNamespace(open_at=lambda _: dict.fromkeys(PLACES, self.busy)),
            SimpleNamespace(snapshot=belief),
            Metrics("t"),
        )

    def turn(self) -> None:
        number = self.right.cached_token()
        if number:
            self.orders.turn(number)


@pytest.fixture
def store() -> MemoryStore:
    return MemoryStore()


@pytest.fixture
def interface(clock) -> Interface:
    return Interface(clock)


def test_slow_calls_one_after_another_end_once_another_box_holds_the_right(store, interface, clock):
    """Ten calls of 1.3 s were sent under one proof: the last of them 12 s after it."""
    one, two = (Box(name, store, interface, clock) for name in ("one", "two"))
    one.busy = two.busy = 30.0
    interface.takes_s = SLOWEST_S

    def taken_over() -> None:
        interface.takes_s = 0.0
        interface.during = lambda: None
        two.turn()
        clock.at += APART_S
        two.turn()

    interface.during = taken_over
    one.turn()
    numbers = [number for _, number, _, _ in interface.rows]
    assert {box for box, *_ in interface.rows[1:]} == {"two"}
    assert numbers == sorted(numbers)


def test_quick_calls_share_a_proof(store, interface, clock):
    one = Box("one", store, interface, clock)
    one.busy = 30.0
    one.turn()
    assert len(interface.rows) == CALLS_A_LOOK
    assert store.calls == 2  # taken, and proven
    clock.at += LOOK_S
    one.turn()
    assert len(interface.rows) == CALLS_A_LOOK


def test_a_holder_that_comes_back_orders_anew_what_others_changed_meanwhile(
    store, interface, clock
):
    """It took what it had ordered long before for what stands, and left the other one's sizes."""
    one, two = (Box(name, store, interface, clock) for name in ("one", "two"))
    one.busy = 30.0
    one.turn()
    for box, busy in ((two, 45.0), (one, 30.0)):
        box.busy = busy
        box.right.verified_token()
        clock.at += LOOK_S
        box.turn()
    last = {place: (box, count) for box, _, place, count in interface.rows}
    assert set(last.values()) == {("one", last[PLACES[0]][1])}
