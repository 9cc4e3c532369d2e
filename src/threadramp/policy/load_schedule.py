"""Schedules which model versions an engine loads, and when, if several trainers share a pool.

Several models share one pool. A version of each is published every few seconds, a load takes 0.9 s
and longer while many engines load, and lots are submitted in bursts when their version is
published. If engines loaded every version of every model, they would spend most of their time
loading.

A lot of step k accepts version k - 1 and newer, so a loaded version serves the lots of two steps.
In a small pool each engine therefore holds all models. Engines load in turns by the clock, few at
the same time, whenever versions are published. In its turn an engine loads a recently published
version, else a model of which it can run no lot. This needs as many loads as assigning each engine
to one model, but each lot finds more engines, the loss of an engine affects all models equally, and
a model with more work uses more of the pool. Only samples of the model that is being loaded wait.

Evidence (workload of the third customer, 20 simulated days of five kinds; docs/design/load.md): the
mean wait of a lot's last sample is 0.20 s. It was 0.39 s when versions were loaded as soon as they
were published (six concurrent loads took 2.4 s each), and 1 to 3 s in bursts when engines were
assigned to models in blocks. A large pool is still divided into blocks, so that the gateway of a
lot need not know all engines.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from threadramp.policy.subset import SMALL_POOL

if TYPE_CHECKING:
    from collections.abc import Sequence

# The users' workloads allow 2 of 5, 2 of 6 and 8 of 21 engines to load before loads slow down, so
# at most one engine in this many loads at the same time.
ENGINES_PER_LOAD = 3
MIN_CONCURRENT_LOADS = 2  # from the same workloads
TURN_S = 1.0  # a load takes 0.9 s
# Share of a turn in which a load may begin: engines are polled every 0.2 s, and the load fits into
# the turn.
BEGIN_SHARE = 0.4


@dataclass(frozen=True)
class LoadSchedule:
    """Which models one engine loads, and in which turns.

    :param shifts: by model, its position in the order in which waiting models are loaded; empty if
        the engine loads nothing
    :param turn: number of the turn in which the engine may begin to load, from 0
    :param turns: number of turns in a cycle
    """

    shifts: dict[str, int]
    turn: int = 0
    turns: int = 1

    def freshness_s(self, versions_apart: int) -> float:
        """Return for how long after its publication a version counts as new.

        In that time an equal share of the engines has its turn: all for one model, a third for
        three.

        :param versions_apart: 2 if an engine loads only every second version
        """
        return self.turns * TURN_S / max(1, len(self.shifts)) / versions_apart


def holds_all_models(engines: int) -> bool:
    """Return whether each engine of a pool of this size holds all models of the pool."""
    return engines <= SMALL_POOL


def load_schedule(rank: int, engines: int, models: Sequence[str]) -> LoadSchedule:
    """Return the schedule of one engine.

    :param rank: position of the engine among ``engines``, from 0
    :param models: all models of the pool
    """
    ordered = sorted(models)
    if not ordered:
        return LoadSchedule({})
    turns = -(-engines // max_concurrent_loads(engines))
    turn = rank % turns
    if not holds_all_models(engines):
        return LoadSchedule({ordered[rank * len(ordered) // engines]: 0}, turn, turns)
    shifts = {model: (rank + place) % len(ordered) for place, model in enumerate(ordered)}
    return LoadSchedule(shifts, turn, turns)


def max_concurrent_loads(engines: int) -> int:
    """Return how many engines of a pool may load at the same time without slowing down."""
    return max(MIN_CONCURRENT_LOADS, engines // ENGINES_PER_LOAD)


def is_turn(turn: int, turns: int, seconds: float) -> bool:
    """Return whether an engine may begin to load now, so that few load at the same time.

    Turns depend on the clock alone, not on the model or on the number of versions published
    together. When each engine loaded as soon as its version was published, six loaded at the same
    time, for 2.4 s, and again as soon as they had finished.

    :param seconds: time of day in seconds, which differs little between boxes
    """
    if turns <= 1:
        return True
    now = seconds / TURN_S
    return int(now) % turns == turn and now % 1 < BEGIN_SHARE


@dataclass(frozen=True)
class PublishedVersion:
    """The newest published version of a model, and the version that an engine holds.

    :param held: version that the engine holds, 0 if it lacks the model
    :param age_s: seconds since the engine's sidecar learned of the publication
    """

    model: str
    version: int
    held: int
    age_s: float

    @property
    def is_outdated(self) -> bool:
        """Return whether the engine holds an older version of the model."""
        return 0 < self.held < self.version

    @property
    def is_unusable(self) -> bool:
        """Return whether the engine cannot run the newest lot, which accepts one version before."""
        return 0 < self.held < self.version - 1


def next_load(
    published: Sequence[PublishedVersion],
    schedule: LoadSchedule,
    seconds: float,
    versions_apart: int = 1,
    urgent_model: str = "",
) -> PublishedVersion | None:
    """Return the version that an engine starts to load now, none if it starts none.

    In its turn it loads a recently published version, because the lot of the next version may be
    submitted at any moment and accepts this one. Otherwise it loads a model of which it cannot run
    the newest lot. If there are several, as after an outage, consecutive engines begin with
    different models: when all began with the one furthest behind, lots of another waited 9.7 s.

    :param seconds: time of day in seconds
    :param versions_apart: 2 if an engine loads only every second version
    :param urgent_model: model that a gateway requests out of turn, because no engine can run its
        waiting samples
    """
    outdated = [one for one in published if one.is_outdated]
    for one in outdated:
        if one.model == urgent_model and one.is_unusable:
            return one
    if not is_turn(schedule.turn, schedule.turns, seconds):
        return None
    freshness_s = schedule.freshness_s(versions_apart)
    due = [one for one in outdated if one.age_s < freshness_s or one.is_unusable]
    return min(
        due, key=lambda one: (one.age_s >= freshness_s, schedule.shifts[one.model]), default=None
    )


__all__ = [
    "LoadSchedule",
    "PublishedVersion",
    "holds_all_models",
    "is_turn",
    "load_schedule",
    "max_concurrent_loads",
    "next_load",
]
