"""A lot, its samples and their results, as they are kept and passed on."""

from __future__ import annotations

from enum import Enum

import msgspec

DEFAULT_RANK = 5  # what engines take where none is named


class Reward(msgspec.Struct, frozen=True, array_like=True):
    """The call that scores a sample once its text is whole."""

    id: str
    host: str
    path: str
    body: bytes


class Sample(msgspec.Struct, frozen=True, array_like=True):
    """One sample of a lot, as the trainer asked for it.

    :param headers: pairs of name and value, passed on as they are
    :param tokens: of the prompt and at most of the answer, summed
    :param group: samples of one group share their prompt
    :param expected_tokens: the trainer's guess at the length of the answer, 0 if it gave none
    """

    id: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    tokens: int
    group: str
    reward: Reward | None
    expected_tokens: int


class Lot(msgspec.Struct, frozen=True, array_like=True):
    """What a trainer handed in for one step.

    :param min_version: oldest version of the weights that may have made a token
    :param wanted_groups: whole groups that the trainer waits for
    :param organisation: whose lot it is, empty if nobody's in particular, none where the
        configuration named no organisations
    """

    id: str
    host: str
    path: str
    step: int
    model: str
    min_version: int
    wanted_groups: int
    samples: tuple[Sample, ...]
    organisation: str | None = None


class ResultState(Enum):
    """How a sample ended."""

    SUCCEEDED = "succeeded"
    DEAD = "dead"


class Result(msgspec.Struct, frozen=True, array_like=True):
    """What stands at one position of a lot; it never changes.

    :param score: the signature of the reward call's answer
    """

    sample: str
    state: ResultState
    text: str
    versions: tuple[int, ...]
    score: str


class LotHead(msgspec.Struct, frozen=True, array_like=True):
    """The part of a lot in the store under which all its changes are conditional.

    :param owner: name of the gateway that runs it
    :param incarnation: of that gateway's process
    :param handed_in: seconds of the time of day at which it was taken
    :param result_target_s: results are due this long after the hand-in
    :param give_up_s: a sample may be given up this long after the hand-in
    :param max_attempts: failed runs after which a sample is given up
    :param one_version: whether all of a sample must come from one version of the weights
    :param parts: pieces in which the hand-in is kept
    :param chunks: pieces of results that are kept
    :param listed: positions in those pieces
    :param nonce: names the write that made this head, so that its writer knows it again
    :param rank: of its route among what engines run, 0 is the most urgent
    """

    owner: str
    incarnation: str
    submitted_at: float
    result_target_s: float
    give_up_s: float
    max_attempts: int
    one_version: bool
    total: int
    parts: int
    chunks: int
    listed: int
    ended: bool
    nonce: str
    rank: int = DEFAULT_RANK


class SavedText(msgspec.Struct, frozen=True, array_like=True):
    """Events of a sample that is not finished, kept so that it need not begin anew.

    :param base: number of events before these
    :param versions: of the weights, one for each of ``events``
    :param lineage: names the chain that the events are of
    """

    sample: str
    base: int
    events: tuple[str, ...]
    versions: tuple[int, ...]
    lineage: str


class StoredHead(msgspec.Struct, frozen=True, array_like=True):
    """A lot's head with the revision at which it stands."""

    lot_id: str
    head: LotHead
    revision: int


class StoredLot(msgspec.Struct, frozen=True, array_like=True):
    """A whole lot as the store has it."""

    stored: StoredHead
    lot: Lot
    results: tuple[Result, ...]


def encode(value: msgspec.Struct | tuple) -> bytes:
    """Encode for the store or a peer."""
    return msgspec.msgpack.encode(value)


decode_lot = msgspec.msgpack.Decoder(Lot).decode
decode_head = msgspec.msgpack.Decoder(LotHead).decode
decode_texts = msgspec.msgpack.Decoder(tuple[SavedText, ...]).decode
decode_results = msgspec.msgpack.Decoder(tuple[Result, ...]).decode


__all__ = [
    "StoredHead",
    "StoredLot",
    "Lot",
    "LotHead",
    "Result",
    "ResultState",
    "Reward",
    "Sample",
    "SavedText",
    "decode_head",
    "decode_lot",
    "decode_results",
    "decode_texts",
    "encode",
]
