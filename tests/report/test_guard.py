from __future__ import annotations

import threading

import pytest

from threadramp.report import guard


def test_loop_is_restarted_after_an_error_and_ends_when_stopped(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(guard, "PAUSE_AFTER_ERROR_S", 0.0)
    stopped = threading.Event()
    runs = []

    def loop() -> None:
        runs.append(1)
        if len(runs) < 3:
            raise ValueError("unexpected")
        stopped.set()

    guard.keep_running(loop, stopped)
    assert len(runs) == 3
