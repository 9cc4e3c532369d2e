"""The clocks of a process, in one place so that tests can set them.

Ages, leases and deadlines are compared with what other boxes do in real time. So they are measured
with the clock that counts on while a box is suspended: with the other steady clock a process takes
what it knew before for fresh, and goes on with what others have long taken over.
"""

from __future__ import annotations

import time


def steady_s() -> float:
    """Return seconds that only rise, those included for which the box was suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class Clock:
    """Real clocks."""

    def now(self) -> float:
        """Return seconds that only rise, those included for which the box was suspended."""
        return steady_s()

    def time_of_day(self) -> float:
        """Return seconds since the epoch; it may jump."""
        return time.time()


__all__ = ["Clock", "steady_s"]
