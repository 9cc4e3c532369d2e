"""Keeps the text of samples unfinished at the end of their lot, for reuse by a later lot."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from threadramp.core.lot_tracker import TextSource
from threadramp.lots.model import SavedText
from threadramp.lots.text_inputs import TextInputs, belongs_to

if TYPE_CHECKING:
    from threadramp.core.lot_tracker import LotTracker

MAX_TEXTS = 400  # samples of ended lots whose text is kept


@dataclass(frozen=True)
class KeptText:
    """The text of a sample of an ended lot.

    :param is_whole: whether it is complete, so that it needs a score and no further run
    """

    text: SavedText
    is_whole: bool


class PartialTexts:
    """Texts of samples without a listed result; the oldest are dropped first."""

    def __init__(self) -> None:
        self.texts: dict[str, KeptText] = {}

    def add(self, tracker: LotTracker) -> None:
        """Add the text of a lot's samples that have no listed result.

        The events are copied: a reply that is still being processed may extend those of the lot.
        """
        for name, state in tracker.states.items():
            if not (state.is_open or state.has_whole_text) or not state.events:
                continue
            text = SavedText(
                sample=name,
                base=0,
                events=tuple(state.events),
                versions=tuple(state.versions),
                lineage=state.lineage,
                inputs=TextInputs.of(tracker.lot, state.sample).digest,
            )
            self.texts.pop(name, None)
            self.texts[name] = KeptText(text, state.has_whole_text)
        for name in list(self.texts)[: max(0, len(self.texts) - MAX_TEXTS)]:
            self.texts.pop(name, None)

    def apply_to(self, tracker: LotTracker) -> list[str]:
        """Fill a new lot's samples with matching texts; returns the samples that were filled.

        The text of another request with the same id is left for a lot that has that request.
        """
        used = []
        for name, state in tracker.states.items():
            kept = self.texts.get(name)
            if kept is None or not belongs_to(kept.text, tracker.lot, state.sample):
                continue
            self.texts.pop(name, None)
            text = kept.text
            if tracker.prefill(
                name,
                text.events,
                text.versions,
                text.lineage,
                TextSource.KEPT,
                is_whole=kept.is_whole,
            ):
                used.append(name)
        return used


__all__ = ["PartialTexts"]
