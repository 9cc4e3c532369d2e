"""Text of samples whose lot ended before they were whole, for a later lot that names them again."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from threadramp.core.lot_book import LotBook

KEPT_TEXTS = 400  # samples of ended lots whose text may serve a later lot


class PartialTexts:
    """Texts by sample, the oldest forgotten first."""

    def __init__(self) -> None:
        self.texts: dict[str, tuple[list[str], list[int], str]] = {}

    def keep(self, book: LotBook) -> None:
        """Keep the text of a lot's samples that have no result."""
        for name, state in book.states.items():
            if state.is_open and state.events:
                self.texts.pop(name, None)
                self.texts[name] = (state.events, state.versions, state.lineage)
        for name in list(self.texts)[: max(0, len(self.texts) - KEPT_TEXTS)]:
            del self.texts[name]

    def use(self, book: LotBook) -> list[str]:
        """Give a new lot's samples the text that is kept; returns those that it fits."""
        used = []
        for name in book.states:
            text = self.texts.pop(name, None)
            if text is not None and book.prefill(name, *text):
                used.append(name)
        return used


__all__ = ["PartialTexts"]
