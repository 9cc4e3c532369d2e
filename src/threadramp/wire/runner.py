"""Parts of the messages between gateways and sidecars about engines and samples."""

from __future__ import annotations

import msgspec

from threadramp.fleet.model import Incarnation, WeightTarget
from threadramp.lots.model import DEFAULT_RANK, Sample
from threadramp.policy.load_schedule import LoadSchedule

ANY_MODEL = "*"  # weights are being loaded, and the model is not known


class ColdFacts(msgspec.Struct, frozen=True, array_like=True):
    """How an engine must be treated that is cold, or may become cold at any moment.

    :param per_s: requests a second that it bears while it is cold
    :param left_s: seconds for which it is still cold, 0 if it is not known to be cold
    :param serves_calls: whether any route sends calls to its pool
    """

    per_s: float
    left_s: float
    serves_calls: bool


class Facts(msgspec.Struct, frozen=True, array_like=True):
    """The part of a gateway's state that a sidecar needs.

    :param endpoints_revision: revision of the endpoint list that ``instance`` is from
    :param instance: current instance id of the sidecar's endpoint, empty if it is not listed
    :param leaving: whether that endpoint accepts no new work
    :param share: the models of its pool that the engine loads
    :param targets_revision: latest revision at which a version was published
    :param listed: whether the sidecar itself is in the member list
    :param sidecars: number of sidecars in the member list
    :param born: start time of that instance, 0 if it is not reported
    :param cold: none for a pool whose cold endpoints bear any rate
    :param pool: pool of that endpoint, empty if it is not listed
    :param configuration_revision: revision of the sender's configuration, 0 if it has none
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
    cold: ColdFacts | None = None
    pool: str = ""
    configuration_revision: int = 0

    @property
    def start(self) -> Incarnation:
        """Return the current incarnation of the sidecar's endpoint."""
        return Incarnation(self.instance, self.born)


class RunnerStatus(msgspec.Struct, frozen=True, array_like=True):
    """The status of a sidecar and its engine.

    :param incarnation: of the sidecar's process
    :param instance: instance id of the engine that it sends work to
    :param ready: whether new samples would start now
    :param slots: maximum number of running samples
    :param taken: number of running and queued samples
    :param versions: weight versions by model
    :param gap_ms: median time between two recent events of a sample, 0 if there were none
    :param loading: model whose weights are being loaded or ``ANY_MODEL``, empty if there is none
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

    :param after: number of events that the gateway already has; the run resumes after them
    :param lineage: id of the chain of events that the gateway has, empty if it has none
    :param new_lineage: id of the chain if the sample has to be restarted
    :param due: seconds until its lot is due, negative if it is late; the lowest runs first
    :param give_up_in_s: seconds after which the sample is abandoned
    :param rank: priority of the lot's route, 0 is the most urgent
    :param model: model that produces the sample
    :param organisation: organisation of the lot
    :param expected_s: expected seconds that it runs, 0 if lots go by their due times alone
    :param pool: pool whose engine may run it, empty from a sender that does not say
    :param configuration_revision: revision of the configuration by which the sender chose that
        pool, 0 from a sender that does not say
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
    expected_s: float = 0.0
    pool: str = ""
    configuration_revision: int = 0


class RunUpdate(msgspec.Struct, frozen=True, array_like=True):
    """The update of one sample at a sidecar.

    :param base: number of events before the first one in ``events``
    :param events: data of the events that the receiver does not have yet
    :param versions: weight version of each of ``events``
    :param lineage: id of the chain that the events belong to
    :param outcome: how the run ended, empty while it runs
    :param start: incarnation of the engine to which the sample was sent last
    """

    sample: str
    base: int
    events: tuple[str, ...]
    versions: tuple[int, ...]
    lineage: str
    outcome: str
    start: Incarnation = Incarnation("")


def is_changing(loading: str, model: str) -> bool:
    """Return whether the weights of a model are being loaded, so that its samples are rejected.

    :param loading: from the status of the engine
    """
    return bool(loading) and (loading in (model, ANY_MODEL) or not model)


__all__ = [
    "ANY_MODEL",
    "is_changing",
    "ColdFacts",
    "Facts",
    "RunOrder",
    "RunUpdate",
    "RunnerStatus",
]
