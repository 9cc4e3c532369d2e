"""Trainer steps: from a request to a whole lot, streamed line by line."""

from __future__ import annotations

import time
import uuid
from typing import TYPE_CHECKING

import msgspec

from threadramp.core.progress import SampleProgress
from threadramp.core.step import StepAssembly
from threadramp.gateway.beats import read_marks, write_mark
from threadramp.gateway.state import now
from threadramp.platform.kv import KvUnavailableError
from threadramp.policy.placement import PLACEMENTS
from threadramp.policy.subset import trainer_shard
from threadramp.policy.tail import TAILS
from threadramp.report.log import log_state
from threadramp.wire.lots import (
    AckRequest,
    EndLine,
    ErrorLine,
    ProgressLine,
    SampleLine,
    StepClosure,
    StepRequest,
    WithdrawLine,
)
from threadramp.wire.messages import (
    CallStamp,
    CloseStep,
    SampleSpec,
    StepClosed,
    StepKey,
    StepPollReply,
    StepRefused,
)
from threadramp.wire.outcomes import (
    DEFAULT_RETRY_AFTER_S,
    Reason,
    Refusal,
    RefusedError,
    bad_request,
)
from threadramp.wire.seal import digest

if TYPE_CHECKING:
    from collections.abc import Iterator

    from threadramp.config.resources import Endpoint, Trainer
    from threadramp.core.step import Delivery
    from threadramp.gateway.state import GatewayState

POLL_INTERVAL_S = 0.1
POLL_TIMEOUT_S = 1.0
PROGRESS_INTERVAL_S = 1.0
CLOSE_TIMEOUT_S = 2.0
MS_PER_S = 1000


