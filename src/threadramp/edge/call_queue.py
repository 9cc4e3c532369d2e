"""Queues the calls of a gateway for a pool, and refuses those that cannot be served.

The decisions are those of ``policy/call_admission.py``; here are the waiting threads, the state of
the endpoints, the log and the counters.
"""

from __future__ import annotations

import itertools
import threading
from dataclasses import dataclass, field
from random import Random
from typing import TYPE_CHECKING

from threadramp.edge.job import is_disconnected
from threadramp.policy.call_admission import Call, CallAdmission, Refusal
from threadramp.policy.concurrency_limit import LIMITS, UNLIMITED, Answer, PoolState
from threadramp.policy.returning_callers import UsualTime
from threadramp.report.log import log_state

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from threadramp.edge.job import Job
    from threadramp.fleet.clock import Clock
    from threadramp.fleet.fleet_view import FleetView
    from threadramp.fleet.model import Endpoint
    from threadramp.policy.endpoint_choice import EndpointSelector
    from threadramp.serve.service_settings import AdmissionSettings

CHECK_INTERVAL_S = 0.005  # at which the first waiting call checks the endpoints again
DEFAULT_WEIGHT = 1.0


class CallerLeftError(Exception):
    """The caller disconnected while its call waited."""


class CallRefusedError(Exception):
    """The call cannot be answered in time; it was not sent.

    :param refusal: the decision
    """

    def __init__(self, refusal: Refusal) -> None:
        super().__init__(refusal.reason.value)
        self.refusal = refusal


@dataclass
class _Waiter:
    """A thread whose call waits."""

    call: Call
    wake: threading.Event = field(default_factory=threading.Event)
    started: bool = False
    refusal: Refusal | None = None


@dataclass(frozen=True)
class Place:
    """The right of one call to be sent to a pool; it is freed by ``leave``."""

    call: Call
    queue: PoolQueue

    def leave(self) -> None:
        """Free the place for the next call."""
        self.queue.leave(self.call.key)

    def sent(self) -> None:
        """Record that the call was sent, so that it counts among the open requests."""
        self.queue.sent(self.call.key)

    def may_hedge(self) -> bool:
        """Return whether the pool has room for a second attempt."""
        return self.queue.has_free_places(self.call)

    def record(self, endpoint: Endpoint, latency_s: float, rejected: bool) -> None:
        """Record an answer of an endpoint to this call."""
        self.queue.record(endpoint, latency_s, rejected, self.call.target_s)

    def retry_after_s(self) -> float:
        """Return the seconds after which room is foreseen for the caller."""
        return self.queue.retry_after_s()


