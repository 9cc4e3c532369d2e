"""Counts a process's calls to the store by cause, for the metrics and a periodic log line.

Calls to the store are billed and rate-limited. They are summed up in one line, since a log line for
each call would cost more than it is worth.
"""

from __future__ import annotations

import threading
from collections import Counter
from typing import TYPE_CHECKING

from threadramp.report.guard import start_loop
from threadramp.report.log import log_state

if TYPE_CHECKING:
    from threadramp.report.metrics import Metrics

LOG_INTERVAL_S = 5.0  # how often the platform scrapes the metrics during an incident
METRIC_KIND = "store_call"


class StoreCallCounter:
    """Counts calls by cause, such as ``watch op`` or ``write lot``.

    :param role: role of the process
    """

    def __init__(self, metrics: Metrics, role: str) -> None:
        self.metrics = metrics
        self.role = role
        self.counts: Counter[str] = Counter()
        self.lock = threading.Lock()
        self.stopped = threading.Event()

    def start(self) -> None:
        """Start logging the counts periodically."""
        start_loop(self._run, self.stopped)

    def record(self, cause: str) -> None:
        """Count a call to the store."""
        self.metrics.count(METRIC_KIND, cause)
        with self.lock:
            self.counts[cause] += 1

    def log_counts(self) -> None:
        """Log the calls counted since the last log line, if any."""
        with self.lock:
            counts, self.counts = self.counts, Counter()
        if counts:
            log_state("store_calls", role=self.role, calls=dict(counts))

    def _run(self) -> None:
        while not self.stopped.wait(LOG_INTERVAL_S):
            self.log_counts()


__all__ = ["StoreCallCounter"]
