"""The estimated true time while the clocks of some boxes jump."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from threadramp.policy.true_time import MAX_DEVIATION_S, READING_TTL_S, RELIABLE_AFTER_S, TrueTime

BOOT = 1_790_000_000.0  # time of day at which the monotonic clock was 0


class JumpingClock:
    def __init__(self, steady: float = 100.0, jump: float = 0.0) -> None:
        self.steady = steady
        self.jump = jump

    def now(self) -> float:
        return self.steady

    def time_of_day(self) -> float:
        return BOOT + self.steady + self.jump


@pytest.mark.parametrize("jump", [-2.0, 2.0, 3600.0])
def test_a_jump_of_the_own_clock_has_no_effect(jump):
    clock = JumpingClock()
    true_time = TrueTime(clock)
    clock.jump = jump
    clock.steady += 5.0
    assert true_time.now() == BOOT + 105.0


@pytest.mark.parametrize("jump", [-2.0, 2.0])
def test_a_wrong_own_clock_at_the_start_is_corrected_by_others(jump):
    clock = JumpingClock(jump=jump)
    true_time = TrueTime(clock)
    for box in ("a", "b"):
        true_time.add_reading(box, BOOT + clock.now(), clock.now())
    assert true_time.now() == BOOT + clock.now()


@pytest.mark.parametrize("jump", [-2.0, 2.0])
def test_one_other_box_alone_has_no_effect(jump):
    """Of two clocks that differ, either may be right; a third that agrees with one decides."""
    clock = JumpingClock()
    true_time = TrueTime(clock)
    true_time.add_reading("off", BOOT + clock.now() + jump, clock.now())
    assert true_time.now() == BOOT + clock.now()
    true_time.add_reading("off too", BOOT + clock.now() + jump, clock.now())
    assert true_time.now() == BOOT + clock.now() + jump


def test_it_is_reliable_after_two_readings_or_with_one_after_some_time():
    """With none it was after some time as well, so a box that started first went by its clock."""
    clock = JumpingClock()
    true_time = TrueTime(clock)
    true_time.add_reading("a", BOOT + clock.now(), clock.now())
    assert not true_time.is_reliable()
    true_time.add_reading("b", BOOT + clock.now(), clock.now())
    assert true_time.is_reliable()
    alone, one_of_two = TrueTime(clock), TrueTime(clock)
    clock.steady += RELIABLE_AFTER_S
    assert not alone.is_reliable()
    assert not one_of_two.is_reliable()
    one_of_two.add_reading("a", BOOT + clock.now(), clock.now())
    assert one_of_two.is_reliable()


def test_two_clocks_that_differ_are_not_reliable():
    """A box that was alone for long went by its own clock until it heard a third one."""
    clock = JumpingClock(jump=3.0)
    true_time = TrueTime(clock)
    clock.steady += RELIABLE_AFTER_S
    true_time.add_reading("a", BOOT + clock.now(), clock.now())
    assert not true_time.is_reliable()
    true_time.add_reading("b", BOOT + clock.now(), clock.now())
    assert true_time.is_reliable()


def test_late_messages_have_no_effect():
    clock = JumpingClock()
    true_time = TrueTime(clock)
    for late in (0.0, 0.1, MAX_DEVIATION_S - 0.01):
        true_time.add_reading("a", BOOT + clock.now() - late, clock.now())
        assert true_time.now() == BOOT + clock.now()


def test_old_readings_are_ignored():
    clock = JumpingClock()
    true_time = TrueTime(clock)
    for box in ("a", "b"):
        true_time.add_reading(box, BOOT + clock.now() + 2.0, clock.now())
    clock.steady += READING_TTL_S + 0.1
    assert true_time.now() == BOOT + clock.now()


@given(
    st.lists(st.sampled_from([-2.0, 2.0, 500.0]), max_size=5),
    st.integers(min_value=0, max_value=5),
    st.sampled_from([0.0, -2.0, 2.0]),
)
def test_fewer_than_half_wrong_clocks_have_no_effect(jumps, more, own_jump):
    clock = JumpingClock(jump=own_jump)
    true_time = TrueTime(clock)
    wrong = len(jumps) + bool(own_jump)
    boxes = [*jumps, *[0.0] * (wrong + bool(own_jump) + more)]
    for number, jump in enumerate(boxes):
        true_time.add_reading(f"box-{number}", BOOT + clock.now() + jump, clock.now())
    assert true_time.now() == BOOT + clock.now()