class PoolQueue:
    """The calls of this gateway that wait for one pool; thread-safe.

    :param admission: decides about them
    """

    def __init__(
        self,
        pool: str,
        admission: CallAdmission,
        fleet_view: FleetView,
        choice: EndpointSelector,
        clock: Clock,
    ) -> None:
        self.pool = pool
        self.admission = admission
        self.fleet_view = fleet_view
        self.choice = choice
        self.clock = clock
        self.waiters: dict[int, _Waiter] = {}
        self.unsent: set[int] = set()  # calls that were started and not sent yet
        self.polling: int | None = None  # the call whose thread polls the endpoints
        self.lock = threading.Lock()

    def enter(self, call: Call, job: Job) -> Place:
        """Wait until a call may be sent.

        :raises CallRefusedError: if it cannot be answered in time
        :raises CallerLeftError: if its caller disconnected
        """
        waiter = _Waiter(call)
        with self.lock:
            self.waiters[call.key] = waiter
            refusal = self.admission.offer(call, self.clock.now())
            if refusal is not None:
                self._refuse(refusal)
            self._advance()
        try:
            self._wait(waiter, job)
        except BaseException:
            self.leave(call.key)  # it may wait still, or just have got a place
            raise
        finally:
            with self.lock:
                del self.waiters[call.key]
        if waiter.refusal is not None:
            raise CallRefusedError(waiter.refusal)
        return Place(call, self)

    def _wait(self, waiter: _Waiter, job: Job) -> None:
        """Wait until a call is started or refused.

        :raises CallerLeftError: if its caller disconnected
        """
        while not waiter.started and waiter.refusal is None:
            waiter.wake.wait(self._wait_s(waiter))
            waiter.wake.clear()
            if job.caller_socket is not None and is_disconnected(job.caller_socket):
                raise CallerLeftError
            with self.lock:
                self._advance()

    def leave(self, key: int) -> None:
        """Free the place of a call, or remove the call from the queue."""
        with self.lock:
            self.admission.withdraw(key)
            self.admission.finished(key)
            self.unsent.discard(key)
            self._advance()

    def sent(self, key: int) -> None:
        """Record that a call was sent, so that it counts among the open requests."""
        with self.lock:
            self.unsent.discard(key)

    def has_free_places(self, call: Call) -> bool:
        """Return whether no call waits and an endpoint has a free slot."""
        with self.lock:
            state = self._state(call.target_s, call.priority)
            return not self.admission.waiting and state.pressure <= 0.0

    def record(self, endpoint: Endpoint, latency_s: float, rejected: bool, target_s: float) -> None:
        """Record an answer of an endpoint."""
        now = self.clock.now()
        pressure = self.choice.pressure(endpoint, target_s, now)
        with self.lock:
            in_flight = len(self.admission.in_flight)
            answer = Answer(latency_s, pressure, rejected, in_flight, target_s)
            self.admission.limit.record(answer, now)

    def retry_after_s(self) -> float:
        """Return the seconds after which room for one more refused caller is foreseen."""
        with self.lock:
            return self.admission.retry_after_s(self.clock.now())

    def _wait_s(self, waiter: _Waiter) -> float:
        """Return how long a call waits at most before it checks again; the first one polls."""
        with self.lock:
            if self.admission.first() is waiter.call:
                return CHECK_INTERVAL_S
            return max(CHECK_INTERVAL_S, waiter.call.latest_start - self.clock.now())

    def _advance(self) -> None:
        """Start and refuse the calls whose time has come; the caller holds the lock."""
        now = self.clock.now()
        for refusal in self.admission.abandoned(now):
            self._refuse(refusal)
        while (first := self.admission.first()) is not None:
            call = self.admission.next_call(self._state(first.target_s, first.priority), now)
            if call is None:
                break
            waiter = self.waiters[call.key]
            waiter.started = True
            self.unsent.add(call.key)
            waiter.wake.set()
        for refusal in self.admission.expired(now):
            self._refuse(refusal)
        first = self.admission.first()
        if first is not None:
            self._let_poll(first)

    def _let_poll(self, first: Call) -> None:
        """Wake the thread of the call that goes next, once; from then on it polls."""
        if self.polling != first.key:
            self.polling = first.key
            self.waiters[first.key].wake.set()

    def _refuse(self, refusal: Refusal) -> None:
        waiter = self.waiters[refusal.key]
        waiter.refusal = refusal
        waiter.wake.set()

    def _state(self, target_s: float, priority: int) -> PoolState:
        now = self.clock.now()
        endpoints = self.fleet_view.snapshot.in_pool(self.pool)
        more_urgent, less_urgent = self.admission.other_priorities(priority, now)
        return PoolState(
            now,
            self.choice.least_pressure(endpoints, target_s, now, len(self.unsent)),
            self.choice.reports_load(endpoints),
            self.choice.report_age_s(endpoints, now),
            len(self.admission.in_flight),
            now - self.admission.last_start,
            more_urgent,
            less_urgent > 0,
        )


