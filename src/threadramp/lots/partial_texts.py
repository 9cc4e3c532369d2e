"""Keeps the text of samples unfinished at the end of their lot, for reuse by a later lot."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from threadramp.core.lot_tracker import LotTracker

MAX_TEXTS = 400  # samples of ended lots whose text is kept


class PartialTexts:
    """Partial texts by sample; the oldest are dropped first."""

    def __init__(self) -> None:
        self.texts: dict[str, tuple[list[str], list[int], str]] = {}

    def add(self, tracker: LotTracker) -> None:
        """Add the text of a lot's samples that have no result."""
        for name, state in tracker.states.items():
            if state.is_open and state.events:
                self.texts.pop(name, None)
                self.texts[name] = (state.events, state.versions, state.lineage)
        for name in list(self.texts)[: max(0, len(self.texts) - MAX_TEXTS)]:
            del self.texts[name]

    def apply_to(self, tracker: LotTracker) -> list[str]:
        """Fill a new lot's samples with matching texts; returns the samples that were filled."""
        used = []
        for name in tracker.states:
            text = self.texts.pop(name, None)
            if text is not None and tracker.prefill(name, *text):
                used.append(name)
        return used


__all__ = ["PartialTexts"]
