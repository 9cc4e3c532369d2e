"""Restarts background loops that fail with an unexpected error."""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING

from threadramp.report.log import log_state

if TYPE_CHECKING:
    from collections.abc import Callable

PAUSE_AFTER_ERROR_S = 1.0


def keep_running(loop: Callable[[], None], stopped: threading.Event) -> None:
    """Run a loop, and restart it after an unexpected error, until ``stopped`` is set."""
    while not stopped.is_set():
        try:
            loop()
        except Exception as error:  # a loop that stops for good is worse than any single error
            log_state("loop_failed", loop=loop.__name__, error=repr(error))
            stopped.wait(PAUSE_AFTER_ERROR_S)


def start_loop(loop: Callable[[], None], stopped: threading.Event) -> None:
    """Start a daemon thread that runs a loop and restarts it after errors."""
    threading.Thread(
        target=keep_running, args=(loop, stopped), name=loop.__name__, daemon=True
    ).start()


__all__ = ["keep_running", "start_loop"]
