"""Virtual time for decisions about calls: gateways, endpoints and callers as events in a heap.

Only the decisions are the product's own: the admission and the endpoint choice of each gateway.
"""

from __future__ import annotations

import heapq
import itertools
from collections import Counter
from dataclasses import dataclass, field
from math import exp, log, sqrt
from random import Random

from threadramp.fleet.model import Endpoint
from threadramp.platform.headers import EndpointLoad
from threadramp.policy.call_admission import Call, CallAdmission, Refusal
from threadramp.policy.concurrency_limit import LIMITS, Answer, PoolState
from threadramp.policy.endpoint_choice import EndpointSelector

HOP_S = 0.002  # one way between a gateway and an endpoint
WORK_S = 0.0375
SPREAD = 0.5
ENDPOINT_QUEUE = 24
TARGET_S = 0.19
DEADLINE_S = 2.0
HONOURED_PART = 1 / 3  # of the time left, up to which callers honour Retry-After
PAUSE_S = 0.005  # before a waiting call is looked at again


@dataclass
class Load:
    """A load pattern.

    :param rate: calls a second at a time
    :param shares: relative number of callers, by gateway
    :param slow: factor of the time of work that endpoints report, by endpoint and time
    :param speeds: permanent factors of the time of work, which they do not report
    :param organisations: share of the calls, by name
    :param priorities: share of the calls, by priority
    """

    rate: callable
    until_s: float = 10.0
    gateways: int = 20
    endpoints: int = 3
    slots: int = 6
    shares: list[float] | None = None
    slow: callable = lambda endpoint, now: 1.0
    speeds: list[float] = field(default_factory=lambda: [1.0, 1.0, 1.0])
    reports: bool = True
    organisations: dict[str, float] = field(default_factory=lambda: {"": 1.0})
    weights: dict[str, float] = field(default_factory=dict)
    priorities: dict[int, float] = field(default_factory=lambda: {2: 1.0})


@dataclass
class CallerState:
    key: int
    first_at: float
    arrived_at: float
    organisation: str
    priority: int
    gateway: int = 0
    refusals: int = 0


@dataclass
class Ended:
    """How one caller's call ended: ``in aim``, ``late`` or ``refused``."""

    first_at: float
    ended_at: float
    how: str
    refusals: int
    organisation: str
    priority: int


class _Server:
    """One endpoint: slots, a queue, and what it reports."""

    def __init__(self, load: Load, number: int) -> None:
        self.load = load
        self.number = number
        self.running = 0
        self.queue: list[tuple] = []
        self.busy_s = 0.0

    def report(self, now: float) -> EndpointLoad | None:
        if not self.load.reports:
            return None
        percent = round(100 * self.load.slow(self.number, now))
        return EndpointLoad(self.running, len(self.queue), self.load.slots, percent)


class _Gateway:
    def __init__(self, model: Model, number: int, policy: str) -> None:
        self.model = model
        self.selector = EndpointSelector(Random(number))
        self.admission = CallAdmission(LIMITS[policy](Random(1000 + number)))
        self.callers: dict[int, CallerState] = {}
        self.wakes_at = float("inf")


