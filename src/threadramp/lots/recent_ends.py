"""The ends of lots that this process wrote or was notified of recently."""

from __future__ import annotations

import threading
from collections import OrderedDict
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from threadramp.lots.model import StoredHead

# At one lot per trainer every 4 s and 9 trainers this covers two minutes; a takeover takes seconds.
MAX_ENDS = 256


class RecentEnds:
    """Remembers ends, for lots that are being taken over and are not among the owned ones yet."""

    def __init__(self) -> None:
        self.heads: OrderedDict[str, StoredHead] = OrderedDict()
        self.lock = threading.Lock()

    def add(self, stored: StoredHead) -> None:
        """Add the head of a lot whose end is stored."""
        with self.lock:
            self.heads[stored.lot_id] = stored
            self.heads.move_to_end(stored.lot_id)
            if len(self.heads) > MAX_ENDS:
                self.heads.popitem(last=False)

    def get(self, lot_id: str) -> StoredHead | None:
        """Return the head with which a lot ended, none if no end is known here."""
        with self.lock:
            return self.heads.get(lot_id)


__all__ = ["RecentEnds"]
