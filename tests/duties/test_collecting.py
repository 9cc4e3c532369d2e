"""A gateway that collects the counts of others."""

from __future__ import annotations

import pytest

from threadramp.duties.collecting import MOVABLE_S, STARTUP_S, UsageCollector, UsageCounter
from threadramp.fleet.fleet_view import Member
from threadramp.policy.true_time import RELIABLE_AFTER_S, TrueTime
from threadramp.policy.usage_windows import RETAINED_WINDOWS
from threadramp.wire.fleet import ReadUsage

WINDOW_S = 5.0
OTHER = Member("other", "gateway", "i2", "10.0.0.2:7720", "a", "")


class Others:
    """One other gateway, which may not answer."""

    def __init__(self, clock, counter) -> None:
        self.clock = clock
        self.counter = counter
        self.member = Member("me", "gateway", "i1", "10.0.0.1:7720", "a", "")
        self.sender_fields = ("me", "10.0.0.1:7720")
        self.answers = True
        self.fleet_view = self
        self.snapshot = self

    def gateways(self):
        return [self.member, OTHER]

    def recent_gateways(self):
        return [OTHER]

    def ask_all(self, asks, timeout_s):
        if not self.answers:
            return {}
        return {address: self.counter.answer(ask) for address, ask in asks.items()}


@pytest.fixture
def other(clock) -> UsageCounter:
    return UsageCounter(WINDOW_S, TrueTime(clock), "other", "i2")


@pytest.fixture
def peers(clock, other) -> Others:
    return Others(clock, other)


@pytest.fixture
def collector(clock, peers) -> UsageCollector:
    true_time = TrueTime(clock)
    return UsageCollector(peers, UsageCounter(WINDOW_S, true_time, "me", "i1"), true_time)


def test_counts_of_both_gateways_are_added(clock, collector, other):
    window = collector.counter.windows.window_at(collector.true_time.now())
    collector.counter.count_sent("acme", clock.now())
    other.count_sent("acme", clock.now())
    other.count_sent(None, clock.now())
    other.count_sent("", clock.now())
    assert collector.round() == 1
    assert collector.total(window) == {"acme": 2}


def test_a_gateway_that_does_not_answer_is_missed(clock, collector, peers):
    clock.at += RELIABLE_AFTER_S
    since = collector.true_time.now() - 1.0
    collector.round()
    assert collector.all_answered(since)
    peers.answers = False
    clock.at += 5.0
    for rounds in (1, 2):
        collector.round()
        assert collector.missed_rounds == {"other": rounds}
    assert not collector.all_answered(since + 5.0)


def test_a_collector_that_reports_nothing_forgets_old_windows_too(clock, collector, other):
    """It kept all of them: only the holder dropped windows, depending on its reports."""
    for _ in range(4 * RETAINED_WINDOWS):
        other.count_sent("acme", clock.now())
        collector.round()
        clock.at += WINDOW_S
    windows = {
        window for reported in collector.table.processes.values() for window in reported.windows
    }
    assert len(windows) <= RETAINED_WINDOWS + 1


@pytest.mark.parametrize("ahead", [-7.0, 7.0])
def test_requests_counted_before_the_time_was_known_move_to_their_windows(clock, ahead):
    """A box serves calls at once, and learns from others only later that its clock is off."""
    counter = counter_of_a_box_that_is(ahead, clock)
    window = counter.windows.window_at(clock.time_of_day())
    for _ in range(3):
        counter.count_sent("acme", clock.now())
    counter.uncount("acme", clock.now())
    clock.at += 0.5
    assert not counter.answer(ask_of("first", clock)).is_sure
    reported = counter.answer(ask_of("second", clock))
    assert reported.is_sure
    assert reported.windows[window] == {"acme": 2}
    assert reported.windows.get(counter.windows.window_at(clock.time_of_day() + ahead), {}) == {}


@pytest.mark.parametrize("ahead", [-7.0, 7.0])
def test_requests_counted_long_after_the_start_but_before_the_time_was_known_move(clock, ahead):
    """A box that was alone for longer kept them in wrong windows when others joined."""
    counter = counter_of_a_box_that_is(ahead, clock)
    clock.at += 3 * STARTUP_S
    counter.changed_since(0)
    window = counter.windows.window_at(clock.time_of_day())
    counter.count_sent("acme", clock.now())
    clock.at += 0.5
    counter.answer(ask_of("first", clock))
    assert counter.answer(ask_of("second", clock)).windows[window] == {"acme": 1}


def test_a_box_that_stays_alone_forgets_what_it_can_no_longer_move(clock):
    """The requests to move would use up the memory of a box that no other one ever asks."""
    counter = counter_of_a_box_that_is(7.0, clock)
    for _ in range(100):
        counter.count_sent("acme", clock.now())
        clock.at += 1.0
        counter.changed_since(0)
    assert len(counter.movable) <= MOVABLE_S


def counter_of_a_box_that_is(ahead: float, clock, box: str = "off") -> UsageCounter:
    truth = clock.time_of_day
    clock.time_of_day = lambda: truth() + ahead
    counter = UsageCounter(WINDOW_S, TrueTime(clock), box, "i3")
    clock.time_of_day = truth
    return counter


def ask_of(name: str, clock) -> ReadUsage:
    return ReadUsage(name, "10.0.0.3:7720", "i3", 0, clock.time_of_day())


def test_a_collector_whose_own_clock_was_ahead_waits_for_answers_as_any_other(clock, peers):
    """It took counts reported before a window was settled for the complete counts."""
    truth = clock.time_of_day
    clock.time_of_day = lambda: truth() + 7.0
    true_time = TrueTime(clock)
    clock.time_of_day = truth
    collector = UsageCollector(peers, UsageCounter(WINDOW_S, true_time, "me", "i1"), true_time)
    ask_all = peers.ask_all

    def asked_all(asks, timeout_s):
        true_time.add_reading("third", truth(), clock.now())
        return ask_all(asks, timeout_s)

    peers.ask_all = asked_all
    clock.at += RELIABLE_AFTER_S
    collector.round()
    assert not collector.all_answered(truth() + 1.0)
    clock.at += 1.1
    collector.round()
    assert collector.all_answered(truth() - 0.1)


def test_counts_of_two_gateways_without_a_third_are_final_after_a_while(clock, collector):
    """Two gateways alone never hear from a third; after a while their counts are accepted."""
    since = collector.true_time.now() - 0.1
    collector.round()
    assert not collector.all_answered(since)
    clock.at += RELIABLE_AFTER_S
    collector.round()
    assert collector.all_answered(since)


def test_answers_before_the_time_is_known_do_not_count_for_later_windows(clock, peers):
    """Asked while the own clock was ahead, a gateway passed for one that was asked later."""
    counter = counter_of_a_box_that_is(7.0, clock, "me")
    collector = UsageCollector(peers, counter, counter.true_time)
    collector.round()
    assert not collector.has_reliable_time
    asked_at = clock.time_of_day()
    clock.at += 1.0
    for box in ("other", "third"):
        collector.true_time.add_reading(box, clock.time_of_day(), clock.now())
    assert not collector.all_answered(asked_at)
    clock.at += RELIABLE_AFTER_S
    collector.round()
    assert collector.all_answered(asked_at)


def test_a_collector_that_is_answered_by_nobody_has_no_reliable_time(clock, collector, peers):
    peers.answers = False
    clock.at += 10 * RELIABLE_AFTER_S
    collector.round()
    assert not collector.has_reliable_time
