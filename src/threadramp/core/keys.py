"""Idempotency keys at one sidecar: which request runs, which is answered from memory.

A key binds to one incarnation of one sidecar by a :class:`Binding`. That incarnation's memory
runs a key at most once. Time is counted in epochs of the sidecar's own monotonic clock, so no two
clocks are compared: a binding names the epoch in which it was made and is refused once
``EPOCHS_PER_WINDOW`` epochs have passed, and a used key is remembered for just as long.

A refusal ("not run") of a key closes it: an earlier send of the same request may still be on its
way, in a gateway that was frozen or in a buffer that nobody has read, and must not run after its
caller was told so. Each refusal has a number; the key runs after all only for a request that shows
the number, which none that was sent before the refusal can. A full table drops its refused keys and
refuses by number alone; a key that ran is never evicted before its window is over.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from enum import StrEnum

import msgspec

from threadramp.wire.outcomes import DEFAULT_RETRY_AFTER_S, Outcome, Reason, Refusal

EPOCHS_PER_WINDOW = 8
CLOSED = "this key was refused; send it with the refusal's number, or take a new key"


class Binding(msgspec.Struct, frozen=True, array_like=True):
    """Binds a key to one incarnation of one sidecar."""

    key: str
    pool: str
    endpoint: str
    incarnation: str
    epoch: int


class KeyState(StrEnum):
    """What became of a key."""

    RUNNING = "running"
    RAN = "ran"
    UNKNOWN = "unknown"
    REFUSED = "refused"


@dataclass(frozen=True)
class EndpointResponse:
    """The whole answer of an endpoint."""

    status: int
    content_type: str
    body: bytes


@dataclass(frozen=True)
class KeyEntry:
    """What is remembered of one key.

    :param refusal: number of the newest refusal; only a request that shows it is run
    """

    epoch: int
    body_digest: str
    state: KeyState
    refusal: int = 0
    answer: EndpointResponse | None = None


@dataclass(frozen=True)
class Run:
    """The request is to be run now, and finished with :meth:`KeyTable.finish`."""


@dataclass(frozen=True)
class Replay:
    """The request ran before; this is its answer."""

    response: EndpointResponse


@dataclass(frozen=True)
class Wait:
    """The request is running for an earlier sender; wait for that."""


Decision = Run | Replay | Wait | Refusal


class KeyTable:
    """The keys of one incarnation.

    :param window_s: seconds for which a binding is honoured
    :param max_keys: most keys that are remembered; none is ever evicted before its time
    :param max_answers: most answers that are kept; the oldest is dropped first
    """

    def __init__(
        self,
        endpoint: str,
        incarnation: str,
        window_s: float,
        max_keys: int,
        max_answers: int,
        now: float,
    ) -> None:
        self.endpoint = endpoint
        self.incarnation = incarnation
        self.epoch_s = window_s / EPOCHS_PER_WINDOW
        self.max_keys = max_keys
        self.max_answers = max_answers
        self.started = now
        self.refusals = 0
        self.refused_floor = 0
        self.entries: dict[str, KeyEntry] = {}
        self.answered: dict[str, None] = {}
        self.swept_epoch = 0

    def epoch(self, now: float) -> int:
        """Return the epoch at ``now``."""
        return int((now - self.started) / self.epoch_s)

    def begin(self, binding: Binding, body_digest: str, refusal_seen: int, now: float) -> Decision:
        """Decide on a request with a key.

        :param refusal_seen: number of the refusal that the request shows, 0 for none
        """
        if (binding.endpoint, binding.incarnation) != (self.endpoint, self.incarnation):
            return Refusal.unknown(
                Reason.INCARNATION_GONE,
                "the sidecar that held this key is gone; it is not run again",
            )
        self._sweep(now)
        entry = self.entries.get(binding.key)
        if entry is not None and entry.state is not KeyState.REFUSED:
            return self._resend(entry, body_digest)
        if entry is not None and refusal_seen != entry.refusal:
            return self.refuse(binding, Reason.KEY_REFUSED, CLOSED, now)
        if entry is None:
            refusal = self._refuse_new(binding, refusal_seen, now)
            if refusal is not None:
                return refusal
        self.entries[binding.key] = KeyEntry(binding.epoch, body_digest, KeyState.RUNNING)
        return Run()

    def refuse(self, binding: Binding, reason: Reason, message: str, now: float) -> Refusal:
        """Refuse a key that is not running and remember that; say what may be said."""
        entry = self.entries.get(binding.key)
        if entry is not None and entry.state is not KeyState.REFUSED:
            return Refusal.unknown(reason, message, DEFAULT_RETRY_AFTER_S)
        if entry is None and self._is_expired(binding, now):
            return _expired()  # it may have run and be forgotten
        self.refusals += 1
        if entry is not None or self._has_room():
            self.entries[binding.key] = KeyEntry(
                binding.epoch, "", KeyState.REFUSED, refusal=self.refusals
            )
        else:
            self.refused_floor = self.refusals  # stands for the entry that has no room
        refusal = Refusal.not_run(reason, message, DEFAULT_RETRY_AFTER_S)
        return replace(refusal, number=self.refusals)

    def withdraw(self, binding: Binding, reason: Reason, message: str, now: float) -> Refusal:
        """Refuse a key that was to run, before a byte of it left."""
        self.entries.pop(binding.key, None)
        return self.refuse(binding, reason, message, now)

    def finish(self, key: str, answer: EndpointResponse | None, keep: bool) -> None:
        """Record how a run ended.

        :param answer: the endpoint's answer, or none if it is not known whether it ran
        :param keep: whether the answer is short enough to be kept
        """
        entry = self.entries[key]
        if answer is None:
            self.entries[key] = replace(entry, state=KeyState.UNKNOWN)
            return
        self.entries[key] = replace(entry, state=KeyState.RAN, answer=answer if keep else None)
        if keep:
            self.answered[key] = None
            self._drop_answers()

    def state(self, key: str) -> KeyState | None:
        """Return what became of a key, or none if this incarnation has not seen it."""
        entry = self.entries.get(key)
        return None if entry is None else entry.state

    def _resend(self, entry: KeyEntry, body_digest: str) -> Decision:
        if entry.body_digest != body_digest:
            return Refusal.unknown(Reason.KEY_REUSED, "this key was used with another body")
        if entry.state is KeyState.RUNNING:
            return Wait()
        if entry.state is KeyState.UNKNOWN:
            return Refusal.unknown(
                Reason.ENDPOINT_FAILED, "its outcome is not known; not run again"
            )
        if entry.answer is None:
            return Refusal(Reason.ANSWER_NOT_KEPT, Outcome.RAN, "it ran; its answer is not kept")
        return Replay(entry.answer)

    def _refuse_new(self, binding: Binding, refusal_seen: int, now: float) -> Refusal | None:
        if self._is_expired(binding, now):
            return _expired()
        if refusal_seen < self.refused_floor or not self._has_room():
            return self.refuse(binding, Reason.KEYS_FULL, "too many keys are in use", now)
        return None

    def _is_expired(self, binding: Binding, now: float) -> bool:
        return self.epoch(now) >= binding.epoch + EPOCHS_PER_WINDOW

    def _has_room(self) -> bool:
        if len(self.entries) < self.max_keys:
            return True
        refused = [key for key, entry in self.entries.items() if entry.state is KeyState.REFUSED]
        for key in refused:
            del self.entries[key]
        if refused:
            self.refused_floor = self.refusals  # stands for the entries that were dropped
        return len(self.entries) < self.max_keys

    def _sweep(self, now: float) -> None:
        epoch = self.epoch(now)
        if epoch == self.swept_epoch:
            return
        self.swept_epoch = epoch
        expired = [
            key
            for key, entry in self.entries.items()
            if entry.epoch + EPOCHS_PER_WINDOW <= epoch and entry.state is not KeyState.RUNNING
        ]
        for key in expired:
            del self.entries[key]
            self.answered.pop(key, None)

    def _drop_answers(self) -> None:
        while len(self.answered) > self.max_answers:
            oldest = next(iter(self.answered))
            del self.answered[oldest]
            self.entries[oldest] = replace(self.entries[oldest], answer=None)


def _expired() -> Refusal:
    return Refusal.unknown(Reason.KEY_EXPIRED, "this key is past its window")


__all__ = [
    "EndpointResponse",
    "Binding",
    "Decision",
    "EPOCHS_PER_WINDOW",
    "KeyEntry",
    "KeyState",
    "KeyTable",
    "Replay",
    "Run",
    "Wait",
]
