"""The ends of lots that this process wrote or heard of lately."""

from __future__ import annotations

import threading
from collections import OrderedDict
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from threadramp.lots.model import StoredHead

ENDS_MOST = (
    256  # a lot each 4 s and trainer: with 9 trainers two minutes; taking over takes seconds
)


class RecentEnds:
    """Remembers ends; a lot that is being taken over is not among the owned ones yet."""

    def __init__(self) -> None:
        self.heads: OrderedDict[str, StoredHead] = OrderedDict()
        self.lock = threading.Lock()

    def note(self, stored: StoredHead) -> None:
        """Take note of the head of a lot whose end is kept."""
        with self.lock:
            self.heads[stored.lot_id] = stored
            self.heads.move_to_end(stored.lot_id)
            if len(self.heads) > ENDS_MOST:
                self.heads.popitem(last=False)

    def of(self, lot_id: str) -> StoredHead | None:
        """Return the head with which a lot ended, none if that is not known here."""
        with self.lock:
            return self.heads.get(lot_id)


__all__ = ["RecentEnds"]
