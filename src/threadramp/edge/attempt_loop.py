"""Endpoint selection and retries, shared by the ways to forward a request."""

from __future__ import annotations

import select
from typing import TYPE_CHECKING

from threadramp.edge.attempt_history import AttemptHistory
from threadramp.edge.call_queue import CallerLeftError, CallRefusedError
from threadramp.edge.connection_breaks import BrokenExchange
from threadramp.edge.crash_admission import CrashAdmission
from threadramp.edge.crash_guard import CrashGuard
from threadramp.edge.exchange import ExchangeError
from threadramp.edge.job import Ending, Outcome, is_disconnected
from threadramp.edge.start_check import CHECK_TIMEOUT_S, StartState, check_start
from threadramp.platform.headers import sent_id, to_endpoint
from threadramp.policy.crash_tracker import Assessment, CrashTracker, SuspicionLevel
from threadramp.policy.idle_connections import max_idle_connections
from threadramp.report.log import log_state

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Set

    from threadramp.duties.collecting import UsageCounter
    from threadramp.edge.call_queue import CallQueues, Place
    from threadramp.edge.cold_gate import ColdGate
    from threadramp.edge.connection_pool import ConnectionPool
    from threadramp.edge.exchange import EndpointResponse, Exchange
    from threadramp.edge.job import Job
    from threadramp.fleet.clock import Clock
    from threadramp.fleet.fleet_view import FleetView
    from threadramp.fleet.model import Endpoint, Incarnation
    from threadramp.platform.headers import AnswerHead
    from threadramp.policy.endpoint_choice import EndpointSelector
    from threadramp.policy.retries import RetryBudget

REJECTION_PAUSE_S = 0.03  # before endpoints that were full are tried again
MAX_REJECTION_ROUNDS = 4  # of the whole pool, before the caller is refused
RETRY_AFTER_S = 0.2  # endpoints free a slot within some tens of milliseconds
RESPONSE_MARGIN_S = 0.02  # the response is sent this long before the deadline
# Endpoints that one request id may crash. A request is refused after three crashes, so a third
# attempt would use up the last one; the caller may retry once more is known.
MAX_CRASHES = 2
UNREACHABLE_RETRY_AFTER_S = 1.0  # crashed endpoints are back after 1 to 3 s


class EndpointAccess:
    """Everything needed to reach endpoints; shared by all threads of a process.

    :param check_start: returns whether an endpoint still runs, asked within a number of seconds
    """

    def __init__(
        self,
        fleet_view: FleetView,
        connection_pool: ConnectionPool,
        choice: EndpointSelector,
        retry_budget: RetryBudget,
        clock: Clock,
        guard: CrashGuard | None = None,
        usage_counter: UsageCounter | None = None,
        cold_gate: ColdGate | None = None,
        call_queues: CallQueues | None = None,
        check_start: Callable[[Endpoint, float], StartState] = check_start,
    ) -> None:
        self.fleet_view = fleet_view
        self.connection_pool = connection_pool
        self.choice = choice
        self.retry_budget = retry_budget
        self.clock = clock
        self.usage_counter = usage_counter
        self.cold_gate = cold_gate
        self.call_queues = call_queues
        self.check_start = check_start
        self.guard = guard or CrashGuard(CrashTracker(), clock, fleet_view)

    def drop_unlisted(self) -> None:
        """Drop connections and records of incarnations that are no longer listed."""
        incarnations = {one.incarnation for one in self.fleet_view.snapshot.endpoints.values()}
        self.connection_pool.retain_only(incarnations)
        self.choice.retain(incarnations)
        if self.cold_gate is not None:
            self.cold_gate.retain(incarnations)

    def blocked(self, endpoints: Iterable[Endpoint]) -> set[Incarnation]:
        """Return the endpoints that must not receive a request of this gateway now."""
        return set() if self.cold_gate is None else self.cold_gate.blocked(endpoints)

    def release_connection(self, exchange: Exchange, response: EndpointResponse) -> None:
        """Return a connection to the pool, within this gateway's share of idle connections."""
        snapshot = self.fleet_view.snapshot
        pool = snapshot.pool(exchange.endpoint.pool)
        max_idle = max_idle_connections(pool.max_connections, len(snapshot.gateways()))
        self.connection_pool.release(exchange, response, self.clock.now(), max_idle)


