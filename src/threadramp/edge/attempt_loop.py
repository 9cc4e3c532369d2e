"""What all ways to forward a request share: which endpoint is asked next, and when to give up."""

from __future__ import annotations

import select
from typing import TYPE_CHECKING

from threadramp.edge.connection_breaks import Signs
from threadramp.edge.crash_guard import CrashGuard
from threadramp.edge.exchange import ExchangeError
from threadramp.edge.holding import Holding
from threadramp.edge.job import Ending, Outcome, has_ended
from threadramp.edge.tries import Tries
from threadramp.platform.headers import to_endpoint
from threadramp.policy.connection_share import idle_share
from threadramp.policy.crash_book import CrashBook, Ruling, Verdict
from threadramp.report.log import log_state

if TYPE_CHECKING:
    from collections.abc import Set

    from threadramp.duties.collecting import UsageCounting
    from threadramp.edge.connection_pool import ConnectionPool
    from threadramp.edge.exchange import EndpointResponse, Exchange
    from threadramp.edge.job import Job
    from threadramp.fleet.clock import Clock
    from threadramp.fleet.model import Endpoint, Start
    from threadramp.fleet.picture import Picture
    from threadramp.platform.headers import AnswerHead
    from threadramp.policy.endpoint_choice import EndpointChoice
    from threadramp.policy.retries import RetryBudget

REJECTED_PAUSE_S = 0.03  # before an endpoint that was full is asked again
REJECTED_ROUNDS = 4  # times that all endpoints of the pool may refuse before the caller is told
RETRY_AFTER_S = 0.2  # a slot of these endpoints is free again within some tens of milliseconds
ANSWER_MARGIN_S = 0.02  # an answer leaves this long before the time is over
# Endpoints that may end under one id: a third try would be the last that its request has at all,
# and its caller may come again once more is known.
ENDED_MOST = 2
NOBODY_LEFT_S = 1.0  # endpoints that crashed are back after 1 to 3 s


class EndpointAccess:
    """The endpoints as one process sees and reaches them; one for all of its threads."""

    def __init__(
        self,
        picture: Picture,
        connections: ConnectionPool,
        choice: EndpointChoice,
        budget: RetryBudget,
        clock: Clock,
        guard: CrashGuard | None = None,
        counting: UsageCounting | None = None,
    ) -> None:
        self.picture = picture
        self.connections = connections
        self.choice = choice
        self.budget = budget
        self.clock = clock
        self.counting = counting
        self.guard = guard or CrashGuard(CrashBook(), clock, picture)

    def drop_unlisted(self) -> None:
        """Drop what is kept of starts that are not listed any more."""
        starts = {one.start for one in self.picture.belief.endpoints.values()}
        self.connections.retain_only(starts)
        self.choice.forget(starts)

    def keep(self, exchange: Exchange, answer: EndpointResponse) -> None:
        """Keep a connection for the next request, within this gateway's share."""
        belief = self.picture.belief
        pool = belief.pool(exchange.endpoint.pool)
        most = idle_share(pool.max_connections, len(belief.gateways()))
        self.connections.release(exchange, answer, self.clock.now(), most)


