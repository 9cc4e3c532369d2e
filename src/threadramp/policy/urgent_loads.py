"""Which engines are asked to load a model at once, since no engine can run what waits.

The load that this answers: a trainer that is behind names two versions within a second and hands
in the lot of the second one with the first; that lot takes the version before and newer, which no
engine holds yet. By the turns for loads the first engines had it after 1 to 2 s, but after 4 s and
more where other models had waited for longer. The gateway that has the lot sees both.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from threadramp.policy.load_schedule import max_concurrent_loads
from threadramp.policy.sample_placement import median_gap_ms

if TYPE_CHECKING:
    from collections.abc import Sequence

    from threadramp.policy.sample_placement import RunnerView


def engines_for_urgent_load(
    views: Sequence[RunnerView], model: str, min_version: int, now: float
) -> list[RunnerView]:
    """Return the engines that are to load a model at once, none if one holds it or some load it.

    No more than may load at once; fast ones first, of these the emptier ones, which can take more.
    """
    ready = [view for view in views if view.is_ready(now)]
    if not ready or any(view.status.versions.get(model, 0) >= min_version for view in ready):
        return []
    loading = sum(view.status.loading == model for view in ready)
    idle = [view for view in ready if not view.status.loading and view.status.versions.get(model)]
    usual = median_gap_ms(ready)
    idle.sort(key=lambda view: (view.status.gap_ms or usual, view.assigned))
    return idle[: max(0, max_concurrent_loads(len(ready)) - loading)]


__all__ = ["engines_for_urgent_load"]
