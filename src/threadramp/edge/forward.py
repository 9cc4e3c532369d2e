"""Carries one request to endpoints until there is an answer, the caller has gone, or time is up."""

from __future__ import annotations

import select
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from threadramp.edge.connections import ExchangeError
from threadramp.edge.job import Ending, Outcome, has_ended
from threadramp.platform.headers import to_endpoint
from threadramp.policy.connection_share import idle_share
from threadramp.policy.endpoint_choice import SECOND_AFTER
from threadramp.report.log import log_state

if TYPE_CHECKING:
    from threadramp.edge.connections import Answer, Connections, Exchange
    from threadramp.edge.job import Job
    from threadramp.fleet.clock import Clock
    from threadramp.fleet.model import Endpoint
    from threadramp.fleet.picture import Picture
    from threadramp.policy.endpoint_choice import EndpointChoice
    from threadramp.policy.retries import RetryBudget

LOOK_S = 0.1  # how often a wait is broken to see whether the caller is still there
REJECTED_PAUSE_S = 0.03  # before an endpoint that was full is asked again
REJECTED_ROUNDS = 4  # times that all endpoints of the pool may refuse before the caller is told
RETRY_AFTER_S = 0.2  # a slot of these endpoints is free again within some tens of milliseconds
ANSWER_MARGIN_S = 0.02  # an answer leaves this long before the time is over
READ_TIMEOUT_S = 2.0  # most for the rest of an answer that has begun


@dataclass
class _Tries:
    """What happened to a job so far."""

    open: list[Exchange] = field(default_factory=list)
    ran: set[str] = field(default_factory=set)
    rejected: set[str] = field(default_factory=set)
    may_have_run: bool = False
    rounds: int = 0
    last_failure: Answer | None = None
    second_at: float = 0.0


class Forwarder:
    """Forwards requests; one for all threads of a process."""

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
        """Drop what is kept of endpoints that are not listed any more."""
        instances = set(self.picture.belief.endpoints)
        self.connections.forget(instances)
        self.choice.forget(instances)

    def keep(self, exchange: Exchange, answer: Answer) -> None:
        """Keep a connection for the next request, within this gateway's share."""
        belief = self.picture.belief
        pool = belief.pool(exchange.endpoint.pool)
        most = idle_share(pool.max_connections, len(belief.gateways()))
        self.connections.keep(exchange, answer, self.clock.now(), most)

    def run(self, job: Job) -> Outcome:
        """Forward a request and return how it ended."""
        return _Run(self, job).run()


