"""Which running samples go on at a faster engine.

The load that this answers: steps that wait for their longest samples, on engines of one pool that
differ in speed: lasting (one in three was 1.3 times slower) or for a spell (2.6 to 3.8 times, 6 to
8 s). A sample of 187 events takes 7.0 s at one engine and 9.5 s at another, its lot is due after
7.5 s, and where it starts is often decided by which engines hold a version that is fresh enough.
A run goes on elsewhere behind its last event; its prompt and text are read again, some 30 ms.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from threadramp.policy.sample_placement import has_fresh_weights, median_gap_ms

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from threadramp.policy.sample_placement import RunnerView

MOVE_S = 0.3  # a move takes 0.1 to 0.2 s between the last event here and the next there; twice that
MIN_EVENTS_BEFORE_MOVE = (
    10  # that it had at its engine; so a sample is not moved on at once, to and fro
)
FASTER = 1.2  # gaps of equal engines differ by less: 37 to 42 ms, with one to twelve samples


@dataclass(frozen=True)
class RunningSample:
    """A sample that runs.

    :param runner: name of the sidecar that runs it
    :param events_here: events that it had there
    :param events_left: events that are about to come
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
    """Return the samples that are done sooner elsewhere though they lose the time of a move.

    Those that gain most choose first; no more leave than there is room for.
    """
    usual = median_gap_ms(views)
    gaps = {view.member.name: _gap_ms(view, usual) for view in views}
    room = {view.member.name: view.free_slots(now) for view in views}
    with_room = [view for view in views if room[view.member.name]]
    fastest_first = sorted(with_room, key=lambda view: gaps[view.member.name])
    settled = [one for one in running if one.events_here >= MIN_EVENTS_BEFORE_MOVE]
    moved = []
    for one in sorted(settled, key=lambda one: -one.events_left * gaps.get(one.runner, 0.0)):
        there = _faster(one, fastest_first, gaps)
        if there is None:
            continue
        moved.append(one)
        room[there.member.name] -= 1
        if not room[there.member.name]:
            fastest_first.remove(there)
    return moved


def _faster(
    one: RunningSample, fastest_first: Sequence[RunnerView], gaps: Mapping[str, float]
) -> RunnerView | None:
    """Return the fastest engine at which a sample is done sooner, none if there is none."""
    here = gaps.get(one.runner, 0.0)
    for view in fastest_first:
        there = gaps[view.member.name]
        if not there:
            continue  # nothing is known of it
        if not _pays(one.events_left, here, there):
            return None  # nor at those behind it
        if has_fresh_weights(view, one.model, one.min_version):
            return view
    return None


def _pays(left: float, here_ms: float, there_ms: float) -> bool:
    """Return whether a sample is done sooner at another engine."""
    return here_ms > FASTER * there_ms > 0 and left * (here_ms - there_ms) / 1000 > MOVE_S


def _gap_ms(view: RunnerView, usual: float) -> float:
    """Return the time between two events at an engine; one that tells none is taken as usual."""
    return view.status.gap_ms or usual if view.status is not None else 0.0


__all__ = ["RunningSample", "samples_to_move"]
