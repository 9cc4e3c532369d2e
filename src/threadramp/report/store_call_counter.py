"""Counts a process's calls to the store by their cause, for the metrics and now and then a line.

Calls are priced and limited, and a line for each would cost more than it tells.
"""

from __future__ import annotations

import threading
from collections import Counter
from typing import TYPE_CHECKING

from threadramp.report.guard import start_loop
from threadramp.report.log import log_state

if TYPE_CHECKING:
    from threadramp.report.metrics import Metrics

LINE_EACH_S = 5.0  # as often as the platform fetches the metrics in an incident
METRIC = "store_call"


class StoreCallCounter:
    """Counts by cause, such as ``watch op`` or ``write lot``.

    :param role: of the process
    """

    def __init__(self, metrics: Metrics, role: str) -> None:
        self.metrics = metrics
        self.role = role
        self.counts: Counter[str] = Counter()
        self.lock = threading.Lock()
        self.stopped = threading.Event()

    def start(self) -> None:
        """Start writing lines."""
        start_loop(self._run, self.stopped)

    def record(self, cause: str) -> None:
        """Count a call."""
        self.metrics.count(METRIC, cause)
        with self.lock:
            self.counts[cause] += 1

    def log_counts(self) -> None:
        """Write what was counted since the last line."""
        with self.lock:
            counts, self.counts = self.counts, Counter()
        if counts:
            log_state("store_calls", role=self.role, calls=dict(counts))

    def _run(self) -> None:
        while not self.stopped.wait(LINE_EACH_S):
            self.log_counts()


__all__ = ["StoreCallCounter"]
