from __future__ import annotations

from dataclasses import replace
from random import Random

import pytest

from threadramp.config.resources import Endpoint
from threadramp.core.call import Call, CallStateMachine, Failure, Finish, Send
from threadramp.core.keys import Binding
from threadramp.core.membership import Member
from threadramp.policy.retries import RetryBudget
from threadramp.policy.routing import RoundRobin
from threadramp.wire.messages import EndpointReport
from threadramp.wire.outcomes import Outcome, Reason, Refusal

CALL = Call("r", "pool", True, 0, 10.0, None, False, 0)
BINDING = Binding("k", "pool", "e0", "i0", 0)
BUSY = Refusal.not_run(Reason.OVERLOADED, "busy", 1)


def member(index: int) -> Member:
    spec = Endpoint("pool", "dc", "127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3")
    report = EndpointReport(f"e{index}", f"i{index}", 1, 0, False, 8, 0, 0, 0, {})
    return Member(f"e{index}", spec, report, 1.0)


def machine(call: Call, members: int = 2, budget: RetryBudget | None = None) -> CallStateMachine:
    held = [member(index) for index in range(members)]
    return CallStateMachine(
        call, lambda _: held, lambda _: held, RoundRobin(Random(1)), budget or RetryBudget(), {}
    )


def test_repeatable_call_is_retried_at_another_endpoint() -> None:
    call = machine(CALL)
    first = call.start(0.0)
    second = call.failed(Failure.BROKEN, 0.1)
    assert {first.member.name, second.member.name} == {"e0", "e1"}
    assert second.attempt == 2


def test_retry_budget_limits_the_retries_of_all_calls() -> None:
    budget = RetryBudget(share=0.0, burst=1.0)
    assert isinstance(machine(CALL, budget=budget).start(0.0), Send)
    call = machine(CALL, budget=budget)
    call.start(0.0)
    assert isinstance(call.refused(BUSY, 0.1), Send)
    assert call.refused(BUSY, 0.2) == Finish(BUSY)


def test_no_retry_after_the_deadline() -> None:
    call = machine(CALL)
    call.start(0.0)
    end = call.failed(Failure.TIMED_OUT, 10.0)
    assert end.refusal.outcome is Outcome.UNKNOWN


def test_call_that_was_never_sent_is_not_run() -> None:
    call = machine(CALL, members=1)
    call.start(0.0)
    for moment in (0.1, 0.2, 0.3):
        end = call.failed(Failure.NEVER_LEFT, moment)
    end = end if isinstance(end, Finish) else call.failed(Failure.NEVER_LEFT, 0.4)
    assert end.refusal.outcome is Outcome.NOT_RUN


def test_keyed_call_is_sent_to_its_sidecar_only() -> None:
    call = machine(replace(CALL, binding=BINDING))
    assert call.start(0.0).member.name == "e0"
    assert call.failed(Failure.BROKEN, 0.1).member.name == "e0"


@pytest.mark.parametrize(("first_send", "outcome"), [(True, "not_run"), (False, "unknown")])
def test_only_the_sidecar_states_not_run_for_a_resend(first_send: bool, outcome: str) -> None:
    budget = RetryBudget(share=0.0, burst=0.0)
    call = machine(replace(CALL, binding=BINDING, first_send=first_send), budget=budget)
    call.start(0.0)
    assert call.failed(Failure.NEVER_LEFT, 0.1).refusal.outcome == outcome
    call = machine(replace(CALL, binding=BINDING, first_send=first_send))
    call.start(0.0)
    assert call.refused(BUSY, 0.1) == Finish(BUSY)


def test_the_sidecars_refusal_holds_after_a_broken_attempt() -> None:
    call = machine(replace(CALL, binding=BINDING))
    call.start(0.0)
    call.failed(Failure.BROKEN, 0.1)
    assert call.refused(BUSY, 0.2).refusal.outcome is Outcome.NOT_RUN


def test_gateway_that_stays_behind_reports_unknown_for_a_key() -> None:
    behind = Refusal.not_run(Reason.SENDER_BEHIND, "behind")
    call = machine(replace(CALL, binding=BINDING))
    action = call.start(0.0)
    while isinstance(action, Send):
        action = call.refused(behind, 0.1)
    assert action.refusal.outcome is Outcome.UNKNOWN


def test_key_of_an_earlier_incarnation_is_never_sent() -> None:
    call = machine(replace(CALL, binding=replace_incarnation()))
    assert call.start(0.0).refusal.reason is Reason.INCARNATION_GONE


def replace_incarnation() -> Binding:
    return Binding("k", "pool", "e0", "older", 0)


def test_a_call_crashes_two_endpoints_at_most() -> None:
    """A call that crashes each endpoint it reaches was retried until four had crashed."""
    crashed = Refusal.unknown(Reason.ENDPOINT_ENDED, "it broke the connection", 1)
    call = machine(CALL, members=4)
    call.start(0.0)
    assert isinstance(call.refused(crashed, 0.1), Send)
    assert call.refused(crashed, 0.2) == Finish(crashed)


def test_an_incomplete_response_does_not_count_as_a_crash() -> None:
    cut = Refusal.unknown(Reason.BROKEN_ANSWER, "cut", 1)
    call = machine(CALL, members=4)
    call.start(0.0)
    for number in range(3):
        assert isinstance(call.refused(cut, 0.1 + number / 10), Send)