class Steps:
    """Runs trainers' steps, one request thread each."""

    def __init__(self, state: GatewayState) -> None:
        self.state = state
        self.marks_read: set[str] = set()
        self.delivered_at: dict[str, float] = {}

    def run(self, trainer: str, step: int, request: StepRequest) -> Iterator[bytes]:
        """Begin a step; the lines follow as they come.

        :raises RefusedError: if the step can not begin
        """
        spec = self.state.declared("trainer", trainer)
        key = StepKey(trainer, request.run, step)
        self._check_open(key)
        assembly = self._assembly(key, spec, request)
        return self._lines(assembly, spec, request)

    def close(self, trainer: str, step: int, request: AckRequest) -> StepClosure:
        """Close a step for ever.

        :returns: how many sidecars know, and whether the key-value service does
        :raises RefusedError: if no sidecar could be told
        """
        spec = self.state.declared("trainer", trainer)
        key = StepKey(trainer, request.run, step)
        with self.state.lock:
            self.state.marks.close(key)
        addresses = [item.sidecar_sync for item in self._shard(trainer, spec).values()]
        message = CloseStep(key, request.lot)
        replies = self.state.sync.exchange(dict.fromkeys(addresses, message), CLOSE_TIMEOUT_S)
        told = sum(isinstance(reply, StepClosed) for reply in replies.values())
        self.state.wake.set()
        if not told:
            text = "no sidecar could be told; send the acknowledgement again"
            raise RefusedError(Refusal.unknown(Reason.NO_ENDPOINT, text, DEFAULT_RETRY_AFTER_S))
        self.state.metrics.count("steps_closed", trainer)
        return StepClosure(told, self._record(key))

    def _record(self, key: StepKey) -> bool:
        """Write a closed step to the key-value service; the background goes on if it is out."""
        with self.state.lock:
            mark = self.state.marks.marks[key.trainer, key.run]
        try:
            write_mark(self.state, mark)
        except KvUnavailableError:
            self.state.metrics.count("kv_unavailable", "marks")
            return False
        return True

    def _shard(self, trainer: str, spec: Trainer) -> dict[str, Endpoint]:
        endpoints = self.state.chain.of_kind("endpoint")
        names = [name for name, item in endpoints.items() if item.pool == spec.pool]
        trainers = self.state.chain.of_kind("trainer").values()
        sharing = sum(1 for other in trainers if other.pool == spec.pool)
        return {name: endpoints[name] for name in trainer_shard(trainer, names, sharing)}

    def _check_open(self, key: StepKey) -> None:
        if key.trainer not in self.marks_read:
            try:
                read_marks(self.state, key.trainer)
                self.marks_read.add(key.trainer)
            except KvUnavailableError:
                self.state.metrics.count("kv_unavailable", "marks")
        with self.state.lock:
            closed = self.state.marks.is_closed(key)
        if closed:
            raise RefusedError(_already_delivered())

    def _assembly(self, key: StepKey, spec: Trainer, request: StepRequest) -> StepAssembly:
        shard = self._shard(key.trainer, spec)
        if not shard:
            message = f"pool {spec.pool!r} has no endpoints"
            raise RefusedError(Refusal.not_run(Reason.NO_ENDPOINT, message, DEFAULT_RETRY_AFTER_S))
        stamp = CallStamp(request.call, int(time.time() * MS_PER_S), uuid.uuid4().hex[:8])
        return StepAssembly(
            key,
            stamp,
            spec.model,
            self._samples(key, request),
            {name: self._room(item) for name, item in shard.items()},
            PLACEMENTS[self.state.policy.placement](),
            TAILS[self.state.policy.tail](),
            self._oldest_allowed(spec, request),
            self.state.settings.step_polls_per_s,
        )

    def _room(self, endpoint: Endpoint) -> int:
        """Return how many samples an endpoint is given at once."""
        return round(endpoint.slots * (1 + self.state.policy.lookahead))

    def _samples(self, key: StepKey, request: StepRequest) -> dict[str, SampleProgress]:
        wanted = sum(group.samples for group in request.groups)
        if not 0 < wanted <= self.state.settings.max_step_samples:
            most = self.state.settings.max_step_samples
            raise bad_request("body.groups", f"a step has 1 to {most} samples, not {wanted}")
        samples = {}
        for group in request.groups:
            for index in range(group.samples):
                name = f"{key.trainer}/{key.run}/{key.step}/{group.group}/{index}"
                if name in samples:
                    raise bad_request("body.groups", f"group {group.group!r} is named twice")
                seed = int(digest(name.encode())[:12], 16)
                spec = SampleSpec(name, group.prompt, group.max_tokens, seed, 0)
                samples[name] = SampleProgress(spec, group.group, index)
        return samples

    def _oldest_allowed(self, spec: Trainer, request: StepRequest) -> int:
        """Return the oldest version that the trainer may get, by the newest it is known to have."""
        published = self.state.chain.get("weights", spec.model)
        newest = max(request.version, published.version if published else 0)
        return newest - spec.staleness_bound

    def _lines(
        self, assembly: StepAssembly, spec: Trainer, request: StepRequest
    ) -> Iterator[bytes]:
        deadline = now() + request.deadline_s
        shown = float("-inf")
        begun = now()
        while not self._is_complete(assembly, spec, request):
            if now() >= deadline:
                message = "the step was not whole by its deadline; ask again"
                yield _line(ErrorLine(Refusal.not_run(Reason.DEADLINE, message, 1)))
                return
            deliveries, refusal = self._exchange(assembly, spec, request)
            if refusal is not None:
                yield _line(ErrorLine(refusal))
                return
            for withdrawal in assembly.take_withdrawals():
                yield _line(WithdrawLine(withdrawal.sample))
            for delivery in deliveries:
                self._record_staleness(spec, request, delivery)
                yield _line(_sample_line(delivery))
            if now() - shown >= PROGRESS_INTERVAL_S:
                shown = now()
                yield _line(ProgressLine(assembly.finished_count, len(assembly.samples)))
            if not assembly.is_complete:
                time.sleep(POLL_INTERVAL_S)
        self._record_wait(assembly.key, begun)
        lot = assembly.lot_digest()
        self.state.metrics.count("lots_delivered", assembly.key.trainer)
        yield _line(EndLine(lot, len(assembly.samples), lot))

    def _is_complete(self, assembly: StepAssembly, spec: Trainer, request: StepRequest) -> bool:
        """Return whether the lot is whole and still fresh, judged right before its end line."""
        if assembly.is_delivered:
            assembly.raise_oldest_allowed(self._oldest_allowed(spec, request))
        return assembly.is_delivered

    def _record_staleness(self, spec: Trainer, request: StepRequest, delivery: Delivery) -> None:
        newest = self._oldest_allowed(spec, request) + spec.staleness_bound
        fresh = delivery.payload.oldest >= newest
        self.state.record_burn("staleness", int(fresh), int(not fresh))

    def _record_wait(self, key: StepKey, begun: float) -> None:
        """Record how long a trainer waited for a lot and how long it did not before."""
        ended = now()
        busy = begun - self.delivered_at.get(key.trainer, begun)
        self.delivered_at[key.trainer] = ended
        self.state.record_burn("trainer_busy", max(0.0, busy), ended - begun)

    def _exchange(
        self, assembly: StepAssembly, spec: Trainer, request: StepRequest
    ) -> tuple[list[Delivery], Refusal | None]:
        """Exchange once with the whole shard; return what enters the lot, or why it ends."""
        shard = self._shard(assembly.key.trainer, spec)
        for name, item in shard.items():
            assembly.add_endpoint(name, self._room(item))
        assembly.raise_oldest_allowed(self._oldest_allowed(spec, request))
        polls = assembly.next_polls(self.state.chain.revision, now())
        addressed = {
            shard[name].sidecar_sync: poll for name, poll in polls.items() if name in shard
        }
        replies = self.state.sync.exchange(addressed, POLL_TIMEOUT_S)
        deliveries: list[Delivery] = []
        for name in polls:
            reply = replies.get(shard[name].sidecar_sync) if name in shard else None
            if isinstance(reply, StepPollReply):
                deliveries += assembly.handle_reply(name, reply, now())
            elif isinstance(reply, StepRefused):
                refusal = self._step_refused(assembly, name, reply)
                if refusal is not None:
                    return [], refusal
            else:
                assembly.record_missed_poll(name)
        return deliveries, None

    def _step_refused(
        self, assembly: StepAssembly, name: str, reply: StepRefused
    ) -> Refusal | None:
        if reply.reason == Reason.SENDER_BEHIND.value:
            self.state.configuration.apply(reply.changes, reply.snapshot)
            assembly.record_rejected_poll(name)
            return None
        log_state("step_refused", step=assembly.key.step, reason=reply.reason)
        if reply.reason == Reason.ALREADY_DELIVERED.value:
            with self.state.lock:
                self.state.marks.close(assembly.key)
            return _already_delivered()
        return Refusal.not_run(Reason.SUPERSEDED, "a later call for this step has taken over")


def _already_delivered() -> Refusal:
    return Refusal.not_run(Reason.ALREADY_DELIVERED, "this step was delivered and is closed")


def _sample_line(delivery: Delivery) -> SampleLine:
    payload = delivery.payload
    return SampleLine(
        payload.sample,
        delivery.group,
        delivery.index,
        payload.text,
        payload.versions,
        tuple((piece.version, piece.tokens) for piece in payload.pieces),
    )


def _line(line: msgspec.Struct) -> bytes:
    return msgspec.json.encode(line) + b"\n"


__all__ = ["Steps"]
