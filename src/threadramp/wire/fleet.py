"""Messages between gateways and between a gateway and the sidecars of engines."""

from __future__ import annotations

import msgspec

from threadramp.fleet.model import WeightTarget
from threadramp.lots.model import KeptLot, Result, Sample
from threadramp.platform.store_model import Call, Item, RawAnswer, Removal


class Message(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Base of all messages; the type's name travels along."""


class Facts(msgspec.Struct, frozen=True, array_like=True):
    """What a gateway knows that a sidecar needs.

    :param endpoints_revision: of the list of endpoints that ``instance`` is from
    :param instance: current start of the sidecar's endpoint, empty if the list has none
    :param leaving: whether that endpoint wants no new work
    :param load_turn: in which the engine loads a version that was named, from 0
    :param targets_revision: the newest at which any version was named
    :param listed: whether the sidecar itself is in the list of members
    :param sidecars: in the list of members
    """

    endpoints_revision: int = 0
    instance: str = ""
    leaving: bool = False
    load_turn: int = 0
    slots: int = 0
    memory_tokens: int = 0
    targets_revision: int = 0
    targets: tuple[WeightTarget, ...] = ()
    listed: bool = True
    sidecars: int = 0


class RunnerStatus(msgspec.Struct, frozen=True, array_like=True):
    """What a sidecar says of itself and its engine.

    :param incarnation: of the sidecar's process
    :param instance: start of the engine that it sends work to
    :param ready: whether new samples would start now
    :param slots: samples that run at once
    :param taken: samples that run or wait
    :param versions: of the weights, by model
    :param gap_ms: usual time between two events of a sample lately, 0 if none came
    """

    incarnation: str
    instance: str
    ready: bool
    slots: int
    taken: int
    versions: dict[str, int]
    gap_ms: float


class RunOrder(msgspec.Struct, frozen=True, array_like=True):
    """A sample to run.

    :param after: events that the gateway has already; the run goes on behind them
    :param lineage: names the chain of events that the gateway has, empty if it has none
    :param new_lineage: name of the chain if a new run has to be begun
    :param due: seconds until its lot is due, negative if it is late; smaller goes first
    :param give_up_in_s: seconds after which nobody wants it any more
    """

    sample: Sample
    host: str
    min_version: int
    one_version: bool
    after: int
    lineage: str
    new_lineage: str
    due: float
    give_up_in_s: float


class RunUpdate(msgspec.Struct, frozen=True, array_like=True):
    """What is new about a sample at a sidecar.

    :param base: number of events before the first one in ``events``
    :param events: data of the events behind those that the asker has
    :param versions: of the weights, one for each of ``events``
    :param lineage: names the chain that the events are of
    :param outcome: empty while it runs, else how it ended
    """

    sample: str
    base: int
    events: tuple[str, ...]
    versions: tuple[int, ...]
    lineage: str
    outcome: str


class Ask(Message, frozen=True):
    """Base of what is asked.

    :param sender: name of the box
    :param address: at which the sender answers peers
    """

    sender: str
    address: str


class Beat(Ask, frozen=True):
    """A regular sign of life to a sidecar."""

    facts: Facts


class MirrorBeat(Ask, frozen=True):
    """A regular sign of life between gateways, with what each has seen of the store.

    :param revisions: by prefix
    """

    revisions: dict[str, int]


class MirrorChanges(Ask, frozen=True):
    """What a gateway that watches the store has just seen change, for those that follow it.

    :param after: revision at which the sender stood before
    :param revision: at which it stands now
    """

    prefix: str
    after: int
    revision: int
    items: tuple[Item, ...]
    removals: tuple[Removal, ...]


class Submit(Ask, frozen=True):
    """Samples for a sidecar."""

    facts: Facts
    orders: tuple[RunOrder, ...]


class Collect(Ask, frozen=True):
    """Ask for news about samples; answered when there is some or the wait is over.

    :param have: events that the asker has, by sample
    """

    facts: Facts
    have: dict[str, int]
    wait_s: float


class Drop(Ask, frozen=True):
    """Samples that the sender no longer wants; answered with their last events.

    :param have: events that the asker has, by sample
    :param let_finish: whether those that run may go on, so that their text can be used later
    """

    have: dict[str, int]
    let_finish: bool


class Find(Ask, frozen=True):
    """Which of these samples does a sidecar have text of that is fresh enough?"""

    samples: tuple[str, ...]
    min_version: int


class CallStore(Ask, frozen=True):
    """Pass a call to the store on."""

    call: Call


class ReadLot(Ask, frozen=True):
    """Results from a position on, from the lot's owner."""

    lot: str
    after: int
    wait_s: float


class ReadBody(Ask, frozen=True):
    """The body of a sample, from the lot's owner."""

    lot: str
    sample: str


class EndLot(Ask, frozen=True):
    """End a lot at its owner."""

    lot: str


class Adopt(Ask, frozen=True):
    """A lot that the receiver owns now, as the store has it."""

    kept: KeptLot


class Status(Message, frozen=True):
    """A sidecar's plain answer."""

    status: RunnerStatus


class Accepted(Message, frozen=True):
    """Which of the submitted samples the sidecar took, with the chain of events of each."""

    status: RunnerStatus
    samples: dict[str, str]


class Updates(Message, frozen=True):
    """News about samples.

    :param unknown: samples that the sidecar does not have, or not from where the asker needs them
    """

    status: RunnerStatus
    updates: tuple[RunUpdate, ...]
    unknown: tuple[str, ...]


class Found(Message, frozen=True):
    """Samples with text, with the number of events of each."""

    status: RunnerStatus
    samples: dict[str, int]


class MirrorCopy(Message, frozen=True):
    """What the answering gateway has seen of the store where the asker is behind.

    :param revisions: by prefix
    :param items: by prefix, all of them
    :param confirmed_ago_s: since the store itself answered that gateway, none if it has no way
    """

    revisions: dict[str, int]
    items: dict[str, tuple[Item, ...]]
    confirmed_ago_s: float | None = None


class StoreAnswered(Message, frozen=True):
    """The store's answer, none if this process has no way to it either."""

    answer: RawAnswer | None


class LotPage(Message, frozen=True):
    """Results of a lot; ``total`` is 0 if the answering gateway does not own it."""

    total: int
    ended: bool
    results: tuple[Result, ...]


class SampleBody(Message, frozen=True):
    """The body of a sample, none if it is listed already or unknown."""

    owned: bool
    body: bytes | None


class LotEnded(Message, frozen=True):
    """Whether the lot's end is kept."""

    owned: bool
    kept: bool


class Done(Message, frozen=True):
    """Nothing more to say."""


AnyAsk = (
    Beat
    | MirrorBeat
    | MirrorChanges
    | Submit
    | Collect
    | Drop
    | Find
    | CallStore
    | ReadLot
    | ReadBody
    | EndLot
    | Adopt
)
AnyReply = (
    Status
    | Accepted
    | Updates
    | Found
    | MirrorCopy
    | StoreAnswered
    | LotPage
    | SampleBody
    | LotEnded
    | Done
)

decode_ask = msgspec.msgpack.Decoder(AnyAsk).decode
decode_reply = msgspec.msgpack.Decoder(AnyReply).decode

__all__ = [
    "Accepted",
    "Adopt",
    "AnyAsk",
    "AnyReply",
    "Ask",
    "Beat",
    "CallStore",
    "Collect",
    "Done",
    "Drop",
    "EndLot",
    "Facts",
    "Find",
    "Found",
    "LotEnded",
    "LotPage",
    "MirrorBeat",
    "MirrorChanges",
    "MirrorCopy",
    "ReadBody",
    "ReadLot",
    "RunOrder",
    "RunUpdate",
    "RunnerStatus",
    "SampleBody",
    "Status",
    "StoreAnswered",
    "Submit",
    "Updates",
    "decode_ask",
    "decode_reply",
]
