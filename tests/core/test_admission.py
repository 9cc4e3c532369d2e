from __future__ import annotations

import pytest

from threadramp.core.admission import Admission, Admitted, Queued
from threadramp.policy.reserve import NoReserve, RecentReserve
from threadramp.wire.outcomes import Outcome, Reason

LATE = 100.0


@pytest.fixture
def admission() -> Admission:
    return Admission(slots=2, max_queue=2, reserve=NoReserve())


def test_calls_take_slots_then_wait_then_are_refused_at_once(admission: Admission) -> None:
    assert admission.offer("a", 0, LATE, 0.0) == Admitted()
    assert admission.offer("b", 0, LATE, 0.0) == Admitted()
    assert admission.offer("c", 0, LATE, 0.0) == Queued()
    assert admission.offer("d", 0, LATE, 0.0) == Queued()
    refusal = admission.offer("e", 0, LATE, 0.0)
    assert (refusal.reason, refusal.outcome) == (Reason.OVERLOADED, Outcome.NOT_RUN)
    assert refusal.retry_after_s >= 1


def test_lowest_rank_is_admitted_first(admission: Admission) -> None:
    for call in ("a", "b"):
        admission.offer(call, 0, LATE, 0.0)
    admission.offer("internal", 1, LATE, 0.0)
    admission.offer("interactive", 0, LATE, 0.0)
    assert admission.finish("a", 1.0) == ["interactive"]
    assert admission.finish("b", 1.0) == ["internal"]


def test_call_that_can_not_meet_its_deadline_is_refused_at_once(admission: Admission) -> None:
    admission.mean_service_s = 10.0
    for call in ("a", "b"):
        admission.offer(call, 0, LATE, 0.0)
    assert admission.offer("c", 0, 1.0, 0.0).reason is Reason.OVERLOADED
    assert admission.offer("d", 0, -1.0, 0.0).reason is Reason.DEADLINE


def test_rollouts_are_paused_for_queued_calls(admission: Admission) -> None:
    assert admission.start_rollout(0.0)
    assert admission.start_rollout(0.0)
    assert not admission.start_rollout(0.0)
    assert admission.offer("a", 0, LATE, 0.0) == Queued()
    assert admission.rollouts_to_pause() == 1
    assert admission.finish_rollout(0.1) == ["a"]
    assert not admission.start_rollout(0.1)


def test_removed_call_is_not_admitted_later(admission: Admission) -> None:
    for call in ("a", "b", "c"):
        admission.offer(call, 0, LATE, 0.0)
    admission.remove_waiting("c")
    assert admission.finish("a", 1.0) == []


def test_recent_reserve_keeps_a_slot_for_a_while() -> None:
    admission = Admission(slots=2, max_queue=2, reserve=RecentReserve(hold_s=2.0))
    admission.offer("a", 0, LATE, 0.0)
    admission.finish("a", 0.1)
    assert admission.start_rollout(0.2)
    assert not admission.start_rollout(0.2)
    assert admission.start_rollout(3.0)
