"""Forwards a request until there is a response, the caller disconnects or the deadline passes."""

from __future__ import annotations

import select
from typing import TYPE_CHECKING

from threadramp.edge.attempt_loop import RESPONSE_MARGIN_S, AttemptLoop, EndpointAccess
from threadramp.edge.exchange import ExchangeError
from threadramp.edge.job import Ending, Outcome
from threadramp.edge.start_check import SERVER_ERROR, StartState
from threadramp.platform.headers import read_answer
from threadramp.policy.crash_tracker import SuspicionLevel
from threadramp.policy.endpoint_choice import HEDGE_AFTER_SHARE
from threadramp.report.log import log_state
from threadramp.wire.response_limits import Framing

if TYPE_CHECKING:
    from urllib3 import BaseHTTPResponse

    from threadramp.edge.exchange import EndpointResponse, Exchange
    from threadramp.edge.job import Job
    from threadramp.fleet.model import Endpoint

CALLER_POLL_S = 0.1  # how often to check whether the caller is still connected
READ_TIMEOUT_S = 2.0  # upper bound for reading a head that has begun to arrive
READ_SHARE_OF_TIME_LEFT = 0.5
MIN_READ_S = 0.05


class Forwarder(EndpointAccess):
    """Forwards requests whose response is passed on only when it is complete."""

    def run(self, job: Job) -> Outcome:
        """Forward a request and return how it ended."""
        return _CompleteResponseLoop(self, job).run()


