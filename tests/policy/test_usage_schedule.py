"""When a window is final, waited for, reported and abandoned."""

from __future__ import annotations

from threadramp.policy.usage_schedule import CLOCK_WAIT_SHARE, SETTLE_S, WAIT_SHARE, UsageSchedule

SCHEDULE = UsageSchedule(window_s=5.0, late_s=10.0)


def test_a_window_is_reported_once_all_gateways_answered_after_it_was_final():
    assert not SCHEDULE.is_ready(3, 20.0, all_answered=True)
    assert SCHEDULE.is_ready(3, 20.0 + SETTLE_S, all_answered=True)
    assert not SCHEDULE.is_ready(3, 20.0 + SETTLE_S, all_answered=False)


def test_an_unresponsive_gateway_is_waited_for_while_the_report_is_in_time():
    assert not SCHEDULE.is_ready(3, 20.0 + WAIT_SHARE * 10.0 - 0.1, all_answered=False)
    assert SCHEDULE.is_ready(3, 20.0 + WAIT_SHARE * 10.0, all_answered=False)
    assert WAIT_SHARE * 10.0 + 3.0 < 10.0  # leaves time for a write and a call at a busy platform


def test_a_new_holder_continues_after_the_stored_windows():
    assert SCHEDULE.first_window([4, 5, 6], started_at=0.0, now=37.0) == 7
    assert SCHEDULE.first_window([], started_at=12.0, now=37.0) == 2
    assert (
        SCHEDULE.first_window([4], started_at=0.0, now=1000.0) == (1000 - 40) // 5
    )  # older reports are of no use


def test_a_new_holder_skips_no_window():
    for window in range(3, 9):
        assert SCHEDULE.first_window([window], 0.0, SCHEDULE.end(window) + 20.0) == window + 1


def test_a_report_that_is_too_late_is_abandoned():
    assert not SCHEDULE.is_abandoned(3, 20.0 + 10.0 + 29.0)
    assert SCHEDULE.is_abandoned(3, 20.0 + 10.0 + 31.0)


def test_a_window_waits_for_readings_of_other_clocks():
    """A holder whose clock was ahead reported a window before its end, without its requests."""
    due_at = 20.0 + CLOCK_WAIT_SHARE * 10.0
    for all_answered in (False, True):
        assert not SCHEDULE.is_ready(3, due_at - 0.1, all_answered, is_time_reliable=False)
        assert SCHEDULE.is_ready(3, due_at, all_answered, is_time_reliable=False)
