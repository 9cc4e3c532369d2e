"""Estimates how long work takes at an endpoint, and how long a request waits there.

Two time scales are kept apart. The factor of an endpoint follows its answers slowly and shows a
permanent difference; choosing by it does not move work to and fro. The current load is what the
endpoint reports about this moment: requests running and waiting, and how long work takes compared
with the usual time.
"""

from __future__ import annotations

from dataclasses import dataclass
from math import exp
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from threadramp.platform.headers import EndpointLoad

INITIAL_WORK_S = 0.05
# The quantile of the latencies that is taken for the time of work. Some answers waited although the
# endpoint seemed free, so the mean would grow with the load.
WORK_QUANTILE = 0.5
WORK_STEP = 0.04  # by which the newest answer changes the usual time of work of a pool
FACTOR_STEP = 0.03  # by which it changes the factor of an endpoint
FACTOR_PRIOR = 5  # answers that the assumption of a usual endpoint counts for
MAX_STEP = 0.6  # for the first answers
MIN_FACTOR, MAX_FACTOR = 0.25, 4.0
# Smaller differences are ignored. They are noise, and the endpoint that seems slowest by them would
# receive nothing and could not show that it is not.
MIN_DIFFERENCE_S = 0.005
# A reported slowdown is assumed to fade within this time; it changes several times a second.
SLOWDOWN_FADE_S = 0.5
# Other gateways send as well, so what an endpoint reported is worked off at part of its full rate.
# With the full rate, gateways sent too much under overload; with none, one without open requests
# would never send again.
WORKED_OFF_SHARE = 0.05


@dataclass
class WorkTime:
    """The usual time of work of the endpoints of one pool.

    :param usual_s: seconds at an endpoint with factor 1 and without other requests ahead
    :param samples: number of answers from which it was learned
    """

    usual_s: float = INITIAL_WORK_S
    samples: int = 0

    def record(self, work_s: float) -> None:
        """Record the time of work of one answer."""
        self.samples += 1
        self.usual_s *= 1.0 + _quantile_step(work_s > self.usual_s, WORK_STEP, self.samples)


@dataclass
class EndpointTimes:
    """What is known about the times at one endpoint.

    :param factor: its permanent time of work relative to the pool
    :param samples: number of answers from which the factor was learned
    :param load: as it last reported
    :param load_at: time of that report
    :param sent_since: own requests sent to it since that report
    """

    factor: float = 1.0
    samples: int = 0
    load: EndpointLoad | None = None
    load_at: float = float("-inf")
    sent_since: int = 0

    def record_load(self, load: EndpointLoad, now: float) -> None:
        """Record a reported load."""
        self.load = load
        self.load_at = now
        self.sent_since = 0

    def record_work(self, work_s: float, usual_s: float) -> None:
        """Record the time of work of one answer, to learn the permanent factor."""
        self.samples += 1
        is_slower = work_s > self.factor * usual_s
        factor = self.factor * (
            1.0 + _quantile_step(is_slower, FACTOR_STEP, self.samples + FACTOR_PRIOR)
        )
        self.factor = min(MAX_FACTOR, max(MIN_FACTOR, factor))

    def slowdown(self, now: float) -> float:
        """Return how many times longer than usual work takes there right now."""
        if self.load is None:
            return 1.0
        reported = max(1, self.load.work_percent) / 100.0
        return 1.0 + (reported - 1.0) * exp((self.load_at - now) / SLOWDOWN_FADE_S)

    def work_s(self, usual_s: float, now: float) -> float:
        """Return the expected seconds of work of a request that is sent now."""
        work_s = usual_s * self.factor * self.slowdown(now)
        return work_s if abs(work_s - usual_s) >= MIN_DIFFERENCE_S else usual_s

    def ahead(self, own_open: int, slots: int, usual_s: float, now: float) -> float:
        """Return how many requests are expected to be at the endpoint now.

        Of the reported ones some were worked off since, and the own ones were added.
        """
        if self.load is None:
            return float(own_open)
        rate = WORKED_OFF_SHARE * slots / max(1e-6, self.work_s(usual_s, now))
        finished = (now - self.load_at) * rate
        reported = self.load.running + self.load.waiting
        return max(float(own_open), reported + self.sent_since - finished)

    def wait_s(
        self, own_open: int, slots: int, usual_s: float, now: float, unsent: float = 0.0
    ) -> float:
        """Return the expected seconds that a request sent now waits for a slot.

        :param unsent: own requests that are about to be sent there
        """
        queued = self.ahead(own_open, slots, usual_s, now) + unsent - slots + 1
        return max(0.0, queued) / slots * self.work_s(usual_s, now)


def _quantile_step(is_above: bool, step: float, samples: int) -> float:
    """Return the relative change of an estimated quantile by one value above or below it."""
    size = max(step, min(MAX_STEP, 1.0 / samples))
    return size * (WORK_QUANTILE if is_above else WORK_QUANTILE - 1.0)


__all__ = ["EndpointTimes", "WorkTime"]