class CallQueues:
    """The queues of this gateway, one for each pool.

    :param limit: name of the policy that limits the calls sent to a pool
    :param weights: of organisations, by name; others have weight 1
    :param count: adds to the counter of a kind and label
    """

    def __init__(
        self,
        limit: str,
        weights: Mapping[str, float],
        fleet_view: FleetView,
        choice: EndpointSelector,
        clock: Clock,
        count: Callable[..., None] = lambda kind, label="", amount=1: None,
    ) -> None:
        self.limit = limit
        self.weights = weights
        self.fleet_view = fleet_view
        self.choice = choice
        self.clock = clock
        self.count = count
        self.keys = itertools.count()
        self.usual_times: dict[str, UsualTime] = {}
        self.by_pool: dict[str, PoolQueue] = {}
        self.lock = threading.Lock()

    @classmethod
    def from_settings(
        cls,
        settings: AdmissionSettings,
        fleet_view: FleetView,
        choice: EndpointSelector,
        clock: Clock,
        count: Callable[..., None],
    ) -> CallQueues | None:
        """Return the queues, none if the settings limit no calls."""
        if settings.limit == UNLIMITED:
            return None
        return cls(settings.limit, settings.weights, fleet_view, choice, clock, count)

    def enter(self, job: Job, pool: str) -> Place | None:
        """Wait until a job may be sent; none if the calls to that pool are not limited.

        They are limited if the route states a latency objective and the pool has no engines. The
        load of an engine counts samples, which give way to calls there.

        :raises CallRefusedError: if it cannot be answered in time
        :raises CallerLeftError: if its caller disconnected
        """
        if job.route.target_s <= 0.0 or self.fleet_view.snapshot.pool(pool).models:
            return None
        queue = self._queue(pool)
        call = self._call(job)
        entered_at = self.clock.now()
        try:
            place = queue.enter(call, job)
        except CallRefusedError as error:
            self._record_refusal(job, queue, call, error.refusal)
            raise
        waited_s = self.clock.now() - entered_at
        self._count_wait(call, waited_s)
        if call.returns:
            self.count("returned_caller", "had room" if waited_s < CHECK_INTERVAL_S else "waited")
        return place

    def _call(self, job: Job) -> Call:
        now = self.clock.now()
        organisation = job.identity.organisation or ""
        with self.lock:
            usual = self.usual_times.setdefault(job.route.name, UsualTime())
            returns = usual.is_returning(job.deadline - job.arrived_at, now)
        return Call(
            key=next(self.keys),
            priority=job.route.priority,
            organisation=organisation,
            weight=self.weights.get(organisation, DEFAULT_WEIGHT),
            arrived_at=job.arrived_at,
            target_s=job.route.target_s,
            deadline=job.deadline,
            returns=returns,
        )

    def _queue(self, pool: str) -> PoolQueue:
        with self.lock:
            if pool not in self.by_pool:
                admission = CallAdmission(LIMITS[self.limit](Random()))
                self.by_pool[pool] = PoolQueue(
                    pool, admission, self.fleet_view, self.choice, self.clock
                )
            return self.by_pool[pool]

    def _count_wait(self, call: Call, waited_s: float) -> None:
        self.count("queued_calls", f"priority {call.priority}")
        self.count("queue_ms", f"priority {call.priority}", waited_s * 1000)
        if call.organisation:
            self.count("queued_calls", f"organisation {call.organisation}")
            self.count("queue_ms", f"organisation {call.organisation}", waited_s * 1000)

    def _record_refusal(self, job: Job, queue: PoolQueue, call: Call, refusal: Refusal) -> None:
        now = self.clock.now()
        self.count("call_refused", refusal.reason.value)
        if call.returns:
            self.count("returned_caller", "refused")
        endpoints = self.fleet_view.snapshot.in_pool(queue.pool)
        log_state(
            "call_refused",
            request=job.request_id,
            pool=queue.pool,
            reason=refusal.reason.value,
            priority=call.priority,
            organisation=call.organisation,
            returns=call.returns,
            waited_ms=round((now - call.arrived_at) * 1000, 1),
            queued=refusal.queued,
            rate_per_s=round(refusal.rate_per_s, 1),
            retry_after_s=round(refusal.retry_after_s, 3),
            endpoints=self.choice.describe(endpoints, call.target_s, now),
        )


__all__ = ["CallQueues", "CallRefusedError", "CallerLeftError", "Place", "PoolQueue"]
