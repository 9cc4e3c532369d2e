"""One call at a gateway: which sidecar it goes to, what is tried again, what the caller is told.

A call that may not be repeated always carries a key that binds it to one incarnation of one
sidecar, so sending it again to that sidecar is safe. A call that may be repeated goes elsewhere
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
# Endpoints that may end under one call: most calls that stand in an end are innocent, so it goes on
# once; one that ends the next as well is left to what is known of its like.
ENDED_MOST = 2
RETRY_PAUSE_S = 0.05


class Failure(Enum):
    """How a send to a sidecar failed."""

    NEVER_LEFT = auto()
    BROKEN = auto()
    TIMED_OUT = auto()


@dataclass(frozen=True)
class Call:
    """A caller's request, as far as decisions need it.

    :param deadline: monotonic time by which the caller wants its answer
    :param first_send: whether no request with this key was ever sent before
    :param refusal_seen: number of the key's refusal that the caller has seen, 0 for none
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
    """Send the call to an endpoint's sidecar.

    :param pause_s: seconds to wait before
    """

    member: Member
    attempt: int
    time_left_s: float
    pause_s: float = 0.0


@dataclass(frozen=True)
class Finish:
    """Answer the caller with a refusal."""

    refusal: Refusal


class CallMachine:
    """Decides on one call.

    :param members: returns the members of a pool
    :param candidates: returns those to which a new call may go
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
        self.ended = 0
        self.tried: set[str] = set()
        self.may_have_run = False
        self.last = Refusal.not_run(Reason.NO_ENDPOINT, "nothing was tried")
        self.sidecar_word: Refusal | None = None

    def start(self, now: float) -> Send | Finish:
        """Decide on the first attempt."""
        self.budget.record_first_attempt()
        return self._next(now, pause_s=0.0)

    def refused(self, refusal: Refusal, now: float) -> Send | Finish:
        """Decide after a sidecar's refusal."""
        self.last = refusal
        if refusal.reason in BEHIND:  # no word on the key; both sides exchange what they lack
            more = self.attempts < MAX_ATTEMPTS
            return self._next(now, pause_s=0.0) if more else Finish(self._final(refusal))
        self.sidecar_word = refusal
        if self.call.binding is not None:
            return Finish(self._final(refusal))
        if refusal.outcome is Outcome.UNKNOWN:
            self.may_have_run = True
        self.ended += refusal.reason is Reason.ENDPOINT_ENDED
        if self.ended >= ENDED_MOST:
            return Finish(self._final(refusal))
        return self._again(now)

    def failed(self, failure: Failure, now: float) -> Send | Finish:
        """Decide after a send that brought no whole answer."""
        reason = Reason.DEADLINE if failure is Failure.TIMED_OUT else Reason.ENDPOINT_FAILED
        if failure is not Failure.NEVER_LEFT:
            self.may_have_run = True
        self.last = Refusal.not_run(reason, "no whole answer came back", DEFAULT_RETRY_AFTER_S)
        return self._again(now)

    def _again(self, now: float) -> Send | Finish:
        if now >= self.call.deadline or self.attempts >= MAX_ATTEMPTS:
            return Finish(self._final(self.last))
        if not self.budget.retry():
            return Finish(self._final(self.last))
        return self._next(now, RETRY_PAUSE_S)

    def _next(self, now: float, pause_s: float) -> Send | Finish:
        time_left = self.call.deadline - now - pause_s
        if time_left <= 0:
            return Finish(self._final(Refusal.not_run(Reason.DEADLINE, "its deadline has passed")))
        member = self._bound() if self.call.binding is not None else self._choose()
        if isinstance(member, Refusal):
            return Finish(self._final(member))
        self.attempts += 1
        self.tried.add(member.name)
        return Send(member, self.attempts, time_left, pause_s)

    def _bound(self) -> Member | Refusal:
        binding = self.call.binding
        for member in self.members(self.call.pool):
            if member.name != binding.endpoint:
                continue
            report = member.report
            if report is not None and report.incarnation != binding.incarnation:
                break
            return member  # also one that leaves: it alone knows what became of the key
        return Refusal.unknown(
            Reason.INCARNATION_GONE, "the sidecar that held this key is gone; it is not run again"
        )

    def _choose(self) -> Member | Refusal:
        available = self.candidates(self.call.pool)
        fresh = [member for member in available if member.name not in self.tried]
        candidates = fresh or available
        if not candidates:
            message = f"no endpoint of pool {self.call.pool!r} takes calls"
            return Refusal.not_run(Reason.NO_ENDPOINT, message, DEFAULT_RETRY_AFTER_S)
        return self.routing.choose(candidates, self.outstanding)

    def _final(self, refusal: Refusal) -> Refusal:
        """Return what the caller may be told, given all that was tried.

        Of a key that the caller may have sent before, only the sidecar may say "not run".
        """
        if refusal.outcome is not Outcome.NOT_RUN:
            return refusal
        keyed = self.call.binding is not None
        if keyed and refusal is self.sidecar_word:
            return refusal
        if self.may_have_run or (keyed and not self.call.first_send):
            return Refusal.unknown(refusal.reason, refusal.message, refusal.retry_after_s)
        return refusal


__all__ = ["Call", "CallMachine", "ENDED_MOST", "Failure", "Finish", "MAX_ATTEMPTS", "Send"]
