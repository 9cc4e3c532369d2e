"""Holds back calls under which endpoints ended, at one gateway of the product's own.

It goes by the same book as the gateways of the users' platform. A streamed answer that has begun is
neither held against its call nor for it: whether its endpoint ends midway is not known here.
"""

from __future__ import annotations

from math import ceil
from typing import TYPE_CHECKING

from threadramp.fleet.clock import Clock
from threadramp.fleet.model import Incarnation
from threadramp.policy.crash_tracker import CrashTracker, SuspicionLevel
from threadramp.policy.fingerprint import fingerprint, short_fingerprint
from threadramp.report.log import log_state
from threadramp.wire.outcomes import Reason, Refusal, RefusedError

if TYPE_CHECKING:
    from threadramp.gateway.calls import CallerRequest

CALLER_HEADER = "Authorization"
MS_PER_S = 1000


class CallGuard:
    """One for all threads of a gateway.

    :param clock: tells the time of day
    """

    def __init__(self, clock: Clock | None = None) -> None:
        self.book = CrashTracker()
        self.clock = clock or Clock()

    def admit(self, request: CallerRequest) -> None:
        """Let a call be sent, unless three endpoints ended under it.

        A refused one is tried again at each gateway by itself, some time after its last end.

        :raises RefusedError: if it is held back
        """
        if self.book.is_empty:
            return
        key = _fingerprint(request)
        now = self.clock.time_of_day()
        ruling = self.book.assess(key, now)
        if ruling.level is not SuspicionLevel.REFUSED:
            return
        if ruling.trial:
            self.book.record_trial(key, ruling.trial, now)
            log_state("trial_of_refused", fingerprint=short_fingerprint(key), trial=ruling.trial)
            return
        self.book.record_repeat(key, now)
        log_state(
            "refused_after_crashes", fingerprint=short_fingerprint(key), crashes=ruling.crashes
        )
        message = f"{ruling.crashes} endpoints ended under it, one after the other"
        raise RefusedError(Refusal.not_run(Reason.HELD_BACK, message, ceil(ruling.retry_after_s)))

    def ended(self, request: CallerRequest, endpoint: str) -> bool:
        """Note that an endpoint ended under a call; each end is of another start.

        :returns: whether the call is held back from now on
        """
        key = _fingerprint(request)
        now = self.clock.time_of_day()
        ruling = self.book.record_crash(key, Incarnation(endpoint, int(now * MS_PER_S)), now)
        log_state(
            "endpoint_ended",
            fingerprint=short_fingerprint(key),
            endpoint=endpoint,
            crashes=ruling.crashes,
            verdict=ruling.level.value,
        )
        return ruling.level is SuspicionLevel.REFUSED

    def answered(self, request: CallerRequest) -> None:
        """Note an answer after which its endpoint lives on."""
        if self.book.is_empty:
            return
        now = self.clock.time_of_day()
        self.book.expire(now)
        self.book.record_success(_fingerprint(request), now)


def _fingerprint(request: CallerRequest) -> bytes:
    caller = request.text(CALLER_HEADER)
    return fingerprint(request.pool, request.method, request.path, caller, request.body)


__all__ = ["CALLER_HEADER", "CallGuard"]
