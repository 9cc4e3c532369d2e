"""Idempotency keys at one sidecar: which requests run and which get a stored response.

A :class:`Binding` binds a key to one incarnation of one sidecar. That incarnation keeps its keys in
memory and runs each at most once. Time is counted in epochs of the sidecar's own monotonic clock,
so that clocks of different machines are never compared: a binding names the epoch in which it was
made and is refused once ``EPOCHS_PER_WINDOW`` epochs have passed. A used key is stored for as long.

A refusal with the outcome "not run" closes a key. An earlier copy of the same request may still be
in transit, in a suspended gateway or in a socket buffer, and must not run after the caller was told
"not run". Each refusal has a number, and the key runs later only for a request that shows the
newest number, which no request sent before the refusal can do. A full table evicts its refused
keys and compares only the numbers from then on; a key that ran is never evicted before its window
ends.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from enum import StrEnum

import msgspec

from threadramp.wire.outcomes import DEFAULT_RETRY_AFTER_S, Outcome, Reason, Refusal

EPOCHS_PER_WINDOW = 8
KEY_REFUSED_MESSAGE = "this key was refused; send it with the refusal's number, or take a new key"


class Binding(msgspec.Struct, frozen=True, array_like=True):
    """Binds a key to one incarnation of one sidecar."""

    key: str
    pool: str
    endpoint: str
    incarnation: str
    epoch: int


class KeyState(StrEnum):
    """State of a key; ``UNKNOWN`` if its request was sent and no complete response came back."""

    RUNNING = "running"
    RAN = "ran"
    UNKNOWN = "unknown"
    REFUSED = "refused"


@dataclass(frozen=True)
class EndpointResponse:
    """The complete response of an endpoint."""

    status: int
    content_type: str
    body: bytes


@dataclass(frozen=True)
class KeyEntry:
    """The stored state of one key.

    :param refusal: number of the newest refusal; only a request that shows this number is run
    :param response: none if there is no response yet, or if it is not stored
    """

    epoch: int
    body_digest: str
    state: KeyState
    refusal: int = 0
    response: EndpointResponse | None = None


@dataclass(frozen=True)
class Run:
    """Decision: run the request now, and end it with :meth:`KeyTable.finish`."""


@dataclass(frozen=True)
class Replay:
    """Decision: the request has run already; return its stored response."""

    response: EndpointResponse


@dataclass(frozen=True)
class Wait:
    """Decision: the same request is running for an earlier sender; wait until it ends."""


Decision = Run | Replay | Wait | Refusal


class KeyTable:
    """The keys of one incarnation.

    :param window_s: seconds for which a binding is valid
    :param max_keys: maximum number of stored keys; a key that ran is never evicted before its
        window ends
    :param max_responses: maximum number of stored responses; the oldest is evicted first
    :ivar min_refusal_seen: a key that is not stored runs only for a request that shows at least
        this refusal number, as refusals up to it may have been evicted
    :ivar stored_responses: keys whose response is stored, oldest first
    """

    def __init__(
        self,
        endpoint: str,
        incarnation: str,
        window_s: float,
        max_keys: int,
        max_responses: int,
        now: float,
    ) -> None:
        self.endpoint = endpoint
        self.incarnation = incarnation
        self.epoch_s = window_s / EPOCHS_PER_WINDOW
        self.max_keys = max_keys
        self.max_responses = max_responses
        self.started_at = now
        self.last_refusal_number = 0
        self.min_refusal_seen = 0
        self.entries: dict[str, KeyEntry] = {}
        self.stored_responses: dict[str, None] = {}
        self.swept_epoch = 0

    def epoch(self, now: float) -> int:
        """Return the number of whole epochs from the start until ``now``."""
        return int((now - self.started_at) / self.epoch_s)

    def begin(self, binding: Binding, body_digest: str, refusal_seen: int, now: float) -> Decision:
        """Decide whether a request with a key is run, replayed, delayed or refused.

        :param refusal_seen: number of the refusal that the request shows, 0 for none
        """
        if (binding.endpoint, binding.incarnation) != (self.endpoint, self.incarnation):
            return Refusal.unknown(
                Reason.INCARNATION_GONE,
                "the sidecar that held this key is gone; it is not run again",
            )
        self._remove_expired_keys(now)
        entry = self.entries.get(binding.key)
        if entry is not None and entry.state is not KeyState.REFUSED:
            return self._resend_decision(entry, body_digest)
        if entry is not None and refusal_seen != entry.refusal:
            return self.refuse(binding, Reason.KEY_REFUSED, KEY_REFUSED_MESSAGE, now)
        if entry is None:
            refusal = self._refuse_new_key(binding, refusal_seen, now)
            if refusal is not None:
                return refusal
        self.entries[binding.key] = KeyEntry(binding.epoch, body_digest, KeyState.RUNNING)
        return Run()

    def refuse(self, binding: Binding, reason: Reason, message: str, now: float) -> Refusal:
        """Refuse a key and store the refusal.

        :returns: "not run", or "unknown" if the key has run, runs or may have run
        """
        entry = self.entries.get(binding.key)
        if entry is not None and entry.state is not KeyState.REFUSED:
            return Refusal.unknown(reason, message, DEFAULT_RETRY_AFTER_S)
        if entry is None and self._is_expired(binding, now):
            return _expired_refusal()  # the key may have run and been removed since
        self.last_refusal_number += 1
        if entry is not None or self._make_room():
            self.entries[binding.key] = KeyEntry(
                binding.epoch, "", KeyState.REFUSED, refusal=self.last_refusal_number
            )
        else:
            self.min_refusal_seen = self.last_refusal_number  # replaces the entry that does not fit
        refusal = Refusal.not_run(reason, message, DEFAULT_RETRY_AFTER_S)
        return replace(refusal, number=self.last_refusal_number)

    def withdraw(self, binding: Binding, reason: Reason, message: str, now: float) -> Refusal:
        """Refuse a key that was about to run, before any byte of its request was sent."""
        self.entries.pop(binding.key, None)
        return self.refuse(binding, reason, message, now)

    def finish(self, key: str, response: EndpointResponse | None, keep: bool) -> None:
        """Record how a run ended.

        :param response: the endpoint's response, or none if it is not known whether it ran
        :param keep: whether the response is short enough to be stored
        """
        entry = self.entries[key]
        if response is None:
            self.entries[key] = replace(entry, state=KeyState.UNKNOWN)
            return
        self.entries[key] = replace(entry, state=KeyState.RAN, response=response if keep else None)
        if keep:
            self.stored_responses[key] = None
            self._evict_responses()

    def state(self, key: str) -> KeyState | None:
        """Return the state of a key, or none if it is not stored here."""
        entry = self.entries.get(key)
        return None if entry is None else entry.state

    def _resend_decision(self, entry: KeyEntry, body_digest: str) -> Decision:
        if entry.body_digest != body_digest:
            return Refusal.unknown(Reason.KEY_REUSED, "this key was used with another body")
        if entry.state is KeyState.RUNNING:
            return Wait()
        if entry.state is KeyState.UNKNOWN:
            return Refusal.unknown(
                Reason.ENDPOINT_FAILED, "its outcome is not known; not run again"
            )
        if entry.response is None:
            return Refusal(Reason.ANSWER_NOT_KEPT, Outcome.RAN, "it ran; its answer is not kept")
        return Replay(entry.response)

    def _refuse_new_key(self, binding: Binding, refusal_seen: int, now: float) -> Refusal | None:
        if self._is_expired(binding, now):
            return _expired_refusal()
        if refusal_seen < self.min_refusal_seen or not self._make_room():
            return self.refuse(binding, Reason.KEYS_FULL, "too many keys are in use", now)
        return None

    def _is_expired(self, binding: Binding, now: float) -> bool:
        return self.epoch(now) >= binding.epoch + EPOCHS_PER_WINDOW

    def _make_room(self) -> bool:
        if len(self.entries) < self.max_keys:
            return True
        refused = [key for key, entry in self.entries.items() if entry.state is KeyState.REFUSED]
        for key in refused:
            del self.entries[key]
        if refused:
            self.min_refusal_seen = self.last_refusal_number  # replaces the evicted entries
        return len(self.entries) < self.max_keys

    def _remove_expired_keys(self, now: float) -> None:
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
            self.stored_responses.pop(key, None)

    def _evict_responses(self) -> None:
        while len(self.stored_responses) > self.max_responses:
            oldest = next(iter(self.stored_responses))
            del self.stored_responses[oldest]
            self.entries[oldest] = replace(self.entries[oldest], response=None)


def _expired_refusal() -> Refusal:
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
