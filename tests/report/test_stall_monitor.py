"""Log lines for a process that did not run for a while."""

from __future__ import annotations

import threading
import time

import pytest

from threadramp.report import stall_monitor as stall_monitor_module
from threadramp.report.stall_monitor import ProcessorUse, StallMonitor

WAIT_S = 1.0


@pytest.fixture
def logged(monkeypatch) -> list[tuple[str, dict]]:
    rows: list[tuple[str, dict]] = []
    monkeypatch.setattr(
        stall_monitor_module, "log_state", lambda kind, **fields: rows.append((kind, fields))
    )
    return rows


def wait_that_takes(took_s: float, before: ProcessorUse, after: ProcessorUse) -> None:
    """Wait for a second with a monitor, by a clock that advances by another time."""
    times = iter([100.0, 100.0 + took_s])
    uses = iter([before, after])
    monitor = StallMonitor(lambda: next(times), lambda: next(uses))
    assert not monitor.wait(lambda seconds: None, WAIT_S)


def test_a_stall_is_logged_with_what_the_process_waited_for(logged):
    """A gateway that did not run for 4.2 s left no line that told why."""
    before, after = ProcessorUse(1.0, 2.0), ProcessorUse(1.25, 5.5)
    wait_that_takes(WAIT_S + 4.2, before, after)
    assert logged == [("process_stalled", {"late_s": 4.2, "cpu_s": 0.25, "run_queue_s": 3.5})]


def test_a_short_delay_is_not_logged(logged):
    """One line for each delay of a busy box would flood the log."""
    wait_that_takes(WAIT_S + 0.4, ProcessorUse(1.0, 2.0), ProcessorUse(1.0, 2.4))
    assert logged == []


def test_a_stall_is_logged_where_the_kernel_does_not_report_the_run_queue(logged):
    wait_that_takes(WAIT_S + 2.0, ProcessorUse(1.0, None), ProcessorUse(1.0, None))
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


def test_a_wait_that_ends_early_is_no_stall(logged):
    """A request to stop ends the wait of the process."""
    event = threading.Event()
    event.set()
    assert StallMonitor().wait(event.wait, 60.0)
    assert logged == []
