"""The closed steps of each run of each trainer."""

from __future__ import annotations

from typing import TYPE_CHECKING

from threadramp.wire.messages import StepKey, StepMark

if TYPE_CHECKING:
    from collections.abc import Iterable

MAX_BEYOND_MARK = 16  # closed steps above the mark that are stored one by one
NO_STEP = -1


class ClosedSteps:
    """Closed steps by trainer and run; a closed step is never reopened.

    A mark closes all steps up to ``mark`` and the single steps in ``beyond``.

    :ivar change_count: raised with every change, so that peers request only newer marks
    :ivar changed_at: change count at which each mark changed last
    """

    def __init__(self) -> None:
        self.marks: dict[tuple[str, str], StepMark] = {}
        self.changed_at: dict[tuple[str, str], int] = {}
        self.change_count = 0

    def is_closed(self, key: StepKey) -> bool:
        """Return whether a step is closed."""
        mark = self.marks.get((key.trainer, key.run))
        return mark is not None and (key.step <= mark.mark or key.step in mark.beyond)

    def close(self, key: StepKey) -> bool:
        """Close a step.

        :returns: whether it was open before
        """
        return self.merge([StepMark(key.trainer, key.run, NO_STEP, (key.step,))])

    def merge(self, marks: Iterable[StepMark]) -> bool:
        """Merge the marks of a peer.

        :returns: whether any mark changed
        """
        changed = False
        for mark in marks:
            trainer_run = (mark.trainer, mark.run)
            held = self.marks.get(trainer_run, StepMark(mark.trainer, mark.run, NO_STEP))
            merged = _normalized(
                mark.trainer, mark.run, max(held.mark, mark.mark), {*held.beyond, *mark.beyond}
            )
            if merged != held:
                self.change_count += 1
                self.marks[trainer_run] = merged
                self.changed_at[trainer_run] = self.change_count
                changed = True
        return changed

    def since(self, count: int) -> tuple[StepMark, ...]:
        """Return the marks that changed after change number ``count``."""
        return tuple(
            self.marks[trainer_run]
            for trainer_run, changed in self.changed_at.items()
            if changed > count
        )


def _normalized(trainer: str, run: str, mark: int, beyond: set[int]) -> StepMark:
    beyond = {step for step in beyond if step > mark}
    while len(beyond) > MAX_BEYOND_MARK:
        mark = min(beyond)
        beyond.discard(mark)
    while mark + 1 in beyond:
        mark += 1
        beyond.discard(mark)
    return StepMark(trainer, run, mark, tuple(sorted(beyond)))


__all__ = ["MAX_BEYOND_MARK", "ClosedSteps"]
