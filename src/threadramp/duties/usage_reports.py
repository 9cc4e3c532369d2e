"""Reports the usage of each window; every retry has the same content, whichever gateway sends it.

The report of a window is written to the store before it is sent, on the condition that this box
holds the lock for the duties and that no report of that window is stored yet. So a window has
exactly one report, the write also verifies the lock, and a later holder finds and resends reports
that may not have arrived.
"""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING

import msgspec

from threadramp.duties.verification import RecentVerification
from threadramp.platform.duty_calls import DutyOutcome
from threadramp.platform.store_model import ABSENT, Committed, Put, StoreError, Transaction
from threadramp.policy.usage_windows import RETAINED_WINDOWS
from threadramp.report.log import log_state

if TYPE_CHECKING:
    from threadramp.duties.collecting import UsageCollector
    from threadramp.fleet.fenced_lock import FencedLock
    from threadramp.platform.duty_calls import DutyCalls
    from threadramp.platform.store import StoreClient
    from threadramp.policy.true_time import TrueTime
    from threadramp.policy.usage_schedule import UsageSchedule
    from threadramp.report.metrics import Metrics

REPORT_PREFIX = "duty/usage/"


class UsageReports:
    """The reports of one gateway while it holds the lock for the duties.

    :param started_at: time of the monotonic clock at which this process started
    """

    def __init__(
        self,
        lock: FencedLock,
        store: StoreClient,
        calls: DutyCalls,
        collector: UsageCollector,
        schedule: UsageSchedule,
        true_time: TrueTime,
        metrics: Metrics,
    ) -> None:
        self.lock = lock
        self.verification = RecentVerification(lock)
        self.store = store
        self.calls = calls
        self.collector = collector
        self.schedule = schedule
        self.true_time = true_time
        self.metrics = metrics
        self.started_at = true_time.clock.now()
        self.fencing_token = 0
        self.next_window = 0
        self.stored_before: list[int] = []
        self.has_stored = False
        self.unsent: dict[int, dict[str, int]] = {}

    def run_once(self, fencing_token: int) -> None:
        """Store and send the reports that are due.

        :param fencing_token: of the lock, which this gateway holds
        :raises StoreError: if the store did not answer
        """
        if fencing_token != self.fencing_token:
            self._resume(fencing_token)
        self._store_ready()
        for window in sorted(self.unsent):
            self._send(window)

    def _resume(self, fencing_token: int) -> None:
        """Resume where the previous holder may have stopped.

        It may have stored reports without sending them.
        """
        items = self.store.list(REPORT_PREFIX).items
        now = self.true_time.now()
        stored = {
            int(item.key.removeprefix(REPORT_PREFIX)): _decode_counts(item.value) for item in items
        }
        self.unsent = {
            window: counts for window, counts in stored.items() if not self._is_expired(window)
        }
        self.stored_before = list(stored)
        self.has_stored = False
        self._set_first_window(now)
        self.fencing_token = fencing_token
        log_state(
            "usage_reporting_resumed",
            number=fencing_token,
            next_window=self.next_window,
            again=sorted(self.unsent),
        )

    def _set_first_window(self, now: float) -> None:
        """Set the window to report first; the own clock may have been off at the start."""
        started_at = self.true_time.at(self.started_at)
        self.next_window = self.schedule.first_window(self.stored_before, started_at, now)

    def _store_ready(self) -> None:
        now = self.true_time.now()
        if not self.has_stored:  # others may have reported the time meanwhile
            self._set_first_window(now)
        while now >= self.schedule.final_at(self.next_window):
            window = self.next_window
            all_answered = self.collector.all_answered(self.schedule.final_at(window))
            is_time_reliable = self.collector.has_reliable_time
            if not self.schedule.is_ready(window, now, all_answered, is_time_reliable):
                return
            self._store_report(window, all_answered)

    def _store_report(self, window: int, all_answered: bool) -> None:
        """Store the report of a window, unless one is stored already.

        :raises StoreError: if it is unknown which report is stored
        """
        counts = self.collector.total(window)
        key = f"{REPORT_PREFIX}{window}"
        expected = {self.lock.key: self.fencing_token, key: ABSENT}
        old = f"{REPORT_PREFIX}{window - RETAINED_WINDOWS}"
        put = Put(key, msgspec.msgpack.encode(counts))
        asked_at = self.lock.clock.now()
        answer = self.store.transact(Transaction(expected, (put,), (old,)), repeatable=True)
        if isinstance(answer, Committed):
            self.verification.record(self.fencing_token, asked_at)
        else:
            found = answer.current.get(key)
            if found is None:
                self.lock.invalidate()
                raise StoreError(
                    f"the duty lock with token {self.fencing_token} is held by another gateway now"
                )
            # Stored by our own write whose answer was lost, or by another holder.
            counts = _decode_counts(found.value)
        log_state(
            "usage_report_stored",
            window=window,
            number=self.fencing_token,
            organisations=len(counts),
            requests=sum(counts.values()),
            all_answered=all_answered,
            time_reliable=self.collector.has_reliable_time,
            late_s=round(self.true_time.now() - self.schedule.end(window), 2),
        )
        self.unsent[window] = counts
        self.next_window = window + 1
        self.has_stored = True

    def _send(self, window: int) -> None:
        """Send a window's report if the lock is verified; it is retried until it is taken."""
        if self._is_expired(window):
            log_state("usage_report_expired", window=window, number=self.fencing_token)
            self.metrics.count("usage_report", "given up")
            del self.unsent[window]
            return
        if not self.verification.verify(self.fencing_token):
            return
        answer = self.calls.usage(
            self.fencing_token,
            window,
            self.unsent[window],
            partial(self.verification.is_fresh, self.fencing_token),
        )
        log_state(
            "usage_report_sent",
            window=window,
            number=self.fencing_token,
            outcome=answer.outcome.value,
            detail=answer.detail,
        )
        self.metrics.count("usage_report", answer.outcome.value)
        if answer.outcome is DutyOutcome.TAKEN:
            del self.unsent[window]
        elif answer.outcome is DutyOutcome.OLD_NUMBER:
            self.lock.invalidate()

    def _is_expired(self, window: int) -> bool:
        return self.schedule.is_abandoned(window, self.true_time.now())


def _decode_counts(value: bytes) -> dict[str, int]:
    return msgspec.msgpack.decode(value, type=dict[str, int])


__all__ = ["REPORT_PREFIX", "UsageReports"]
