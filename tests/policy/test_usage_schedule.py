"""When a window is settled, waited for, reported and given up."""

from __future__ import annotations

from threadramp.policy.usage_schedule import SETTLE_S, WAIT_SHARE, UsageSchedule

SCHEDULE = UsageSchedule(window_s=5.0, late_s=10.0)


def test_a_window_is_reported_once_all_told_after_it_was_settled():
    assert not SCHEDULE.is_ready(3, 20.0, all_told=True)
    assert SCHEDULE.is_ready(3, 20.0 + SETTLE_S, all_told=True)
    assert not SCHEDULE.is_ready(3, 20.0 + SETTLE_S, all_told=False)


def test_one_that_does_not_answer_is_waited_for_as_long_as_the_report_is_in_time():
    assert not SCHEDULE.is_ready(3, 20.0 + WAIT_SHARE * 10.0 - 0.1, all_told=False)
    assert SCHEDULE.is_ready(3, 20.0 + WAIT_SHARE * 10.0, all_told=False)
    assert WAIT_SHARE * 10.0 + 3.0 < 10.0  # a write and a call of a busy platform come in time


def test_a_new_holder_goes_on_behind_what_was_fixed():
    assert SCHEDULE.first_window([4, 5, 6], began=0.0, now=37.0) == 7
    assert SCHEDULE.first_window([], began=12.0, now=37.0) == 2
    assert (
        SCHEDULE.first_window([4], began=0.0, now=1000.0) == (1000 - 40) // 5
    )  # nobody wants older ones


def test_no_window_is_passed_over_by_a_new_holder():
    for window in range(3, 9):
        assert SCHEDULE.first_window([window], 0.0, SCHEDULE.end(window) + 20.0) == window + 1


def test_a_report_that_nobody_wants_any_more_is_given_up():
    assert not SCHEDULE.is_abandoned(3, 20.0 + 10.0 + 29.0)
    assert SCHEDULE.is_abandoned(3, 20.0 + 10.0 + 31.0)
