from __future__ import annotations

import threading

import pytest

from threadramp.report import guard


def test_loop_goes_on_after_an_error_and_ends_when_stopped(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(guard, "PAUSE_AFTER_ERROR_S", 0.0)
    stopped = threading.Event()
    turns = []

    def loop() -> None:
        turns.append(1)
        if len(turns) < 3:
            raise ValueError("unforeseen")
        stopped.set()

    guard.keep_running(loop, stopped)
    assert len(turns) == 3
