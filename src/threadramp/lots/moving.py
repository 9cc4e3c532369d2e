"""Lets running samples go on at faster engines; ``policy/moves.py`` says which."""

from __future__ import annotations

from typing import TYPE_CHECKING

from threadramp.core.lot_book import Phase
from threadramp.policy.moves import RunningSample, samples_to_move
from threadramp.report.log import log_state

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from threadramp.fleet.clock import Clock
    from threadramp.lots.owned import OwnedLot, OwnedLots
    from threadramp.policy.sample_placement import RunnerView


class SampleMoves:
    """Takes samples from their sidecars, so that they wait for a faster one.

    :param drop: tells a sidecar that samples are not wanted there, and takes their last events
    """

    def __init__(
        self,
        owned: OwnedLots,
        clock: Clock,
        drop: Callable[[RunnerView, dict[str, int]], None],
    ) -> None:
        self.owned = owned
        self.clock = clock
        self.drop = drop

    def turn(self, views: Mapping[str, RunnerView]) -> None:
        """Take samples from engines where others would be done sooner.

        :param views: of sidecars, by name
        """
        with self.owned.lock:
            running = [one for lot in self.owned.open() for one in _running(lot, views)]
        moved: dict[tuple[str, str], list[str]] = {}
        for one in samples_to_move(running, list(views.values()), self.clock.now()):
            moved.setdefault((one.lot, one.runner), []).append(one.sample)
        for (lot_id, runner), samples in moved.items():
            lot = self.owned.get(lot_id)
            if lot is not None:
                self._move(lot, views[runner], samples)

    def _move(self, lot: OwnedLot, view: RunnerView, samples: list[str]) -> None:
        """Take samples of a lot from a sidecar."""
        name = view.member.name
        with self.owned.lock:
            have = lot.book.at_runner(name)
            moved = {sample: have[sample] for sample in samples if sample in have}
        if not moved:
            return
        log_state("samples_moved", lot=lot.lot_id, sidecar=name, samples=sorted(moved))
        self.drop(view, moved)
        with self.owned.lock:
            for sample in moved:
                lot.book.give_back(sample, name, self.clock.now())


def _running(lot: OwnedLot, views: Mapping[str, RunnerView]) -> list[RunningSample]:
    """Return the samples of a lot that run at one of these sidecars."""
    book = lot.book
    return [
        RunningSample(
            lot=lot.lot_id,
            sample=name,
            model=book.lot.model,
            min_version=book.lot.min_version,
            runner=state.runner,
            events_here=len(state.events) - state.events_before,
            events_left=book.events_left(state),
        )
        for name, state in book.states.items()
        if state.phase is Phase.RUNNING and state.confirmed and state.runner in views
    ]


__all__ = ["SampleMoves"]
