"""What all ways to forward a request share: which endpoint is asked next, and when to give up."""

from __future__ import annotations

import select
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from threadramp.edge.connections import ExchangeError
from threadramp.edge.endpoint_probe import look_at
from threadramp.edge.job import Ending, Outcome, has_ended
from threadramp.platform.headers import to_endpoint
from threadramp.policy.connection_share import idle_share
from threadramp.policy.fingerprint import shown
from threadramp.report.log import log_state

if TYPE_CHECKING:
    from threadramp.edge.connections import Answer, Connections, Exchange
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


@dataclass
class Tries:
    """What happened to a job so far.

    :param ran: endpoints at which it may have run
    :param rejected: endpoints that said they did not run it
    :param rounds: times that all endpoints refused
    """

    open: list[Exchange] = field(default_factory=list)
    ran: set[Start] = field(default_factory=set)
    rejected: set[Start] = field(default_factory=set)
    may_have_run: bool = False
    rounds: int = 0
    last_failure: Answer | None = None


class EndpointAccess:
    """The endpoints as one process sees and reaches them; one for all of its threads."""

    def __init__(
        self,
        picture: Picture,
        connections: Connections,
        choice: EndpointChoice,
        budget: RetryBudget,
        clock: Clock,
    ) -> None:
        self.picture = picture
        self.connections = connections
        self.choice = choice
        self.budget = budget
        self.clock = clock

    def forget_gone(self) -> None:
        """Drop what is kept of starts that are not listed any more."""
        starts = {one.start for one in self.picture.belief.endpoints.values()}
        self.connections.forget(starts)
        self.choice.forget(starts)

    def keep(self, exchange: Exchange, answer: Answer) -> None:
        """Keep a connection for the next request, within this gateway's share."""
        belief = self.picture.belief
        pool = belief.pool(exchange.endpoint.pool)
        most = idle_share(pool.max_connections, len(belief.gateways()))
        self.connections.keep(exchange, answer, self.clock.now(), most)


