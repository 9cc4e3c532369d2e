"""A gateway that collects the counts of others."""

from __future__ import annotations

import pytest

from threadramp.duties.collecting import UsageCollecting, UsageCounting
from threadramp.fleet.picture import Member
from threadramp.policy.true_time import RELIABLE_AFTER_S, TrueTime
from threadramp.policy.usage_windows import RETAINED_WINDOWS
from threadramp.wire.fleet import ReadUsage

WINDOW_S = 5.0
OTHER = Member("other", "gateway", "i2", "10.0.0.2:7720", "a", "")


class Others:
    """One other gateway, which answers or not."""

    def __init__(self, clock, counting) -> None:
        self.clock = clock
        self.counting = counting
        self.member = Member("me", "gateway", "i1", "10.0.0.1:7720", "a", "")
        self.myself = ("me", "10.0.0.1:7720")
        self.answers = True
        self.picture = self
        self.belief = self

    def gateways(self):
        return [self.member, OTHER]

    def gateways_lately(self):
        return [OTHER]

    def ask_all(self, asks, timeout_s):
        if not self.answers:
            return {}
        return {address: self.counting.answer(ask) for address, ask in asks.items()}


@pytest.fixture
def other(clock) -> UsageCounting:
    return UsageCounting(WINDOW_S, TrueTime(clock), "other", "i2")


@pytest.fixture
def peers(clock, other) -> Others:
    return Others(clock, other)


@pytest.fixture
def collecting(clock, peers) -> UsageCollecting:
    true_time = TrueTime(clock)
    return UsageCollecting(peers, UsageCounting(WINDOW_S, true_time, "me", "i1"), true_time)


def test_counts_of_both_come_together(clock, collecting, other):
    window = collecting.counting.book.window_at(collecting.true_time.now())
    collecting.counting.began("acme", clock.now())
    other.began("acme", clock.now())
    other.began(None, clock.now())
    other.began("", clock.now())
    assert collecting.round() == 1
    assert collecting.total(window) == {"acme": 2}


def test_one_that_does_not_answer_is_missed(clock, collecting, peers):
    clock.at += RELIABLE_AFTER_S
    since = collecting.true_time.now() - 1.0
    collecting.round()
    assert collecting.all_told(since)
    peers.answers = False
    clock.at += 5.0
    for rounds in (1, 2):
        collecting.round()
        assert collecting.unanswered == {"other": rounds}
    assert not collecting.all_told(since + 5.0)


def test_a_collector_that_reports_nothing_forgets_old_windows_too(clock, collecting, other):
    """It kept all of them: only the holder forgot, by what it had reported."""
    for _ in range(4 * RETAINED_WINDOWS):
        other.began("acme", clock.now())
        collecting.round()
        clock.at += WINDOW_S
    kept = {window for told in collecting.table.processes.values() for window in told.windows}
    assert len(kept) <= RETAINED_WINDOWS + 1


@pytest.mark.parametrize("ahead", [-7.0, 7.0])
def test_what_was_counted_before_the_time_was_known_is_counted_where_it_belongs(clock, ahead):
    """A box serves calls at once, and hears from others only later that its clock is off."""
    counting = counting_of_a_box_that_is(ahead, clock)
    window = counting.book.window_at(clock.time_of_day())
    for _ in range(3):
        counting.began("acme", clock.now())
    counting.did_not_begin("acme", clock.now())
    clock.at += 0.5
    assert not counting.answer(ask_of("first", clock)).is_sure
    told = counting.answer(ask_of("second", clock))
    assert told.is_sure
    assert told.windows[window] == {"acme": 2}
    assert told.windows.get(counting.book.window_at(clock.time_of_day() + ahead), {}) == {}


def counting_of_a_box_that_is(ahead: float, clock) -> UsageCounting:
    truth = clock.time_of_day
    clock.time_of_day = lambda: truth() + ahead
    counting = UsageCounting(WINDOW_S, TrueTime(clock), "off", "i3")
    clock.time_of_day = truth
    return counting


def ask_of(name: str, clock) -> ReadUsage:
    return ReadUsage(name, "10.0.0.3:7720", "i3", 0, clock.time_of_day())


def test_a_collector_whose_own_clock_was_ahead_waits_for_answers_as_any_other(clock, peers):
    """It took what others told before a window was settled for all of it."""
    truth = clock.time_of_day
    clock.time_of_day = lambda: truth() + 7.0
    true_time = TrueTime(clock)
    clock.time_of_day = truth
    collecting = UsageCollecting(peers, UsageCounting(WINDOW_S, true_time, "me", "i1"), true_time)
    ask_all = peers.ask_all

    def asked_all(asks, timeout_s):
        true_time.add_reading("third", truth(), clock.now())
        return ask_all(asks, timeout_s)

    peers.ask_all = asked_all
    clock.at += RELIABLE_AFTER_S
    collecting.round()
    assert not collecting.all_told(truth() + 1.0)
    clock.at += 1.1
    collecting.round()
    assert collecting.all_told(truth() - 0.1)


def test_an_answer_of_one_that_may_still_move_requests_is_not_waited_for_in_vain(clock, collecting):
    """Two gateways alone never hear of a third; after a while what they tell counts."""
    since = collecting.true_time.now() - 0.1
    collecting.round()
    assert not collecting.all_told(since)
    clock.at += RELIABLE_AFTER_S
    collecting.round()
    assert collecting.all_told(since)
