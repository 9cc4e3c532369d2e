"""Counts the requests that endpoints began, by organisation and time window.

Reports contain totals, never differences, so that a collector that asks twice, or not at all for a
while, loses nothing.
"""

from __future__ import annotations

import threading
from collections import Counter
from dataclasses import dataclass, field

# A minute of the users' windows: a new holder of the duties asks for those not reported yet.
RETAINED_WINDOWS = 12


@dataclass
class _Window:
    """Counts of one window.

    :param changed: number of the last change that affected the window
    """

    counts: Counter[str] = field(default_factory=Counter)
    changed: int = 0


class UsageWindows:
    """The counts of one process; thread-safe.

    :param window_s: length of a window
    """

    def __init__(self, window_s: float) -> None:
        self.window_s = window_s
        self.windows: dict[int, _Window] = {}
        self.changes = 0
        self.lock = threading.Lock()

    def window_at(self, true_time: float) -> int:
        """Return the number of the window that contains a time."""
        return int(true_time // self.window_s)

    def record_start(self, organisation: str, true_time: float) -> None:
        """Count a request that an endpoint began."""
        self.add(organisation, true_time, 1)

    def undo_start(self, organisation: str, true_time: float) -> None:
        """Uncount a request, because the endpoint reports that it did not run it."""
        self.add(organisation, true_time, -1)

    def add(self, organisation: str, true_time: float, count: int) -> None:
        """Count requests, or uncount some if the count is negative."""
        window = self.window_at(true_time)
        with self.lock:
            self._change(organisation, window, count)
            for expired in [
                number for number in self.windows if number < window - RETAINED_WINDOWS
            ]:
                del self.windows[expired]

    def move(self, organisation: str, wrong: float, right: float, count: int) -> None:
        """Move counts from one time to another."""
        with self.lock:
            self._change(organisation, self.window_at(wrong), -count)
            self._change(organisation, self.window_at(right), count)

    def changed_since(self, seen: int) -> tuple[int, dict[int, dict[str, int]]]:
        """Return the number of the last change, and the windows changed after change ``seen``."""
        with self.lock:
            rows = {
                window: {name: count for name, count in one.counts.items() if count}
                for window, one in self.windows.items()
                if one.changed > seen
            }
            return self.changes, rows

    def _change(self, organisation: str, window: int, count: int) -> None:
        self.changes += 1
        one = self.windows.setdefault(window, _Window())
        one.counts[organisation] += count
        one.changed = self.changes


@dataclass
class _ProcessReport:
    """The last report of one process.

    :param seen: number of the last change that it contains
    :param at: true time of the last answer
    """

    seen: int = 0
    at: float = 0.0
    windows: dict[int, dict[str, int]] = field(default_factory=dict)


class UsageTotals:
    """The reports of all processes at a collector; the last report of a lost process still counts.

    :param window_s: length of a window
    """

    def __init__(self, window_s: float) -> None:
        self.window_s = window_s
        self.processes: dict[tuple[str, str], _ProcessReport] = {}

    def seen(self, box: str, incarnation: str) -> int:
        """Return the number of the last change that a process reported."""
        return self.processes.get((box, incarnation), _ProcessReport()).seen

    def merge(
        self,
        box: str,
        incarnation: str,
        seen: int,
        windows: dict[int, dict[str, int]],
        true_time: float,
    ) -> None:
        """Merge the report of a process: the windows that changed, each with all its counts."""
        report = self.processes.setdefault((box, incarnation), _ProcessReport())
        report.at = max(report.at, true_time)
        if seen < report.seen:
            return  # a delayed answer
        report.seen = seen
        report.windows |= windows

    def total(self, window: int) -> dict[str, int]:
        """Return the counts of a window, summed over all processes."""
        total: Counter[str] = Counter()
        for report in self.processes.values():
            total.update(report.windows.get(window, {}))
        return {name: count for name, count in sorted(total.items()) if count > 0}

    def has_answered_after(self, box: str, true_time: float) -> bool:
        """Return whether a box answered after a time."""
        return any(
            report.at > true_time for (name, _), report in self.processes.items() if name == box
        )

    def drop_before(self, window: int) -> None:
        """Drop older windows, and processes without remaining windows."""
        for key, report in list(self.processes.items()):
            report.windows = {one: row for one, row in report.windows.items() if one >= window}
            if not report.windows and report.at < window * self.window_s:
                del self.processes[key]


__all__ = ["RETAINED_WINDOWS", "UsageTotals", "UsageWindows"]
