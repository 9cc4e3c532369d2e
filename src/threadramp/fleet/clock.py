"""The clocks of a process, behind one interface so that tests can set them.

Ages, leases and deadlines are compared with what other boxes do in real time. So they use the boot
time clock, which keeps running while a box is suspended. With the monotonic clock, a process would
treat its old state as fresh after a suspension, and continue work that others have taken over.
"""

from __future__ import annotations

import time


def steady_s() -> float:
    """Return seconds of a steady clock, including the time that the box was suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class Clock:
    """Real clocks."""

    def now(self) -> float:
        """Return seconds of a steady clock, including the time that the box was suspended."""
        return steady_s()

    def time_of_day(self) -> float:
        """Return seconds since the epoch; it may jump."""
        return time.time()


__all__ = ["Clock", "steady_s"]
