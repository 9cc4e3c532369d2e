"""Which sidecar runs which sample, and when a running sample is better moved."""

from __future__ import annotations

from dataclasses import dataclass
from math import log
from statistics import median
from typing import TYPE_CHECKING

from threadramp.wire.runner import is_changing

if TYPE_CHECKING:
    from collections.abc import Sequence

    from threadramp.fleet.fleet_view import Member
    from threadramp.wire.runner import RunnerStatus

SPEED_STEP = 1.15  # engines whose gaps differ by less than this count as equally fast
STATUS_AGE_S = 2.0  # a sidecar that was silent for longer gets nothing


@dataclass
class RunnerView:
    """A sidecar as one gateway sees it.

    :param taken: samples there, those just sent included
    :param heard: time of its last answer
    :param since: time at which it was first asked
    """

    member: Member
    status: RunnerStatus | None = None
    taken: int = 0
    heard: float = 0.0
    since: float = 0.0

    def is_ready(self, now: float) -> bool:
        """Return whether it was heard lately and takes samples."""
        return self.status is not None and self.status.ready and now - self.heard <= STATUS_AGE_S

    def free(self, now: float) -> int:
        """Return how many samples it could start now."""
        return max(0, self.status.slots - self.taken) if self.is_ready(now) else 0


def usual_gap_ms(views: Sequence[RunnerView]) -> float:
    """Return the usual gap between events over all sidecars, 0 if none tells one."""
    gaps = [view.status.gap_ms for view in views if view.status and view.status.gap_ms]
    return median(gaps) if gaps else 0.0


def place(
    views: Sequence[RunnerView],
    model: str,
    min_version: int,
    data_centre: str,
    avoid: str,
    now: float,
) -> RunnerView | None:
    """Return the sidecar for one sample, none if none has room.

    The fastest engines come first, so that the longest samples, which are placed first, get them;
    of equally fast ones the one with the most room, then a near one.

    :param avoid: sidecar that is taken only if there is no other
    """
    able = [view for view in views if _is_able(view, model, min_version, now)]
    if not able:
        return None
    fastest = min((view.status.gap_ms for view in views if _tells_gap(view)), default=0.0)

    def rank(view: RunnerView) -> tuple[bool, int, float, bool]:
        share = view.free(now) / max(1, view.status.slots)
        near = view.member.data_centre == data_centre
        return (view.member.name == avoid, _speed_class(view, fastest), -share, not near)

    return min(able, key=rank)


def _is_able(view: RunnerView, model: str, min_version: int, now: float) -> bool:
    """Return whether a sidecar could start a sample now with weights that are fresh enough."""
    return view.free(now) > 0 and has_fresh(view, model, min_version)


def has_fresh(view: RunnerView, model: str, min_version: int) -> bool:
    """Return whether an engine holds weights that are fresh enough and do not change just now."""
    if view.status is None or is_changing(view.status.loading, model):
        return False
    return view.status.versions.get(model, 0) >= min_version


def _tells_gap(view: RunnerView) -> bool:
    return view.status is not None and view.status.gap_ms > 0


def _speed_class(view: RunnerView, fastest: float) -> int:
    """Return 0 for an engine about as fast as the fastest, more the slower it is."""
    if not _tells_gap(view) or not fastest:
        return 0
    return int(log(view.status.gap_ms / fastest, SPEED_STEP))


__all__ = ["RunnerView", "has_fresh", "place", "usual_gap_ms"]