class AttemptLoop:
    """Sends one job to endpoints until it has an outcome; subclasses wait for the response.

    An endpoint with a free slot starts a request on arrival, so the request is counted for usage
    when it is sent. Counted at the response, it would be missed when the response is lost, late or
    no longer awaited.
    """

    starts_when_sent = True
    waits_for_place = False  # whether a caller's job waits for its turn at the pool

    def __init__(self, access: EndpointAccess, job: Job) -> None:
        self.access = access
        self.job = job
        self.now = access.clock.now
        self.history = AttemptHistory()
        self.pool = access.choice.choose_pool(job.route)
        self.configuration = access.fleet_view.snapshot.configuration
        self.admission = CrashAdmission(access.guard, job)
        self.place: Place | None = None

    @property
    def target_s(self) -> float:
        """Return the latency objective that guides the choice of endpoints, 0 for none."""
        return self.place.call.target_s if self.place is not None else 0.0

    def run(self) -> Outcome:
        """Try endpoints until there is an outcome."""
        if self.is_caller_disconnected():
            return Outcome(Ending.CALLER_DISCONNECTED)
        admitted = self.admission.admit()
        if admitted.is_held:
            return Outcome(Ending.NOT_RUN, retry_after_s=admitted.retry_after_s)
        try:
            self._take_place()
        except CallRefusedError as error:
            return Outcome(Ending.NOT_RUN, retry_after_s=error.refusal.retry_after_s)
        except CallerLeftError:
            return Outcome(Ending.CALLER_DISCONNECTED)
        self.access.retry_budget.record_first_attempt()
        try:
            while True:
                outcome = self._step()
                if outcome is not None:
                    return self.finish(outcome)
        finally:
            self.close_all()
            self.admission.release()
            if self.place is not None:
                self.place.leave()

    def _take_place(self) -> None:
        """Wait for the turn of a caller's job, where calls are limited.

        Jobs without a caller, such as scoring calls, are few and their sender waits for them.
        """
        queues = self.access.call_queues
        if queues is not None and self.waits_for_place and self.job.caller_socket is not None:
            self.place = queues.enter(self.job, self.pool)

    def assess(self) -> Assessment:
        """Return the current crash assessment of the request."""
        return self.admission.assess(has_run=bool(self.history.possibly_ran))

    def await_response(self) -> Outcome | None:
        """Wait for the open exchanges; return the outcome, or none if the job continues."""
        raise NotImplementedError

    def finish(self, outcome: Outcome) -> Outcome:
        """Return the final outcome; called before the open exchanges are closed."""
        return outcome

    def is_caller_disconnected(self) -> bool:
        """Return whether the caller disconnected while its request was queued."""
        return self.job.caller_socket is not None and is_disconnected(self.job.caller_socket)

    def headers(self, time_left: float, instance: str) -> dict[str, str]:
        """Return the headers to send to an endpoint."""
        return to_endpoint(self.job.headers, time_left, instance, self.job.identity.organisation)

    def start_attempt(self) -> Outcome | None:
        """Send to one more endpoint, or return the outcome if there is none left."""
        history = self.history
        if len(history.possibly_ran) >= self.job.route.max_attempts:
            return self.give_up(Ending.UNKNOWN)
        if history.may_have_run and not self.job.route.may_repeat:
            return self.give_up(Ending.UNKNOWN)
        is_last = history.rejection_rounds >= MAX_REJECTION_ROUNDS
        chosen = self.admission.choose(self._choose_endpoint, self.assess(), is_last)
        if chosen is not None:
            self.send(chosen)
            return None
        if not history.rejected and not self.admission.must_wait:
            return self._no_endpoint_left()
        if self.place is not None and self.now() >= self.place.call.latest_start:
            return self.give_up(Ending.NOT_RUN, self.place.retry_after_s())
        history.rejection_rounds += 1
        if history.rejection_rounds > MAX_REJECTION_ROUNDS:
            return self.give_up(Ending.NOT_RUN)
        history.rejected.clear()
        return self._pause(REJECTION_PAUSE_S)

    def _choose_endpoint(self, taken: Set[Incarnation]) -> Endpoint | None:
        """Return an endpoint that was not tried yet and is not in ``taken``."""
        endpoints = self.endpoints()
        excluded = self.history.excluded | taken | self.access.blocked(endpoints)
        return self.access.choice.choose(endpoints, excluded, self.now(), self.target_s)

    def endpoints(self) -> list[Endpoint]:
        """Return the endpoints that the job may be sent to by the configuration in force.

        If its route no longer names the pool that was chosen, another one is chosen. A job whose
        route was dropped keeps its pool: it arrived while the route was in force.
        """
        snapshot = self.access.fleet_view.snapshot
        if snapshot.configuration is not None and snapshot.configuration is not self.configuration:
            self.configuration = snapshot.configuration
            path = self.job.target.partition("?")[0]
            route = snapshot.configuration.route_for(self.job.route.host, path)
            if route is not None and self.pool not in route.pools:
                before, self.pool = self.pool, self.access.choice.choose_pool(route)
                log_state(
                    "request_rerouted",
                    request=self.job.request_id,
                    pool=self.pool,
                    before=before,
                    version=snapshot.configuration.version,
                )
        return snapshot.in_pool(self.pool)

    def _stop_after_crashes(self) -> Outcome | None:
        """Return the outcome if too many endpoints crashed; none if the job may continue."""
        assessment = self.assess()
        crashes = len(self.history.crashed)
        is_refused = assessment.level is SuspicionLevel.REFUSED
        if is_refused or crashes >= MAX_CRASHES or (crashes and assessment.is_held):
            return self.give_up(Ending.NOT_RUN, assessment.retry_after_s)
        return None

    def _no_endpoint_left(self) -> Outcome:
        """Give up at once: every reachable endpoint was tried."""
        unreachable = len(self.history.unreachable)
        return self.give_up(
            Ending.NOT_RUN, UNREACHABLE_RETRY_AFTER_S if unreachable else RETRY_AFTER_S
        )

    def send(self, endpoint: Endpoint, force_new: bool = False) -> None:
        """Send to an endpoint before the deadline; on success the exchange is left open.

        The rest of a long body is sent while the response is awaited.

        :param force_new: whether to open a new connection even if idle ones are pooled
        """
        now = self.now()
        left = self.job.deadline - now
        if left <= 0.0:  # the process was paused since the deadline was checked
            return
        gate = self.access.cold_gate
        if gate is not None and not gate.take(endpoint):
            self.history.rejected.add(endpoint.incarnation)  # another thread sent in between
            return
        self.history.sent_at[endpoint.incarnation] = now
        headers = self.headers(left, endpoint.instance)
        # The response is matched with the id that is sent; the caller's id may have been dropped.
        request_id = sent_id(headers)
        # Without an id nothing tells its response from a duplicate of an earlier one.
        force_new = force_new or not request_id or self.history.response_was_unnamed
        try:
            exchange = self.access.connection_pool.acquire(
                endpoint, now, left, force_new, request_id
            )
        except ExchangeError as error:
            self.record_exchange_error(endpoint, error, ran=False)
            return
        self.access.choice.request_started(endpoint)
        if self.place is not None:
            self.place.sent()
        try:
            exchange.send(
                self.job.method, self.job.target, headers, self.job.body, defers_rest=True
            )
        except ExchangeError as error:
            self.access.choice.request_finished(endpoint)
            self.record_exchange_error(endpoint, error, ran=error.sent)
            return
        self.history.open_exchanges.append(exchange)
        if self.starts_when_sent:
            self.record_start(endpoint, now)

    def record_start(self, endpoint: Endpoint, at: float) -> None:
        """Count the job as started at an endpoint, for the usage of its organisation."""
        if self.access.usage_counter is not None:
            self.history.started_at[endpoint.incarnation] = at
            self.access.usage_counter.count_sent(self.job.identity.organisation, at)

    def retract_start(self, endpoint: Endpoint) -> None:
        """Undo that count: the endpoint did not run the job, or never received it."""
        at = self.history.started_at.pop(endpoint.incarnation, None)
        if at is not None:
            self.access.usage_counter.uncount(self.job.identity.organisation, at)

    def record_closed(self, exchange: Exchange) -> None:
        """Remove an exchange that is finished."""
        self.history.open_exchanges.remove(exchange)
        self.access.choice.request_finished(exchange.endpoint)

    def close_all(self) -> None:
        """Close the open exchanges; most endpoints then cancel the request."""
        for exchange in list(self.history.open_exchanges):
            exchange.close()
            self.record_closed(exchange)

    def is_own(self, exchange: Exchange, head: AnswerHead) -> bool:
        """Return whether a response belongs to this job; else close the connection."""
        if exchange.is_own(head):
            return True
        exchange.close()
        if not head.request_id:  # error pages of one service may all lack it
            self.history.response_was_unnamed = True
        self.access.connection_pool.count(
            "answer_not_own", "named" if head.request_id else "unnamed"
        )
        error = ExchangeError(True, f"response to {head.request_id or 'an unnamed request'}")
        self.record_exchange_error(exchange.endpoint, error, ran=True)
        return False

    def check_close(self, endpoint: Endpoint, **more: object) -> StartState:
        """Check an endpoint that ended a response by a close, and log what it shows.

        Called after the close, so the same start shows that the close was not by a crash.

        :param more: fields of the log line
        """
        timeout_s = min(CHECK_TIMEOUT_S, self.job.deadline - self.now())
        state = self.access.check_start(endpoint, timeout_s)
        self.access.connection_pool.count("close_check", state.value)
        log_state(
            "response_closed",
            request=self.job.request_id,
            instance=endpoint.instance,
            endpoint=state.value,
            **more,
        )
        return state

    def record_rejection(self, endpoint: Endpoint, status: int) -> None:
        """Record that an endpoint reported that it did not run the job."""
        self.retract_start(endpoint)
        self.history.rejected.add(endpoint.incarnation)
        if self.place is not None:
            sent_at = self.history.sent_at[endpoint.incarnation]
            self.place.record(endpoint, self.now() - sent_at, rejected=True)
        log_state(
            "rejected", request=self.job.request_id, instance=endpoint.instance, status=status
        )

    def record_exchange_error(self, endpoint: Endpoint, error: ExchangeError, ran: bool) -> None:
        """Record that an endpoint gave no valid response, and prefer others for a while.

        :param ran: whether the job may have run there
        """
        if error.broken and ran and self._has_crashed(endpoint, error):
            error = ExchangeError(True, str(error))  # a crash, even on a reused connection
        if error.stale:
            self._record_stale_connection(endpoint, error, ran)
        else:
            pause = self.access.choice.record_failure(endpoint, self.now())
            self.record_failure(endpoint, error, ran, pause)

    def _has_crashed(self, endpoint: Endpoint, error: ExchangeError) -> bool:
        """Return whether an endpoint that broke its connection crashed during this request."""
        broken = BrokenExchange(
            self.now() - self.history.sent_at[endpoint.incarnation],
            error.stale,
            sum(
                one.endpoint.incarnation == endpoint.incarnation
                for one in self.history.open_exchanges
            ),
            lambda: self.access.choice.open_requests(endpoint),
        )
        if not self.access.guard.record_broken_connection(self.job, endpoint, broken):
            return False
        self.history.crashed.add(endpoint.incarnation)
        self.access.connection_pool.close_idle(endpoint.incarnation)
        return True

    def record_failure(
        self, endpoint: Endpoint, error: ExchangeError, ran: bool, pause: float
    ) -> None:
        """Record a failed attempt and exclude its endpoint.

        :param pause: seconds for which other endpoints are preferred
        """
        if ran:
            self.history.possibly_ran.add(endpoint.incarnation)
            self.history.may_have_run = True
        elif error.refused:
            self.history.unreachable.add(endpoint.incarnation)
        else:
            self.history.rejected.add(endpoint.incarnation)
        log_state(
            "endpoint_failed",
            request=self.job.request_id,
            instance=endpoint.instance,
            error=str(error),
            may_have_run=ran,
            avoided_s=pause,
        )

    def _record_stale_connection(self, endpoint: Endpoint, error: ExchangeError, ran: bool) -> None:
        """Record that an idle connection had been closed; a new one may be opened."""
        self.retract_start(endpoint)
        self.access.connection_pool.close_idle(endpoint.incarnation)  # the others were idle as long
        self.history.may_have_run |= ran
        log_state(
            "connection_stale",
            request=self.job.request_id,
            instance=endpoint.instance,
            error=str(error),
            may_have_run=ran,
        )

    def give_up(self, ending: Ending, retry_after_s: float = RETRY_AFTER_S) -> Outcome:
        """Return the outcome to report, given all attempts so far.

        :param retry_after_s: seconds after which the caller may retry, if the job was not run
        """
        failure = self.history.last_error_response
        if failure is not None:
            return Outcome(Ending.ANSWERED, failure)
        ran = self.history.may_have_run or bool(self.history.open_exchanges)
        if ending is Ending.NOT_RUN and ran:
            return Outcome(Ending.UNKNOWN)
        if ending is Ending.TIMED_OUT and not ran:
            return Outcome(Ending.NOT_RUN, retry_after_s=RETRY_AFTER_S)
        return Outcome(ending, retry_after_s=retry_after_s)

    def _step(self) -> Outcome | None:
        if self.now() >= self.job.deadline - RESPONSE_MARGIN_S:
            return self.give_up(Ending.TIMED_OUT)
        if not self.history.open_exchanges:
            outcome = self._stop_after_crashes() or self.start_attempt()
            if outcome is not None or not self.history.open_exchanges:
                return outcome
        return self.await_response()

    def _pause(self, seconds: float) -> Outcome | None:
        caller = self.job.caller_socket
        if caller is None:
            select.select([], [], [], seconds)
            return None
        poll = select.poll()
        poll.register(caller.fileno(), select.POLLIN)
        if poll.poll(int(seconds * 1000)) and is_disconnected(caller):
            return Outcome(Ending.CALLER_DISCONNECTED)
        return None


__all__ = ["REJECTION_PAUSE_S", "RESPONSE_MARGIN_S", "AttemptLoop", "EndpointAccess"]
