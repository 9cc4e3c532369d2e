"""What this process has seen of one prefix of the store, kept without I/O.

Revisions only rise: an older item never replaces a newer one, whoever says it.
"""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING

from threadramp.platform.store_model import Changes, Item, Listing, Removal

if TYPE_CHECKING:
    from collections.abc import Callable

THE_STORE = "the store"
LAPSE_HOLD_S = 2.5  # entries that lapsed in an outage are back about 2 s after its end


class Mirror:
    """Items under one prefix.

    :param prefix: of the keys
    :param holds_lapsed: whether an item that goes around an outage of the store is believed for
        a while longer; its writer may not have been able to renew it
    """

    def __init__(self, prefix: str, holds_lapsed: bool) -> None:
        self.prefix = prefix
        self.holds_lapsed = holds_lapsed
        self.items: dict[str, Item] = {}
        self.lapsed: dict[str, float] = {}
        self.told: dict[str, tuple[str, float]] = {}
        self.revision = 0
        self.is_loaded = False
        self.disturbed_until = 0.0
        self.current_at = float("-inf")
        self.lock = threading.Lock()
        self.listeners: list[Callable[[], None]] = []

    def replace(self, listing: Listing, now: float, source: str = THE_STORE) -> bool:
        """Take over a whole listing; false if it is older than what is known.

        :param source: who told it
        """
        with self.lock:
            if self.is_loaded and listing.revision < self.revision:
                return False
            found = {item.key: item for item in listing.items}
            for key in [key for key in self.items if key not in found]:
                self._remove(key, now)
            for item in listing.items:
                self._put(item, now, source)
            self.revision = max(self.revision, listing.revision)
            self.is_loaded = True
        self._tell()
        return True

    def apply(self, changes: Changes, now: float, source: str = THE_STORE) -> None:
        """Take over changes that follow what is known.

        :param source: who told them
        """
        with self.lock:
            for item in changes.items:
                self._put(item, now, source)
            for removal in changes.removals:
                held = self.items.get(removal.key)
                if held is not None and held.revision < removal.revision:
                    self._remove(removal.key, now)
            self.revision = max(self.revision, changes.revision)
        if changes.items or changes.removals:
            self._tell()

    def was_current(self, at: float) -> None:
        """Note that the store showed, or a peer that it showed, that nothing newer stood at a time.

        :param at: time at which that was asked for
        """
        with self.lock:
            self.current_at = max(self.current_at, at)

    def disturbed(self, until: float) -> None:
        """Note that the store was away; removals until ``until`` are doubted."""
        with self.lock:
            self.disturbed_until = max(self.disturbed_until, until)
            for key in self.lapsed:
                self.lapsed[key] = max(self.lapsed[key], until)

    def expire(self, now: float) -> None:
        """Drop lapsed items that did not come back in time."""
        with self.lock:
            gone = [key for key, until in self.lapsed.items() if until <= now]
            for key in gone:
                del self.lapsed[key]
                self.items.pop(key, None)
                self.told.pop(key, None)
        if gone:
            self._tell()

    def snapshot(self) -> dict[str, Item]:
        """Return all items that are believed, by key."""
        with self.lock:
            return dict(self.items)

    def retained(self) -> dict[str, float]:
        """Return until when items that went are still believed, by key."""
        with self.lock:
            return dict(self.lapsed)

    def copy(self) -> Listing:
        """Return what a peer may take over; lapsed items are left out."""
        with self.lock:
            items = tuple(item for key, item in self.items.items() if key not in self.lapsed)
            return Listing(items, self.revision)

    def source_of(self, key: str) -> tuple[str, float | None]:
        """Return who told what is believed of a key, and when; nobody and none if it is unknown."""
        with self.lock:
            return self.told.get(key, ("", None))

    def _put(self, item: Item, now: float, source: str) -> None:
        held = self.items.get(item.key)
        if held is None or held.revision <= item.revision:
            if held is None or held.revision < item.revision:
                self.told[item.key] = (source, now)
            self.items[item.key] = item
            self.lapsed.pop(item.key, None)

    def _remove(self, key: str, now: float) -> None:
        if self.holds_lapsed and now < self.disturbed_until:
            self.lapsed.setdefault(key, self.disturbed_until)
            return
        self.items.pop(key, None)
        self.told.pop(key, None)
        self.lapsed.pop(key, None)

    def _tell(self) -> None:
        for listener in self.listeners:
            listener()


def difference(before: dict[str, Item], listing: Listing) -> Changes:
    """Return what a listing shows that was not known before."""
    found = {item.key for item in listing.items}
    newer = [
        item
        for item in listing.items
        if item.key not in before or before[item.key].revision < item.revision
    ]
    gone = [Removal(key, listing.revision) for key in before if key not in found]
    return Changes(tuple(newer), tuple(gone), listing.revision)


__all__ = ["LAPSE_HOLD_S", "Mirror", "difference"]
