"""Which call of a gateway is sent next, which waits and which is refused."""

from __future__ import annotations

from random import Random

import pytest

from threadramp.policy.call_admission import (
    MAX_QUEUED,
    MIN_RETRY_AFTER_S,
    QUEUE_SHARE,
    Call,
    CallAdmission,
    Reason,
)
from threadramp.policy.concurrency_limit import ConcurrencyLimit, PoolState

NOW = 100.0
TARGET_S = 0.2
FREE = PoolState(NOW, 0.0, True, 0.0, 0, 1.0)


class Switch(ConcurrencyLimit):
    """A limit that tests open and shut."""

    def __init__(self) -> None:
        super().__init__(Random(1))
        self.is_open = False

    def allows(self, pool: PoolState) -> bool:
        return self.is_open


@pytest.fixture
def admission() -> CallAdmission:
    return CallAdmission(Switch())


def call(key: int, at: float = NOW, **fields) -> Call:
    values = {
        "priority": 2, "organisation": "", "weight": 1.0, "arrived_at": at, "target_s": TARGET_S,
        "deadline": at + 2.0,
    }  # fmt: skip
    return Call(key, **{**values, **fields})


def offer(admission: CallAdmission, *calls: Call, now: float = NOW) -> list:
    # A rate at which all of them could be sent in time.
    admission.started_at.extend([now] * 1000)
    return [found for one in calls if (found := admission.offer(one, now)) is not None]


def sent(admission: CallAdmission, count: int = 1000, now: float = NOW) -> list[int]:
    admission.limit.is_open = True
    found = []
    while len(found) < count and (one := admission.next_call(FREE, now)) is not None:
        found.append(one.key)
    return found


def test_the_most_urgent_goes_first_then_the_one_with_the_least_time(admission):
    offer(admission, call(1), call(2, priority=1), call(3, deadline=NOW + 1.0), call(4))
    assert sent(admission) == [2, 3, 1, 4]


def test_a_returning_caller_goes_before_new_ones_of_its_priority(admission):
    """It would be refused twice, and gives up then."""
    offer(admission, call(1), call(2, deadline=NOW + 1.5, returns=True), call(3, priority=1))
    assert sent(admission) == [3, 2, 1]


def test_an_organisation_with_ten_times_its_share_takes_no_turns_of_others(admission):
    """In order of arrival the calls of one organisation delayed all others."""
    many = [call(number, organisation="a") for number in range(20)]
    few = [call(100 + number, organisation="b") for number in range(2)]
    offer(admission, *many, *few)
    assert {100, 101} <= set(sent(admission, 4))


def test_turns_follow_the_weights(admission):
    rows = [call(number, organisation="a", weight=3.0) for number in range(30)]
    rows += [call(100 + number, organisation="b") for number in range(30)]
    offer(admission, *rows)
    first = sent(admission, 20)
    assert sum(key < 100 for key in first) == 15


def test_a_call_that_waited_for_its_part_of_the_target_is_refused(admission):
    offer(admission, call(1), call(2, returns=True))
    at = NOW + QUEUE_SHARE * TARGET_S
    assert admission.expired(at - 0.001) == []
    (refusal,) = admission.expired(at)
    assert (refusal.key, refusal.reason) == (1, Reason.WAITED_TOO_LONG)
    assert list(admission.waiting) == [2]  # refused again, its caller would give up


def test_a_call_that_cannot_be_sent_in_time_is_refused_on_arrival(admission):
    assert admission.offer(call(1), NOW) is None
    refusal = admission.offer(call(2, priority=3), NOW)
    assert refusal.reason is Reason.QUEUE_TOO_LONG
    assert sent(admission) == [1]


def test_a_paused_gateway_refuses_overdue_calls_and_sends_none(admission):
    """After a pause it sent calls whose callers had given up."""
    offer(admission, *(call(number) for number in range(5)))
    assert [one.reason for one in admission.abandoned(NOW + 3.0)] == [Reason.ABANDONED] * 5
    assert sent(admission, now=NOW + 3.0) == []


def test_a_full_queue_keeps_the_calls_that_go_first(admission):
    offer(admission, *(call(number, priority=5) for number in range(MAX_QUEUED)))
    (refusal,) = offer(admission, call(999, priority=0))
    assert refusal.reason is Reason.DISPLACED
    assert 999 in admission.waiting
    assert len(admission.waiting) == MAX_QUEUED


def test_a_caller_that_left_is_not_sent(admission):
    offer(admission, call(1), call(2))
    admission.withdraw(1)
    assert sent(admission) == [2]


def test_callers_refused_together_return_one_after_the_other(admission):
    """With one fixed time all of them returned at the same moment and were refused again."""
    times = [admission.retry_after_s(NOW) for _ in range(10)]
    assert times[0] == pytest.approx(MIN_RETRY_AFTER_S)
    gaps = [after - before for before, after in zip(times, times[1:], strict=False)]
    assert min(gaps) > 0
    assert max(gaps) - min(gaps) < 1e-9
