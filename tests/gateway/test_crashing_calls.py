"""Which calls a gateway of the product's own holds back since endpoints ended under them."""

from __future__ import annotations

import pytest

from threadramp.gateway.calls import CallerRequest
from threadramp.gateway.crashing_calls import CALLER_HEADER, CallGuard
from threadramp.policy.crash_tracker import TRIAL_DELAYS_S
from threadramp.wire.outcomes import Outcome, Reason, RefusedError


def request(path: str = "/crashes", caller: str = "Bearer one") -> CallerRequest:
    return CallerRequest("bank", "POST", path, {CALLER_HEADER: caller}, b"b", 0.0)


@pytest.fixture
def guard(clock):
    made = CallGuard(clock)
    for number in range(3):
        assert made.ended(request(), f"bank-{number}") is (number == 2)
    return made


def test_a_call_under_which_three_endpoints_ended_is_held_back(guard):
    with pytest.raises(RefusedError) as found:
        guard.admit(request())
    refusal = found.value.refusal
    assert (refusal.reason, refusal.outcome) == (Reason.HELD_BACK, Outcome.NOT_RUN)
    assert 1 <= refusal.retry_after_s <= TRIAL_DELAYS_S[0]
    assert refusal.status == 503


@pytest.mark.parametrize("other", [request("/calm"), request(caller="Bearer two")])
def test_another_call_or_caller_is_not(guard, other):
    guard.admit(other)


def test_it_is_tried_again_some_time_after_and_an_answer_acquits_it(guard, clock):
    clock.at += TRIAL_DELAYS_S[0]
    guard.admit(request())
    with pytest.raises(RefusedError):  # the trial is one
        guard.admit(request())
    guard.answered(request())
    guard.admit(request())


def test_nothing_is_worked_out_while_nothing_has_ended(clock):
    guard = CallGuard(clock)
    guard.book.assess = None  # it would fail
    guard.admit(request())
    guard.answered(request())