class _Run:
    """One job on its way."""

    def __init__(self, parts: Forwarder, job: Job) -> None:
        self.parts = parts
        self.job = job
        self.now = parts.clock.now
        self.tries = _Tries()
        self.pool = parts.choice.pool_for(job.route)

    def run(self) -> Outcome:
        """Try endpoints until it ends."""
        self.parts.budget.first_attempt()
        try:
            while True:
                outcome = self._turn()
                if outcome is not None:
                    return outcome
        finally:
            for exchange in self.tries.open:
                exchange.close()
                self.parts.choice.finished(exchange.endpoint)

    def _turn(self) -> Outcome | None:
        if self.now() >= self.job.until - ANSWER_MARGIN_S:
            return self._given_up(Ending.TIME_OVER)
        if not self.tries.open:
            outcome = self._next_try()
            if outcome is not None or not self.tries.open:
                return outcome
        return self._wait()

    def _next_try(self) -> Outcome | None:
        """Send to one more endpoint, or end if there is none."""
        tries = self.tries
        if len(tries.ran) >= self.job.route.max_attempts:
            return self._given_up(Ending.UNKNOWN)
        if tries.may_have_run and not self.job.route.may_repeat:
            return self._given_up(Ending.UNKNOWN)
        endpoints = self.parts.picture.belief.in_pool(self.pool)
        chosen = self.parts.choice.choose(endpoints, tries.ran | tries.rejected, self.now())
        if chosen is not None:
            self._send(chosen)
            return None
        tries.rounds += 1
        if tries.rounds > REJECTED_ROUNDS or not tries.rejected:
            return self._given_up(Ending.NOT_RUN)
        tries.rejected.clear()
        return self._pause(REJECTED_PAUSE_S)

    def _send(self, endpoint: Endpoint) -> None:
        now = self.now()
        left = self.job.until - now
        try:
            exchange = self.parts.connections.open(endpoint, now, left)
        except ExchangeError as error:
            self._endpoint_failed(endpoint, error, ran=False)
            return
        headers = to_endpoint(self.job.headers, left, endpoint.instance)
        self.parts.choice.began(endpoint)
        try:
            exchange.send(self.job.method, self.job.target, headers, self.job.body)
        except ExchangeError as error:
            self.parts.choice.finished(endpoint)
            self._endpoint_failed(endpoint, error, ran=not exchange.reused)
            return
        self.tries.open.append(exchange)
        self.tries.second_at = now + self.job.route.target_s * SECOND_AFTER

    def _wait(self) -> Outcome | None:
        """Wait for an answer, the caller's end, or the time for a second try."""
        tries = self.tries
        poll = select.poll()
        by_descriptor = {exchange.fileno(): exchange for exchange in tries.open}
        for descriptor in by_descriptor:
            poll.register(descriptor, select.POLLIN)
        caller = self.job.caller
        if caller is not None:
            poll.register(caller.fileno(), select.POLLIN)
        ready = poll.poll(max(1, int(self._wait_s() * 1000)))
        for descriptor, _ in ready:
            exchange = by_descriptor.get(descriptor)
            if exchange is not None:
                return self._read(exchange)
        if caller is not None and ready and has_ended(caller):
            log_state("caller_gone", request=self.job.request_id)
            return Outcome(Ending.CALLER_GONE)
        self._second_try()
        return None

    def _wait_s(self) -> float:
        now = self.now()
        wait = min(LOOK_S, self.job.until - ANSWER_MARGIN_S - now)
        if len(self.tries.open) == 1:
            wait = min(wait, self.tries.second_at - now)
        return max(0.001, wait)

    def _second_try(self) -> None:
        """Send a late repeatable request to a second endpoint as well."""
        tries = self.tries
        late = len(tries.open) == 1 and self.now() >= tries.second_at
        if not late or not self.job.route.may_repeat:
            return
        tries.second_at = self.job.until  # asked once
        used = tries.ran | {one.endpoint.instance for one in tries.open}
        if len(used) >= self.job.route.max_attempts or not self.parts.budget.retry():
            return
        endpoints = self.parts.picture.belief.in_pool(self.pool)
        chosen = self.parts.choice.choose(endpoints, used | tries.rejected, self.now())
        if chosen is not None:
            log_state("second_try", request=self.job.request_id, instance=chosen.instance)
            self._send(chosen)

    def _read(self, exchange: Exchange) -> Outcome | None:
        endpoint = exchange.endpoint
        self.tries.open.remove(exchange)
        self.parts.choice.finished(endpoint)
        left = max(0.05, min(READ_TIMEOUT_S, self.job.until - self.now()))
        try:
            answer = exchange.read(left)
        except ExchangeError as error:
            self._endpoint_failed(endpoint, error, ran=True)
            return None
        if answer.head.request_id not in ("", self.job.request_id):
            exchange.close()
            error = ExchangeError(True, f"the answer to {answer.head.request_id}")
            self._endpoint_failed(endpoint, error, ran=True)
            return None
        self.parts.keep(exchange, answer)
        return self._judge(endpoint, answer)

    def _judge(self, endpoint: Endpoint, answer: Answer) -> Outcome | None:
        head = answer.head
        if head.not_run:
            self.tries.rejected.add(endpoint.instance)
            log_state(
                "rejected",
                request=self.job.request_id,
                instance=endpoint.instance,
                status=head.status,
            )
            return None
        unsigned = 200 <= head.status < 300 and not head.signature
        if unsigned or head.status >= 500:
            return self._failed_answer(endpoint, answer, unsigned)
        self.parts.choice.answered(endpoint, head.load, self.now())
        return Outcome(Ending.ANSWERED, answer)

    def _failed_answer(self, endpoint: Endpoint, answer: Answer, unsigned: bool) -> Outcome | None:
        if unsigned:
            self._endpoint_failed(endpoint, ExchangeError(True, "no signature"), ran=True)
            return None
        self.tries.last_failure = answer
        error = ExchangeError(True, f"status {answer.head.status}")
        self._note_failure(endpoint, error, True, self.parts.choice.erred(endpoint, self.now()))
        return None if self.job.repeats_errors else Outcome(Ending.ANSWERED, answer)

    def _endpoint_failed(self, endpoint: Endpoint, error: ExchangeError, ran: bool) -> None:
        self._note_failure(endpoint, error, ran, self.parts.choice.failed(endpoint, self.now()))

    def _note_failure(
        self, endpoint: Endpoint, error: ExchangeError, ran: bool, pause: float
    ) -> None:
        if ran:
            self.tries.ran.add(endpoint.instance)
            self.tries.may_have_run = True
        else:
            self.tries.rejected.add(endpoint.instance)
        log_state(
            "endpoint_failed",
            request=self.job.request_id,
            instance=endpoint.instance,
            error=str(error),
            may_have_run=ran,
            avoided_s=pause,
        )

    def _given_up(self, ending: Ending) -> Outcome:
        failure = self.tries.last_failure
        if failure is not None:
            return Outcome(Ending.ANSWERED, failure)
        ran = self.tries.may_have_run or bool(self.tries.open)
        if ending is Ending.NOT_RUN and ran:
            return Outcome(Ending.UNKNOWN)
        if ending is Ending.TIME_OVER and not ran:
            return Outcome(Ending.NOT_RUN, retry_after_s=RETRY_AFTER_S)
        return Outcome(ending, retry_after_s=RETRY_AFTER_S)

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


__all__ = ["Forwarder"]
