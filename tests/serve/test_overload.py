"""Calls beyond what a gateway may have open at a pool, on real processes."""

from __future__ import annotations

import threading
import time

from tests.serve.fleet import CALLS, wait_for

HOLD_S = 1.0
CALLERS = 24
TARGET_S = 0.4  # of the fleet's route for calls
REFUSAL_MARGIN_S = 0.3  # of a busy machine


class Callers:
    """Callers that call one gateway at the same moment."""

    def __init__(self, gateway, prefix: str, count: int = CALLERS) -> None:
        self.gateway = gateway
        self.answers: dict[str, tuple[int, float, str]] = {}
        self.threads = [
            threading.Thread(target=self._call, args=(f"{prefix}-{number}",), daemon=True)
            for number in range(count)
        ]
        for thread in self.threads:
            thread.start()

    def _call(self, name: str) -> None:
        started = time.monotonic()
        try:
            found = self.gateway.call(
                "POST", "/x", CALLS, X_Attempt_Id=name, X_Deadline_Ms="1400", timeout_s=5.0
            )
        except Exception as error:  # noqa: BLE001 - any error is a lost answer
            self.answers[name] = (0, time.monotonic() - started, repr(error))
            return
        retry_after = found.headers.get("Retry-After", "")
        self.answers[name] = (found.status, time.monotonic() - started, retry_after)

    def join(self) -> dict[str, tuple[int, float, str]]:
        for thread in self.threads:
            thread.join(10.0)
        return self.answers


def ran(fleet) -> set[str]:
    return {run["id"] for run in fleet.callee.runs}


def check_refusals(fleet, answers) -> int:
    """Check that refused calls did not run and say when to return; return their number."""
    refused = {name: one for name, one in answers.items() if one[0] == 503}
    assert not ran(fleet) & refused.keys()
    assert all(float(retry_after) > 0 for _, _, retry_after in refused.values())
    return len(refused)


def test_calls_that_cannot_be_answered_in_time_are_refused_early_and_never_run(fleet):
    """All calls were sent on and most came late."""
    fleet.callee.faults["hold_s"] = HOLD_S
    answers = Callers(fleet.gateways[0], "a").join()
    assert len(answers) == CALLERS
    assert {status for status, _, _ in answers.values()} == {200, 503}
    assert check_refusals(fleet, answers) > 0
    refused = sum(status == 503 for status, _, _ in answers.values())
    lines = wait_for(
        lambda: refused <= len(fleet.gateways[0].lines("call_refused"))
        and fleet.gateways[0].lines("call_refused"),
        "the refusals are logged",
    )
    assert {"reason", "queued", "retry_after_s", "endpoints"} <= lines[0].keys()
    # From the arrival on: starting 24 callers takes tenths of a second on a busy machine.
    waited_s = [line["waited_ms"] / 1000 for line in lines]
    assert max(waited_s) < 0.35 * TARGET_S + REFUSAL_MARGIN_S
    fleet.callee.faults["hold_s"] = 0.0
    time.sleep(1.0)
    statuses = [
        fleet.gateways[0].call("POST", "/x", CALLS, X_Attempt_Id=f"after-{number}").status
        for number in range(10)
    ]
    assert statuses == [200] * 10


def test_a_planned_stop_answers_the_calls_that_wait(fleet):
    """A call in the queue is neither cut off nor forgotten when its gateway stops."""
    fleet.callee.faults["hold_s"] = HOLD_S
    callers = Callers(fleet.gateways[0], "b")
    wait_for(lambda: fleet.callee.runs, "a call runs")
    fleet.gateways[0].stop()
    answers = callers.join()
    assert len(answers) == CALLERS
    assert {status for status, _, _ in answers.values()} <= {200, 503}
    check_refusals(fleet, answers)