class Attempts:
    """The tries of one job; each way to forward says how it waits for the answer to a try.

    An endpoint with a free place begins a request as it arrives, so it is counted when it is sent:
    then no answer that is lost, late or given up leaves it out.
    """

    begins_when_sent = True

    def __init__(self, parts: EndpointAccess, job: Job) -> None:
        self.parts = parts
        self.job = job
        self.now = parts.clock.now
        self.tries = Tries()
        self.pool = parts.choice.pool_for(job.route)
        self.holding = Holding(parts.guard, job)

    def run(self) -> Outcome:
        """Try endpoints until the job has ended."""
        if self.caller_has_left():
            return Outcome(Ending.CALLER_GONE)
        admitted = self.holding.admit()
        if admitted.verdict is Verdict.REFUSED:
            return Outcome(Ending.NOT_RUN, retry_after_s=admitted.again_s)
        self.parts.budget.first_attempt()
        try:
            while True:
                outcome = self._turn()
                if outcome is not None:
                    return self.ended(outcome)
        finally:
            self.close_all()
            self.holding.leave()

    def ruling(self) -> Ruling:
        """Return what holds for the request now."""
        return self.holding.ruling(has_run=bool(self.tries.ran))

    def await_answer(self) -> Outcome | None:
        """Wait for the exchanges that are open; none if the job goes on."""
        raise NotImplementedError

    def ended(self, outcome: Outcome) -> Outcome:
        """Return the outcome as it is told, while the open exchanges still stand."""
        return outcome

    def caller_has_left(self) -> bool:
        """Return whether the caller left while its request waited to be read."""
        return self.job.caller_socket is not None and has_ended(self.job.caller_socket)

    def headers(self, time_left: float, instance: str) -> dict[str, str]:
        """Return the headers with which the job goes to an endpoint."""
        return to_endpoint(self.job.headers, time_left, instance, self.job.identity.organisation)

    def next_try(self) -> Outcome | None:
        """Send to one more endpoint, or end if there is none."""
        tries = self.tries
        if len(tries.ran) >= self.job.route.max_attempts:
            return self.given_up(Ending.UNKNOWN)
        if tries.may_have_run and not self.job.route.may_repeat:
            return self.given_up(Ending.UNKNOWN)
        is_last = tries.rounds >= REJECTED_ROUNDS
        chosen = self.holding.choose(self._pick, self.ruling(), is_last)
        if chosen is not None:
            self.send(chosen)
            return None
        if not tries.rejected and not self.holding.waits:
            return self._nobody_left()
        tries.rounds += 1
        if tries.rounds > REJECTED_ROUNDS:
            return self.given_up(Ending.NOT_RUN)
        tries.rejected.clear()
        return self._pause(REJECTED_PAUSE_S)

    def _pick(self, taken: Set[Start]) -> Endpoint | None:
        """Return an endpoint that it was not at, none of those that are taken."""
        endpoints = self.parts.picture.belief.in_pool(self.pool)
        return self.parts.choice.choose(endpoints, self.tries.passed_over | taken, self.now())

    def _held_back(self) -> Outcome | None:
        """Return how it ends if too many endpoints ended under it; none if it may go on."""
        ruling = self.ruling()
        if ruling.verdict is Verdict.REFUSED or len(self.tries.ended) >= ENDED_MOST:
            return self.given_up(Ending.NOT_RUN, ruling.again_s)
        return None

    def _nobody_left(self) -> Outcome:
        """End it at once: it was everywhere where somebody listens."""
        unreachable = len(self.tries.unreachable)
        return self.given_up(Ending.NOT_RUN, NOBODY_LEFT_S if unreachable else RETRY_AFTER_S)

    def send(self, endpoint: Endpoint, on_new: bool = False) -> None:
        """Send to an endpoint while there is time; the exchange is open if that worked.

        :param on_new: whether it takes a new connection though others are kept
        """
        now = self.now()
        left = self.job.deadline - now
        if left <= 0.0:  # the process stood still since it looked whether there was time
            return
        self.tries.sent_at[endpoint.start] = now
        ident = self.job.request_id
        on_new = on_new or not ident  # nothing would tell its answer from a second one before it
        try:
            exchange = self.parts.connections.acquire(endpoint, now, left, on_new, ident)
        except ExchangeError as error:
            self.endpoint_failed(endpoint, error, ran=False)
            return
        self.parts.choice.began(endpoint)
        headers = self.headers(left, endpoint.instance)
        try:
            exchange.send(self.job.method, self.job.target, headers, self.job.body)
        except ExchangeError as error:
            self.parts.choice.finished(endpoint)
            self.endpoint_failed(endpoint, error, ran=not exchange.reused)
            return
        self.tries.open.append(exchange)
        if self.begins_when_sent:
            self.begun(endpoint, now)

    def begun(self, endpoint: Endpoint, at: float) -> None:
        """Count the job as begun at an endpoint, for the usage of its organisation."""
        if self.parts.counting is not None:
            self.tries.begun_at[endpoint.start] = at
            self.parts.counting.began(self.job.identity.organisation, at)

    def not_begun(self, endpoint: Endpoint) -> None:
        """Take that back: the endpoint said so, or it never saw the job."""
        at = self.tries.begun_at.pop(endpoint.start, None)
        if at is not None:
            self.parts.counting.did_not_begin(self.job.identity.organisation, at)

    def closed(self, exchange: Exchange) -> None:
        """Note that an exchange is over."""
        self.tries.open.remove(exchange)
        self.parts.choice.finished(exchange.endpoint)

    def close_all(self) -> None:
        """Close the exchanges that are still open; most endpoints then drop the request."""
        for exchange in list(self.tries.open):
            exchange.close()
            self.closed(exchange)

    def is_own(self, exchange: Exchange, head: AnswerHead) -> bool:
        """Return whether an answer is to this job; the connection is closed if it is not."""
        if exchange.is_own(head):
            return True
        exchange.close()
        self.parts.connections.count("answer_not_own", "named" if head.request_id else "unnamed")
        error = ExchangeError(True, f"the answer to {head.request_id or 'nobody knows what'}")
        self.endpoint_failed(exchange.endpoint, error, ran=True)
        return False

    def rejected(self, endpoint: Endpoint, status: int) -> None:
        """Note that an endpoint said it did not run the job."""
        self.not_begun(endpoint)
        self.tries.rejected.add(endpoint.start)
        log_state(
            "rejected", request=self.job.request_id, instance=endpoint.instance, status=status
        )

    def endpoint_failed(self, endpoint: Endpoint, error: ExchangeError, ran: bool) -> None:
        """Note that an endpoint brought no sound answer, and prefer others for a while.

        :param ran: whether the job may have run there
        """
        if error.broken and ran and self._has_ended(endpoint, error):
            error = ExchangeError(True, str(error))  # no dropped connection, whatever it was kept
        if error.stale:
            self._connection_stale(endpoint, error, ran)
        else:
            pause = self.parts.choice.failed(endpoint, self.now())
            self.note_failure(endpoint, error, ran, pause)

    def _has_ended(self, endpoint: Endpoint, error: ExchangeError) -> bool:
        """Return whether an endpoint that broke its connection has ended under this request."""
        signs = Signs(
            self.now() - self.tries.sent_at[endpoint.start],
            error.stale,
            sum(one.endpoint.start == endpoint.start for one in self.tries.open),
            lambda: self.parts.choice.open_at(endpoint),
        )
        if not self.parts.guard.broke(self.job, endpoint, signs):
            return False
        self.tries.ended.add(endpoint.start)
        self.parts.connections.close_idle(endpoint.start)
        return True

    def note_failure(
        self, endpoint: Endpoint, error: ExchangeError, ran: bool, pause: float
    ) -> None:
        """Note a failure.

        :param pause: seconds for which others are preferred
        """
        if ran:
            self.tries.ran.add(endpoint.start)
            self.tries.may_have_run = True
        elif error.nobody:
            self.tries.unreachable.add(endpoint.start)
        else:
            self.tries.rejected.add(endpoint.start)
        log_state(
            "endpoint_failed",
            request=self.job.request_id,
            instance=endpoint.instance,
            error=str(error),
            may_have_run=ran,
            avoided_s=pause,
        )

    def _connection_stale(self, endpoint: Endpoint, error: ExchangeError, ran: bool) -> None:
        """Note that a kept connection was closed; the endpoint may be asked on a new one."""
        self.not_begun(endpoint)
        self.parts.connections.close_idle(endpoint.start)  # the others rested as long
        self.tries.may_have_run |= ran
        log_state(
            "connection_stale",
            request=self.job.request_id,
            instance=endpoint.instance,
            error=str(error),
            may_have_run=ran,
        )

    def given_up(self, ending: Ending, again_s: float = RETRY_AFTER_S) -> Outcome:
        """Return what the caller may be told, given all that was tried.

        :param again_s: after which it may come again, if it was not run
        """
        failure = self.tries.last_failure
        if failure is not None:
            return Outcome(Ending.ANSWERED, failure)
        ran = self.tries.may_have_run or bool(self.tries.open)
        if ending is Ending.NOT_RUN and ran:
            return Outcome(Ending.UNKNOWN)
        if ending is Ending.TIME_OVER and not ran:
            return Outcome(Ending.NOT_RUN, retry_after_s=RETRY_AFTER_S)
        return Outcome(ending, retry_after_s=again_s)

    def _turn(self) -> Outcome | None:
        if self.now() >= self.job.deadline - ANSWER_MARGIN_S:
            return self.given_up(Ending.TIME_OVER)
        if not self.tries.open:
            outcome = self._held_back() or self.next_try()
            if outcome is not None or not self.tries.open:
                return outcome
        return self.await_answer()

    def _pause(self, seconds: float) -> Outcome | None:
        caller = self.job.caller_socket
        if caller is None:
            select.select([], [], [], seconds)
            return None
        poll = select.poll()
        poll.register(caller.fileno(), select.POLLIN)
        if poll.poll(int(seconds * 1000)) and has_ended(caller):
            return Outcome(Ending.CALLER_GONE)
        return None


__all__ = ["ANSWER_MARGIN_S", "Attempts", "EndpointAccess"]
