"""Estimates the true time of day from the clocks of several boxes.

The time of day of one box may be wrong by seconds for a while. The true time is therefore kept as
an offset from the monotonic clock, and the offset is the median of what several boxes report: as
long as fewer than half of them are wrong, they do not change it. Of two medians the one closer to
the own clock is used. Otherwise the first box asked by a box with a wrong clock would adopt that
time and report it too, so that it would count twice.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from threadramp.fleet.clock import Clock

# Clocks jump by seconds. Messages between busy boxes arrived up to 0.3 s late, and when the true
# time moved by that much, counts of requests in windows of 2 s were wrong by 12%.
MAX_DEVIATION_S = 0.5
RELIABLE_READINGS = 2  # from other boxes; if two clocks differ, either may be wrong
# After the start, one reading is enough if it agrees. Processes that start together on busy boxes
# hear of each other some seconds apart.
RELIABLE_AFTER_S = 10.0
READING_TTL_S = 10.0  # older readings are ignored; other boxes are asked every second


class TrueTime:
    """The true time of day as estimated by one process.

    Its own clock is read once, at the start, so that a later jump does not affect the estimate.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.started = clock.now()
        self.own = clock.time_of_day() - clock.now()
        self.readings: dict[str, tuple[float, float]] = {}

    def now(self) -> float:
        """Return the true time of day, in seconds since the epoch."""
        return self.at(self.clock.now())

    def at(self, steady: float) -> float:
        """Return the true time of day at a time of the monotonic clock."""
        return steady + self.offset()

    def add_reading(self, box: str, time_of_day: float, steady: float) -> None:
        """Record the time of day that another box reported.

        :param steady: time of the own monotonic clock at that moment
        """
        self.readings[box] = (time_of_day - steady, steady)

    def offset(self) -> float:
        """Return the true time of day minus the monotonic clock.

        The own clock is used if it agrees with the median, because readings from others are late by
        their transmission time, which varies with the load of the boxes.
        """
        median = self._median(sorted([self.own, *self._recent()]))
        return self.own if abs(self.own - median) < MAX_DEVIATION_S else median

    def is_reliable(self) -> bool:
        """Return whether enough readings arrived to detect a wrong clock, or no more are expected.

        Without any reading the own clock may be off by seconds, whatever the age of the process. If
        the only reading differs from the own clock, either may be wrong.
        """
        readings = self._recent()
        if len(readings) != 1:
            return len(readings) >= RELIABLE_READINGS
        agrees = abs(readings[0] - self.own) < MAX_DEVIATION_S
        return agrees and self.clock.now() - self.started >= RELIABLE_AFTER_S

    def _median(self, offsets: list[float]) -> float:
        count = len(offsets)
        medians = offsets[(count - 1) // 2 : count // 2 + 1]
        return min(medians, key=lambda one: abs(one - self.own))

    def _recent(self) -> list[float]:
        since = self.clock.now() - READING_TTL_S
        return [offset for offset, at in list(self.readings.values()) if at >= since]


__all__ = ["MAX_DEVIATION_S", "READING_TTL_S", "RELIABLE_AFTER_S", "RELIABLE_READINGS", "TrueTime"]
