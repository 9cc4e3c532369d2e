"""Log lines for a process that did not run for a while."""

from __future__ import annotations

import threading
import time

import pytest

from threadramp.report import stall_monitor as stall_monitor_module
from threadramp.report.stall_monitor import CHECK_INTERVAL_S, ProcessorUse, StallMonitor


@pytest.fixture
def logged(monkeypatch) -> list[tuple[str, dict]]:
    rows: list[tuple[str, dict]] = []
    monkeypatch.setattr(
        stall_monitor_module, "log_state", lambda kind, **fields: rows.append((kind, fields))
    )
    return rows


def monitor_of(took_s: float, before: ProcessorUse, after: ProcessorUse) -> StallMonitor:
    """Return a monitor whose sleep takes a given time."""
    times = iter([100.0, 100.0 + took_s])
    uses = iter([before, after])
    return StallMonitor(lambda: next(times), lambda seconds: None, lambda: next(uses))


def test_a_stall_is_logged_with_what_the_process_waited_for(logged):
    """A gateway that did not run for 4.2 s left no line that told why."""
    before, after = ProcessorUse(1.0, 2.0), ProcessorUse(1.25, 5.5)
    monitor_of(CHECK_INTERVAL_S + 4.2, before, after).check()
    assert logged == [("process_stalled", {"late_s": 4.2, "cpu_s": 0.25, "run_queue_s": 3.5})]


def test_a_short_delay_is_not_logged(logged):
    """One line for each delay of a busy box would flood the log."""
    monitor_of(CHECK_INTERVAL_S + 0.4, ProcessorUse(1.0, 2.0), ProcessorUse(1.0, 2.4)).check()
    assert logged == []


def test_a_stall_is_logged_where_the_kernel_does_not_report_the_run_queue(logged):
    monitor_of(2.0, ProcessorUse(1.0, None), ProcessorUse(1.0, None)).check()
    assert logged[0][1]["run_queue_s"] is None


def test_the_processor_time_of_other_threads_counts():
    """A thread that kept the others from running could not be told from a stopped process."""
    before = ProcessorUse.current()
    until = time.process_time() + 0.2

    def work() -> None:
        while time.process_time() < until:
            pass

    thread = threading.Thread(target=work)
    thread.start()
    thread.join()
    assert ProcessorUse.current().cpu_s - before.cpu_s >= 0.2
