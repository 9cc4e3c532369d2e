"""Selects engines that load a model out of turn because no engine can run the waiting samples.

A trainer that is behind may publish two versions within a second and submit the lot of the second
one with the first. That lot needs the version before it or a newer one, which no engine holds yet.
With loads in turns, the first engines had it after 1 to 2 s, but after 4 s and more if other models
had waited longer. The gateway that runs the lot sees both the lot and the versions.
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
    """Return the engines that load a model out of turn; none if an engine can run the samples.

    Never more than may load at the same time, less those that load the model already. Faster
    engines come first, and among equally fast ones those with fewer samples, which can accept more.
    """
    ready = [view for view in views if view.is_ready(now)]
    if not ready or any(view.status.versions.get(model, 0) >= min_version for view in ready):
        return []
    loading = sum(view.status.loading == model for view in ready)
    idle = [view for view in ready if not view.status.loading and view.status.versions.get(model)]
    usual_gap_ms = median_gap_ms(ready)
    idle.sort(key=lambda view: (view.status.gap_ms or usual_gap_ms, view.assigned))
    return idle[: max(0, max_concurrent_loads(len(ready)) - loading)]


__all__ = ["engines_for_urgent_load"]
