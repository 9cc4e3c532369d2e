"""When the usage of a window is settled, and from which window on a holder reports."""

from __future__ import annotations

from dataclasses import dataclass

# Requests are counted when they are sent, and taken back within milliseconds where they were
# rejected; each gateway is asked once a second.
SETTLE_S = 0.3
# Of the time until it is due, for which gateways that do not answer are waited for; the rest is
# for the write that fixes it, the call, and a second try of either.
WAIT_SHARE = 0.65
RETRY_FOR_S = 30.0  # beyond that a report is of no use to anybody


@dataclass(frozen=True)
class UsageSchedule:
    """The times of a window.

    :param window_s: length of a window
    :param late_s: after its end, until a report is due
    """

    window_s: float
    late_s: float

    def end(self, window: int) -> float:
        """Return the true time at which a window ends."""
        return (window + 1) * self.window_s

    def final_at(self, window: int) -> float:
        """Return the true time from which on what a gateway tells of a window is all of it."""
        return self.end(window) + SETTLE_S

    def is_ready(self, window: int, now: float, all_told: bool) -> bool:
        """Return whether a window is to be reported now.

        :param all_told: whether all gateways answered after it was settled
        """
        if now < self.final_at(window):
            return False
        return all_told or now >= self.end(window) + WAIT_SHARE * self.late_s

    def is_abandoned(self, window: int, now: float) -> bool:
        """Return whether a window is given up."""
        return now > self.end(window) + self.late_s + RETRY_FOR_S

    def first_window(self, fixed: list[int], began: float, now: float) -> int:
        """Return the window that a new holder reports first.

        :param fixed: windows that holders before fixed
        :param began: true time at which this process began
        """
        if fixed:
            return max(max(fixed) + 1, self._at(now - self.late_s - RETRY_FOR_S))
        return self._at(began)

    def _at(self, true_time: float) -> int:
        return int(true_time // self.window_s)


__all__ = ["RETRY_FOR_S", "SETTLE_S", "WAIT_SHARE", "UsageSchedule"]
