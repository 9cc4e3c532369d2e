"""Moves running samples to faster engines; ``policy/moves.py`` selects them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from threadramp.core.lot_tracker import Phase
from threadramp.policy.moves import RunningSample, samples_to_move
from threadramp.report.log import log_state

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from threadramp.fleet.clock import Clock
    from threadramp.lots.owned import OwnedLot, OwnedLots
    from threadramp.lots.sample_routes import SampleRoutes
    from threadramp.policy.sample_placement import RunnerView


class SampleMoves:
    """Takes samples back from their sidecars, so that they wait for a faster one.

    Samples move within the pool that the weights of their route assign to them.

    :param drop: tells a sidecar to drop samples, and collects their last events
    """

    def __init__(
        self,
        owned: OwnedLots,
        clock: Clock,
        drop: Callable[[RunnerView, dict[str, int]], None],
        routes: SampleRoutes,
    ) -> None:
        self.owned = owned
        self.clock = clock
        self.drop = drop
        self.routes = routes

    def run_once(self, views: Mapping[str, RunnerView]) -> None:
        """Take back samples that other engines would finish sooner.

        :param views: of sidecars, by name
        """
        with self.owned.lock:
            running = [
                (self.routes.of(lot.tracker.lot).pools_of(one.sample), one)
                for lot in self.owned.open()
                for one in _running(lot, views)
            ]
        moved: dict[tuple[str, str], list[str]] = {}
        for pools in {pools for pools, _ in running}:
            samples = [one for their_pools, one in running if their_pools == pools]
            in_pools = [view for view in views.values() if view.pool in pools[:1]]
            for one in samples_to_move(samples, in_pools, self.clock.now()):
                moved.setdefault((one.lot, one.runner), []).append(one.sample)
        for (lot_id, runner), samples in moved.items():
            lot = self.owned.get(lot_id)
            if lot is not None:
                self._move(lot, views[runner], samples)

    def _move(self, lot: OwnedLot, view: RunnerView, samples: list[str]) -> None:
        """Take samples of a lot back from a sidecar."""
        name = view.member.name
        with self.owned.lock:
            known_events = lot.tracker.event_counts_at(name)
            moved = {sample: known_events[sample] for sample in samples if sample in known_events}
        if not moved:
            return
        log_state("samples_moved", lot=lot.lot_id, sidecar=name, samples=sorted(moved))
        self.drop(view, moved)
        with self.owned.lock:
            for sample in moved:
                lot.tracker.return_to_queue(sample, name, self.clock.now())


def _running(lot: OwnedLot, views: Mapping[str, RunnerView]) -> list[RunningSample]:
    """Return the samples of a lot that run at one of these sidecars."""
    tracker = lot.tracker
    return [
        RunningSample(
            lot=lot.lot_id,
            sample=name,
            model=tracker.lot.model,
            min_version=tracker.lot.min_version,
            runner=state.runner,
            events_here=len(state.events) - state.events_before,
            events_left=tracker.events_left(state),
        )
        for name, state in tracker.states.items()
        if state.phase is Phase.RUNNING and state.confirmed and state.runner in views
    ]


__all__ = ["SampleMoves"]
