"""Which models an engine keeps up to date when several trainers share a pool.

Each engine could load every version of every model, but then most of its time goes into loads:
with two models, a version of each every 4 s and 0.9 s a load, two at a time, five engines can not
keep up. So the engines are dealt out to the models in blocks. An engine still serves another
model's samples for as long as the version that it holds is fresh enough.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence


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


__all__ = ["models_for"]
