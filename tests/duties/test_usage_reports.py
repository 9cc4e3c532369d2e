"""Usage reports: stored before they are sent, repeated exactly, with rising fencing tokens."""

from __future__ import annotations

import socket
from collections import Counter

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from tests.conftest import FakeClock
from tests.stores import MemoryStore
from threadramp.duties.usage_reports import REPORT_PREFIX, UsageReports
from threadramp.duties.verification import VERIFICATION_TTL_S
from threadramp.fleet.fenced_lock import FencedLock
from threadramp.platform.duty_calls import DutyAnswer, DutyCalls, DutyOutcome
from threadramp.platform.standins.cloud import PlatformCloud
from threadramp.platform.store_model import StoreError, StoreUnknownError
from threadramp.policy.true_time import TrueTime
from threadramp.policy.usage_schedule import RETRY_FOR_S, SETTLE_S, UsageSchedule
from threadramp.report.metrics import Metrics

WINDOW_S = 5.0
APART_S = 3.0
BOOT = 1_700_000_000.0


class Cloud:
    """Takes the calls and checks the invariants over all of them."""

    def __init__(self) -> None:
        self.rows: list[tuple[str, int, int, dict]] = []
        self.outcome = DutyOutcome.TAKEN
        self.loses = False

    def caller(self, box: str):
        cloud = self

        class Calls:
            def usage(self, number, window, counts, may_send):
                assert may_send()
                if cloud.outcome is DutyOutcome.TAKEN:
                    cloud.rows.append((box, number, window, dict(counts)))
                if cloud.loses:
                    return DutyAnswer(DutyOutcome.UNKNOWN, "lost")
                return DutyAnswer(cloud.outcome, "")

        return Calls()

    def check(self) -> None:
        by_window: dict[int, dict] = {}
        for _, _, window, counts in self.rows:
            assert by_window.setdefault(window, counts) == counts
        numbers = [number for _, number, _, _ in self.rows]
        assert numbers == sorted(numbers)
        holders: dict[int, set] = {}
        for box, number, _, _ in self.rows:
            holders.setdefault(number, set()).add(box)
        assert all(len(boxes) == 1 for boxes in holders.values())


class ServedCloud:
    """An interface on real sockets, which takes the calls as the platform does."""

    def __init__(self, serve) -> None:
        self.platform = PlatformCloud({})
        self.address = serve(self.platform)

    def caller(self, box: str):
        return DutyCalls(self.address, box)


class Collected:
    """Counts as collected by this gateway."""

    def __init__(self) -> None:
        self.windows: dict[int, Counter] = {}
        self.told = True
        self.has_reliable_time = True

    def all_answered(self, since):
        return self.told

    def total(self, window):
        return dict(self.windows.get(window, {}))


class Gateway:
    def __init__(self, box: str, store: MemoryStore, cloud: Cloud, clock: FakeClock) -> None:
        self.lock = FencedLock(store, "member/.duties", box, APART_S, clock)
        self.collector = Collected()
        schedule = UsageSchedule(WINDOW_S, 10.0)
        self.true_time = TrueTime(clock)
        self.reports = UsageReports(
            self.lock,
            store,
            cloud.caller(box),
            self.collector,
            schedule,
            self.true_time,
            Metrics("t"),
        )

    def run_once(self) -> None:
        number = self.lock.cached_token()
        if number:
            try:
                self.reports.run_once(number)
            except StoreError:
                return


@pytest.fixture
def store() -> MemoryStore:
    return MemoryStore()


@pytest.fixture
def cloud() -> Cloud:
    return Cloud()


