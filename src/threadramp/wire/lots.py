"""Requests of trainers for a step, and the lines of the response."""

from __future__ import annotations

import msgspec

from threadramp.wire.outcomes import Refusal


class GroupRequest(msgspec.Struct, frozen=True):
    """A group of samples of one prompt."""

    group: str
    prompt: str
    samples: int
    max_tokens: int = 256


class StepRequest(msgspec.Struct, frozen=True):
    """A request of a trainer for a step.

    :param version: the newest weight version that the trainer has
    :param call: number of this request for the step, counted by the trainer; the highest counts
    """

    run: str
    version: int
    groups: tuple[GroupRequest, ...]
    deadline_s: float = 1200.0
    call: int = 0


class AckRequest(msgspec.Struct, frozen=True):
    """An acknowledgement of a trainer that it received a lot."""

    run: str
    lot: str


class StepClosure(msgspec.Struct, frozen=True):
    """A closed step.

    :param sidecars: number of sidecars that recorded the closure
    :param recorded: whether the key-value service recorded it; if not, it is written later
    """

    sidecars: int
    recorded: bool


class ProgressLine(msgspec.Struct, frozen=True, tag="progress"):
    """The progress of a step."""

    finished: int
    wanted: int


class SampleLine(msgspec.Struct, frozen=True, tag="sample"):
    """One sample of the lot, with the versions that produced each run of its tokens."""

    id: str
    group: str
    index: int
    text: str
    versions: tuple[int, ...]
    pieces: tuple[tuple[int, int], ...]


class WithdrawLine(msgspec.Struct, frozen=True, tag="withdraw"):
    """Withdraws a sample of this response from the lot; a replacement follows."""

    id: str


class EndLine(msgspec.Struct, frozen=True, tag="end"):
    """The end marker; without it the lot was not delivered."""

    lot: str
    count: int
    digest: str


class ErrorLine(msgspec.Struct, frozen=True, tag="error"):
    """The step was aborted; the lot was not delivered."""

    error: Refusal


__all__ = [
    "AckRequest",
    "EndLine",
    "ErrorLine",
    "GroupRequest",
    "ProgressLine",
    "SampleLine",
    "StepClosure",
    "StepRequest",
    "WithdrawLine",
]