class _CompleteResponseLoop(AttemptLoop):
    """Forwards one job, with a hedged attempt if the first one is slow."""

    waits_for_place = True

    def __init__(self, access: EndpointAccess, job: Job) -> None:
        super().__init__(access, job)
        self.hedge_at = 0.0

    def send(self, endpoint: Endpoint, force_new: bool = False) -> None:
        """Send to an endpoint, and set the time for a hedged attempt."""
        ahead = self.access.choice.expected_ahead(endpoint, self.now())
        self.history.ahead_at_send[endpoint.incarnation] = ahead
        super().send(endpoint, force_new)
        self.hedge_at = self.now() + self.job.route.target_s * HEDGE_AFTER_SHARE

    def await_response(self) -> Outcome | None:
        """Wait for a response, a disconnect of the caller or the time of a hedged attempt."""
        readable = next(
            (one for one in self.history.open_exchanges if one.has_buffered_response), None
        )
        if readable is not None:
            return self._read_response(readable)
        poll = select.poll()
        by_descriptor = {exchange.fileno(): exchange for exchange in self.history.open_exchanges}
        for descriptor, exchange in by_descriptor.items():
            poll.register(descriptor, exchange.poll_events)
        caller = self.job.caller_socket
        if caller is not None:
            poll.register(caller.fileno(), select.POLLIN)
        ready = poll.poll(max(1, int(self._poll_timeout_s() * 1000)))
        for descriptor, _ in ready:
            exchange = by_descriptor.get(descriptor)
            if exchange is not None:
                return self._continue_exchange(exchange)
        outcome = self._end_if_disconnected() if ready else None
        if outcome is None:
            self._send_hedge()
        return outcome

    def _end_if_disconnected(self) -> Outcome | None:
        """Return the outcome if the caller has disconnected, none if it has not."""
        if not self.is_caller_disconnected():
            return None
        log_state("caller_disconnected", request=self.job.request_id)
        return Outcome(Ending.CALLER_DISCONNECTED)

    def _poll_timeout_s(self) -> float:
        now = self.now()
        wait = min(CALLER_POLL_S, self.job.deadline - RESPONSE_MARGIN_S - now)
        if len(self.history.open_exchanges) == 1:
            wait = min(wait, self.hedge_at - now)
        return max(0.001, wait)

    def _send_hedge(self) -> None:
        """Send a slow repeatable request to a second endpoint as well.

        If the first attempt was on a reused connection, that connection may have become
        unresponsive without an error, and so may all idle ones. The hedged attempt then opens a
        new connection, to the same endpoint if there is no other.
        """
        history = self.history
        is_late = len(history.open_exchanges) == 1 and self.now() >= self.hedge_at
        if not is_late or not self.job.route.may_repeat:
            return
        if self.assess().level is not SuspicionLevel.NONE:
            return  # it might crash a second endpoint as well
        if self.place is not None and not self.place.may_hedge():
            return  # it would delay calls that wait, and wait itself
        self.hedge_at = self.job.deadline  # at most one hedged attempt
        chosen = self._choose_hedge_endpoint(history.open_exchanges[0])
        if chosen is not None and self.access.retry_budget.retry():
            force_new = history.open_exchanges[0].reused
            log_state(
                "hedged_attempt",
                request=self.job.request_id,
                instance=chosen.instance,
                new_connection=force_new,
            )
            self.send(chosen, force_new)

    def _choose_hedge_endpoint(self, slow: Exchange) -> Endpoint | None:
        """Return the endpoint for a hedged attempt, none if there is none."""
        history = self.history
        used = history.possibly_ran | {slow.endpoint.incarnation}
        pool = self.endpoints()
        chosen = None
        if len(used) < self.job.route.max_attempts:
            used |= history.rejected | self.access.blocked(pool)
            chosen = self.access.choice.choose(pool, used, self.now(), self.target_s)
        if chosen is None and slow.reused:
            same = [one for one in pool if one.incarnation == slow.endpoint.incarnation]
            chosen = self.access.choice.choose(same, self.access.blocked(same), self.now())
        return chosen

    def _close_idle_of_slow(self) -> None:
        """Close the idle connections of endpoints that were slow on a reused connection.

        Called after a new connection brought the response.
        """
        for slow in self.history.open_exchanges:
            if slow.reused:
                self.access.connection_pool.close_idle(slow.endpoint.incarnation)

    def _continue_exchange(self, exchange: Exchange) -> Outcome | None:
        """Send more of the request, or read the response if there is one."""
        try:
            if exchange.is_sending and exchange.send_more():
                return self._end_if_disconnected()
        except ExchangeError as error:
            self.record_closed(exchange)
            self.record_exchange_error(exchange.endpoint, error, ran=error.sent)
            return None
        return self._read_response(exchange)

    def _read_response(self, exchange: Exchange) -> Outcome | None:
        try:
            response = exchange.read_head(min(READ_TIMEOUT_S, self._read_limit_s()))
            if exchange.skip_duplicate(response):
                return None
        except ExchangeError as error:
            self.record_closed(exchange)
            self.record_exchange_error(exchange.endpoint, error, ran=error.sent)
            return None
        self.record_closed(exchange)
        return self._read_own_body(exchange, response)

    def _read_limit_s(self, has_length: bool = False) -> float:
        """Return the seconds for the rest of a response that has begun to arrive.

        What may never end leaves half of the time to another attempt, if there can be one.

        :param has_length: whether it is a body whose head states its length
        """
        left = self.job.deadline - RESPONSE_MARGIN_S - self.now()
        route = self.job.route
        attempts_left = route.max_attempts - len(self.history.possibly_ran) - 1
        if not has_length and route.may_repeat and attempts_left > 0:
            left *= READ_SHARE_OF_TIME_LEFT
        return max(MIN_READ_S, left)

    def _read_own_body(self, exchange: Exchange, response: BaseHTTPResponse) -> Outcome | None:
        """Read the body of a response whose head was read, if it belongs to this job."""
        endpoint = exchange.endpoint
        try:
            head = read_answer(response.status, response.headers)
            if not self.is_own(exchange, head):  # a duplicate may lack the rest of its body
                return None
            has_length = response.length_remaining is not None
            complete_response = exchange.read_body(response, self._read_limit_s(has_length))
        except ExchangeError as error:
            self.record_exchange_error(endpoint, error, ran=True)
            return None
        if exchange.framing is Framing.CLOSE and not self._is_whole(exchange, complete_response):
            error = ExchangeError(True, "closed by a crash", broken=head.status < SERVER_ERROR)
            self.record_exchange_error(endpoint, error, ran=True)
            return None
        if not exchange.reused:
            self._close_idle_of_slow()
        self.access.release_connection(exchange, complete_response)
        return self._evaluate(endpoint, complete_response)

    def _is_whole(self, exchange: Exchange, response: EndpointResponse) -> bool:
        """Return whether a response that ended with its connection may be passed on.

        A rejection counts by its head. A silent endpoint lives: a plain service may let the check
        wait for a slot, as a request.
        """
        if response.head.not_run:
            return True
        state = self.check_close(
            exchange.endpoint, status=response.head.status, bytes=len(response.body)
        )
        return state in (StartState.SAME, StartState.SILENT)

    def _evaluate(self, endpoint: Endpoint, response: EndpointResponse) -> Outcome | None:
        head = response.head
        if head.not_run:
            if head.load is not None:
                self.access.choice.record_load(endpoint, head.load, self.now())
            self.record_rejection(endpoint, head.status)
            return None
        if head.signature:  # else a reverse proxy may have sent it for a crashed endpoint
            self.admission.record_response(endpoint.incarnation)
        unsigned = 200 <= head.status < 300 and not head.signature
        if unsigned or head.status >= 500 or head.promises_too_much:
            return self._handle_failed_response(endpoint, response, unsigned)
        now = self.now()
        latency_s = now - self.history.sent_at[endpoint.incarnation]
        ahead = self.history.ahead_at_send.get(endpoint.incarnation, 0.0)
        self.access.choice.record_success(endpoint, head.load, now, latency_s, ahead)
        if self.place is not None:
            self.place.record(endpoint, latency_s, rejected=False)
        return Outcome(Ending.ANSWERED, response)

    def _handle_failed_response(
        self, endpoint: Endpoint, response: EndpointResponse, unsigned: bool
    ) -> Outcome | None:
        if unsigned:
            self.record_exchange_error(endpoint, ExchangeError(True, "no signature"), ran=True)
            return None
        if not response.head.promises_too_much:
            self.history.last_error_response = response
        error = ExchangeError(True, f"status {response.head.status}")
        self.record_failure(
            endpoint, error, True, self.access.choice.record_server_error(endpoint, self.now())
        )
        return None if self.job.retry_errors else Outcome(Ending.ANSWERED, response)


__all__ = ["Forwarder"]
