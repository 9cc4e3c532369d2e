"""Selects the sidecar that runs a sample."""

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

SPEED_STEP = 1.15  # engines whose event gaps differ by a smaller ratio count as equally fast
MAX_STATUS_AGE_S = 2.0  # a sidecar without an answer for longer gets no samples


@dataclass
class RunnerView:
    """The state of a sidecar as known to one gateway.

    :param assigned: number of samples there, including those just sent
    :param last_answer_at: time of its last answer
    :param first_asked_at: time of the first request to it
    :param pool: pool of its engine, empty if no entry has the engine's address
    """

    member: Member
    status: RunnerStatus | None = None
    assigned: int = 0
    last_answer_at: float = 0.0
    first_asked_at: float = 0.0
    pool: str = ""

    def is_ready(self, now: float) -> bool:
        """Return whether it answered recently and accepts samples."""
        return (
            self.status is not None
            and self.status.ready
            and now - self.last_answer_at <= MAX_STATUS_AGE_S
        )

    def free_slots(self, now: float, queued: int = 0) -> int:
        """Return how many samples it could start now.

        :param queued: number of samples that may wait there beyond its slots
        """
        return max(0, self.status.slots + queued - self.assigned) if self.is_ready(now) else 0


def views_in_pools(
    views: Sequence[RunnerView], pools: Sequence[str], model: str, min_version: int, now: float
) -> list[RunnerView]:
    """Return the sidecars that a sample may use, by the pools of its route.

    They are those of the first pool, to which the weights of the route assign the sample. Only if
    no engine there can run it at all, the other pools of the route replace it.

    :param pools: the pools that the sample may use, the one to prefer first
    """
    preferred = [view for view in views if view.pool in pools[:1]]
    if any(
        view.is_ready(now) and has_fresh_weights(view, model, min_version) for view in preferred
    ):
        return preferred
    return [view for view in views if view.pool in pools]


def median_gap_ms(views: Sequence[RunnerView]) -> float:
    """Return the median gap between events over all sidecars, 0 if none reports one."""
    gaps = [view.status.gap_ms for view in views if view.status and view.status.gap_ms]
    return median(gaps) if gaps else 0.0


def choose_runner(
    views: Sequence[RunnerView],
    model: str,
    min_version: int,
    data_centre: str,
    avoid: str,
    now: float,
    queued: int = 0,
) -> RunnerView | None:
    """Return the sidecar for one sample, none if none has a free slot or a place in its queue.

    The fastest engines come first, because the longest samples are placed first and need them.
    Among equally fast engines the one with the largest share of free slots is chosen, then one in
    the same data centre.

    :param avoid: sidecar that is chosen only if there is no other
    :param queued: number of samples that may wait at a sidecar beyond its slots, if no slot is free
    """
    fresh = [view for view in views if has_fresh_weights(view, model, min_version)]
    eligible = [view for view in fresh if view.free_slots(now) > 0]
    if not eligible:
        eligible = [view for view in fresh if view.free_slots(now, queued) > 0]
    if not eligible:
        return None
    fastest = min((view.status.gap_ms for view in views if _reports_gap(view)), default=0.0)

    def rank(view: RunnerView) -> tuple[bool, int, float, bool]:
        share = view.free_slots(now, queued) / max(1, view.status.slots)
        near = view.member.data_centre == data_centre
        return (view.member.name == avoid, _speed_class(view, fastest), -share, not near)

    return min(eligible, key=rank)


def has_fresh_weights(view: RunnerView, model: str, min_version: int) -> bool:
    """Return whether an engine holds recent enough weights and is not loading that model now."""
    if view.status is None or is_changing(view.status.loading, model):
        return False
    return view.status.versions.get(model, 0) >= min_version


def _reports_gap(view: RunnerView) -> bool:
    return view.status is not None and view.status.gap_ms > 0


def _speed_class(view: RunnerView, fastest: float) -> int:
    """Return 0 for an engine about as fast as the fastest, a larger number for slower ones."""
    if not _reports_gap(view) or not fastest:
        return 0
    return int(log(view.status.gap_ms / fastest, SPEED_STEP))


__all__ = ["RunnerView", "choose_runner", "has_fresh_weights", "median_gap_ms", "views_in_pools"]
