"""Which models an engine keeps up to date when several trainers share a pool, and when it loads.

Each engine could load every version of every model, but then most of its time goes into loads:
with two models, a version of each every 4 s and 0.9 s a load, two at a time, five engines can not
keep up. So the engines are dealt out to the models in blocks. An engine still serves another
model's samples for as long as the version that it holds is fresh enough.

A load takes longer while many engines of a pool load, whichever model it is, so they take turns.
"""

from __future__ import annotations

from math import ceil
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

TURNS = 3  # the users' sheets let 2 of 5, 2 of 6 and 8 of 21 engines load before loads get longer
LEAST_AT_ONCE = 2  # engines that load at once, from the same sheets


def models_for(rank: int, engines: int, models: Sequence[str]) -> tuple[str, ...]:
    """Return the models that one engine keeps up to date.

    :param rank: place of the engine among ``engines``, from 0
    :param models: all models of the pool
    """
    ordered = sorted(models)
    if not ordered:
        return ()
    if engines <= len(ordered):
        return tuple(model for place, model in enumerate(ordered) if place % engines == rank)
    return (ordered[rank * len(ordered) // engines],)


def load_turn(rank: int, engines: int) -> int:
    """Return the turn, from 0, in which one engine loads a version after that was named.

    :param rank: place of the engine among all ``engines`` of its pool, from 0
    """
    at_once = max(LEAST_AT_ONCE, ceil(engines / TURNS))
    return rank // at_once


def takes_version(rank: int, version: int, held: int, apart: int) -> bool:
    """Return whether an engine loads a version that is newer than the one that it holds.

    Lots allow the version before the newest, so an engine that loads every second one serves every
    lot; one that has fallen further behind loads the newest whatever its number.

    :param rank: place of the engine among the engines of its pool, from 0
    :param apart: 1 if each engine loads each version, 2 if half of them the even ones
    """
    return (version + rank) % apart == 0 or held < version - 1


__all__ = ["load_turn", "models_for", "takes_version"]
