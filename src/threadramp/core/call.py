"""State machine of one call at a gateway: routing, retries and the final refusal.

A call that may not be repeated always carries a key that binds it to one incarnation of one
sidecar, so resending it to that sidecar is safe. A repeatable call is retried at another endpoint
after a failure, within its deadline and the retry budget.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, auto
from typing import TYPE_CHECKING

from threadramp.wire.outcomes import BEHIND, DEFAULT_RETRY_AFTER_S, Outcome, Reason, Refusal

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from threadramp.core.keys import Binding
    from threadramp.core.membership import Member
    from threadramp.policy.retries import RetryBudget
    from threadramp.policy.routing import Routing

MAX_ATTEMPTS = 4
# Endpoints that may crash while they handle one call. Most calls that are open during a crash did
# not cause it, so the call is retried once. If the next endpoint crashes too, the call is refused
# and left to the tracking of requests that crash endpoints.
MAX_CRASHES = 2
RETRY_PAUSE_S = 0.05


class Failure(Enum):
    """How a send to a sidecar failed; the members' names are labels of a metric.

    ``NEVER_LEFT``: no connection was made, so the call can not have run. ``BROKEN``: the connection
    broke, or the response was incomplete or another request's.
    """

    NEVER_LEFT = auto()
    BROKEN = auto()
    TIMED_OUT = auto()


@dataclass(frozen=True)
class Call:
    """The part of a caller's request that routing and retries depend on.

    :param rank: of the call's priority; lower ranks are served first
    :param deadline: monotonic time by which the caller needs the response
    :param first_send: whether no request with this key was ever sent before
    :param refusal_seen: number of the key's newest refusal that the caller shows, 0 for none
    """

    request_id: str
    pool: str
    repeatable: bool
    rank: int
    deadline: float
    binding: Binding | None
    first_send: bool
    refusal_seen: int


@dataclass(frozen=True)
class Send:
    """Action: send the call to an endpoint's sidecar.

    :param pause_s: seconds to wait before sending
    """

    member: Member
    attempt: int
    time_left_s: float
    pause_s: float = 0.0


@dataclass(frozen=True)
class Finish:
    """Action: respond to the caller with a refusal."""

    refusal: Refusal


class CallStateMachine:
    """Decides where one call is sent, whether it is retried, and how it is refused.

    :param members: returns the members of a pool
    :param candidates: returns the members of a pool that accept new calls
    :param outstanding: open calls of this gateway by endpoint
    :ivar may_have_run: whether an attempt may have run although no response came back
    :ivar sidecar_refusal: the newest refusal by a sidecar that had the same revision
    """

    def __init__(
        self,
        call: Call,
        members: Callable[[str], Sequence[Member]],
        candidates: Callable[[str], Sequence[Member]],
        routing: Routing,
        budget: RetryBudget,
        outstanding: dict[str, int],
    ) -> None:
        self.call = call
        self.members = members
        self.candidates = candidates
        self.routing = routing
        self.budget = budget
        self.outstanding = outstanding
        self.attempts = 0
        self.crashes = 0
        self.tried_endpoints: set[str] = set()
        self.may_have_run = False
        self.last_refusal = Refusal.not_run(Reason.NO_ENDPOINT, "nothing was tried")
        self.sidecar_refusal: Refusal | None = None

    def start(self, now: float) -> Send | Finish:
        """Return the first action."""
        self.budget.record_first_attempt()
        return self._next_attempt(now, pause_s=0.0)

    def refused(self, refusal: Refusal, now: float) -> Send | Finish:
        """Return the next action after a refusal by a sidecar."""
        self.last_refusal = refusal
        if refusal.reason in BEHIND:  # says nothing about the key; both sides synchronise first
            more = self.attempts < MAX_ATTEMPTS
            return (
                self._next_attempt(now, pause_s=0.0)
                if more
                else Finish(self._final_refusal(refusal))
            )
        self.sidecar_refusal = refusal
        if self.call.binding is not None:
            return Finish(self._final_refusal(refusal))
        if refusal.outcome is Outcome.UNKNOWN:
            self.may_have_run = True
        self.crashes += refusal.reason is Reason.ENDPOINT_ENDED
        if self.crashes >= MAX_CRASHES:
            return Finish(self._final_refusal(refusal))
        return self._retry(now)

    def failed(self, failure: Failure, now: float) -> Send | Finish:
        """Return the next action after a send without a complete response."""
        reason = Reason.DEADLINE if failure is Failure.TIMED_OUT else Reason.ENDPOINT_FAILED
        if failure is not Failure.NEVER_LEFT:
            self.may_have_run = True
        self.last_refusal = Refusal.not_run(
            reason, "no whole answer came back", DEFAULT_RETRY_AFTER_S
        )
        return self._retry(now)

    def _retry(self, now: float) -> Send | Finish:
        if now >= self.call.deadline or self.attempts >= MAX_ATTEMPTS:
            return Finish(self._final_refusal(self.last_refusal))
        if not self.budget.retry():
            return Finish(self._final_refusal(self.last_refusal))
        return self._next_attempt(now, RETRY_PAUSE_S)

    def _next_attempt(self, now: float, pause_s: float) -> Send | Finish:
        time_left = self.call.deadline - now - pause_s
        if time_left <= 0:
            return Finish(
                self._final_refusal(Refusal.not_run(Reason.DEADLINE, "its deadline has passed"))
            )
        member = self._bound_member() if self.call.binding is not None else self._choose_member()
        if isinstance(member, Refusal):
            return Finish(self._final_refusal(member))
        self.attempts += 1
        self.tried_endpoints.add(member.name)
        return Send(member, self.attempts, time_left, pause_s)

    def _bound_member(self) -> Member | Refusal:
        binding = self.call.binding
        for member in self.members(self.call.pool):
            if member.name != binding.endpoint:
                continue
            report = member.report
            if report is not None and report.incarnation != binding.incarnation:
                break
            # Also if the member is leaving: only its sidecar knows the outcome of the key.
            return member
        return Refusal.unknown(
            Reason.INCARNATION_GONE,
            "the sidecar that held this key is gone; it is not run again",
        )

    def _choose_member(self) -> Member | Refusal:
        available = self.candidates(self.call.pool)
        fresh = [member for member in available if member.name not in self.tried_endpoints]
        candidates = fresh or available
        if not candidates:
            message = f"no endpoint of pool {self.call.pool!r} takes calls"
            return Refusal.not_run(Reason.NO_ENDPOINT, message, DEFAULT_RETRY_AFTER_S)
        return self.routing.choose(candidates, self.outstanding)

    def _final_refusal(self, refusal: Refusal) -> Refusal:
        """Return the refusal for the caller, with an outcome that holds for all attempts.

        For a key that the caller may have sent before, only its sidecar can state "not run".
        """
        if refusal.outcome is not Outcome.NOT_RUN:
            return refusal
        keyed = self.call.binding is not None
        if keyed and refusal is self.sidecar_refusal:
            return refusal
        if self.may_have_run or (keyed and not self.call.first_send):
            return Refusal.unknown(refusal.reason, refusal.message, refusal.retry_after_s)
        return refusal


__all__ = ["Call", "CallStateMachine", "Failure", "Finish", "MAX_ATTEMPTS", "MAX_CRASHES", "Send"]
