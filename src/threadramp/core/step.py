"""Assembly of one trainer step at a gateway: which samples run where, and the lot they make.

The trainer holds the step: it repeats the call until it has the lot. So this state is soft, and a
new gateway rebuilds it by asking the sidecars before it submits anything.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from threadramp.core.progress import Place, SampleProgress
from threadramp.policy.placement import EndpointCapacity
from threadramp.wire.messages import SamplePayload, SampleSpec, StepPoll
from threadramp.wire.seal import digest

if TYPE_CHECKING:
    from threadramp.policy.placement import Placement
    from threadramp.policy.tail import TailPolicy
    from threadramp.wire.messages import CallStamp, StepKey, StepPollReply

MISSES_UNTIL_LOST = 3
DEFAULT_POLLS_PER_S = 100.0
IDLE_POLL_S = 1.0  # between two questions to an endpoint that has no running samples
FETCH_BATCH = 32  # payloads asked of one sidecar in one exchange


@dataclass
class EndpointProgress:
    """One endpoint of the step's shard.

    :ivar running: samples that it has not finished
    :ivar placed: all samples of which an attempt was placed there
    """

    slots: int
    heard: bool = False
    misses: int = 0
    takes_work: bool = False
    next_poll: float = float("-inf")
    running: set[str] = field(default_factory=set)
    placed: set[str] = field(default_factory=set)

    @property
    def is_usable(self) -> bool:
        """Return whether samples may be submitted there."""
        return self.takes_work and self.misses == 0


@dataclass(frozen=True)
class Delivery:
    """A sample that enters the lot."""

    group: str
    index: int
    payload: SamplePayload


@dataclass(frozen=True)
class Withdrawal:
    """A sample that left the lot before its end, since it had grown too old."""

    sample: str


class StepAssembly:
    """The samples of one step.

    :param shard: slots by endpoint
    :param oldest_allowed: the oldest version that a delivered sample may name
    :param polls_per_s: exchanges a second that have nothing to submit, cancel or fetch; the fewer
        endpoints still have samples, the more often each is asked
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
        self.asked = False

    def require(self, oldest_allowed: int) -> None:
        """Raise the oldest version that may be delivered, when the trainer has moved on."""
        if oldest_allowed <= self.oldest_allowed:
            return
        self.oldest_allowed = oldest_allowed
        for name, sample in self.samples.items():
            sample.finished = {
                place: oldest
                for place, oldest in sample.finished.items()
                if oldest >= oldest_allowed
            }
            if sample.delivered is not None and sample.delivered_oldest < oldest_allowed:
                sample.delivered = None
                self.withdrawals.append(Withdrawal(name))

    def add_endpoint(self, name: str, slots: int) -> None:
        """Take an endpoint into the shard that has come into service."""
        if name not in self.endpoints:
            self.endpoints[name] = EndpointProgress(slots)
            self.cancels[name] = []

    def polls(self, revision: int, now: float) -> dict[str, StepPoll]:
        """Return the next exchange with each endpoint that is due or has something to do."""
        submits = self._place(now) if self.asked else {}
        fetches = self._fetches()
        self.asked = True
        polls = {}
        for name in self._due({*submits, *fetches}, now):
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

    def replied(self, name: str, reply: StepPollReply, now: float) -> list[Delivery]:
        """Take an endpoint's reply.

        :returns: samples that enter the lot
        """
        endpoint = self.endpoints[name]
        endpoint.heard = True
        endpoint.misses = 0
        endpoint.takes_work = reply.takes_work
        self._forget(name)
        for status in reply.running:
            if status.sample in self.samples:
                self._note_attempt(name, status.sample, status.attempt)
                endpoint.running.add(status.sample)
                self.samples[status.sample].produced(status.tokens, now)
        for status in reply.finished:
            if status.sample in self.samples:
                self._note_finished(name, status.sample, status.attempt, status.oldest)
        return [
            delivery
            for payload in reply.payloads
            if (delivery := self._deliver(name, payload)) is not None
        ]

    def missed(self, name: str) -> None:
        """Note that an endpoint did not reply in time."""
        endpoint = self.endpoints[name]
        endpoint.misses += 1
        if endpoint.misses >= MISSES_UNTIL_LOST:
            self._forget(name)

    def submit_failed(self, name: str) -> None:
        """Note that an endpoint took nothing of the last exchange."""
        self._forget(name)

    def take_withdrawals(self) -> list[Withdrawal]:
        """Return the withdrawals since the last call."""
        taken = self.withdrawals
        self.withdrawals = []
        return taken

    @property
    def finished_count(self) -> int:
        """Return how many samples are held whole."""
        return sum(1 for sample in self.samples.values() if sample.finished or sample.delivered)

    @property
    def is_whole(self) -> bool:
        """Return whether every sample is held whole at some endpoint."""
        return self.finished_count == len(self.samples)

    @property
    def is_delivered(self) -> bool:
        """Return whether every sample is in the lot."""
        return all(sample.delivered for sample in self.samples.values())

    def lot_digest(self) -> str:
        """Return the digest over the whole lot."""
        parts = [f"{name}:{sample.digest}" for name, sample in sorted(self.samples.items())]
        return digest("\n".join(parts).encode())

    def _forget(self, name: str) -> None:
        endpoint = self.endpoints[name]
        endpoint.running.clear()
        for placed in endpoint.placed:
            sample = self.samples[placed]
            sample.attempts = {place for place in sample.attempts if place.endpoint != name}
            for place in [place for place in sample.finished if place.endpoint == name]:
                del sample.finished[place]
        endpoint.placed.clear()

    def _note_attempt(self, name: str, sample_id: str, attempt: int) -> None:
        sample = self.samples[sample_id]
        self.endpoints[name].placed.add(sample_id)
        sample.attempts.add(Place(name, attempt))
        sample.last_attempt = max(sample.last_attempt, attempt)

    def _note_finished(self, name: str, sample_id: str, attempt: int, oldest: int) -> None:
        self._note_attempt(name, sample_id, attempt)
        if oldest < self.oldest_allowed:
            return
        sample = self.samples[sample_id]
        sample.finished[Place(name, attempt)] = oldest
        for place in sample.attempts:
            if place not in sample.finished:
                self.cancels[place.endpoint].append(sample_id)

    def _deliver(self, name: str, payload: SamplePayload) -> Delivery | None:
        sample = self.samples.get(payload.sample)
        if sample is None or sample.delivered is not None:
            return None
        if payload.oldest < self.oldest_allowed:
            return None
        sample.delivered = Place(name, payload.attempt)
        sample.delivered_oldest = payload.oldest
        labels = ",".join(f"{piece.version}x{piece.tokens}" for piece in payload.pieces)
        sample.digest = digest(f"{labels}|{payload.text}".encode())
        return Delivery(sample.group, sample.index, payload)

    def _place(self, now: float) -> dict[str, list[SampleSpec]]:
        rooms = self._rooms()
        submits: dict[str, list[SampleSpec]] = {}
        for sample in self.samples.values():
            if sample.attempts or sample.finished or sample.delivered:
                continue
            room = self.placement.choose(sample.group, rooms)
            if room is None:
                break
            submits.setdefault(room.endpoint, []).append(self._submit(sample, room))
        for sample in self.tail.second_attempts(self.samples, rooms, now):
            taken = {place.endpoint for place in sample.attempts}
            free = [room for room in rooms if room.endpoint not in taken]
            room = self.placement.choose(sample.group, free)
            if room is not None:
                submits.setdefault(room.endpoint, []).append(self._submit(sample, room))
        return submits

    def _rooms(self) -> list[EndpointCapacity]:
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

    def _submit(self, sample: SampleProgress, room: EndpointCapacity) -> SampleSpec:
        sample.last_attempt += 1
        room.free -= 1
        room.load += 1
        room.groups.add(sample.group)
        place = Place(room.endpoint, sample.last_attempt)
        sample.attempts.add(place)
        self.endpoints[room.endpoint].running.add(sample.spec.sample)
        self.endpoints[room.endpoint].placed.add(sample.spec.sample)
        return SampleSpec(
            sample.spec.sample,
            sample.spec.prompt,
            sample.spec.max_tokens,
            sample.spec.seed,
            sample.last_attempt,
        )

    def _due(self, busy: set[str], now: float) -> list[str]:
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
        return bool(endpoint.running) or not endpoint.heard or endpoint.misses > 0

    def _fetches(self) -> dict[str, list[str]]:
        fetches: dict[str, list[str]] = {}
        if not self.is_whole:
            return fetches
        for name, sample in self.samples.items():
            if sample.delivered is not None or not sample.finished:
                continue
            place = min(sample.finished, key=lambda held: (held.attempt, held.endpoint))
            batch = fetches.setdefault(place.endpoint, [])
            if len(batch) < FETCH_BATCH:
                batch.append(name)
        return fetches


__all__ = ["Delivery", "Place", "SampleProgress", "StepAssembly", "Withdrawal"]
