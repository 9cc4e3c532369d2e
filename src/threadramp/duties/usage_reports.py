"""Reports the usage of each window, the same to every repeat, whoever sends it.

What is sent of a window is fixed in the store first, under the condition that this box holds the
right to the duties at that moment and that nobody fixed that window before. So a window has one
report for good, that write is at the same time the proof of holding the right, and a holder that
comes later finds and repeats what may not have arrived.
"""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING

import msgspec

from threadramp.duties.proof import RecentProof
from threadramp.platform.duty_calls import DutyOutcome
from threadramp.platform.store_model import ABSENT, Committed, Put, StoreError, Transaction
from threadramp.policy.usage_windows import RETAINED_WINDOWS
from threadramp.report.log import log_state

if TYPE_CHECKING:
    from threadramp.duties.collecting import UsageCollecting
    from threadramp.fleet.rights import Right
    from threadramp.platform.duty_calls import DutyCalls
    from threadramp.platform.store import StoreClient
    from threadramp.policy.true_time import TrueTime
    from threadramp.policy.usage_schedule import UsageSchedule
    from threadramp.report.metrics import Metrics

FIXED_PREFIX = "duty/usage/"


class UsageReports:
    """The reports of one gateway while it holds the right to the duties.

    :param began: time of the steady clock at which this process began
    """

    def __init__(
        self,
        right: Right,
        store: StoreClient,
        calls: DutyCalls,
        collecting: UsageCollecting,
        schedule: UsageSchedule,
        true_time: TrueTime,
        metrics: Metrics,
    ) -> None:
        self.right = right
        self.proof = RecentProof(right)
        self.store = store
        self.calls = calls
        self.collecting = collecting
        self.schedule = schedule
        self.true_time = true_time
        self.metrics = metrics
        self.began = true_time.clock.now()
        self.number = 0
        self.next_window = 0
        self.unsent: dict[int, dict[str, int]] = {}

    def turn(self, number: int) -> None:
        """Report what is to be reported now.

        :param number: of the right, which this gateway holds
        :raises StoreError: if the store did not answer
        """
        if number != self.number:
            self._take_up(number)
        self._fix_ready()
        for window in sorted(self.unsent):
            self._send(window)

    def _take_up(self, number: int) -> None:
        """Go on where the holder before may have stopped: after a window fixed, not yet sent."""
        items = self.store.list(FIXED_PREFIX).items
        now = self.true_time.now()
        fixed = {int(item.key.removeprefix(FIXED_PREFIX)): _read(item.value) for item in items}
        self.unsent = {
            window: counts for window, counts in fixed.items() if not self._is_over(window)
        }
        # Others have told by now what the time is; its own clock may have been off at the start.
        began = self.true_time.at(self.began)
        self.next_window = self.schedule.first_window(list(fixed), began, now)
        self.number = number
        log_state(
            "usage_taken_up",
            number=number,
            next_window=self.next_window,
            again=sorted(self.unsent),
        )

    def _fix_ready(self) -> None:
        now = self.true_time.now()
        while now >= self.schedule.final_at(self.next_window):
            window = self.next_window
            told = self.collecting.all_told(self.schedule.final_at(window))
            if not self.schedule.is_ready(window, now, told):
                return
            self._fix(window, told)

    def _fix(self, window: int, told: bool) -> None:
        """Fix what is sent of a window, unless somebody did already.

        :raises StoreError: if that is not known
        """
        counts = self.collecting.total(window)
        key = f"{FIXED_PREFIX}{window}"
        expected = {self.right.key: self.number, key: ABSENT}
        old = f"{FIXED_PREFIX}{window - RETAINED_WINDOWS}"
        put = Put(key, msgspec.msgpack.encode(counts))
        asked_at = self.right.clock.now()
        answer = self.store.transact(Transaction(expected, (put,), (old,)), repeatable=True)
        if isinstance(answer, Committed):
            self.proof.note(self.number, asked_at)
        else:
            found = answer.current.get(key)
            if found is None:
                self.right.doubt()
                raise StoreError(f"the right {self.number} is another's by now")
            counts = _read(found.value)  # our own write whose answer was lost, or another holder's
        log_state(
            "usage_fixed",
            window=window,
            number=self.number,
            organisations=len(counts),
            requests=sum(counts.values()),
            all_told=told,
            late_s=round(self.true_time.now() - self.schedule.end(window), 2),
        )
        self.unsent[window] = counts
        self.next_window = window + 1

    def _send(self, window: int) -> None:
        """Send a window's report, if the right is proven; what is not taken is sent again."""
        if self._is_over(window):
            log_state("usage_given_up", window=window, number=self.number)
            self.metrics.count("usage_report", "given up")
            del self.unsent[window]
            return
        if not self.proof.is_there(self.number):
            return
        answer = self.calls.usage(
            self.number, window, self.unsent[window], partial(self.proof.still_holds, self.number)
        )
        log_state(
            "usage_sent",
            window=window,
            number=self.number,
            outcome=answer.outcome.value,
            detail=answer.detail,
        )
        self.metrics.count("usage_report", answer.outcome.value)
        if answer.outcome is DutyOutcome.TAKEN:
            del self.unsent[window]
        elif answer.outcome is DutyOutcome.OLD_NUMBER:
            self.right.doubt()

    def _is_over(self, window: int) -> bool:
        return self.schedule.is_abandoned(window, self.true_time.now())


def _read(value: bytes) -> dict[str, int]:
    return msgspec.msgpack.decode(value, type=dict[str, int])


__all__ = ["FIXED_PREFIX", "UsageReports"]
