"""A lot, its samples and their results, as stored and as sent between processes."""

from __future__ import annotations

from enum import Enum

import msgspec

from threadramp.policy.request_buffers import OBJECT_BYTES

DEFAULT_RANK = 5  # what engines assume for a request without a priority


class Reward(msgspec.Struct, frozen=True, array_like=True):
    """The call that scores a sample once its text is complete."""

    id: str
    host: str
    path: str
    body: bytes


class Sample(msgspec.Struct, frozen=True, array_like=True):
    """One sample of a lot, as the trainer requested it.

    :param headers: pairs of name and value, passed on unchanged
    :param tokens: tokens of the prompt plus the maximum of the answer
    :param group: samples of one group share their prompt
    :param expected_tokens: the trainer's estimate of the answer's length, 0 if it gave none
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
    """What a trainer submitted for one step.

    :param min_version: oldest version of the weights that may generate a token
    :param wanted_groups: number of complete groups that the trainer waits for
    :param organisation: owner of the lot, empty if it has none, None if the configuration names no
        organisations
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

    @property
    def body_bytes(self) -> int:
        """Return about how many bytes the samples take in memory."""
        return sum(
            OBJECT_BYTES + len(one.body) + (0 if one.reward is None else len(one.reward.body))
            for one in self.samples
        )


class ResultState(Enum):
    """How a sample ended."""

    SUCCEEDED = "succeeded"
    DEAD = "dead"


class Result(msgspec.Struct, frozen=True, array_like=True):
    """The result at one position of a lot; it never changes.

    :param score: the signature of the reward call's answer
    """

    sample: str
    state: ResultState
    text: str
    versions: tuple[int, ...]
    score: str


class LotHead(msgspec.Struct, frozen=True, array_like=True):
    """A lot's metadata record in the store; every change to the lot is conditional on its revision.

    :param owner: name of the gateway that runs the lot
    :param incarnation: of that gateway's process
    :param submitted_at: time of day of the submission, in seconds
    :param result_target_s: results are due this long after the submission
    :param give_up_s: a sample may be given up this long after the submission
    :param max_attempts: failed runs after which a sample is given up
    :param one_version: whether all of a sample must come from one version of the weights
    :param parts: number of store entries that hold the submitted lot
    :param chunks: number of stored chunks of results
    :param listed: number of results in those chunks
    :param nonce: identifies the write that made this head, so that a writer whose answer was lost
        recognises its own write
    :param rank: priority of the lot's route among the work of an engine, 0 is the most urgent
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
    """Events of an unfinished sample, saved so that it need not start from the beginning.

    :param base: number of events before these
    :param versions: of the weights, one for each of ``events``
    :param lineage: names the chain that the events belong to
    :param inputs: digest of the request that they were generated for, empty if it was not recorded
    :param continues: lineage of the record before, whose events these follow; empty if it was not
        recorded or there is none
    """

    sample: str
    base: int
    events: tuple[str, ...]
    versions: tuple[int, ...]
    lineage: str
    inputs: bytes = b""
    continues: str = ""


class StoredHead(msgspec.Struct, frozen=True, array_like=True):
    """A lot's head with its revision in the store."""

    lot_id: str
    head: LotHead
    revision: int


class StoredLot(msgspec.Struct, frozen=True, array_like=True):
    """A complete lot as the store has it."""

    stored: StoredHead
    lot: Lot
    results: tuple[Result, ...]


def text_bytes(text: str) -> int:
    """Return the size of a text as it is stored and sent, in bytes."""
    return len(text) if text.isascii() else len(text.encode())


def encode(value: msgspec.Struct | tuple) -> bytes:
    """Encode a value for the store or a peer."""
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
    "text_bytes",
]
