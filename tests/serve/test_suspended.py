"""A box that was suspended, over a real process.

Seen: news on the pages, that a box may be suspended and its steady clock does not count that time.
How it comes about: a process that measures ages and deadlines with that clock takes what it
believed before for fresh, and goes on with requests whose callers have long gone. Cause: the steady
clock of the language's library is that one. Proof: on the code before, the request that was open is
answered 1.4 s after the box goes on, though its time was over before.
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
AT_ONCE_S = 0.4
LAUNCHER = Path(__file__).parent / "suspended.py"


@pytest.fixture
def sleeper(fleet, tmp_path):
    """A gateway on a box that can be suspended; returns it and what suspends it."""
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


def test_a_request_whose_time_is_over_by_then_is_given_up_at_once(fleet, sleeper):
    box, suspend = sleeper
    fleet.callee.faults["hold_s"] = 10.0
    answers = []

    def ask() -> None:
        answer = box.call("POST", "/x", host=CALLS, body=b"q", X_Attempt_Id="r1", timeout_s=20.0)
        answers.append((answer.status, time.monotonic()))

    thread = threading.Thread(target=ask)
    thread.start()
    wait_for(lambda: any(run["id"] == "r1" for run in fleet.callee.runs), "it runs")
    suspend()
    goes_on = time.monotonic()
    thread.join()
    status, at = answers[0]
    assert status == 504
    assert at - goes_on < AT_ONCE_S


def test_it_serves_by_what_holds_soon_after(fleet, sleeper):
    """A route that went meanwhile is not served by what was believed before for long."""
    box, suspend = sleeper
    threading.Timer(SUSPENDED_S / 2, lambda: fleet.configure(version=4, pathPrefix="/new/")).start()
    suspend()
    goes_on = time.monotonic()

    def status(target: str) -> int:
        return box.call("POST", target, host=CALLS, body=b"q", X_Attempt_Id="r2").status

    wait_for(lambda: status("/x") == 404, "the old route is gone", 3.0)
    assert status("/new/x") == 200
    assert time.monotonic() - goes_on < 3.0
