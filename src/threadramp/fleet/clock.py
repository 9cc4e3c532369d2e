"""The clocks of a process, in one place so that tests can set them."""

from __future__ import annotations

import time


class Clock:
    """Real clocks."""

    def now(self) -> float:
        """Return seconds of the steady clock."""
        return time.monotonic()

    def time_of_day(self) -> float:
        """Return seconds since the epoch; it may jump."""
        return time.time()


__all__ = ["Clock"]
