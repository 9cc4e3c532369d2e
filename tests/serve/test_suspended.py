"""A box is suspended and resumed, over a real process.

The platform's documentation says that a box may be suspended and that its monotonic clock does not
count that time. A process that measures ages and deadlines with this clock, as that of Python's
library, takes its old state for fresh and continues requests whose callers disconnected long
before. Without the fix the open request is answered 1.4 s after the box resumes, although its
deadline had passed before.
"""

from __future__ import annotations

import os
import signal
import subprocess
import sys
import threading
import time
from pathlib import Path

import pytest

from tests.serve.fleet import CALLS, wait_for

SUSPENDED_S = 4.0
RESPONSE_S = 0.4
LAUNCHER = Path(__file__).parent / "suspended.py"


@pytest.fixture
def suspendable(fleet, tmp_path):
    """Start a gateway on a box that can be suspended; return it and a function that suspends it."""
    box = fleet._box(tmp_path, "gateway", "front-sleeper")
    behind = tmp_path / "behind"
    behind.write_text("0", encoding="utf-8")
    with box.log.open("ab") as log:
        box.process = subprocess.Popen(
            [sys.executable, str(LAUNCHER), str(behind), "gateway"],
            env={**os.environ, "THREADRAMP_NODE_FILE": str(box.file)},
            stdout=log,
            stderr=log,
        )
    wait_for(lambda: box.ready() == 200, "ready")

    def suspend() -> None:
        box.process.send_signal(signal.SIGSTOP)
        time.sleep(SUSPENDED_S)
        behind.write_text(str(SUSPENDED_S), encoding="utf-8")
        box.process.send_signal(signal.SIGCONT)

    return box, suspend


def test_a_request_whose_deadline_passed_meanwhile_fails_at_once(fleet, suspendable):
    box, suspend = suspendable
    fleet.callee.faults["hold_s"] = 10.0
    answers = []

    def send_request() -> None:
        response = box.call("POST", "/x", host=CALLS, body=b"q", X_Attempt_Id="r1", timeout_s=20.0)
        answers.append((response.status, time.monotonic()))

    thread = threading.Thread(target=send_request)
    thread.start()
    wait_for(lambda: any(run["id"] == "r1" for run in fleet.callee.runs), "the request runs")
    suspend()
    resumed_at = time.monotonic()
    thread.join()
    status, at = answers[0]
    assert status == 504
    assert at - resumed_at < RESPONSE_S


def test_it_applies_a_changed_configuration_soon_after(fleet, suspendable):
    """A route that was removed meanwhile is not served from the old configuration for long."""
    box, suspend = suspendable
    threading.Timer(SUSPENDED_S / 2, lambda: fleet.configure(version=4, pathPrefix="/new/")).start()
    suspend()
    resumed_at = time.monotonic()

    def status(target: str) -> int:
        return box.call("POST", target, host=CALLS, body=b"q", X_Attempt_Id="r2").status

    wait_for(lambda: status("/x") == 404, "the old route is removed", 3.0)
    assert status("/new/x") == 200
    assert time.monotonic() - resumed_at < 3.0