class Attempts:
    """The tries of one job; each way to forward says how it waits for the answer to a try."""

    def __init__(self, parts: EndpointAccess, job: Job) -> None:
        self.parts = parts
        self.job = job
        self.now = parts.clock.now
        self.tries = Tries()
        self.pool = parts.choice.pool_for(job.route)

    def run(self) -> Outcome:
        """Try endpoints until the job has ended."""
        if self.caller_has_left():
            return Outcome(Ending.CALLER_GONE)
        self.parts.budget.first_attempt()
        try:
            while True:
                outcome = self._turn()
                if outcome is not None:
                    return self.ended(outcome)
        finally:
            self.close_all()

    def await_answer(self) -> Outcome | None:
        """Wait for the exchanges that are open; none if the job goes on."""
        raise NotImplementedError

    def ended(self, outcome: Outcome) -> Outcome:
        """Return the outcome as it is told, while the open exchanges still stand."""
        return outcome

    def caller_has_left(self) -> bool:
        """Return whether the caller left while its request waited to be read."""
        return self.job.caller is not None and has_ended(self.job.caller)

    def headers(self, time_left: float, instance: str) -> dict[str, str]:
        """Return the headers with which the job goes to an endpoint."""
        return to_endpoint(self.job.headers, time_left, instance)

    def next_try(self) -> Outcome | None:
        """Send to one more endpoint, or end if there is none."""
        tries = self.tries
        if len(tries.ran) >= self.job.route.max_attempts:
            return self.given_up(Ending.UNKNOWN)
        if tries.may_have_run and not self.job.route.may_repeat:
            return self.given_up(Ending.UNKNOWN)
        endpoints = self.parts.picture.belief.in_pool(self.pool)
        chosen = self.parts.choice.choose(endpoints, tries.ran | tries.rejected, self.now())
        if chosen is not None:
            self.send(chosen)
            return None
        tries.rounds += 1
        if tries.rounds > REJECTED_ROUNDS or not tries.rejected:
            return self.given_up(Ending.NOT_RUN)
        tries.rejected.clear()
        return self._pause(REJECTED_PAUSE_S)

    def send(self, endpoint: Endpoint, on_new: bool = False) -> None:
        """Send to an endpoint; the exchange is open if that worked.

        :param on_new: whether it takes a new connection though others are kept
        """
        now = self.now()
        left = self.job.until - now
        try:
            exchange = self.parts.connections.open(endpoint, now, left, on_new)
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
        if head.request_id in ("", self.job.request_id):
            return True
        exchange.close()
        error = ExchangeError(True, f"the answer to {head.request_id}")
        self.endpoint_failed(exchange.endpoint, error, ran=True)
        return False

    def rejected(self, endpoint: Endpoint, status: int) -> None:
        """Note that an endpoint said it did not run the job."""
        self.tries.rejected.add(endpoint.start)
        log_state(
            "rejected", request=self.job.request_id, instance=endpoint.instance, status=status
        )

    def endpoint_failed(self, endpoint: Endpoint, error: ExchangeError, ran: bool) -> None:
        """Note that an endpoint brought no sound answer, and prefer others for a while.

        :param ran: whether the job may have run there
        """
        if error.broken:
            self._note_end(endpoint)
        if error.stale:
            self._connection_stale(endpoint, error, ran)
        else:
            pause = self.parts.choice.failed(endpoint, self.now())
            self.note_failure(endpoint, error, ran, pause)

    def _note_end(self, endpoint: Endpoint) -> None:
        """Tell whether an endpoint that broke its connection has ended, and under which request."""
        log_state(
            "connection_broken",
            request=self.job.request_id,
            fingerprint=shown(self.job.fingerprint),
            instance=endpoint.instance,
            endpoint=look_at(endpoint.address).value,
            beside=self.parts.choice.open_at(endpoint),
        )

    def note_failure(
        self, endpoint: Endpoint, error: ExchangeError, ran: bool, pause: float
    ) -> None:
        """Note a failure.

        :param pause: seconds for which others are preferred
        """
        if ran:
            self.tries.ran.add(endpoint.start)
            self.tries.may_have_run = True
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
        self.parts.connections.forget_one(endpoint.start)  # the others rested as long
        self.tries.may_have_run |= ran
        log_state(
            "connection_stale",
            request=self.job.request_id,
            instance=endpoint.instance,
            error=str(error),
            may_have_run=ran,
        )

    def given_up(self, ending: Ending) -> Outcome:
        """Return what the caller may be told, given all that was tried."""
        failure = self.tries.last_failure
        if failure is not None:
            return Outcome(Ending.ANSWERED, failure)
        ran = self.tries.may_have_run or bool(self.tries.open)
        if ending is Ending.NOT_RUN and ran:
            return Outcome(Ending.UNKNOWN)
        if ending is Ending.TIME_OVER and not ran:
            return Outcome(Ending.NOT_RUN, retry_after_s=RETRY_AFTER_S)
        return Outcome(ending, retry_after_s=RETRY_AFTER_S)

    def _turn(self) -> Outcome | None:
        if self.now() >= self.job.until - ANSWER_MARGIN_S:
            return self.given_up(Ending.TIME_OVER)
        if not self.tries.open:
            outcome = self.next_try()
            if outcome is not None or not self.tries.open:
                return outcome
        return self.await_answer()

    def _pause(self, seconds: float) -> Outcome | None:
        caller = self.job.caller
        if caller is None:
            select.select([], [], [], seconds)
            return None
        poll = select.poll()
        poll.register(caller.fileno(), select.POLLIN)
        if poll.poll(int(seconds * 1000)) and has_ended(caller):
            return Outcome(Ending.CALLER_GONE)
        return None


__all__ = ["ANSWER_MARGIN_S", "Attempts", "EndpointAccess", "Tries"]
