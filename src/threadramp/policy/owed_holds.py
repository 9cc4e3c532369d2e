"""Delays of owed work under which endpoints crashed; no I/O, no clock.

A delay is measured by the steady clock of the process that waits, from the moment at which it
learns of the last crash, and once for each crash. Otherwise a clock that is set back, or the time
of another box whose clock is ahead, would prolong it.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from threadramp.policy.crash_tracker import Assessment

# Several samples with the same body share a fingerprint. The first one goes this long before the
# others, so that a crash at its begin takes down one endpoint and not one for each of them.
FIRST_ALONE_S = 0.5
MIN_DELAY_S = 0.001  # shorter delays are rounding errors
MAX_HOLDS = 2048


@dataclass
class Hold:
    """The delay after one crash.

    :param crashed_at: time of that crash, in seconds since the epoch
    :param until: end of the delay, by the steady clock
    :param first_sent: whether one request was sent since
    """

    crashed_at: float
    until: float
    first_sent: bool = False


class OwedHolds:
    """The delays of one process, by fingerprint."""

    def __init__(self) -> None:
        self.holds: OrderedDict[bytes, Hold] = OrderedDict()

    def remaining_s(self, fingerprint: bytes, assessment: Assessment, now: float) -> float:
        """Return how long a request must still wait; at 0 it counts as sent.

        :param assessment: of a request that is delayed after its last crash
        :param now: seconds of the steady clock
        """
        hold = self.holds.get(fingerprint)
        if hold is None or hold.crashed_at != assessment.last_crash_at:
            hold = Hold(assessment.last_crash_at, now + assessment.retry_after_s)
            self._add(fingerprint, hold)
        remaining_s = hold.until - now
        if remaining_s >= MIN_DELAY_S:
            return remaining_s
        if not hold.first_sent:
            hold.first_sent = True
            hold.until = now + FIRST_ALONE_S
        return 0.0

    def _add(self, fingerprint: bytes, hold: Hold) -> None:
        self.holds[fingerprint] = hold
        self.holds.move_to_end(fingerprint)
        if len(self.holds) > MAX_HOLDS:
            self.holds.popitem(last=False)


__all__ = ["FIRST_ALONE_S", "OwedHolds"]