def window_at(clock: FakeClock) -> int:
    return int(clock.time_of_day() // WINDOW_S)


def pass_window(clock: FakeClock) -> int:
    """Advance the clock past the end of the current window; returns the window's number."""
    window = window_at(clock)
    clock.at = (window + 1) * WINDOW_S - BOOT + SETTLE_S + 0.01
    return window


def test_each_window_is_reported_once_also_one_without_any_request(store, cloud, clock):
    one = Gateway("one", store, cloud, clock)
    one.run_once()
    first = window_at(clock)
    one.collector.windows[first] = Counter(acme=3)
    for _ in range(3):
        pass_window(clock)
        one.run_once()
        one.run_once()
    assert [row[2:] for row in cloud.rows] == [
        (first, {"acme": 3}),
        (first + 1, {}),
        (first + 2, {}),
    ]


@pytest.mark.parametrize("ahead", [-7.0, 7.0])
def test_the_first_window_is_that_of_the_start_despite_a_wrong_clock(store, cloud, clock, ahead):
    """It trusted its clock at the start, before other gateways had reported the time."""
    truth = clock.time_of_day
    clock.time_of_day = lambda: truth() + ahead
    one = Gateway("one", store, cloud, clock)
    clock.time_of_day = truth
    first = window_at(clock)
    clock.at += 1.0
    for other in ("two", "three"):
        one.true_time.add_reading(other, truth(), clock.now())
    one.run_once()
    pass_window(clock)
    one.run_once()
    assert [row[2] for row in cloud.rows] == [first]


@pytest.mark.parametrize("ahead", [-4.0, 4.0])
def test_a_holder_that_starts_alone_reports_no_window_by_its_clock_alone(
    store, cloud, clock, ahead
):
    """A window was reported before its end, and windows before it were reported by nobody."""
    truth = clock.time_of_day
    clock.time_of_day = lambda: truth() + ahead
    one = Gateway("one", store, cloud, clock)
    clock.time_of_day = truth
    one.collector.has_reliable_time = False
    first = window_at(clock)
    one.run_once()  # takes the lock while no other gateway is known
    clock.at += 4.0
    one.run_once()
    assert cloud.rows == []
    for other in ("two", "three"):
        one.true_time.add_reading(other, truth(), clock.now())
    one.collector.has_reliable_time = True
    one.collector.windows[first] = Counter(acme=3)
    pass_window(clock)
    one.run_once()
    assert cloud.rows[0][2:] == (first, {"acme": 3})


def test_a_window_costs_one_call_to_the_store(store, cloud, clock):
    one = Gateway("one", store, cloud, clock)
    one.run_once()
    before = store.calls
    for _ in range(10):
        pass_window(clock)
        one.run_once()
    assert store.calls - before == 10
    assert len([key for key in store.items if key.startswith(REPORT_PREFIX)]) <= 12


def test_nothing_is_sent_before_all_answered_or_the_wait_is_over(store, cloud, clock):
    one = Gateway("one", store, cloud, clock)
    one.run_once()
    one.collector.told = False
    pass_window(clock)
    one.run_once()
    assert cloud.rows == []
    clock.at += 6.5
    one.run_once()
    assert len(cloud.rows) == 1


@pytest.mark.parametrize("outcome", [DutyOutcome.TURNED_AWAY, DutyOutcome.NOT_SENT])
def test_a_report_that_was_not_taken_is_sent_again_as_stored(store, cloud, clock, outcome):
    one = Gateway("one", store, cloud, clock)
    one.run_once()
    window = pass_window(clock)
    one.collector.windows[window] = Counter(acme=1)
    cloud.outcome = outcome
    one.run_once()
    one.collector.windows[window] = Counter(acme=2)  # a late answer no longer matters
    cloud.outcome = DutyOutcome.TAKEN
    clock.at += 1.0
    one.run_once()
    assert cloud.rows == [("one", one.lock.fencing_token, window, {"acme": 1})]


def test_an_unanswered_call_is_repeated_exactly(store, cloud, clock):
    one = Gateway("one", store, cloud, clock)
    one.run_once()
    window = pass_window(clock)
    one.collector.windows[window] = Counter(acme=1)
    cloud.loses = True
    one.run_once()
    cloud.loses = False
    clock.at += 1.0
    one.run_once()
    assert [row[2:] for row in cloud.rows] == [(window, {"acme": 1})] * 2
    cloud.check()


def test_an_unanswered_write_is_found_as_it_was_stored(store, cloud, clock):
    one = Gateway("one", store, cloud, clock)
    one.run_once()
    window = pass_window(clock)
    one.collector.windows[window] = Counter(acme=1)
    store.loses = True
    one.run_once()
    assert cloud.rows == []
    store.loses = False
    one.collector.windows[window] = Counter(acme=5)
    one.run_once()
    assert [row[2:] for row in cloud.rows] == [(window, {"acme": 1})]


def test_a_late_write_changes_no_report(store, cloud, clock):
    """The write was not answered, so the holder stored the window again, with newer counts."""
    one, two = Gateway("one", store, cloud, clock), Gateway("two", store, cloud, clock)
    one.run_once()
    window = pass_window(clock)
    one.collector.windows[window] = Counter(acme=1)
    transact = store.transact
    late = []

    def lost(transaction, repeatable=False):
        late.append(transaction)
        raise StoreUnknownError("no answer")

    store.transact = lost
    one.run_once()
    store.transact = transact
    one.collector.windows[window] = Counter(acme=2)
    one.run_once()
    transact(late[0])
    two.run_once()
    clock.at += APART_S
    two.run_once()
    assert [row[3] for row in cloud.rows] == [{"acme": 2}] * 2
    cloud.check()


def test_the_next_holder_repeats_what_was_stored_and_perhaps_not_sent(store, cloud, clock):
    one, two = Gateway("one", store, cloud, clock), Gateway("two", store, cloud, clock)
    one.run_once()
    window = pass_window(clock)
    one.collector.windows[window] = Counter(acme=4)
    cloud.outcome = DutyOutcome.NOT_SENT
    one.run_once()  # stores the report, then fails
    cloud.outcome = DutyOutcome.TAKEN
    two.run_once()
    clock.at += APART_S
    two.run_once()
    assert [(box, window, counts) for box, _, window, counts in cloud.rows] == [
        ("two", window, {"acme": 4})
    ]


def test_a_suspended_holder_sends_nothing_once_another_holds_the_lock(store, cloud, clock):
    """It is suspended between the write and the call, so the verification is old by then."""
    one, two = Gateway("one", store, cloud, clock), Gateway("two", store, cloud, clock)
    one.run_once()
    pass_window(clock)
    transact = store.transact

    def frozen(transaction, repeatable=False):
        store.transact = transact
        answer = transact(transaction, repeatable)
        clock.at += VERIFICATION_TTL_S + APART_S
        two.run_once()
        clock.at += APART_S
        two.run_once()
        return answer

    store.transact = frozen
    one.run_once()
    assert {row[0] for row in cloud.rows} == {"two"}
    cloud.check()


def test_a_holder_suspended_while_it_connects_sends_nothing_old(store, serve, clock, monkeypatch):
    """The verification was recent when the call was started, not when its bytes were sent."""
    cloud = ServedCloud(serve)
    one, two = Gateway("one", store, cloud, clock), Gateway("two", store, cloud, clock)
    one.run_once()
    pass_window(clock)
    connect = socket.socket.connect

    def frozen(self, address):
        connect(self, address)
        monkeypatch.setattr(socket.socket, "connect", connect)
        clock.at += VERIFICATION_TTL_S + APART_S
        two.run_once()
        clock.at += APART_S
        two.run_once()

    monkeypatch.setattr(socket.socket, "connect", frozen)
    one.run_once()
    assert {row["holder"] for row in cloud.platform.taken} == {"two"}
    assert cloud.platform.broken(APART_S) == []


def test_a_deposed_holder_stores_no_report(store, cloud, clock):
    one, two = Gateway("one", store, cloud, clock), Gateway("two", store, cloud, clock)
    one.run_once()
    two.lock.cached_token()
    window = pass_window(clock)
    one.collector.windows[window] = Counter(acme=1)
    one.run_once()
    assert not any(key.startswith(REPORT_PREFIX) for key in store.items)
    assert cloud.rows == []


def test_an_expired_report_is_given_up(store, cloud, clock):
    one = Gateway("one", store, cloud, clock)
    one.run_once()
    cloud.outcome = DutyOutcome.TURNED_AWAY
    pass_window(clock)
    one.run_once()
    clock.at += 10.0 + RETRY_FOR_S + 1.0
    one.collector.told = False
    one.run_once()
    cloud.outcome = DutyOutcome.TAKEN
    one.run_once()
    assert all(row[2] > window_at(clock) - 10 for row in cloud.rows)


steps = st.lists(
    st.tuples(
        st.integers(0, 2),
        st.sampled_from(
            ["turn", "turn", "turn", "request", "kill", "store away", "store loses", "cloud loses",
             "cloud away", "give"]
        ),  # fmt: skip
        st.floats(0.0, 2.5),
    ),
    max_size=80,
)  # fmt: skip


@settings(deadline=None)
@given(steps)
def test_whatever_fails_a_window_has_one_report_and_fencing_tokens_rise(rows):
    clock, store, cloud = FakeClock(), MemoryStore(), Cloud()
    boxes = [Gateway(f"box-{n}", store, cloud, clock) for n in range(3)]
    for place, what, seconds in rows:
        box = boxes[place]
        if what == "turn":
            box.run_once()
        elif what == "request":
            for other in boxes[: place + 1]:  # not all of them have been told
                other.collector.windows.setdefault(window_at(clock), Counter())["acme"] += 1
        elif what == "kill":
            boxes[place] = Gateway(f"box-{place}", store, cloud, clock)
        elif what == "store away":
            store.away = not store.away
        elif what == "store loses":
            store.loses = not store.loses
        elif what == "cloud loses":
            cloud.loses = not cloud.loses
        elif what == "cloud away":
            taken = cloud.outcome is DutyOutcome.TAKEN
            cloud.outcome = DutyOutcome.TURNED_AWAY if taken else DutyOutcome.TAKEN
        else:
            try:
                box.lock.transfer_to(f"box-{(place + 1) % 3}")
            except StoreError:
                continue
        clock.at += seconds
    cloud.check()
