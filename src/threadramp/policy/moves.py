"""Selects the running samples that move to a faster engine.

A step waits for its longest samples, and the engines of a pool differ in speed: permanently (one in
three was 1.3 times slower) or temporarily (2.6 to 3.8 times slower, for 6 to 8 s). A sample of 187
events takes 7.0 s at one engine and 9.5 s at another, while its lot is due after 7.5 s. Where it
starts often depends only on which engines hold a recent enough version. A moved run resumes after
its last event; the other engine reads its prompt and text again, which takes some 30 ms.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from threadramp.policy.sample_placement import has_fresh_weights, median_gap_ms

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from threadramp.policy.sample_placement import RunnerView

# Minimum time that a move must save. It takes 0.1 to 0.2 s from the last event at the old engine to
# the next one at the new engine; this is about twice that.
MIN_GAIN_S = 0.3
# Events that a sample must have had at its engine, so that it is not moved back and forth.
MIN_EVENTS_BEFORE_MOVE = 10
# Minimum ratio of the event gaps. Equal engines differ by less: 37 to 42 ms with 1 to 12 samples.
MIN_SPEEDUP = 1.2


@dataclass(frozen=True)
class RunningSample:
    """A running sample.

    :param runner: name of the sidecar that runs it
    :param events_here: number of events since it runs there
    :param events_left: expected number of remaining events
    """

    lot: str
    sample: str
    model: str
    min_version: int
    runner: str
    events_here: int
    events_left: float


def samples_to_move(
    running: Sequence[RunningSample], views: Sequence[RunnerView], now: float
) -> list[RunningSample]:
    """Return the samples that finish earlier elsewhere despite the time that a move takes.

    Those with the longest remaining time choose first. No more are returned than other engines have
    free slots.
    """
    usual_gap_ms = median_gap_ms(views)
    gaps = {view.member.name: _gap_ms(view, usual_gap_ms) for view in views}
    free_slots = {view.member.name: view.free_slots(now) for view in views}
    with_room = [view for view in views if free_slots[view.member.name]]
    fastest_first = sorted(with_room, key=lambda view: gaps[view.member.name])
    settled = [one for one in running if one.events_here >= MIN_EVENTS_BEFORE_MOVE]
    moved = []
    for one in sorted(settled, key=lambda one: -one.events_left * gaps.get(one.runner, 0.0)):
        there = _faster_engine(one, fastest_first, gaps)
        if there is None:
            continue
        moved.append(one)
        free_slots[there.member.name] -= 1
        if not free_slots[there.member.name]:
            fastest_first.remove(there)
    return moved


def _faster_engine(
    one: RunningSample, fastest_first: Sequence[RunnerView], gaps: Mapping[str, float]
) -> RunnerView | None:
    """Return the fastest engine at which a sample finishes earlier, none if there is none."""
    here = gaps.get(one.runner, 0.0)
    for view in fastest_first:
        there = gaps[view.member.name]
        if not there:
            continue  # its speed is unknown
        if not _is_worthwhile(one.events_left, here, there):
            return None  # the rest is slower still
        if has_fresh_weights(view, one.model, one.min_version):
            return view
    return None


def _is_worthwhile(left: float, here_ms: float, there_ms: float) -> bool:
    """Return whether a sample finishes earlier at another engine, the move included."""
    return here_ms > MIN_SPEEDUP * there_ms > 0 and left * (here_ms - there_ms) / 1000 > MIN_GAIN_S


def _gap_ms(view: RunnerView, usual_gap_ms: float) -> float:
    """Return the gap between events at an engine; the usual one if it reports none."""
    return view.status.gap_ms or usual_gap_ms if view.status is not None else 0.0


__all__ = ["RunningSample", "samples_to_move"]
