"""Messages between gateways and between a gateway and the sidecars of engines."""

from __future__ import annotations

import msgspec

from threadramp.lots.model import Result, StoredHead, StoredLot
from threadramp.platform.store_model import Call, Item, RawAnswer, Removal
from threadramp.wire.crashes import CrashNews
from threadramp.wire.runner import Facts, RunnerStatus, RunOrder, RunUpdate


class Message(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Base of all messages; the name of the class is sent as a tag."""


class Ask(Message, frozen=True):
    """Base of all requests.

    A request to the runner of an engine names the engine by its address, because a gateway may host
    the runners of several engines.

    :param sender: name of the box
    :param address: at which the sender accepts requests of peers
    """

    sender: str
    address: str


class UsageCounts(Message, frozen=True):
    """The usage counts of one process.

    :param changes: number of its last change
    :param windows: the changed windows by number, each with all its counts by organisation
    :param time_of_day: wall clock of its box
    :param open: open requests by pool and data centre, for the pools whose size is controlled
    :param is_sure: whether the time of the process was reliable; else counts may still be moved to
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
    """A heartbeat of a gateway to a sidecar."""

    facts: Facts
    engine: str = ""


class HurryLoad(Ask, frozen=True):
    """Load the newest version of a model now: samples wait for it, and no engine has it."""

    model: str
    engine: str = ""


class MirrorBeat(Ask, frozen=True):
    """A heartbeat between gateways, with the store revisions that the sender has seen.

    :param revisions: by prefix
    """

    revisions: dict[str, int]


class MirrorChanges(Ask, frozen=True):
    """Changes in the store, sent by a gateway that watches it to those that follow this gateway.

    :param after: revision of the sender before the changes
    :param revision: revision of the sender after them
    """

    prefix: str
    after: int
    revision: int
    items: tuple[Item, ...]
    removals: tuple[Removal, ...]


class Submit(Ask, frozen=True):
    """Submit samples to a sidecar."""

    facts: Facts
    orders: tuple[RunOrder, ...]
    engine: str = ""


class Collect(Ask, frozen=True):
    """Long poll for updates of samples.

    :param have: events that the asker has, by sample
    :param rerouted: those of them that the asker's configuration sends to other engines
    """

    facts: Facts
    have: dict[str, int]
    wait_s: float
    engine: str = ""
    rerouted: tuple[str, ...] = ()


class Drop(Ask, frozen=True):
    """Cancel samples; the reply has their last events.

    :param have: events that the asker has, by sample
    :param let_finish: whether running samples may continue, so that their text can be used later
    """

    have: dict[str, int]
    let_finish: bool
    engine: str = ""


class Find(Ask, frozen=True):
    """Ask which of these samples a sidecar has text of, from a version that is recent enough."""

    samples: tuple[str, ...]
    min_version: int
    engine: str = ""


class CallStore(Ask, frozen=True):
    """Relay a call to the store.

    :param mark: the token that the receiver issued for a write, empty to request one; none from a
        sender of a version without tokens
    """

    call: Call
    mark: str | None = None


class CrashesTold(Ask, frozen=True):
    """Crash records that the sender has observed."""

    news: CrashNews


class Acquit(Ask, frozen=True):
    """Clear a request that is held back, for an operator.

    :param request: its short fingerprint, as logged
    """

    request: str


class Inspect(Ask, frozen=True):
    """Ask for the receiver's cached state of an endpoint, a lot or a member."""

    kind: str
    name: str


class ReadLot(Ask, frozen=True):
    """Read results from a position on, from the owner of the lot."""

    lot: str
    after: int
    wait_s: float


class ReadUsage(Ask, frozen=True):
    """Ask for the usage counts that changed since the last reply.

    :param incarnation: of the process that gave that reply
    :param seen: number of the last change in that reply
    :param true_time: the sender's estimate of the true time
    """

    incarnation: str
    seen: int
    true_time: float


class UsageLeft(Ask, frozen=True):
    """The final usage counts of a gateway that stops, for the collectors."""

    counts: UsageCounts


class FindLot(Ask, frozen=True):
    """Ask for the head of a lot, at the gateway of a data centre to which the lot is assigned."""

    lot: str


class ReadBody(Ask, frozen=True):
    """Read the body of a sample, from the owner of its lot."""

    lot: str
    sample: str


class EndLot(Ask, frozen=True):
    """End a lot at its owner."""

    lot: str


class EndKept(Ask, frozen=True):
    """Notice that the sender stored the end of a lot that the receiver may still run."""

    kept: StoredHead


class TakeUp(Ask, frozen=True):
    """Notice that the head of a lot names the receiver, which does not seem to run it."""

    lot: str


class Adopt(Ask, frozen=True):
    """Hand a lot over to the receiver, as it is stored.

    :param failures: failed runs by sample, without the samples that had none
    """

    kept: StoredLot
    failures: dict[str, int] = {}


class Status(Message, frozen=True):
    """The status of a sidecar."""

    status: RunnerStatus


class Accepted(Message, frozen=True):
    """The submitted samples that the sidecar accepted, with the lineage of each."""

    status: RunnerStatus
    samples: dict[str, str]


class Updates(Message, frozen=True):
    """Updates of samples.

    :param unknown: samples that the sidecar does not have, or lacks the requested events of
    """

    status: RunnerStatus
    updates: tuple[RunUpdate, ...]
    unknown: tuple[str, ...]


class Found(Message, frozen=True):
    """Samples that the sidecar has text of, with the number of events of each."""

    status: RunnerStatus
    samples: dict[str, int]


class MirrorCopy(Message, frozen=True):
    """The store contents of a gateway, for the prefixes where the sender of the request is behind.

    :param revisions: by prefix
    :param items: all items by prefix
    :param confirmed_ago_s: seconds since the store last answered this gateway, none if the store is
        unreachable for it
    :param current_ago_s: by prefix, seconds since the contents were known to be current
    """

    revisions: dict[str, int]
    items: dict[str, tuple[Item, ...]]
    confirmed_ago_s: float | None = None
    current_ago_s: dict[str, float] = {}


class StoreAnswered(Message, frozen=True):
    """The relayed answer of the store, none if it is unreachable for this process too.

    :param mark: token with which to send the write again, because it had no valid one
    :param not_done: whether the call was certainly not done; false from a sender of a version that
        does not say so
    """

    answer: RawAnswer | None
    mark: str = ""
    not_done: bool = False


class LotPage(Message, frozen=True):
    """Results of a lot; ``total`` is 0 if this gateway does not own it.

    :param sure: whether the store recently confirmed the ownership, so that no result is missing
    """

    total: int
    ended: bool
    results: tuple[Result, ...]
    sure: bool = False


class LotFound(Message, frozen=True):
    """The head of a lot, none if this gateway does not have it."""

    kept: StoredHead | None


class SampleBody(Message, frozen=True):
    """The body of a sample, none if its result is already listed or it is unknown."""

    owned: bool
    body: bytes | None


class LotEnded(Message, frozen=True):
    """Whether the end of a lot is stored.

    :param owned: whether this gateway owned the lot
    :param refused: whether the end is certainly not stored; false from a sender of a version that
        does not say so
    """

    owned: bool
    kept: bool
    refused: bool = False


class Fact(msgspec.Struct, frozen=True, array_like=True):
    """One entry of the cached state of a process.

    :param source: where it was received from, empty if unknown
    :param ago_s: seconds since it was received, none if unknown
    """

    what: str
    value: str
    source: str
    ago_s: float | None


class Believed(Message, frozen=True):
    """The cached state that was asked for; empty if there is none."""

    facts: tuple[Fact, ...]


class Done(Message, frozen=True):
    """An acknowledgement without content."""


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
    | TakeUp
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
    "TakeUp",
    "Updates",
    "UsageCounts",
    "UsageLeft",
    "decode_ask",
    "decode_reply",
]
