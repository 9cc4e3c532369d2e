"""Detects crashes of endpoints behind a proxy that keeps listening; no I/O, no clock.

A reverse proxy accepts and then breaks connections while its endpoint is down. A full queue, a cut
link and a flapping link look similar. A broken connection is therefore attributed to a request, for
now, only if the endpoint was healthy when the request began, broke all open connections and breaks
new ones. The start time that the endpoint reports once it answers resolves the case: a later one
confirms the crash; the same one, or none, retracts it.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from itertools import chain
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator

    from threadramp.fleet.model import Incarnation

# A request whose connection breaks as fast as one without a request was not begun: a full queue
# does that, and so does a proxy whose endpoint was already down. The margin allows for a thread
# that waits for a processor.
BEGUN_MARGIN_S = 0.01
# Endpoints are back after 1 to 3 s. Requirement: a third crash is recognised within 3 s. An
# endpoint that was not down at all answers the first probe.
PROBE_DELAYS_S = (0.1,) + (0.25,) * 20
LATE_PROBE_DELAYS_S = (2.0,) * 30  # for endpoints that are down for longer
MAX_START_TIMES = 1024
CLOCK_SKEW_S = 5.0  # the start time comes from another box's clock
# The next incarnation of an endpoint that reports no start time is known from its entry alone,
# which is updated a little after its first answer.
ENTRY_DELAY_S = 3.0
MS_PER_S = 1000.0


class CrashResolution(Enum):
    """Whether an endpoint that may have crashed did crash."""

    CRASHED = "ended"
    ALIVE = "lives"
    PENDING = "open"


@dataclass(frozen=True)
class ConnectionBreak:
    """A connection that broke before the answer, at an endpoint that breaks new connections too.

    :param elapsed_s: seconds from sending the request until the connection broke
    :param probe_s: seconds until a probe connection without a request broke
    :param reused: whether the connection had served a request before
    :param others_active: whether other requests of this process are still open there, or were
        answered since
    :param reported_before: whether a crash was reported before the request was sent
    """

    elapsed_s: float
    probe_s: float
    reused: bool = False
    others_active: bool = False
    reported_before: bool = False

    @property
    def was_begun(self) -> bool:
        """Return whether the endpoint had begun the request, judging by the elapsed time."""
        return self.reused or self.elapsed_s >= self.probe_s + BEGUN_MARGIN_S


def may_have_crashed(seen: ConnectionBreak) -> bool:
    """Return whether the request is suspected until the crash is resolved."""
    return seen.was_begun and not seen.others_active and not seen.reported_before


def resolve_crash(
    known: int, reported: int | None, broke_at: float = float("inf")
) -> CrashResolution:
    """Return whether an endpoint that may have crashed did crash.

    :param known: start time of the incarnation in question, in ms, 0 if it is not known
    :param reported: start time that the endpoint reports now, in ms; 0 if it answers without one,
        none if it does not answer
    :param broke_at: when the connection broke, in seconds since the epoch
    """
    if reported is None or 0 < reported < known:  # an older one cannot have started later
        return CrashResolution.PENDING
    if not known and reported / MS_PER_S > broke_at - CLOCK_SKEW_S:
        return CrashResolution.CRASHED
    return CrashResolution.CRASHED if 0 < known < reported else CrashResolution.ALIVE


def probe_delays() -> Iterator[float]:
    """Yield the delay before each probe of an endpoint that may have crashed."""
    return chain(PROBE_DELAYS_S, LATE_PROBE_DELAYS_S)


class StartTimes:
    """The newest known start times of endpoints whose entries do not contain them."""

    def __init__(self) -> None:
        self.newest: dict[str, int] = {}

    def record(self, instance: str, start_time: int) -> None:
        """Record a start time that an endpoint reported."""
        if start_time > self.newest.get(instance, 0):
            self.newest.pop(instance, None)
            self.newest[instance] = start_time
        while len(self.newest) > MAX_START_TIMES:
            del self.newest[next(iter(self.newest))]

    def current(self, incarnation: Incarnation) -> Incarnation:
        """Return the latest known incarnation of an endpoint, given one that may be outdated."""
        newest = self.newest.get(incarnation.instance, 0)
        return incarnation._replace(born=newest) if newest > incarnation.born else incarnation


__all__ = [
    "ENTRY_DELAY_S",
    "ConnectionBreak",
    "CrashResolution",
    "StartTimes",
    "may_have_crashed",
    "probe_delays",
    "resolve_crash",
]
