"""What one engine serves: verified versions, orders under way, and which labels are possible."""

from __future__ import annotations

from dataclasses import dataclass

ORDER_BACKOFF_MIN_S = 0.2
ORDER_BACKOFF_MAX_S = 10.0
READ_INTERVAL_S = 2.0  # an engine that obeys a late order is noticed within this time
STUCK_AFTER_S = 1.0  # without a verified version, work that waits here is better off elsewhere
HISTORY_LENGTH = 64
REVISION_SHIFT = 42  # wall clock milliseconds take 41 bits until the year 2039


@dataclass(frozen=True)
class Order:
    """Order the engine to load a version."""

    model: str
    version: int
    fencing_token: int


@dataclass(frozen=True)
class ReadVersions:
    """Ask the engine what it serves."""


@dataclass(frozen=True)
class Served:
    """One version that the engine may have served from a time on."""

    since: float
    version: int


@dataclass(frozen=True)
class ModelState:
    """What is known of one model at the engine.

    :param verified: the version that a read-back confirmed, none if not known
    :param ordered: the version of an order under way, none if there is none
    :param next_order: monotonic time before which no order is sent
    """

    verified: int | None = None
    ordered: int | None = None
    next_order: float = 0.0
    backoff_s: float = ORDER_BACKOFF_MIN_S
    history: tuple[Served, ...] = ()


class ServedVersions:
    """The sidecar's own record of its engine's versions.

    :param started_ms: wall clock at the sidecar's start, the lower part of each order's number
    :param delay_s: this engine's share of the time over which a fleet's loads are spread
    :ivar generation: raised whenever the served version may have changed
    :ivar outdone_at: monotonic time at which the engine was last found to have obeyed an order of a
        newer revision than the one known here
    """

    def __init__(self, started_ms: int, delay_s: float = 0.0) -> None:
        self.started_ms = started_ms
        self.delay_s = delay_s
        self.wanted: dict[str, int] = {}
        self.wanted_since: dict[str, float] = {}
        self.models: dict[str, ModelState] = {}
        self.boot = ""
        self.generation = 0
        self.next_read = 0.0
        self.verified_at: dict[str, float] = {}
        self.fence_floor = 0
        self.revision = 0
        self.outdone_at = float("-inf")

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
        """Return what to do towards the declared versions.

        :param declared: version by model
        :param revision: of the configuration that declares them
        """
        self._note_wanted(declared, now)
        self.revision = revision
        unread = any(self._state(model).verified is None for model in declared)
        read_after = ORDER_BACKOFF_MIN_S if unread else READ_INTERVAL_S
        if now >= self.next_read:
            self.next_read = now + read_after
            return [ReadVersions()]
        fence = max((revision << REVISION_SHIFT) + self.started_ms, self.fence_floor)
        return [
            Order(model, version, fence)
            for model, version in sorted(declared.items())
            if self._needs_order(model, version, now)
        ]

    def record_order_sent(self, order: Order, now: float) -> None:
        """Note that an order is about to leave: from now on both versions are possible."""
        state = self._state(order.model)
        self.generation += 1
        self.models[order.model] = ModelState(
            verified=state.verified,
            ordered=order.version,
            next_order=now + state.backoff_s,
            backoff_s=min(state.backoff_s * 2, ORDER_BACKOFF_MAX_S),
            history=_note(state.history, now, order.version),
        )

    def record_order_result(
        self, model: str, accepted: bool, now: float, engine_fence: int = 0
    ) -> None:
        """Note an order's answer; either way only a read-back says what is served.

        :param accepted: whether the engine said that it had loaded the version
        :param engine_fence: the number that the engine holds, if it refused an older one
        """
        state = self._state(model)
        self.generation += 1
        self.fence_floor = max(self.fence_floor, engine_fence)
        if engine_fence >> REVISION_SHIFT > self.revision:
            self.outdone_at = now
        self.models[model] = ModelState(
            verified=None,
            next_order=state.next_order,
            backoff_s=state.backoff_s,
            history=state.history,
        )
        self.next_read = now
        del accepted  # a swap that claims success is verified like one that failed

    def record_versions(self, boot: str, served: dict[str, int | None], now: float) -> None:
        """Note what the engine says that it serves.

        :param boot: the engine's start mark
        :param served: version by model, none where it does not know
        """
        if boot != self.boot:
            self.boot = boot
            self.generation += 1
        for model in {*served, *self.models}:
            self._note_read(model, served.get(model), now)

    def record_freeze(self, now: float) -> None:
        """Note that this process was frozen: nothing is verified any more."""
        self.invalidate(now)

    def invalidate(self, now: float) -> None:
        """Forget all verified versions; a read-back comes next."""
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
        """Return whether a model has not been verified for longer than a swap takes."""
        if self._state(model).verified is not None:
            self.verified_at[model] = now
        return now - self.verified_at.setdefault(model, now) > STUCK_AFTER_S

    def may_have_served(self, model: str, version: int, since: float) -> bool:
        """Return whether a piece produced after ``since`` can be of ``version``."""
        state = self._state(model)
        before = [item for item in state.history if item.since <= since]
        after = [item for item in state.history if item.since > since]
        # The newest order before may still have been under way, so its predecessor counts too.
        possible = before[-2:] + after
        return any(item.version == version for item in possible)

    def _needs_order(self, model: str, version: int, now: float) -> bool:
        state = self._state(model)
        if state.ordered is not None or now < state.next_order:
            return False
        if now < self.wanted_since[model] + self.delay_s:
            return False
        return state.verified != version

    def _note_wanted(self, declared: dict[str, int], now: float) -> None:
        for model, version in declared.items():
            if self.wanted.get(model) != version:
                self.wanted[model] = version
                self.wanted_since[model] = now

    def _note_read(self, model: str, version: int | None, now: float) -> None:
        state = self._state(model)
        if version != state.verified:
            self.generation += 1
        history = state.history
        if version is not None:
            history = _note(history, now, version)
        settled = version is not None and version == state.verified
        self.models[model] = ModelState(
            verified=version,
            ordered=state.ordered,
            next_order=state.next_order,
            backoff_s=ORDER_BACKOFF_MIN_S if settled else state.backoff_s,
            history=history,
        )

    def _state(self, model: str) -> ModelState:
        return self.models.get(model, ModelState())


def _note(history: tuple[Served, ...], now: float, version: int) -> tuple[Served, ...]:
    if history and history[-1].version == version:
        return history
    return (*history, Served(now, version))[-HISTORY_LENGTH:]


__all__ = ["Order", "ReadVersions", "ServedVersions"]
