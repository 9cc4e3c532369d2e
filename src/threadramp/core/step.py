"""Assembly of one trainer step at a gateway: places samples at endpoints and collects the lot.

The trainer repeats its call until it has the lot. The state here therefore need not be durable: a
new gateway rebuilds it by polling the sidecars before it submits anything.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from threadramp.core.progress import EndpointAttempt, SampleProgress
from threadramp.policy.placement import EndpointCapacity
from threadramp.wire.messages import SamplePayload, SampleSpec, StepPoll
from threadramp.wire.seal import digest

if TYPE_CHECKING:
    from threadramp.policy.placement import Placement
    from threadramp.policy.tail import TailPolicy
    from threadramp.wire.messages import CallStamp, StepKey, StepPollReply

MISSED_POLLS_UNTIL_LOST = 3
DEFAULT_POLLS_PER_S = 100.0
IDLE_POLL_S = 1.0  # between two polls of an endpoint without running samples
FETCH_BATCH = 32  # payloads requested from one sidecar in one exchange


@dataclass
class EndpointProgress:
    """State of one endpoint of the step's shard.

    :ivar has_replied: whether it has replied to any poll
    :ivar missed_polls: polls without a reply since the last reply
    :ivar takes_work: whether it accepted new samples at its last reply
    :ivar next_poll: monotonic time of its next poll
    :ivar running: samples that run or wait there
    :ivar placed: all samples that have an attempt there, finished ones included
    """

    slots: int
    has_replied: bool = False
    missed_polls: int = 0
    takes_work: bool = False
    next_poll: float = float("-inf")
    running: set[str] = field(default_factory=set)
    placed: set[str] = field(default_factory=set)

    @property
    def is_usable(self) -> bool:
        """Return whether samples may be submitted to it."""
        return self.takes_work and self.missed_polls == 0


@dataclass(frozen=True)
class Delivery:
    """A sample that is added to the lot."""

    group: str
    index: int
    payload: SamplePayload


@dataclass(frozen=True)
class Withdrawal:
    """A sample that was removed from the unfinished lot, as its version had become too old."""

    sample: str


class StepAssembly:
    """The samples of one step.

    :param shard: slots by endpoint
    :param oldest_allowed: the oldest weight version in a delivered sample
    :param polls_per_s: exchanges a second that have nothing to submit, cancel or fetch; the fewer
        endpoints still run samples, the more often each is polled
    :ivar cancels: samples to cancel by endpoint, sent with its next poll
    :ivar has_polled: whether the first polls were made; nothing is submitted before
    """

    def __init__(
        self,
        key: StepKey,
        call: CallStamp,
        model: str,
        samples: dict[str, SampleProgress],
        shard: dict[str, int],
        placement: Placement,
        tail: TailPolicy,
        oldest_allowed: int,
        polls_per_s: float = DEFAULT_POLLS_PER_S,
    ) -> None:
        self.key = key
        self.call = call
        self.model = model
        self.samples = samples
        self.endpoints = {name: EndpointProgress(slots) for name, slots in shard.items()}
        self.placement = placement
        self.tail = tail
        self.oldest_allowed = oldest_allowed
        self.polls_per_s = polls_per_s
        self.withdrawals: list[Withdrawal] = []
        self.cancels: dict[str, list[str]] = {name: [] for name in shard}
        self.has_polled = False

    def raise_oldest_allowed(self, oldest_allowed: int) -> None:
        """Raise the oldest version that may be delivered, and withdraw older delivered samples."""
        if oldest_allowed <= self.oldest_allowed:
            return
        self.oldest_allowed = oldest_allowed
        for name, sample in self.samples.items():
            sample.finished = {
                endpoint_attempt: oldest
                for endpoint_attempt, oldest in sample.finished.items()
                if oldest >= oldest_allowed
            }
            if sample.delivered is not None and sample.delivered_oldest < oldest_allowed:
                sample.delivered = None
                self.withdrawals.append(Withdrawal(name))

    def add_endpoint(self, name: str, slots: int) -> None:
        """Add an endpoint to the shard that was put into service."""
        if name not in self.endpoints:
            self.endpoints[name] = EndpointProgress(slots)
            self.cancels[name] = []

    def next_polls(self, revision: int, now: float) -> dict[str, StepPoll]:
        """Return polls for endpoints that are due or have samples to submit, cancel or fetch."""
        submits = self._place_samples(now) if self.has_polled else {}
        fetches = self._next_fetches()
        self.has_polled = True
        polls = {}
        for name in self._due_endpoints({*submits, *fetches}, now):
            cancel = tuple(self.cancels[name])
            self.cancels[name] = []
            polls[name] = StepPoll(
                key=self.key,
                call=self.call,
                revision=revision,
                model=self.model,
                oldest_allowed=self.oldest_allowed,
                submit=tuple(submits.get(name, ())),
                cancel=cancel,
                fetch=tuple(fetches.get(name, ())),
            )
        return polls

    def handle_reply(self, name: str, reply: StepPollReply, now: float) -> list[Delivery]:
        """Handle an endpoint's reply to a poll.

        :returns: samples that are added to the lot
        """
        endpoint = self.endpoints[name]
        endpoint.has_replied = True
        endpoint.missed_polls = 0
        endpoint.takes_work = reply.takes_work
        self._clear_endpoint(name)
        for status in reply.running:
            if status.sample in self.samples:
                self._record_attempt(name, status.sample, status.attempt)
                endpoint.running.add(status.sample)
                self.samples[status.sample].record_tokens(status.tokens, now)
        for status in reply.finished:
            if status.sample in self.samples:
                self._record_finished(name, status.sample, status.attempt, status.oldest)
        return [
            delivery
            for payload in reply.payloads
            if (delivery := self._deliver(name, payload)) is not None
        ]

    def record_missed_poll(self, name: str) -> None:
        """Record that an endpoint did not reply in time."""
        endpoint = self.endpoints[name]
        endpoint.missed_polls += 1
        if endpoint.missed_polls >= MISSED_POLLS_UNTIL_LOST:
            self._clear_endpoint(name)

    def record_rejected_poll(self, name: str) -> None:
        """Record that an endpoint rejected the last poll; its samples are placed again."""
        self._clear_endpoint(name)

    def take_withdrawals(self) -> list[Withdrawal]:
        """Return the withdrawals since the last call."""
        taken = self.withdrawals
        self.withdrawals = []
        return taken

    @property
    def finished_count(self) -> int:
        """Return the number of complete samples."""
        return sum(1 for sample in self.samples.values() if sample.finished or sample.delivered)

    @property
    def is_complete(self) -> bool:
        """Return whether every sample is complete at some endpoint or delivered."""
        return self.finished_count == len(self.samples)

    @property
    def is_delivered(self) -> bool:
        """Return whether every sample was added to the lot."""
        return all(sample.delivered for sample in self.samples.values())

    def lot_digest(self) -> str:
        """Return the digest of the complete lot."""
        parts = [f"{name}:{sample.digest}" for name, sample in sorted(self.samples.items())]
        return digest("\n".join(parts).encode())

    def _clear_endpoint(self, name: str) -> None:
        endpoint = self.endpoints[name]
        endpoint.running.clear()
        for placed in endpoint.placed:
            sample = self.samples[placed]
            sample.attempts = {
                endpoint_attempt
                for endpoint_attempt in sample.attempts
                if endpoint_attempt.endpoint != name
            }
            for endpoint_attempt in [
                endpoint_attempt
                for endpoint_attempt in sample.finished
                if endpoint_attempt.endpoint == name
            ]:
                del sample.finished[endpoint_attempt]
        endpoint.placed.clear()

    def _record_attempt(self, name: str, sample_id: str, attempt: int) -> None:
        sample = self.samples[sample_id]
        self.endpoints[name].placed.add(sample_id)
        sample.attempts.add(EndpointAttempt(name, attempt))
        sample.last_attempt = max(sample.last_attempt, attempt)

    def _record_finished(self, name: str, sample_id: str, attempt: int, oldest: int) -> None:
        self._record_attempt(name, sample_id, attempt)
        if oldest < self.oldest_allowed:
            return
        sample = self.samples[sample_id]
        sample.finished[EndpointAttempt(name, attempt)] = oldest
        for endpoint_attempt in sample.attempts:
            if endpoint_attempt not in sample.finished:
                self.cancels[endpoint_attempt.endpoint].append(sample_id)

    def _deliver(self, name: str, payload: SamplePayload) -> Delivery | None:
        sample = self.samples.get(payload.sample)
        if sample is None or sample.delivered is not None:
            return None
        if payload.oldest < self.oldest_allowed:
            return None
        sample.delivered = EndpointAttempt(name, payload.attempt)
        sample.delivered_oldest = payload.oldest
        labels = ",".join(f"{piece.version}x{piece.tokens}" for piece in payload.pieces)
        sample.digest = digest(f"{labels}|{payload.text}".encode())
        return Delivery(sample.group, sample.index, payload)

    def _place_samples(self, now: float) -> dict[str, list[SampleSpec]]:
        capacities = self._capacities()
        submits: dict[str, list[SampleSpec]] = {}
        for sample in self.samples.values():
            if sample.attempts or sample.finished or sample.delivered:
                continue
            capacity = self.placement.choose(sample.group, capacities)
            if capacity is None:
                break
            submits.setdefault(capacity.endpoint, []).append(self._start_attempt(sample, capacity))
        for sample in self.tail.second_attempts(self.samples, capacities, now):
            taken = {endpoint_attempt.endpoint for endpoint_attempt in sample.attempts}
            free = [capacity for capacity in capacities if capacity.endpoint not in taken]
            capacity = self.placement.choose(sample.group, free)
            if capacity is not None:
                submits.setdefault(capacity.endpoint, []).append(
                    self._start_attempt(sample, capacity)
                )
        return submits

    def _capacities(self) -> list[EndpointCapacity]:
        return [
            EndpointCapacity(
                name,
                endpoint.slots - len(endpoint.running),
                len(endpoint.running),
                {self.samples[sample].group for sample in endpoint.running},
            )
            for name, endpoint in self.endpoints.items()
            if endpoint.is_usable
        ]

    def _start_attempt(self, sample: SampleProgress, capacity: EndpointCapacity) -> SampleSpec:
        sample.last_attempt += 1
        capacity.free -= 1
        capacity.load += 1
        capacity.groups.add(sample.group)
        endpoint_attempt = EndpointAttempt(capacity.endpoint, sample.last_attempt)
        sample.attempts.add(endpoint_attempt)
        self.endpoints[capacity.endpoint].running.add(sample.spec.sample)
        self.endpoints[capacity.endpoint].placed.add(sample.spec.sample)
        return SampleSpec(
            sample.spec.sample,
            sample.spec.prompt,
            sample.spec.max_tokens,
            sample.spec.seed,
            sample.last_attempt,
        )

    def _due_endpoints(self, busy: set[str], now: float) -> list[str]:
        awaited = [name for name, endpoint in self.endpoints.items() if self._is_awaited(endpoint)]
        interval_s = len(awaited) / self.polls_per_s
        due = []
        for name, endpoint in self.endpoints.items():
            idle_s = interval_s if name in awaited else IDLE_POLL_S
            if name in busy or self.cancels[name] or now >= endpoint.next_poll:
                endpoint.next_poll = now + idle_s
                due.append(name)
        return due

    def _is_awaited(self, endpoint: EndpointProgress) -> bool:
        return bool(endpoint.running) or not endpoint.has_replied or endpoint.missed_polls > 0

    def _next_fetches(self) -> dict[str, list[str]]:
        fetches: dict[str, list[str]] = {}
        if not self.is_complete:
            return fetches
        for name, sample in self.samples.items():
            if sample.delivered is not None or not sample.finished:
                continue
            endpoint_attempt = min(sample.finished, key=lambda one: (one.attempt, one.endpoint))
            batch = fetches.setdefault(endpoint_attempt.endpoint, [])
            if len(batch) < FETCH_BATCH:
                batch.append(name)
        return fetches


__all__ = ["Delivery", "EndpointAttempt", "SampleProgress", "StepAssembly", "Withdrawal"]
