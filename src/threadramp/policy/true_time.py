"""The true time of day, told from the clocks of several boxes.

One box's time of day may jump by seconds for a while. So it is taken as an offset from the steady
clock, as the middle of what several boxes say: as long as less than half of them are wrong, none of
them moves it. Where two are in the middle, the one counts that is nearer to our own: else a box
whose clock is off is believed by the first that it asks, which passes it on, and has two voices.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from threadramp.fleet.clock import Clock

# Clocks jump by seconds; messages between busy boxes came up to 0.3 s late, and requests counted by
# a time that moved by as much within a window of 2 s were 12% off.
MAX_DEVIATION_S = 0.5
RELIABLE_READINGS = (
    2  # others that said what the time is; of two clocks that differ either may be off
)
RELIABLE_AFTER_S = 3.0  # after the start; each gateway is asked once a second by several others
READING_TTL_S = 10.0  # what a box said longer ago does not count; others are asked each second


class TrueTime:
    """The true time of day as one process knows it.

    Its own clock counts as it stood at the start: a jump later is none of the true time.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.started = clock.now()
        self.own = clock.time_of_day() - clock.now()
        self.heard: dict[str, tuple[float, float]] = {}

    def now(self) -> float:
        """Return the true time of day, in seconds since the epoch."""
        return self.at(self.clock.now())

    def at(self, steady: float) -> float:
        """Return the true time of day at a time of the steady clock."""
        return steady + self.offset()

    def add_reading(self, box: str, time_of_day: float, steady: float) -> None:
        """Note what a box said the time was.

        :param steady: time of our steady clock at that moment
        """
        self.heard[box] = (time_of_day - steady, steady)

    def offset(self) -> float:
        """Return the true time of day less the steady clock.

        Our own counts where it agrees with the middle: what others say comes late by the time that
        it was on its way, which varies with how busy the boxes are.
        """
        middle = self._middle(sorted([self.own, *self._lately()]))
        return self.own if abs(self.own - middle) < MAX_DEVIATION_S else middle

    def is_reliable(self) -> bool:
        """Return whether enough others were heard to tell which clock is off, or none will be."""
        is_old = self.clock.now() - self.started >= RELIABLE_AFTER_S
        return is_old or len(self._lately()) >= RELIABLE_READINGS

    def _middle(self, offsets: list[float]) -> float:
        count = len(offsets)
        middles = offsets[(count - 1) // 2 : count // 2 + 1]
        return min(middles, key=lambda one: abs(one - self.own))

    def _lately(self) -> list[float]:
        since = self.clock.now() - READING_TTL_S
        return [offset for offset, at in list(self.heard.values()) if at >= since]


__all__ = ["MAX_DEVIATION_S", "READING_TTL_S", "RELIABLE_READINGS", "RELIABLE_AFTER_S", "TrueTime"]
