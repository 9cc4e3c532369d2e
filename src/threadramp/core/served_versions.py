"""Weight versions of one engine: verified versions, orders in progress, possible version labels."""

from __future__ import annotations

from dataclasses import dataclass

ORDER_BACKOFF_MIN_S = 0.2
ORDER_BACKOFF_MAX_S = 10.0
READ_INTERVAL_S = 2.0  # an engine that obeys a late order is detected within this time
STUCK_AFTER_S = 1.0  # without a verified version, queued work is moved elsewhere
HISTORY_LENGTH = 64
REVISION_SHIFT = 42  # wall clock milliseconds fit into 41 bits until the year 2039


@dataclass(frozen=True)
class Order:
    """Action: order the engine to load a version."""

    model: str
    version: int
    fencing_token: int


@dataclass(frozen=True)
class ReadVersions:
    """Action: read which versions the engine serves."""


@dataclass(frozen=True)
class ServedVersion:
    """A version that the engine may have served since a monotonic time."""

    since: float
    version: int


@dataclass(frozen=True)
class ModelState:
    """Known state of one model at the engine.

    :param verified: the version that the newest read-back returned, none if it is not known
    :param ordered: the version of an order in progress, none if there is none
    :param next_order: monotonic time before which no order is sent
    :param backoff_s: delay until an order may be repeated
    :param history: versions that the engine may have served, oldest first
    """

    verified: int | None = None
    ordered: int | None = None
    next_order: float = 0.0
    backoff_s: float = ORDER_BACKOFF_MIN_S
    history: tuple[ServedVersion, ...] = ()


