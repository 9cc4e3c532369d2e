"""Which steps of each trainer's run are closed."""

from __future__ import annotations

from typing import TYPE_CHECKING

from threadramp.wire.messages import StepKey, StepMark

if TYPE_CHECKING:
    from collections.abc import Iterable

MAX_BEYOND = 16  # closed steps above the mark that are kept one by one
NO_STEP = -1


class ClosedSteps:
    """Closed steps by trainer and run; a closed step never opens again.

    :ivar change_count: raised with every change, so that peers ask only for what is new
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
        """Take over what a peer knows to be closed.

        :returns: whether that closed anything
        """
        changed = False
        for mark in marks:
            owner = (mark.trainer, mark.run)
            held = self.marks.get(owner, StepMark(mark.trainer, mark.run, NO_STEP))
            merged = _normal(
                mark.trainer, mark.run, max(held.mark, mark.mark), {*held.beyond, *mark.beyond}
            )
            if merged != held:
                self.change_count += 1
                self.marks[owner] = merged
                self.changed_at[owner] = self.change_count
                changed = True
        return changed

    def since(self, count: int) -> tuple[StepMark, ...]:
        """Return the marks that changed after ``count``."""
        return tuple(
            self.marks[owner] for owner, changed in self.changed_at.items() if changed > count
        )


def _normal(trainer: str, run: str, mark: int, beyond: set[int]) -> StepMark:
    beyond = {step for step in beyond if step > mark}
    while len(beyond) > MAX_BEYOND:
        mark = min(beyond)
        beyond.discard(mark)
    while mark + 1 in beyond:
        mark += 1
        beyond.discard(mark)
    return StepMark(trainer, run, mark, tuple(sorted(beyond)))


__all__ = ["MAX_BEYOND", "ClosedSteps"]
