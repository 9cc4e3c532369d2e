"""State of one sidecar: admission of calls and rollouts, keys, and orders to its engine."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, auto
from typing import TYPE_CHECKING

from threadramp.core.admission import Admission, Admitted, Queued
from threadramp.core.chain import ConfigurationChain
from threadramp.core.closed_steps import ClosedSteps
from threadramp.core.freeze import FreezeDetector
from threadramp.core.keys import KeyState, KeyTable, Run
from threadramp.core.samples import SampleBuffer
from threadramp.core.served_versions import Order, ServedVersions
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
    from threadramp.core.keys import Binding, EndpointResponse, Replay, Wait
    from threadramp.core.samples import SampleTask
    from threadramp.core.served_versions import ReadVersions
    from threadramp.wire.messages import Reply, Request

MAX_HEARTBEAT_AGE_S = 10.0  # several heartbeats; after that, another sidecar may serve the engine
MAX_QUEUE = 256
MAX_STORED_RESPONSES = 4096
DEFAULT_RESERVE = "none"


@dataclass(frozen=True)
class CallRequest:
    """A call as a sidecar receives it.

    :param time_left_s: seconds until the caller needs the response
    :param revision: configuration revision of the gateway that sent the call
    :param refusal_seen: number of the key's newest refusal that the caller shows, 0 for none
    :param model: the model that the call asks for, empty at a plain service
    """

    call: str
    rank: int
    time_left_s: float
    revision: int
    binding: Binding | None
    body_digest: str
    refusal_seen: int
    model: str = ""


class RolloutAction(Enum):
    """How a running rollout proceeds after a piece of its output."""

    CONTINUE = auto()
    STOP = auto()
    PAUSE = auto()


class SidecarCore:
    """All state of one sidecar; the caller holds a lock around each method.

    :param incarnation: id of this process; a restarted sidecar has another one
    :param started_ms: wall clock at the start, the lower part of each order's fencing token
    :param reserve: name of the reserve policy
    :ivar stopping: whether a planned stop is in progress
    :ivar pausing_rollouts: running rollouts that were told to pause and have not ended yet
    :ivar last_heartbeat_at: monotonic time of the newest heartbeat that is certain to be recent
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
        self.chain = ConfigurationChain()
        self.closed_steps = ClosedSteps()
        self.samples = SampleBuffer(self.closed_steps)
        share = hash_fraction(settings.endpoint)
        self.served_versions = ServedVersions(started_ms, share * settings.load_spread_s)
        self.freeze = FreezeDetector(settings.freeze_limit_s, now)
        self.admission = Admission(settings.slots, MAX_QUEUE, RESERVES[reserve]())
        self.keys = KeyTable(
            settings.endpoint,
            incarnation,
            settings.key_window_s,
            settings.max_keys,
            MAX_STORED_RESPONSES,
            now,
        )
        self.stopping = False
        self.pausing_rollouts = 0
        self.last_heartbeat_at = float("-inf")

    # -- configuration ---------------------------------------------------------------------

    @property
    def endpoint(self) -> Endpoint | None:
        """Return the declared endpoint of this sidecar, none if it is not declared."""
        return self.chain.get("endpoint", self.settings.endpoint)

    @property
    def pool(self) -> Pool | None:
        """Return the pool of this sidecar's endpoint, none if it is not declared."""
        endpoint = self.endpoint
        return None if endpoint is None else self.chain.get("pool", endpoint.pool)

    @property
    def leaving(self) -> bool:
        """Return whether this sidecar refuses new work."""
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
        """Record the time; a freeze of this process invalidates the verified versions."""
        if self.freeze.observe(now):
            self.served_versions.record_freeze(now)

    def next_engine_actions(self, now: float) -> list[Order | ReadVersions]:
        """Return the orders and reads that bring the engine to the declared versions."""
        self.observe(now)
        due = self.served_versions.next_actions(self.declared_versions(), self.chain.revision, now)
        return [one for one in due if not isinstance(one, Order) or self.may_send_order(one, now)]

    def may_send_order(self, order: Order, now: float) -> bool:
        """Return whether an order may still be sent; checked again right before the send.

        The declared versions must have been confirmed by a gateway's heartbeat that is recent, and
        that arrived after the engine was last found to have obeyed an order of a newer revision.
        """
        self.observe(now)
        is_fresh = (
            now - self.last_heartbeat_at <= MAX_HEARTBEAT_AGE_S
            and self.last_heartbeat_at >= self.served_versions.superseded_at
        )
        return is_fresh and self.declared_versions().get(order.model) == order.version

    # -- calls -----------------------------------------------------------------------------

    def begin_call(
        self, request: CallRequest, now: float
    ) -> Admitted | Queued | Replay | Wait | Refusal:
        """Admit, queue, replay, delay or refuse a call that has arrived."""
        self.observe(now)
        binding = request.binding
        if binding is not None and self._is_decided_by_key(binding):
            return self.keys.begin(binding, request.body_digest, request.refusal_seen, now)
        deadline = now + request.time_left_s - self.freeze.unseen_wait_s(now)
        refusal = self._check_call(request, deadline, now)
        if refusal is not None:
            return self._record_refusal(binding, refusal, now)
        if binding is not None:
            decision = self.keys.begin(binding, request.body_digest, request.refusal_seen, now)
            if not isinstance(decision, Run):
                return decision
        offered = self.admission.offer(request.call, request.rank, deadline, now)
        if isinstance(offered, Refusal) and binding is not None:
            return self.keys.withdraw(binding, offered.reason, offered.message, now)
        return offered

    def may_send(self, deadline: float, now: float) -> bool:
        """Return whether a call may still be sent to the endpoint; checked right before sending."""
        self.observe(now)
        return now < deadline

    def withdraw_call(
        self, call: str, binding: Binding | None, reason: Reason, message: str, now: float
    ) -> tuple[Refusal, list[str]]:
        """Cancel a call of which no byte was sent to the endpoint.

        :returns: the refusal, and the queued calls that were admitted in its place
        """
        self.admission.remove_waiting(call)
        admitted = self.admission.finish(call, now)
        if binding is None:
            return Refusal.not_run(reason, message, DEFAULT_RETRY_AFTER_S), admitted
        return self.keys.withdraw(binding, reason, message, now), admitted

    def end_call(
        self, call: str, binding: Binding | None, response: EndpointResponse | None, now: float
    ) -> list[str]:
        """Record the end of a call that was sent to the endpoint.

        :param response: the endpoint's complete response, or none if none came
        :returns: the queued calls that were admitted in its place
        """
        if binding is not None:
            keep = response is not None and len(response.body) <= self.settings.max_answer_bytes
            self.keys.finish(binding.key, response, keep)
        return self.admission.finish(call, now)

    def _is_decided_by_key(self, binding: Binding) -> bool:
        state = self.keys.state(binding.key)
        return binding.incarnation != self.incarnation or state not in (None, KeyState.REFUSED)

    def _check_call(self, request: CallRequest, deadline: float, now: float) -> Refusal | None:
        if request.revision < self.chain.revision:
            return Refusal.not_run(
                Reason.SENDER_BEHIND,
                "the gateway has an older revision",
            )
        if request.revision > self.chain.revision:
            # The gateway has accepted a change that has not arrived here. Under the older revision
            # the call would run at a drained endpoint, or its valid response would be rejected.
            return Refusal.not_run(
                Reason.RECEIVER_BEHIND,
                "the sidecar has an older revision",
                1,
            )
        if self.leaving:
            return Refusal.not_run(Reason.LEAVING, "the endpoint is leaving", 1)
        if deadline <= now:
            return Refusal.not_run(Reason.DEADLINE, "its deadline has passed")
        if request.model and not self._may_start(request.model):
            return Refusal.not_run(Reason.WEIGHTS_UNKNOWN, "the engine's version is not known", 1)
        return None

    def _record_refusal(self, binding: Binding | None, refusal: Refusal, now: float) -> Refusal:
        if binding is None or refusal.reason in BEHIND:
            return refusal  # not recorded for the key: the gateway resends the call
        return self.keys.refuse(binding, refusal.reason, refusal.message, now)

    def _may_start(self, model: str) -> bool:
        endpoint = self.endpoint
        return endpoint is not None and self.served_versions.may_start(
            model, endpoint.names_versions
        )

    # -- rollouts --------------------------------------------------------------------------

    def next_rollout(self, now: float) -> SampleTask | None:
        """Return the next sample to run, none if no sample or no slot is available."""
        self.observe(now)
        pool = self.pool
        if pool is None or self.leaving or not self.samples.queued_count():
            return None
        allowed = {model for model in pool.models if self._may_start(model)}
        if not allowed or not self.admission.start_rollout(now):
            return None
        task = self.samples.next_task(allowed)
        if task is None:
            self.admission.finish_rollout(now)
        return task

    def rollout_piece(
        self, task: SampleTask, text: str, tokens: int, version: int | None, since: float
    ) -> RolloutAction:
        """Handle a piece of a running rollout's output.

        :param version: weight version that the engine named, none if it named none
        :param since: monotonic time at which the run started
        """
        if version is None or not self.served_versions.may_have_served(task.model, version, since):
            return RolloutAction.STOP
        if not self.samples.add_piece(task, text, tokens, version):
            return RolloutAction.STOP
        if self.admission.rollouts_to_pause() > self.pausing_rollouts:
            self.pausing_rollouts += 1
            return RolloutAction.PAUSE
        return RolloutAction.CONTINUE

    def end_rollout(self, task: SampleTask, complete: bool, paused: bool, now: float) -> list[str]:
        """Record the end of a rollout's run.

        :param complete: whether the engine sent its end mark
        :returns: the queued calls that were admitted in its place
        """
        if complete:
            self.samples.finish(task)
        else:
            self.samples.requeue(task, keep_text=paused)
        if paused:
            self.pausing_rollouts -= 1
        return self.admission.finish_rollout(now)

    # -- sync ------------------------------------------------------------------------------

    def handle(self, request: Request, now: float) -> Reply:
        """Return the reply to a message of the sync exchange."""
        self.observe(now)
        if isinstance(request, SyncRequest):
            return self._handle_heartbeat(request, now)
        if isinstance(request, StepPoll):
            return self._handle_poll(request, now)
        if isinstance(request, CloseStep):
            self.samples.close(request)
            return StepClosed(request.key)
        if isinstance(request, KeyQuery):
            state = self.keys.state(request.key)
            return KeyAnswer(self.incarnation, "" if state is None else state.value)
        raise TypeError(type(request).__name__)

    def _handle_heartbeat(self, request: SyncRequest, now: float) -> SyncReply:
        if request.snapshot is not None:
            self.chain.restore(request.snapshot)
        self.chain.apply(request.changes)
        if not self.freeze.unseen_wait_s(now):  # else it may be from before a freeze
            self.last_heartbeat_at = now
        if self.closed_steps.merge(request.marks):
            self.samples.drop_closed()
        self.samples.sweep(now)
        changes, snapshot = self.chain.update_for(request.revision)
        marks = self.closed_steps.since(request.marks_seen)
        return SyncReply(self.report(now), changes, snapshot, marks, self.closed_steps.change_count)

    def _handle_poll(self, poll: StepPoll, now: float) -> Reply:
        if poll.revision < self.chain.revision:
            changes, snapshot = self.chain.update_for(poll.revision)
            return StepRefused(Reason.SENDER_BEHIND.value, changes=changes, snapshot=snapshot)
        # A newer revision at the gateway may drain this endpoint.
        lags = poll.revision > self.chain.revision
        takes_work = (
            not self.leaving and not lags and not self.served_versions.is_stuck(poll.model, now)
        )
        return self.samples.handle_poll(poll, takes_work, now)

    def report(self, now: float) -> EndpointReport:
        """Return this sidecar's state for its gateways."""
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
            weights=self.served_versions.verified(),
            problems=tuple(self._problems()),
        )

    def _problems(self) -> list[str]:
        problems = []
        if self.endpoint is None:
            problems.append("endpoint is not declared")
        serving = self.served_versions.verified()
        for model, version in self.declared_versions().items():
            if serving.get(model) != version:
                problems.append(f"{model}: serves {serving.get(model)}, declared {version}")
        return problems


__all__ = ["CallRequest", "SidecarCore", "RolloutAction"]
