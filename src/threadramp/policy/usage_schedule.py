"""Decides when the usage of a window is final, and which window a holder reports first."""

from __future__ import annotations

from dataclasses import dataclass

# Requests are counted when they are sent, and uncounted within milliseconds if they are rejected.
# Each gateway is asked once a second.
SETTLE_S = 0.3
# Share of the time until a report is due in which it waits for gateways that do not answer. The
# rest is for the write that stores it, the call, and one retry of either.
WAIT_SHARE = 0.65
# Share of that time after which a window is reported if no other clock was read. Halfway, the own
# clock may be as far ahead as behind before the report is early or late.
CLOCK_WAIT_SHARE = 0.5
RETRY_FOR_S = 30.0  # after the due time; a later report is of no use


@dataclass(frozen=True)
class UsageSchedule:
    """The times of a window.

    :param window_s: length of a window
    :param late_s: seconds from the end of a window until its report is due
    """

    window_s: float
    late_s: float

    def end(self, window: int) -> float:
        """Return the true time at which a window ends."""
        return (window + 1) * self.window_s

    def final_at(self, window: int) -> float:
        """Return the true time from which a gateway's counts of a window are complete."""
        return self.end(window) + SETTLE_S

    def is_ready(
        self, window: int, now: float, all_answered: bool, is_time_reliable: bool = True
    ) -> bool:
        """Return whether a window is reported now.

        :param all_answered: whether all gateways answered after its counts were final
        :param is_time_reliable: whether a wrong clock would have been detected
        """
        if now < self.final_at(window):
            return False
        if not is_time_reliable:
            return now >= self.end(window) + CLOCK_WAIT_SHARE * self.late_s
        return all_answered or now >= self.end(window) + WAIT_SHARE * self.late_s

    def is_abandoned(self, window: int, now: float) -> bool:
        """Return whether a window is no longer reported."""
        return now > self.end(window) + self.late_s + RETRY_FOR_S

    def first_window(self, stored: list[int], started_at: float, now: float) -> int:
        """Return the window that a new holder reports first.

        :param stored: windows whose reports earlier holders stored
        :param started_at: true time at which this process started
        """
        if stored:
            return max(max(stored) + 1, self._window_at(now - self.late_s - RETRY_FOR_S))
        return self._window_at(started_at)

    def _window_at(self, true_time: float) -> int:
        return int(true_time // self.window_s)


__all__ = ["RETRY_FOR_S", "SETTLE_S", "WAIT_SHARE", "UsageSchedule"]
