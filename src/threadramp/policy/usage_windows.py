"""How many requests endpoints began for each organisation in each window of time.

Totals are told, never differences: whoever asks twice, or not at all for a while, loses nothing.
"""

from __future__ import annotations

import threading
from collections import Counter
from dataclasses import dataclass, field

RETAINED_WINDOWS = (
    12  # a minute of the users' windows: a new holder asks for what is not reported yet
)


@dataclass
class _Window:
    """Counts of one window.

    :param changed: number of the change that altered it last
    """

    counts: Counter[str] = field(default_factory=Counter)
    changed: int = 0


class UsageWindows:
    """The counts of one process; its methods may be called from any thread.

    :param window_s: length of a window
    """

    def __init__(self, window_s: float) -> None:
        self.window_s = window_s
        self.windows: dict[int, _Window] = {}
        self.changes = 0
        self.lock = threading.Lock()

    def window_at(self, true_time: float) -> int:
        """Return the number of the window that a time lies in."""
        return int(true_time // self.window_s)

    def record_start(self, organisation: str, true_time: float) -> None:
        """Count a request that an endpoint began."""
        self.add(organisation, true_time, 1)

    def undo_start(self, organisation: str, true_time: float) -> None:
        """Take back a request that was counted, since the endpoint says it did not run."""
        self.add(organisation, true_time, -1)

    def add(self, organisation: str, true_time: float, count: int) -> None:
        """Count requests, or take some back where the count is negative."""
        window = self.window_at(true_time)
        with self.lock:
            self._change(organisation, window, count)
            for old in [number for number in self.windows if number < window - RETAINED_WINDOWS]:
                del self.windows[old]

    def move(self, organisation: str, wrong: float, right: float, count: int) -> None:
        """Count what was counted at one time at another one instead."""
        with self.lock:
            self._change(organisation, self.window_at(wrong), -count)
            self._change(organisation, self.window_at(right), count)

    def changed_since(self, seen: int) -> tuple[int, dict[int, dict[str, int]]]:
        """Return the number of the last change, and the windows that changed after another one."""
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
class _Told:
    """What one process told last.

    :param seen: number of its last change that is known
    :param at: true time of its last answer
    """

    seen: int = 0
    at: float = 0.0
    windows: dict[int, dict[str, int]] = field(default_factory=dict)


class UsageTotals:
    """What all processes told a collector; those that are gone count with what they told last.

    :param window_s: length of a window
    """

    def __init__(self, window_s: float) -> None:
        self.window_s = window_s
        self.processes: dict[tuple[str, str], _Told] = {}

    def seen(self, box: str, incarnation: str) -> int:
        """Return the number of the last change of a process that is known here."""
        return self.processes.get((box, incarnation), _Told()).seen

    def merge(
        self,
        box: str,
        incarnation: str,
        seen: int,
        windows: dict[int, dict[str, int]],
        true_time: float,
    ) -> None:
        """Note what a process told: the windows that changed, each as a whole."""
        told = self.processes.setdefault((box, incarnation), _Told())
        told.at = max(told.at, true_time)
        if seen < told.seen:
            return  # an answer that was held up
        told.seen = seen
        told.windows |= windows

    def total(self, window: int) -> dict[str, int]:
        """Return the counts of a window over all processes."""
        total: Counter[str] = Counter()
        for told in self.processes.values():
            total.update(told.windows.get(window, {}))
        return {name: count for name, count in sorted(total.items()) if count > 0}

    def has_answered_after(self, box: str, true_time: float) -> bool:
        """Return whether a box answered after a time."""
        return any(told.at > true_time for (name, _), told in self.processes.items() if name == box)

    def drop_before(self, window: int) -> None:
        """Drop what is older than a window, and processes of which nothing is left."""
        for key, told in list(self.processes.items()):
            told.windows = {one: row for one, row in told.windows.items() if one >= window}
            if not told.windows and told.at < window * self.window_s:
                del self.processes[key]


__all__ = ["RETAINED_WINDOWS", "UsageWindows", "UsageTotals"]
