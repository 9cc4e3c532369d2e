"""What gateways and sidecars tell each other of engines and samples, as parts of their messages."""

from __future__ import annotations

import msgspec

from threadramp.fleet.model import Incarnation, WeightTarget
from threadramp.lots.model import DEFAULT_RANK, Sample
from threadramp.policy.load_schedule import LoadSchedule

ANY_MODEL = "*"  # where weights change and it is not known of which model


class Facts(msgspec.Struct, frozen=True, array_like=True):
    """What a gateway knows that a sidecar needs.

    :param endpoints_revision: of the list of endpoints that ``instance`` is from
    :param instance: current start of the sidecar's endpoint, empty if the list has none
    :param leaving: whether that endpoint wants no new work
    :param share: what the engine loads of the models of its pool
    :param targets_revision: the newest at which any version was named
    :param listed: whether the sidecar itself is in the list of members
    :param sidecars: in the list of members
    :param born: when that start of the endpoint began, 0 if it does not tell
    """

    endpoints_revision: int = 0
    instance: str = ""
    leaving: bool = False
    slots: int = 0
    memory_tokens: int = 0
    targets_revision: int = 0
    targets: tuple[WeightTarget, ...] = ()
    listed: bool = True
    sidecars: int = 0
    share: LoadSchedule = LoadSchedule({})
    born: int = 0

    @property
    def start(self) -> Incarnation:
        """Return the current start of the sidecar's endpoint."""
        return Incarnation(self.instance, self.born)


class RunnerStatus(msgspec.Struct, frozen=True, array_like=True):
    """What a sidecar says of itself and its engine.

    :param incarnation: of the sidecar's process
    :param instance: start of the engine that it sends work to
    :param ready: whether new samples would start now
    :param slots: samples that run at once
    :param taken: samples that run or wait
    :param versions: of the weights, by model
    :param gap_ms: usual time between two events of a sample lately, 0 if none came
    :param loading: model whose weights change now or ``ANY_MODEL``, empty if none do
    """

    incarnation: str
    instance: str
    ready: bool
    slots: int
    taken: int
    versions: dict[str, int]
    gap_ms: float
    loading: str = ""


class RunOrder(msgspec.Struct, frozen=True, array_like=True):
    """A sample to run.

    :param after: events that the gateway has already; the run goes on behind them
    :param lineage: names the chain of events that the gateway has, empty if it has none
    :param new_lineage: name of the chain if a new run has to be begun
    :param due: seconds until its lot is due, negative if it is late; smaller goes first
    :param give_up_in_s: seconds after which nobody wants it any more
    :param rank: of the lot's route, 0 is the most urgent
    :param model: whose weights are to make it
    :param organisation: whose lot it is of, as the lot has it
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
    rank: int = DEFAULT_RANK
    model: str = ""
    organisation: str | None = None


class RunUpdate(msgspec.Struct, frozen=True, array_like=True):
    """What is new about a sample at a sidecar.

    :param base: number of events before the first one in ``events``
    :param events: data of the events behind those that the asker has
    :param versions: of the weights, one for each of ``events``
    :param lineage: names the chain that the events are of
    :param outcome: empty while it runs, else how it ended
    :param start: of the engine that it was sent to last
    """

    sample: str
    base: int
    events: tuple[str, ...]
    versions: tuple[int, ...]
    lineage: str
    outcome: str
    start: Incarnation = Incarnation("")


def is_changing(loading: str, model: str) -> bool:
    """Return whether the weights of a model change, so that its samples would be rejected.

    :param loading: of the engine's status
    """
    return bool(loading) and (loading in (model, ANY_MODEL) or not model)


__all__ = ["ANY_MODEL", "is_changing", "Facts", "RunOrder", "RunUpdate", "RunnerStatus"]
