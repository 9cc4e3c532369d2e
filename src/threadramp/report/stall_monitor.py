"""Logs when the process did not run for a while, and what it waited for."""

from __future__ import annotations

import threading
import time
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING

from threadramp.fleet.clock import steady_s
from threadramp.report.log import log_state

if TYPE_CHECKING:
    from collections.abc import Callable

CHECK_INTERVAL_S = 0.25
MIN_STALL_S = 0.5  # a stall of this length already uses up the target latency of most routes
NS_PER_S = 1e9
THREAD_SCHEDSTAT = Path("/proc/thread-self/schedstat")


@dataclass(frozen=True)
class ProcessorUse:
    """What the process has used and waited for since it started, in seconds.

    :param cpu_s: processor time of all threads
    :param run_queue_s: time for which the calling thread was ready to run but got no processor;
        none if the kernel does not report it
    """

    cpu_s: float
    run_queue_s: float | None

    @classmethod
    def current(cls) -> ProcessorUse:
        """Return the values of now, read in the thread whose wait is reported."""
        return cls(time.process_time(), _run_queue_s())


class StallMonitor:
    """Logs when a wait for a fixed time took much longer.

    The kernel tells the causes apart: the time in the run queue is about as long as the stall if
    the box has too few processors; the processor time is if one thread of the process kept the
    others from running; both are short if the process was stopped or its box was suspended.

    :param now: returns seconds of a steady clock
    :param use: returns the processor use of the calling thread and its process
    """

    def __init__(
        self,
        now: Callable[[], float] = steady_s,
        use: Callable[[], ProcessorUse] = ProcessorUse.current,
    ) -> None:
        self.now = now
        self.use = use

    def start(self) -> None:
        """Check in a thread of its own until the process exits."""
        threading.Thread(target=self._run, name="stalls", daemon=True).start()

    def wait(self, wait: Callable[[float], bool | None], seconds: float) -> bool:
        """Wait, log a stall if that took too long, and return what ``wait`` returned.

        :param wait: waits for a number of seconds
        """
        used_before, started_at = self.use(), self.now()
        is_set = bool(wait(seconds))
        late_s = self.now() - started_at - seconds
        if late_s >= MIN_STALL_S:
            self._log(late_s, used_before)
        return is_set

    def _log(self, late_s: float, used_before: ProcessorUse) -> None:
        used = self.use()
        queued_s = None
        if used.run_queue_s is not None and used_before.run_queue_s is not None:
            queued_s = round(used.run_queue_s - used_before.run_queue_s, 3)
        log_state(
            "process_stalled",
            late_s=round(late_s, 3),
            cpu_s=round(used.cpu_s - used_before.cpu_s, 3),
            run_queue_s=queued_s,
        )

    def _run(self) -> None:
        while True:
            self.wait(time.sleep, CHECK_INTERVAL_S)


def _run_queue_s() -> float | None:
    try:
        return int(THREAD_SCHEDSTAT.read_text(encoding="ascii").split()[1]) / NS_PER_S
    except (OSError, ValueError, IndexError):  # not reported by this kernel
        return None


__all__ = ["ProcessorUse", "StallMonitor"]
