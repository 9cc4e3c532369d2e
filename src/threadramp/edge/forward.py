"""Carries one request to endpoints until there is an answer, the caller has gone, or time is up."""

from __future__ import annotations

import select
from typing import TYPE_CHECKING

from threadramp.edge.attempt_loop import ANSWER_MARGIN_S, Attempts, EndpointAccess
from threadramp.edge.exchange import ExchangeError
from threadramp.edge.job import Ending, Outcome, has_ended
from threadramp.platform.headers import read_answer
from threadramp.policy.crash_book import Verdict
from threadramp.policy.endpoint_choice import SECOND_AFTER
from threadramp.report.log import log_state

if TYPE_CHECKING:
    from urllib3 import BaseHTTPResponse

    from threadramp.edge.exchange import EndpointResponse, Exchange
    from threadramp.edge.job import Job
    from threadramp.fleet.model import Endpoint

LOOK_S = 0.1  # how often a wait is broken to see whether the caller is still there
READ_TIMEOUT_S = 2.0  # most for the rest of an answer that has begun


class Forwarder(EndpointAccess):
    """Forwards requests that have one whole answer."""

    def run(self, job: Job) -> Outcome:
        """Forward a request and return how it ended."""
        return _Run(self, job).run()


class _Run(Attempts):
    """One job on its way."""

    def __init__(self, parts: EndpointAccess, job: Job) -> None:
        super().__init__(parts, job)
        self.second_at = 0.0

    def send(self, endpoint: Endpoint, on_new: bool = False) -> None:
        """Send to an endpoint; a second one is asked if it is late."""
        super().send(endpoint, on_new)
        self.second_at = self.now() + self.job.route.target_s * SECOND_AFTER

    def await_answer(self) -> Outcome | None:
        """Wait for an answer, the caller's end, or the time for a second try."""
        readable = next((one for one in self.tries.open if one.is_readable), None)
        if readable is not None:
            return self._read(readable)
        poll = select.poll()
        by_descriptor = {exchange.fileno(): exchange for exchange in self.tries.open}
        for descriptor in by_descriptor:
            poll.register(descriptor, select.POLLIN)
        caller = self.job.caller_socket
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
        wait = min(LOOK_S, self.job.deadline - ANSWER_MARGIN_S - now)
        if len(self.tries.open) == 1:
            wait = min(wait, self.second_at - now)
        return max(0.001, wait)

    def _second_try(self) -> None:
        """Send a late repeatable request to a second endpoint as well.

        Where it is late on a kept connection, that may pass nothing any more without a sign of it,
        and so may all that were kept: the second try takes a new one, if need be to the same
        endpoint.
        """
        tries = self.tries
        late = len(tries.open) == 1 and self.now() >= self.second_at
        if not late or not self.job.route.may_repeat:
            return
        if self.ruling().verdict is not Verdict.FREE:
            return  # it may end another endpoint beside the first
        self.second_at = self.job.deadline  # asked once
        chosen = self._for_second_try(tries.open[0])
        if chosen is not None and self.parts.budget.retry():
            on_new = tries.open[0].reused
            log_state(
                "second_try",
                request=self.job.request_id,
                instance=chosen.instance,
                on_new=on_new,
            )
            self.send(chosen, on_new)

    def _for_second_try(self, late: Exchange) -> Endpoint | None:
        """Return where a late request goes as well, none if there is nowhere."""
        tries = self.tries
        used = tries.ran | {late.endpoint.start}
        pool = self.parts.picture.belief.in_pool(self.pool)
        chosen = None
        if len(used) < self.job.route.max_attempts:
            chosen = self.parts.choice.choose(pool, used | tries.rejected, self.now())
        if chosen is None and late.reused:
            same = [one for one in pool if one.start == late.endpoint.start]
            chosen = self.parts.choice.choose(same, (), self.now())
        return chosen

    def _forget_as_old(self) -> None:
        """Drop what is kept where a kept connection brought nothing and a new one an answer."""
        for late in self.tries.open:
            if late.reused:
                self.parts.connections.close_idle(late.endpoint.start)

    def _read(self, exchange: Exchange) -> Outcome | None:
        left = max(0.05, min(READ_TIMEOUT_S, self.job.deadline - self.now()))
        try:
            response = exchange.response(left)
            if exchange.skip(response):
                return None
        except ExchangeError as error:
            self.closed(exchange)
            self.endpoint_failed(exchange.endpoint, error, ran=True)
            return None
        self.closed(exchange)
        return self._take(exchange, response)

    def _take(self, exchange: Exchange, response: BaseHTTPResponse) -> Outcome | None:
        """Take a response whose head was read, if it is to this job."""
        endpoint = exchange.endpoint
        try:
            head = read_answer(response.status, response.headers)
            if not self.is_own(exchange, head):  # a second answer may lack the rest of its body
                return None
            answer = exchange.rest(response)
        except ExchangeError as error:
            self.endpoint_failed(endpoint, error, ran=True)
            return None
        if not exchange.reused:
            self._forget_as_old()
        self.parts.keep(exchange, answer)
        return self._judge(endpoint, answer)

    def _judge(self, endpoint: Endpoint, answer: EndpointResponse) -> Outcome | None:
        head = answer.head
        if head.not_run:
            self.rejected(endpoint, head.status)
            return None
        if head.signature:  # else it may be a front's, for an endpoint that has ended
            self.holding.answered(endpoint.start)
        unsigned = 200 <= head.status < 300 and not head.signature
        if unsigned or head.status >= 500:
            return self._failed_answer(endpoint, answer, unsigned)
        self.parts.choice.answered(endpoint, head.load, self.now())
        return Outcome(Ending.ANSWERED, answer)

    def _failed_answer(
        self, endpoint: Endpoint, answer: EndpointResponse, unsigned: bool
    ) -> Outcome | None:
        if unsigned:
            self.endpoint_failed(endpoint, ExchangeError(True, "no signature"), ran=True)
            return None
        self.tries.last_failure = answer
        error = ExchangeError(True, f"status {answer.head.status}")
        self.note_failure(endpoint, error, True, self.parts.choice.erred(endpoint, self.now()))
        return None if self.job.retry_errors else Outcome(Ending.ANSWERED, answer)


__all__ = ["Forwarder"]
