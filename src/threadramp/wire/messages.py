"""Messages of the sync exchange between gateways and sidecars."""

from __future__ import annotations

from typing import Any

import msgspec


class Message(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Base of all messages; the tag names the type on the wire."""


class Change(msgspec.Struct, frozen=True, array_like=True):
    """One accepted change of configuration.

    :param spec: the resource's new specification, or none if it was deleted
    """

    revision: int
    change_id: str
    kind: str
    name: str
    spec: dict[str, Any] | None


class SnapshotEntry(msgspec.Struct, frozen=True, array_like=True):
    """One resource of a snapshot, with the revision at which it last changed."""

    kind: str
    name: str
    revision: int
    spec: dict[str, Any]


class Snapshot(msgspec.Struct, frozen=True, array_like=True):
    """The whole configuration at one revision."""

    revision: int
    entries: tuple[SnapshotEntry, ...]


class StepMark(msgspec.Struct, frozen=True, array_like=True):
    """Which steps of a trainer's run are closed: all up to ``mark``, and ``beyond``."""

    trainer: str
    run: str
    mark: int
    beyond: tuple[int, ...] = ()


class EndpointReport(msgspec.Struct, frozen=True, array_like=True):
    """The state of one endpoint, as reported by its sidecar.

    :param epoch: the sidecar's count of key epochs, see :mod:`threadramp.core.keys`
    :param leaving: whether it accepts no new work
    :param weights: verified versions by model; a missing model is not verified
    """

    endpoint: str
    incarnation: str
    revision: int
    epoch: int
    leaving: bool
    slots: int
    running: int
    queued: int
    rollouts: int
    weights: dict[str, int]
    problems: tuple[str, ...] = ()


class SyncRequest(Message, frozen=True):
    """A heartbeat of a gateway with its state, so that the sidecar replies with what is missing."""

    sender: str
    revision: int
    changes: tuple[Change, ...] = ()
    snapshot: Snapshot | None = None
    marks: tuple[StepMark, ...] = ()
    marks_seen: int = -1


class SyncReply(Message, frozen=True):
    """The reply of a sidecar to a heartbeat.

    :param marks_count: the sidecar's count of changes to its marks
    """

    report: EndpointReport
    changes: tuple[Change, ...] = ()
    snapshot: Snapshot | None = None
    marks: tuple[StepMark, ...] = ()
    marks_count: int = 0


class StepKey(msgspec.Struct, frozen=True, array_like=True):
    """A step of one run of a trainer."""

    trainer: str
    run: str
    step: int


class CallStamp(msgspec.Struct, frozen=True, array_like=True, order=True):
    """Orders the requests for one step: a later one supersedes an earlier one.

    :param number: number of the request, counted by the trainer
    :param started_ms: wall clock of the gateway, only to break ties
    """

    number: int
    started_ms: int
    nonce: str


class SampleSpec(msgspec.Struct, frozen=True, array_like=True):
    """A sample that a sidecar should produce."""

    sample: str
    prompt: str
    max_tokens: int
    seed: int
    attempt: int


class Piece(msgspec.Struct, frozen=True, array_like=True):
    """A run of tokens that one weight version produced."""

    version: int
    tokens: int


class SampleStatus(msgspec.Struct, frozen=True, array_like=True):
    """A finished sample that a sidecar holds."""

    sample: str
    attempt: int
    oldest: int
    newest: int


class RunningStatus(msgspec.Struct, frozen=True, array_like=True):
    """A sample that a sidecar has queued or is producing."""

    sample: str
    attempt: int
    tokens: int
    oldest: int


class SamplePayload(msgspec.Struct, frozen=True, array_like=True):
    """A finished sample with its text and labels."""

    sample: str
    attempt: int
    text: str
    pieces: tuple[Piece, ...]

    @property
    def oldest(self) -> int:
        """Return the oldest version that produced any of it."""
        return min(piece.version for piece in self.pieces)

    @property
    def versions(self) -> tuple[int, ...]:
        """Return all versions that produced it, in ascending order."""
        return tuple(sorted({piece.version for piece in self.pieces}))


class StepPoll(Message, frozen=True):
    """A request of a gateway for one step: submits, cancels and fetches samples."""

    key: StepKey
    call: CallStamp
    revision: int
    model: str
    oldest_allowed: int
    submit: tuple[SampleSpec, ...] = ()
    cancel: tuple[str, ...] = ()
    fetch: tuple[str, ...] = ()


class StepPollReply(Message, frozen=True):
    """The samples of a step at a sidecar, and whether it accepts more."""

    finished: tuple[SampleStatus, ...] = ()
    running: tuple[RunningStatus, ...] = ()
    payloads: tuple[SamplePayload, ...] = ()
    takes_work: bool = True


class StepRefused(Message, frozen=True):
    """The refusal of a request for a step.

    :param reason: a value of :class:`threadramp.wire.outcomes.Reason`
    """

    reason: str
    lot: str = ""
    changes: tuple[Change, ...] = ()
    snapshot: Snapshot | None = None


class CloseStep(Message, frozen=True):
    """Close a step for good, because the trainer received the lot."""

    key: StepKey
    lot: str


class StepClosed(Message, frozen=True):
    """Confirmation that a sidecar closed the step."""

    key: StepKey


class KeyQuery(Message, frozen=True):
    """Ask for the state of an idempotency key."""

    key: str


class KeyAnswer(Message, frozen=True):
    """The state of an idempotency key at a sidecar.

    :param state: a value of :class:`threadramp.core.keys.KeyState`, empty if it has none
    """

    incarnation: str
    state: str


Request = SyncRequest | StepPoll | CloseStep | KeyQuery
Reply = SyncReply | StepPollReply | StepRefused | StepClosed | KeyAnswer

__all__ = [
    "CallStamp",
    "Change",
    "CloseStep",
    "EndpointReport",
    "KeyAnswer",
    "KeyQuery",
    "Message",
    "Piece",
    "Reply",
    "Request",
    "RunningStatus",
    "SamplePayload",
    "SampleSpec",
    "SampleStatus",
    "Snapshot",
    "SnapshotEntry",
    "StepClosed",
    "StepKey",
    "StepMark",
    "StepPoll",
    "StepPollReply",
    "StepRefused",
    "SyncReply",
    "SyncRequest",
]
