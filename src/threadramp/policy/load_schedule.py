"""Which versions of which models an engine loads when several trainers share a pool, and when.

The load that this answers: several models on one pool, a version of each named every few seconds,
0.9 s for a load and longer while many engines load, lots handed in in bursts as their version is
named. Engines could load every version of every model, but then most of their time goes into loads.

A lot of step k takes version k - 1 and newer, so a version that is loaded serves the lots of two
steps. In a small pool each engine therefore holds all models. Engines load in turns by the clock,
few at once, whatever is named when; in its turn an engine loads a version that was named lately,
else a model of which it can run nothing. That is as many loads as if the engines were dealt out to
the models, but each lot finds more engines, an engine that leaves is missed by all models alike,
and a model with more work takes more of the pool. Only samples of the model that is loaded wait.

Grounds (third customer's sheet, 20 days of five kinds; docs/design/load.md): mean wait of a lot's
last sample 0.20 s; 0.39 s where versions were loaded as soon as they were named (six loads at once
took 2.4 s each); 1 to 3 s in bursts where the engines were dealt out in blocks.
In a large pool the engines are dealt out in blocks, so that a lot's gateway need not know them all.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from threadramp.policy.subset import SMALL_POOL

if TYPE_CHECKING:
    from collections.abc import Sequence

TURNS = 3  # the users' sheets let 2 of 5, 2 of 6 and 8 of 21 engines load before loads get longer
LEAST_AT_ONCE = 2  # engines that load at once, from the same sheets
TURN_S = 1.0  # a load takes 0.9 s
BEGIN_SHARE = 0.4  # of a turn; engines are looked at each 0.2 s, and a load fits into the turn


@dataclass(frozen=True)
class LoadSchedule:
    """What one engine loads.

    :param shifts: by model, the place at which it comes where several models wait for a load;
        empty if the engine loads nothing
    :param turn: in which the engine begins to load, from 0
    :param turns: after so many it is its turn again
    """

    shifts: dict[str, int]
    turn: int = 0
    turns: int = 1

    def freshness_s(self, versions_apart: int) -> float:
        """Return for how long after its naming a version is loaded by the engines in turn.

        So long that an even share of them comes up: all engines for one model, a third for three.

        :param versions_apart: 2 if an engine is to load every second version only
        """
        return self.turns * TURN_S / max(1, len(self.shifts)) / versions_apart


def holds_all_models(engines: int) -> bool:
    """Return whether each engine of a pool of that size holds all models of the pool."""
    return engines <= SMALL_POOL


def load_schedule(rank: int, engines: int, models: Sequence[str]) -> LoadSchedule:
    """Return what one engine loads.

    :param rank: place of the engine among ``engines``, from 0
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
    """Return how many engines of a pool load at once before loads get longer."""
    return max(LEAST_AT_ONCE, engines // TURNS)


def is_turn(turn: int, turns: int, seconds: float) -> bool:
    """Return whether an engine may begin to load now, so that few of a pool load at once.

    All engines have the same turns, whichever model they load and however many versions are named
    together; where each began when its version was named, six loaded at once, for 2.4 s, and again
    as soon as they were done.

    :param seconds: of the time of day, which differs little from box to box
    """
    if turns <= 1:
        return True
    now = seconds / TURN_S
    return int(now) % turns == turn and now % 1 < BEGIN_SHARE


@dataclass(frozen=True)
class PublishedVersion:
    """The newest version that is named of a model, and what an engine has of it.

    :param held: version that the engine holds, 0 if it lacks the model
    :param age_s: seconds for which the engine's sidecar has known that the version is named
    """

    model: str
    version: int
    held: int
    age_s: float

    @property
    def is_wanted(self) -> bool:
        """Return whether the engine has an older version of the model."""
        return 0 < self.held < self.version

    @property
    def is_useless(self) -> bool:
        """Return whether the engine can run nothing of the newest lot, which allows one before."""
        return 0 < self.held < self.version - 1


def next_load(
    named: Sequence[PublishedVersion],
    share: LoadSchedule,
    seconds: float,
    versions_apart: int = 1,
    urgent_model: str = "",
) -> PublishedVersion | None:
    """Return which version an engine begins to load now, none if it begins none.

    In its turn it loads what was named lately: the lot of the next version may be handed in any
    moment, and takes this one. Else it makes up for a model of which it can run nothing. Where
    there are several, as after an outage, engines in a row begin with different models; all began
    with the one that was furthest behind, and the lots of another waited 9.7 s.

    :param seconds: of the time of day
    :param versions_apart: 2 if an engine is to load every second version only
    :param urgent_model: model that a gateway wants now, since no engine can run what waits for it
    """
    wanted = [one for one in named if one.is_wanted]
    for one in wanted:
        if one.model == urgent_model and one.is_useless:
            return one
    if not is_turn(share.turn, share.turns, seconds):
        return None
    new_s = share.freshness_s(versions_apart)
    due = [one for one in wanted if one.age_s < new_s or one.is_useless]
    return min(due, key=lambda one: (one.age_s >= new_s, share.shifts[one.model]), default=None)


__all__ = [
    "LoadSchedule",
    "PublishedVersion",
    "holds_all_models",
    "is_turn",
    "max_concurrent_loads",
    "load_schedule",
    "next_load",
]
