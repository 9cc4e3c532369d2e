"""Sizes of pools: the lock is verified right before each order."""

from __future__ import annotations

from types import SimpleNamespace

import pytest

from tests.stores import MemoryStore
from threadramp.duties.scale_orders import DECISION_INTERVAL_S, MAX_ORDERS_PER_CYCLE, ScaleOrders
from threadramp.fleet.fenced_lock import FencedLock
from threadramp.fleet.model import Autoscale, Pool
from threadramp.platform.duty_calls import DutyAnswer, DutyOutcome
from threadramp.report.metrics import Metrics

APART_S = 3.0
SLOWEST_S = 1.3  # that a call may take
DATA_CENTRES = [f"place-{number:02}" for number in range(MAX_ORDERS_PER_CYCLE)]


class ScalingInterface:
    """Takes the orders, each after a while."""

    def __init__(self, clock) -> None:
        self.clock = clock
        self.call_takes_s = 0.0
        self.rows: list[tuple[str, int, str, int]] = []
        self.during = lambda: None

    def caller(self, box: str):
        interface = self

        class Calls:
            def scale(self, number, pool, data_centre, endpoints, may_send):
                assert may_send()
                interface.rows.append((box, number, data_centre, endpoints))
                interface.clock.at += interface.call_takes_s
                interface.during()
                return DutyAnswer(DutyOutcome.TAKEN, "200")

        return Calls()


class Box:
    """One gateway; ``busy`` is the number of open requests in each data centre."""

    def __init__(self, name: str, store: MemoryStore, interface: ScalingInterface, clock) -> None:
        self.busy = 0.0
        self.lock = FencedLock(store, "member/.duties", name, APART_S, clock)
        pool = Pool("calls", slots=8, autoscale=Autoscale(1, 9, 0.0))
        listed = [SimpleNamespace(data_centre=one, leaving=False, slots=8) for one in DATA_CENTRES]
        belief = SimpleNamespace(
            configuration=SimpleNamespace(pools={"calls": pool}), in_pool=lambda _: listed
        )
        self.orders = ScaleOrders(
            self.lock,
            interface.caller(name),
            SimpleNamespace(open_at=lambda _: dict.fromkeys(DATA_CENTRES, self.busy)),
            SimpleNamespace(snapshot=belief),
            Metrics("t"),
        )

    def run_once(self) -> None:
        number = self.lock.cached_token()
        if number:
            self.orders.run_once(number)


@pytest.fixture
def store() -> MemoryStore:
    return MemoryStore()


@pytest.fixture
def interface(clock) -> ScalingInterface:
    return ScalingInterface(clock)


def test_slow_calls_one_after_another_end_once_another_box_holds_the_lock(store, interface, clock):
    """Ten calls of 1.3 s were sent after one verification, the last of them 12 s later."""
    one, two = (Box(name, store, interface, clock) for name in ("one", "two"))
    one.busy = two.busy = 30.0
    interface.call_takes_s = SLOWEST_S

    def taken_over() -> None:
        interface.call_takes_s = 0.0
        interface.during = lambda: None
        two.run_once()
        clock.at += APART_S
        two.run_once()

    interface.during = taken_over
    one.run_once()
    numbers = [number for _, number, _, _ in interface.rows]
    assert {box for box, *_ in interface.rows[1:]} == {"two"}
    assert numbers == sorted(numbers)


def test_quick_calls_share_a_verification(store, interface, clock):
    one = Box("one", store, interface, clock)
    one.busy = 30.0
    one.run_once()
    assert len(interface.rows) == MAX_ORDERS_PER_CYCLE
    assert store.calls == 2  # one to take the lock, one to verify it
    clock.at += DECISION_INTERVAL_S
    one.run_once()
    assert len(interface.rows) == MAX_ORDERS_PER_CYCLE


def test_a_returning_holder_orders_again_what_others_changed_meanwhile(store, interface, clock):
    """It assumed that its own old orders were in force, and left the other holder's sizes."""
    one, two = (Box(name, store, interface, clock) for name in ("one", "two"))
    one.busy = 30.0
    one.run_once()
    for box, busy in ((two, 45.0), (one, 30.0)):
        box.busy = busy
        box.lock.verified_token()
        clock.at += DECISION_INTERVAL_S
        box.run_once()
    last = {data_centre: (box, count) for box, _, data_centre, count in interface.rows}
    assert set(last.values()) == {("one", last[DATA_CENTRES[0]][1])}
