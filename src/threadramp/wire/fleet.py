"""Messages between gateways and between a gateway and the sidecars of engines."""

from __future__ import annotations

import msgspec

from threadramp.lots.model import Result, StoredHead, StoredLot
from threadramp.platform.store_model import Call, Item, RawAnswer, Removal
from threadramp.wire.crashes import CrashNews
from threadramp.wire.runner import Facts, RunnerStatus, RunOrder, RunUpdate


class Message(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Base of all messages; the type's name travels along."""


class Ask(Message, frozen=True):
    """Base of what is asked.

    What is asked of the runner of an engine names the engine by its address, since a gateway may
    stand in for the sidecars of several.

    :param sender: name of the box
    :param address: at which the sender answers peers
    """

    sender: str
    address: str


class UsageCounts(Message, frozen=True):
    """What one process counted.

    :param changes: number of its last change
    :param windows: by number those that changed, each with all its counts by organisation
    :param time_of_day: of its box
    :param open: requests by pool and data centre, of pools whose size is ordered
    :param is_sure: whether the process had heard what the time is; else requests may still move to
        other windows
    """

    box: str
    incarnation: str
    changes: int
    windows: dict[int, dict[str, int]]
    time_of_day: float
    open: dict[str, dict[str, float]] = {}
    is_sure: bool = True


class Beat(Ask, frozen=True):
    """A regular sign of life to a sidecar."""

    facts: Facts
    engine: str = ""


class HurryLoad(Ask, frozen=True):
    """Load the newest version of a model now, since no engine can run what waits for it."""

    model: str
    engine: str = ""


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
    engine: str = ""


class Collect(Ask, frozen=True):
    """Ask for news about samples; answered when there is some or the wait is over.

    :param have: events that the asker has, by sample
    """

    facts: Facts
    have: dict[str, int]
    wait_s: float
    engine: str = ""


class Drop(Ask, frozen=True):
    """Samples that the sender no longer wants; answered with their last events.

    :param have: events that the asker has, by sample
    :param let_finish: whether those that run may go on, so that their text can be used later
    """

    have: dict[str, int]
    let_finish: bool
    engine: str = ""


class Find(Ask, frozen=True):
    """Which of these samples does a sidecar have text of that is fresh enough?"""

    samples: tuple[str, ...]
    min_version: int
    engine: str = ""


class CallStore(Ask, frozen=True):
    """Pass a call to the store on.

    :param mark: for a write the one that the receiver gave for it, empty to ask for one; none from
        a sender that knows of no marks
    """

    call: Call
    mark: str | None = None


class CrashesTold(Ask, frozen=True):
    """What the sender saw of requests under which endpoints ended."""

    news: CrashNews


class Acquit(Ask, frozen=True):
    """An operator lets a request go on that is held back.

    :param request: its fingerprint as it stands in logs
    """

    request: str


class Inspect(Ask, frozen=True):
    """What does the receiver believe of an endpoint, a lot or a member?"""

    kind: str
    name: str


class ReadLot(Ask, frozen=True):
    """Results from a position on, from the lot's owner."""

    lot: str
    after: int
    wait_s: float


class ReadUsage(Ask, frozen=True):
    """How many requests began for each organisation, as far as the asker does not know it.

    :param incarnation: of the process that it knows
    :param seen: number of that process's last change that it knows
    :param true_time: as the asker knows it
    """

    incarnation: str
    seen: int
    true_time: float


class UsageLeft(Ask, frozen=True):
    """What a gateway that stops has counted last, for those that collect."""

    counts: UsageCounts


class FindLot(Ask, frozen=True):
    """The head of a lot, from the gateway of the data centre that the lot falls to."""

    lot: str


class ReadBody(Ask, frozen=True):
    """The body of a sample, from the lot's owner."""

    lot: str
    sample: str


class EndLot(Ask, frozen=True):
    """End a lot at its owner."""

    lot: str


class EndKept(Ask, frozen=True):
    """The end of a lot that the sender wrote to the store; the receiver may run that lot."""

    kept: StoredHead


class Adopt(Ask, frozen=True):
    """A lot that the receiver owns now, as the store has it."""

    kept: StoredLot


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
    :param current_ago_s: by prefix, since it was shown that nothing newer stood in the store
    """

    revisions: dict[str, int]
    items: dict[str, tuple[Item, ...]]
    confirmed_ago_s: float | None = None
    current_ago_s: dict[str, float] = {}


class StoreAnswered(Message, frozen=True):
    """The store's answer, none if this process has no way to it either.

    :param mark: with which the write has to be sent again, since it had none that holds
    """

    answer: RawAnswer | None
    mark: str = ""


class LotPage(Message, frozen=True):
    """Results of a lot; ``total`` is 0 if the answering gateway does not own it.

    :param sure: whether the store lately showed that it does, so that no further result stands
    """

    total: int
    ended: bool
    results: tuple[Result, ...]
    sure: bool = False


class LotFound(Message, frozen=True):
    """The head of a lot, none if the answering gateway has none."""

    kept: StoredHead | None


class SampleBody(Message, frozen=True):
    """The body of a sample, none if it is listed already or unknown."""

    owned: bool
    body: bytes | None


class LotEnded(Message, frozen=True):
    """Whether the lot's end is kept.

    :param owned: whether the answering gateway ran the lot
    """

    owned: bool
    kept: bool


class Fact(msgspec.Struct, frozen=True, array_like=True):
    """One thing that a process believes.

    :param source: by which it was learned, empty if that is not known
    :param ago_s: since it was learned, none if that is not known
    """

    what: str
    value: str
    source: str
    ago_s: float | None


class Believed(Message, frozen=True):
    """What a process believes of a thing; empty if it knows nothing of its kind."""

    facts: tuple[Fact, ...]


class Done(Message, frozen=True):
    """Nothing more to say."""


AnyAsk = (
    Beat
    | HurryLoad
    | MirrorBeat
    | MirrorChanges
    | Submit
    | Collect
    | Drop
    | Find
    | CallStore
    | CrashesTold
    | Acquit
    | Inspect
    | ReadUsage
    | UsageLeft
    | FindLot
    | ReadLot
    | ReadBody
    | EndLot
    | EndKept
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
    | LotFound
    | Believed
    | UsageCounts
    | Done
)

decode_ask = msgspec.msgpack.Decoder(AnyAsk).decode
decode_reply = msgspec.msgpack.Decoder(AnyReply).decode

__all__ = [
    "Accepted",
    "Acquit",
    "Adopt",
    "AnyAsk",
    "AnyReply",
    "Ask",
    "Beat",
    "Believed",
    "CallStore",
    "Collect",
    "CrashesTold",
    "Done",
    "Drop",
    "EndKept",
    "EndLot",
    "Fact",
    "Find",
    "FindLot",
    "Found",
    "HurryLoad",
    "Inspect",
    "LotEnded",
    "LotFound",
    "LotPage",
    "MirrorBeat",
    "MirrorChanges",
    "MirrorCopy",
    "ReadBody",
    "ReadLot",
    "ReadUsage",
    "SampleBody",
    "Status",
    "StoreAnswered",
    "Submit",
    "Updates",
    "UsageCounts",
    "UsageLeft",
    "decode_ask",
    "decode_reply",
]