class Model:
    """Plays one load with one limit policy."""

    def __init__(self, load: Load, policy: str, seed: int = 1) -> None:
        self.load = load
        self.random = Random(seed)
        self.events: list[tuple] = []
        self.numbers = itertools.count()
        self.servers = [_Server(load, number) for number in range(load.endpoints)]
        self.endpoints = [
            Endpoint(f"i-{number}", "p", f"10.0.0.{number}:80", "a", load.slots)
            for number in range(load.endpoints)
        ]
        self.gateways = [_Gateway(self, number, policy) for number in range(load.gateways)]
        self.ended: list[Ended] = []
        self.refusal_times: list[tuple[float, int]] = []  # seconds until it, earlier refusals
        self.returned_at: list[float] = []
        self.refused_with_room = 0
        self.refused_by: Counter = Counter()
        self.finished_at: list[float] = []
        self.finished: Counter = Counter()  # by endpoint

    def run(self) -> Model:
        self._at(0.0, self._arrive_next)
        while self.events:
            self.now, _, action, arguments = heapq.heappop(self.events)
            action(*arguments)
        return self

    def _at(self, when: float, action, *arguments) -> None:
        heapq.heappush(self.events, (when, next(self.numbers), action, arguments))

    def _arrive_next(self) -> None:
        load = self.load
        if self.now >= load.until_s:
            return
        rate = max(1e-6, load.rate(self.now))
        self._at(self.now + self.random.expovariate(rate), self._arrive_next)
        names, parts = zip(*load.organisations.items(), strict=True)
        ranks, rank_parts = zip(*load.priorities.items(), strict=True)
        caller = CallerState(
            next(self.numbers),
            self.now,
            self.now,
            self.random.choices(names, parts)[0],
            self.random.choices(ranks, rank_parts)[0],
        )
        self._arrive(caller)

    def _arrive(self, caller: CallerState) -> None:
        numbers = range(self.load.gateways)
        caller.gateway = self.random.choices(numbers, self.load.shares)[0]
        caller.arrived_at = self.now
        if caller.refusals:
            self.returned_at.append(self.now)
        gateway = self.gateways[caller.gateway]
        gateway.callers[caller.key] = caller
        call = Call(
            caller.key,
            caller.priority,
            caller.organisation,
            self.load.weights.get(caller.organisation, 1.0),
            self.now,
            TARGET_S,
            caller.first_at + DEADLINE_S,
            caller.refusals > 0,
        )
        refusal = gateway.admission.offer(call, self.now)
        if refusal is not None:
            self._refuse(gateway, refusal)
        self._pump(gateway)

    def _pump(self, gateway: _Gateway) -> None:
        """Start and refuse what is due at a gateway."""
        for refusal in gateway.admission.abandoned(self.now):
            self._refuse(gateway, refusal)
        while True:
            first = gateway.admission.first()
            if first is None:
                break
            state = self._pool_state(gateway, first.priority)
            call = gateway.admission.next_call(state, self.now)
            if call is None:
                break
            self._send(gateway, gateway.callers.pop(call.key), set())
        for refusal in gateway.admission.expired(self.now):
            self._refuse(gateway, refusal)
        if gateway.admission.waiting and gateway.wakes_at <= self.now + 1e-9:
            gateway.wakes_at = float("inf")
        if gateway.admission.waiting and gateway.wakes_at == float("inf"):
            gateway.wakes_at = self.now + PAUSE_S
            self._at(gateway.wakes_at, self._wake, gateway)

    def _wake(self, gateway: _Gateway) -> None:
        gateway.wakes_at = float("inf")
        self._pump(gateway)

    def _pool_state(self, gateway: _Gateway, priority: int) -> PoolState:
        least = gateway.selector.least_pressure(self.endpoints, TARGET_S, self.now)
        admission = gateway.admission
        since_s = self.now - admission.last_start
        age_s = gateway.selector.report_age_s(self.endpoints, self.now)
        in_flight = len(admission.in_flight)
        more, less = admission.other_priorities(priority, self.now)
        return PoolState(
            self.now, least, self.load.reports, age_s, in_flight, since_s, more, less > 0
        )

    def _send(self, gateway: _Gateway, caller: CallerState, tried: set) -> None:
        endpoint = gateway.selector.choose(self.endpoints, tried, self.now, TARGET_S)
        if endpoint is None:
            gateway.admission.finished(caller.key)
            self._return_later(caller, 0.2)
            return
        ahead = gateway.selector.expected_ahead(endpoint, self.now)
        gateway.selector.request_started(endpoint)
        number = self.endpoints.index(endpoint)
        arrival = (gateway, caller, endpoint, self.now, ahead, tried)
        self._at(self.now + HOP_S, self._reach, number, arrival)

    def _reach(self, number: int, arrival: tuple) -> None:
        server = self.servers[number]
        if server.running < self.load.slots:
            self._work(server, arrival)
        elif len(server.queue) < ENDPOINT_QUEUE:
            server.queue.append(arrival)
        else:
            self._at(self.now + HOP_S, self._rejected, arrival, server.report(self.now))

    def _work(self, server: _Server, arrival: tuple) -> None:
        server.running += 1
        sigma = sqrt(log(1 + SPREAD**2))
        work_s = WORK_S * exp(self.random.gauss(-sigma * sigma / 2, sigma))
        work_s *= self.load.slow(server.number, self.now) * self.load.speeds[server.number]
        self._at(self.now + work_s, self._done, server, arrival)

    def _done(self, server: _Server, arrival: tuple) -> None:
        server.running -= 1
        self.finished_at.append(self.now)
        self.finished[server.number] += 1
        if server.queue:
            self._work(server, server.queue.pop(0))
        self._at(self.now + HOP_S, self._answered, arrival, server.report(self.now))

    def _rejected(self, arrival: tuple, report) -> None:
        gateway, caller, endpoint, sent_at, _, tried = arrival
        gateway.selector.request_finished(endpoint)
        self._record(gateway, endpoint, sent_at, report, rejected=True)
        self._send(gateway, caller, tried | {endpoint.incarnation})

    def _answered(self, arrival: tuple, report) -> None:
        gateway, caller, endpoint, sent_at, ahead, _ = arrival
        gateway.selector.request_finished(endpoint)
        gateway.selector.record_success(endpoint, report, self.now, self.now - sent_at, ahead)
        self._record(gateway, endpoint, sent_at, None, rejected=False)
        gateway.admission.finished(caller.key)
        took_s = self.now - caller.arrived_at
        self._end(caller, "in aim" if took_s <= TARGET_S else "late")
        self._pump(gateway)

    def _record(self, gateway, endpoint, sent_at, report, rejected) -> None:
        if report is not None:
            gateway.selector.record_load(endpoint, report, self.now)
        found = gateway.selector.pressure(endpoint, TARGET_S, self.now)
        in_flight = len(gateway.admission.in_flight)
        answer = Answer(self.now - sent_at, found, rejected, in_flight, TARGET_S)
        gateway.admission.limit.record(answer, self.now)

    def _refuse(self, gateway: _Gateway, refusal: Refusal) -> None:
        caller = gateway.callers.pop(refusal.key)
        self.refusal_times.append((self.now - caller.arrived_at, caller.refusals))
        self.refused_by[refusal.reason] += 1
        free = sum(server.running < self.load.slots for server in self.servers)
        self.refused_with_room += free == len(self.servers)
        self._return_later(caller, refusal.retry_after_s)

    def _return_later(self, caller: CallerState, retry_after_s: float) -> None:
        left = caller.first_at + DEADLINE_S - self.now
        if caller.refusals:
            self._end(caller, "refused")
            return
        caller.refusals += 1
        self._at(self.now + min(retry_after_s, left * HONOURED_PART), self._arrive, caller)

    def _end(self, caller: CallerState, how: str) -> None:
        self.ended.append(
            Ended(
                caller.first_at, self.now, how, caller.refusals, caller.organisation,
                caller.priority,
            )
        )  # fmt: skip

    def count(self, how: str, since: float = 0.0, until: float = 1e9, **fields) -> int:
        """Return how many calls ended in a way, by the time of the answer."""
        return sum(
            one.how == how
            and since <= one.ended_at < until
            and all(getattr(one, name) == value for name, value in fields.items())
            for one in self.ended
        )
