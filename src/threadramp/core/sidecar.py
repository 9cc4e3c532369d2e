"""Decisions of a sidecar: what it admits, runs, keeps, refuses and orders."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, auto
from typing import TYPE_CHECKING

from threadramp.core.admission import Admission, Admitted, Queued
from threadramp.core.chain import Chain
from threadramp.core.freeze import FreezeDetector
from threadramp.core.keys import KeyState, KeyTable, Run
from threadramp.core.marks import StepMarks
from threadramp.core.samples import SampleBuffer
from threadramp.core.swap import Order, SwapRecord
from threadramp.policy.reserve import RESERVES
from threadramp.policy.routing import hash_fraction
from threadramp.wire.messages import (
    CloseStep,
    EndpointReport,
    KeyAnswer,
    KeyQuery,
    StepClosed,
    StepPoll,
    StepRefused,
    SyncReply,
    SyncRequest,
)
from threadramp.wire.outcomes import BEHIND, DEFAULT_RETRY_AFTER_S, Reason, Refusal

if TYPE_CHECKING:
    from threadramp.config.resources import Endpoint, Pool
    from threadramp.config.settings import SidecarSettings
    from threadramp.core.keys import Answer, Binding, Replay, Wait
    from threadramp.core.samples import SampleTask
    from threadramp.core.swap import ReadVersions
    from threadramp.wire.messages import Reply, Request

NEWS_S = 10.0  # several beats; without one for so long another may stand beside the engine
MAX_QUEUE = 256
MAX_KEPT_ANSWERS = 4096
DEFAULT_RESERVE = "none"


@dataclass(frozen=True)
class CallRequest:
    """A call as it reaches a sidecar.

    :param time_left_s: seconds until the caller wants its answer
    :param revision: of the gateway that sent it
    :param refusal_seen: number of the key's refusal that the caller has seen, 0 for none
    :param model: the model it asks for, empty at a plain service
    """

    call: str
    rank: int
    time_left_s: float
    revision: int
    binding: Binding | None
    body_digest: str
    refusal_seen: int
    model: str = ""


class Verdict(Enum):
    """What becomes of a running rollout after a piece."""

    GO_ON = auto()
    STOP = auto()
    PAUSE = auto()


class SidecarCore:
    """All state of one sidecar; the caller holds a lock around each method.

    :param incarnation: names this process; a restarted sidecar has another
    :param started_ms: wall clock at the start, a part of each order's number
    :param reserve: name of the reserve policy
    """

    def __init__(
        self,
        settings: SidecarSettings,
        incarnation: str,
        started_ms: int,
        now: float,
        reserve: str = DEFAULT_RESERVE,
    ) -> None:
        self.settings = settings
        self.incarnation = incarnation
        self.chain = Chain()
        self.marks = StepMarks()
        self.samples = SampleBuffer(self.marks)
        share = hash_fraction(settings.endpoint)
        self.swap = SwapRecord(started_ms, share * settings.load_spread_s)
        self.freeze = FreezeDetector(settings.freeze_limit_s, now)
        self.admission = Admission(settings.slots, MAX_QUEUE, RESERVES[reserve]())
        self.keys = KeyTable(
            settings.endpoint,
            incarnation,
            settings.key_window_s,
            settings.max_keys,
            MAX_KEPT_ANSWERS,
            now,
        )
        self.stopping = False
        self.pausing = 0
        self.heard_at = float("-inf")

    # -- configuration ---------------------------------------------------------------------

    @property
    def endpoint(self) -> Endpoint | None:
        """Return this sidecar's endpoint as declared, none if it is not."""
        return self.chain.get("endpoint", self.settings.endpoint)

    @property
    def pool(self) -> Pool | None:
        """Return the pool of this sidecar's endpoint, none if it is not declared."""
        endpoint = self.endpoint
        return None if endpoint is None else self.chain.get("pool", endpoint.pool)

    @property
    def leaving(self) -> bool:
        """Return whether no new work is taken."""
        endpoint = self.endpoint
        return self.stopping or endpoint is None or endpoint.drain

    def declared_versions(self) -> dict[str, int]:
        """Return the declared version of each model that the pool serves."""
        pool = self.pool
        if pool is None:
            return {}
        weights = {model: self.chain.get("weights", model) for model in pool.models}
        return {model: spec.version for model, spec in weights.items() if spec is not None}

    # -- time ------------------------------------------------------------------------------

    def observe(self, now: float) -> None:
        """Note the time; after a freeze nothing about the engine is taken for granted."""
        if self.freeze.observe(now):
            self.swap.lost_time(now)

    def orders_due(self, now: float) -> list[Order | ReadVersions]:
        """Return what to do towards the declared versions."""
        self.observe(now)
        due = self.swap.due(self.declared_versions(), self.chain.revision, now)
        return [one for one in due if not isinstance(one, Order) or self.may_order(one, now)]

    def may_order(self, order: Order, now: float) -> bool:
        """Return whether an order may still be sent; asked right before it is.

        The news that it rests on is a gateway's beat: one of the last while, and one that came
        behind any order of newer news that the engine has obeyed.
        """
        self.observe(now)
        is_fresh = now - self.heard_at <= NEWS_S and self.heard_at >= self.swap.outdone_at
        return is_fresh and self.declared_versions().get(order.model) == order.version

    # -- calls -----------------------------------------------------------------------------

    def begin_call(
        self, request: CallRequest, now: float
    ) -> Admitted | Queued | Replay | Wait | Refusal:
        """Decide on a call that has arrived."""
        self.observe(now)
        binding = request.binding
        if binding is not None and self._is_decided(binding):
            return self.keys.begin(binding, request.body_digest, request.refusal_seen, now)
        deadline = now + request.time_left_s - self.freeze.unseen_wait_s(now)
        refusal = self._refuse_call(request, deadline, now)
        if refusal is not None:
            return self._refuse(binding, refusal, now)
        if binding is not None:
            decision = self.keys.begin(binding, request.body_digest, request.refusal_seen, now)
            if not isinstance(decision, Run):
                return decision
        offered = self.admission.offer(request.call, request.rank, deadline, now)
        if isinstance(offered, Refusal) and binding is not None:
            return self.keys.withdraw(binding, offered.reason, offered.message, now)
        return offered

    def may_send(self, deadline: float, now: float) -> bool:
        """Return whether a call may still be sent on; asked right before it is sent."""
        self.observe(now)
        return now < deadline

    def withdraw_call(
        self, call: str, binding: Binding | None, reason: Reason, message: str, now: float
    ) -> tuple[Refusal, list[str]]:
        """Give up a call of which no byte has left.

        :returns: the refusal, and the calls that were admitted into the room
        """
        self.admission.give_up(call)
        admitted = self.admission.finish(call, now)
        if binding is None:
            return Refusal.not_run(reason, message, DEFAULT_RETRY_AFTER_S), admitted
        return self.keys.withdraw(binding, reason, message, now), admitted

    def end_call(
        self, call: str, binding: Binding | None, answer: Answer | None, now: float
    ) -> list[str]:
        """Note the end of a call that was sent.

        :param answer: the endpoint's whole answer, or none if none came
        :returns: the calls that were admitted into the room
        """
        if binding is not None:
            keep = answer is not None and len(answer.body) <= self.settings.max_answer_bytes
            self.keys.finish(binding.key, answer, keep)
        return self.admission.finish(call, now)

    def _is_decided(self, binding: Binding) -> bool:
        state = self.keys.state(binding.key)
        return binding.incarnation != self.incarnation or state not in (None, KeyState.REFUSED)

    def _refuse_call(self, request: CallRequest, deadline: float, now: float) -> Refusal | None:
        if request.revision < self.chain.revision:
            return Refusal.not_run(Reason.SENDER_BEHIND, "the gateway has an older revision")
        if request.revision > self.chain.revision:
            # Decided by the older one, a call would run at a drained endpoint, or its sound answer
            # would be rejected, as the change that its gateway accepted has not arrived here.
            return Refusal.not_run(Reason.RECEIVER_BEHIND, "the sidecar has an older revision", 1)
        if self.leaving:
            return Refusal.not_run(Reason.LEAVING, "the endpoint is leaving", 1)
        if deadline <= now:
            return Refusal.not_run(Reason.DEADLINE, "its deadline has passed")
        if request.model and not self._may_start(request.model):
            return Refusal.not_run(Reason.WEIGHTS_UNKNOWN, "the engine's version is not known", 1)
        return None

    def _refuse(self, binding: Binding | None, refusal: Refusal, now: float) -> Refusal:
        if binding is None or refusal.reason in BEHIND:
            return refusal  # it says nothing of the key: the gateway sends the call again
        return self.keys.refuse(binding, refusal.reason, refusal.message, now)

    def _may_start(self, model: str) -> bool:
        endpoint = self.endpoint
        return endpoint is not None and self.swap.may_start(model, endpoint.names_versions)

    # -- rollouts --------------------------------------------------------------------------

    def next_rollout(self, now: float) -> SampleTask | None:
        """Take the next sample to run, if a slot is left for it."""
        self.observe(now)
        pool = self.pool
        if pool is None or self.leaving or not self.samples.queued():
            return None
        allowed = {model for model in pool.models if self._may_start(model)}
        if not allowed or not self.admission.start_rollout(now):
            return None
        task = self.samples.start(allowed)
        if task is None:
            self.admission.finish_rollout(now)
        return task

    def rollout_piece(
        self, task: SampleTask, text: str, tokens: int, version: int | None, since: float
    ) -> Verdict:
        """Take a piece of a running rollout.

        :param version: as the engine named it; none where it names none
        :param since: monotonic time at which the run started
        """
        if version is None or not self.swap.is_possible(task.model, version, since):
            return Verdict.STOP
        if not self.samples.piece(task, text, tokens, version):
            return Verdict.STOP
        if self.admission.rollouts_to_pause() > self.pausing:
            self.pausing += 1
            return Verdict.PAUSE
        return Verdict.GO_ON

    def end_rollout(self, task: SampleTask, whole: bool, paused: bool, now: float) -> list[str]:
        """Note the end of a rollout's run.

        :param whole: whether the engine sent its end mark
        :returns: the calls that were admitted into the room
        """
        if whole:
            self.samples.finish(task)
        else:
            self.samples.fail(task, keep=paused)
        if paused:
            self.pausing -= 1
        return self.admission.finish_rollout(now)

    # -- sync ------------------------------------------------------------------------------

    def handle(self, request: Request, now: float) -> Reply:
        """Answer a message of the sync exchange."""
        self.observe(now)
        if isinstance(request, SyncRequest):
            return self._beat(request, now)
        if isinstance(request, StepPoll):
            return self._poll(request, now)
        if isinstance(request, CloseStep):
            self.samples.close(request)
            return StepClosed(request.key)
        if isinstance(request, KeyQuery):
            state = self.keys.state(request.key)
            return KeyAnswer(self.incarnation, "" if state is None else state.value)
        raise TypeError(type(request).__name__)

    def _beat(self, request: SyncRequest, now: float) -> SyncReply:
        if request.snapshot is not None:
            self.chain.restore(request.snapshot)
        self.chain.apply(request.changes)
        if not self.freeze.unseen_wait_s(now):  # else it may have lain here
            self.heard_at = now
        if self.marks.merge(request.marks):
            self.samples.drop_closed()
        self.samples.sweep(now)
        changes, snapshot = self.chain.update_for(request.revision)
        marks = self.marks.since(request.marks_seen)
        return SyncReply(self.report(now), changes, snapshot, marks, self.marks.count)

    def _poll(self, poll: StepPoll, now: float) -> Reply:
        if poll.revision < self.chain.revision:
            changes, snapshot = self.chain.update_for(poll.revision)
            return StepRefused(Reason.SENDER_BEHIND.value, changes=changes, snapshot=snapshot)
        # What its gateway already knows may be that this endpoint is drained.
        lags = poll.revision > self.chain.revision
        takes_work = not self.leaving and not lags and not self.swap.is_stuck(poll.model, now)
        return self.samples.poll(poll, takes_work, now)

    def report(self, now: float) -> EndpointReport:
        """Return what holds here."""
        return EndpointReport(
            endpoint=self.settings.endpoint,
            incarnation=self.incarnation,
            revision=self.chain.revision,
            epoch=self.keys.epoch(now),
            leaving=self.leaving,
            slots=self.settings.slots,
            running=len(self.admission.running),
            queued=len(self.admission.queue),
            rollouts=self.admission.rollouts,
            weights=self.swap.verified(),
            problems=tuple(self._problems()),
        )

    def _problems(self) -> list[str]:
        problems = []
        if self.endpoint is None:
            problems.append("endpoint is not declared")
        serving = self.swap.verified()
        for model, version in self.declared_versions().items():
            if serving.get(model) != version:
                problems.append(f"{model}: serves {serving.get(model)}, declared {version}")
        return problems


__all__ = ["CallRequest", "SidecarCore", "Verdict"]
