"""Keeps the text of samples unfinished at the end of their lot, for reuse by a later lot."""

from __future__ import annotations

from typing import TYPE_CHECKING

from threadramp.lots.model import SavedText
from threadramp.lots.text_inputs import TextInputs, belongs_to

if TYPE_CHECKING:
    from threadramp.core.lot_tracker import LotTracker

MAX_TEXTS = 400  # samples of ended lots whose text is kept


class PartialTexts:
    """Partial texts by sample; the oldest are dropped first."""

    def __init__(self) -> None:
        self.texts: dict[str, SavedText] = {}

    def add(self, tracker: LotTracker) -> None:
        """Add the text of a lot's samples that have no result.

        The events are copied: a reply that is still being processed may extend those of the lot.
        """
        for name, state in tracker.states.items():
            if not state.is_open or not state.events:
                continue
            self.texts.pop(name, None)
            self.texts[name] = SavedText(
                sample=name,
                base=0,
                events=tuple(state.events),
                versions=tuple(state.versions),
                lineage=state.lineage,
                inputs=TextInputs.of(tracker.lot, state.sample).digest,
            )
        for name in list(self.texts)[: max(0, len(self.texts) - MAX_TEXTS)]:
            self.texts.pop(name, None)

    def apply_to(self, tracker: LotTracker) -> list[str]:
        """Fill a new lot's samples with matching texts; returns the samples that were filled.

        The text of another request with the same id is left for a lot that has that request.
        """
        used = []
        for name, state in tracker.states.items():
            text = self.texts.get(name)
            if text is None or not belongs_to(text, tracker.lot, state.sample):
                continue
            self.texts.pop(name, None)
            if tracker.prefill(name, text.events, text.versions, text.lineage):
                used.append(name)
        return used


__all__ = ["PartialTexts"]
