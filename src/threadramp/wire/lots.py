"""What trainers send for a step, and the lines that they get back."""

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
    """A trainer's call for a step.

    :param version: the newest weight version that the trainer has
    :param call: the trainer's own count of its calls for this step; a later one supersedes
    """

    run: str
    version: int
    groups: tuple[GroupRequest, ...]
    deadline_s: float = 1200.0
    call: int = 0


class AckRequest(msgspec.Struct, frozen=True):
    """A trainer's word that it has a lot."""

    run: str
    lot: str


class StepClosure(msgspec.Struct, frozen=True):
    """A closed step.

    :param sidecars: how many sidecars know that it is closed
    :param recorded: whether the key-value service knows; if not, it is told when it answers
    """

    sidecars: int
    recorded: bool


class ProgressLine(msgspec.Struct, frozen=True, tag="progress"):
    """How far a step is."""

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
    """A sample of this answer that is not part of the lot after all; another follows."""

    id: str


class EndLine(msgspec.Struct, frozen=True, tag="end"):
    """The end mark; without it the lot was not delivered."""

    lot: str
    count: int
    digest: str


class ErrorLine(msgspec.Struct, frozen=True, tag="error"):
    """The step was given up; the lot was not delivered."""

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
