"""What gateways and sidecars tell each other of engines and samples, as parts of their messages."""

from __future__ import annotations

import msgspec

from threadramp.fleet.model import WeightTarget
from threadramp.lots.model import USUAL_RANK, Sample


class Facts(msgspec.Struct, frozen=True, array_like=True):
    """What a gateway knows that a sidecar needs.

    :param endpoints_revision: of the list of endpoints that ``instance`` is from
    :param instance: current start of the sidecar's endpoint, empty if the list has none
    :param leaving: whether that endpoint wants no new work
    :param load_turn: in which the engine loads a version that was named, from 0
    :param targets_revision: the newest at which any version was named
    :param listed: whether the sidecar itself is in the list of members
    :param sidecars: in the list of members
    :param rank: place of the engine among the engines of its pool, from 0
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
    rank: int = 0


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
    :param rank: of the lot's route, 0 is the most urgent
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
    rank: int = USUAL_RANK


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


__all__ = ["Facts", "RunOrder", "RunUpdate", "RunnerStatus"]