class ServedVersions:
    """The sidecar's record of the versions that its engine serves.

    :param started_ms: wall clock at the sidecar's start, the lower part of each order's fencing
        token
    :param delay_s: delay of this engine's loads, which are spread over some time in a fleet
    :ivar declared: newest declared version by model
    :ivar boot: id of the engine's current start
    :ivar generation: raised whenever the served version may have changed
    :ivar min_fencing_token: the highest token with which the engine has refused an order
    :ivar superseded_at: monotonic time at which the engine was last found to have obeyed an order
        of a newer revision than the one known here
    """

    def __init__(self, started_ms: int, delay_s: float = 0.0) -> None:
        self.started_ms = started_ms
        self.delay_s = delay_s
        self.declared: dict[str, int] = {}
        self.declared_since: dict[str, float] = {}
        self.models: dict[str, ModelState] = {}
        self.boot = ""
        self.generation = 0
        self.next_read = 0.0
        self.verified_at: dict[str, float] = {}
        self.min_fencing_token = 0
        self.revision = 0
        self.superseded_at = float("-inf")

    def verified(self) -> dict[str, int]:
        """Return the verified versions by model."""
        return {
            model: state.verified
            for model, state in self.models.items()
            if state.verified is not None
        }

    def next_actions(
        self, declared: dict[str, int], revision: int, now: float
    ) -> list[Order | ReadVersions]:
        """Return the next actions towards the declared versions.

        :param declared: version by model
        :param revision: configuration revision that declares them
        """
        self._record_declared(declared, now)
        self.revision = revision
        unread = any(self._state(model).verified is None for model in declared)
        read_after = ORDER_BACKOFF_MIN_S if unread else READ_INTERVAL_S
        if now >= self.next_read:
            self.next_read = now + read_after
            return [ReadVersions()]
        fencing_token = max((revision << REVISION_SHIFT) + self.started_ms, self.min_fencing_token)
        return [
            Order(model, version, fencing_token)
            for model, version in sorted(declared.items())
            if self._needs_order(model, version, now)
        ]

    def record_order_sent(self, order: Order, now: float) -> None:
        """Record that an order is about to be sent; from now on both versions are possible."""
        state = self._state(order.model)
        self.generation += 1
        self.models[order.model] = ModelState(
            verified=state.verified,
            ordered=order.version,
            next_order=now + state.backoff_s,
            backoff_s=min(state.backoff_s * 2, ORDER_BACKOFF_MAX_S),
            history=_append_version(state.history, now, order.version),
        )

    def record_order_result(
        self, model: str, accepted: bool, now: float, engine_fencing_token: int = 0
    ) -> None:
        """Record the response to an order; the version is unverified until the next read-back.

        :param accepted: whether the engine reported that it had loaded the version
        :param engine_fencing_token: the engine's token, if it refused the order's as an older one
        """
        state = self._state(model)
        self.generation += 1
        self.min_fencing_token = max(self.min_fencing_token, engine_fencing_token)
        if engine_fencing_token >> REVISION_SHIFT > self.revision:
            self.superseded_at = now
        self.models[model] = ModelState(
            verified=None,
            next_order=state.next_order,
            backoff_s=state.backoff_s,
            history=state.history,
        )
        self.next_read = now
        del accepted  # a reported success is verified in the same way as a failure

    def record_versions(self, boot: str, served: dict[str, int | None], now: float) -> None:
        """Record the versions that the engine reports.

        :param boot: id of the engine's start
        :param served: version by model, none where the engine does not know it
        """
        if boot != self.boot:
            self.boot = boot
            self.generation += 1
        for model in {*served, *self.models}:
            self._record_read(model, served.get(model), now)

    def record_freeze(self, now: float) -> None:
        """Record that this process was frozen, so that no version is verified any more."""
        self.invalidate(now)

    def invalidate(self, now: float) -> None:
        """Invalidate all verified versions, and read them again at once."""
        self.generation += 1
        self.next_read = now
        for model, state in self.models.items():
            self.models[model] = ModelState(
                ordered=state.ordered,
                next_order=state.next_order,
                backoff_s=state.backoff_s,
                history=state.history,
            )

    def may_start(self, model: str, names_versions: bool) -> bool:
        """Return whether new work for a model may be sent to the engine."""
        state = self._state(model)
        if state.verified is None:
            return False
        return names_versions or state.ordered is None

    def is_stuck(self, model: str, now: float) -> bool:
        """Return whether a model has been unverified for longer than a load usually takes."""
        if self._state(model).verified is not None:
            self.verified_at[model] = now
        return now - self.verified_at.setdefault(model, now) > STUCK_AFTER_S

    def may_have_served(self, model: str, version: int, since: float) -> bool:
        """Return whether a piece produced after ``since`` can be of ``version``."""
        state = self._state(model)
        before = [item for item in state.history if item.since <= since]
        after = [item for item in state.history if item.since > since]
        # The newest order before ``since`` may not have ended yet, so its predecessor counts too.
        possible = before[-2:] + after
        return any(item.version == version for item in possible)

    def _needs_order(self, model: str, version: int, now: float) -> bool:
        state = self._state(model)
        if state.ordered is not None or now < state.next_order:
            return False
        if now < self.declared_since[model] + self.delay_s:
            return False
        return state.verified != version

    def _record_declared(self, declared: dict[str, int], now: float) -> None:
        for model, version in declared.items():
            if self.declared.get(model) != version:
                self.declared[model] = version
                self.declared_since[model] = now

    def _record_read(self, model: str, version: int | None, now: float) -> None:
        state = self._state(model)
        if version != state.verified:
            self.generation += 1
        history = state.history
        if version is not None:
            history = _append_version(history, now, version)
        is_confirmed = version is not None and version == state.verified
        self.models[model] = ModelState(
            verified=version,
            ordered=state.ordered,
            next_order=state.next_order,
            backoff_s=ORDER_BACKOFF_MIN_S if is_confirmed else state.backoff_s,
            history=history,
        )

    def _state(self, model: str) -> ModelState:
        return self.models.get(model, ModelState())


def _append_version(
    history: tuple[ServedVersion, ...], now: float, version: int
) -> tuple[ServedVersion, ...]:
    if history and history[-1].version == version:
        return history
    return (*history, ServedVersion(now, version))[-HISTORY_LENGTH:]


__all__ = ["Order", "ReadVersions", "ServedVersions"]
