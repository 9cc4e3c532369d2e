"""In-memory copy of one key prefix of the store; does no I/O itself.

Revisions only increase: an older item never replaces a newer one, whatever its source.
"""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING

from threadramp.platform.store_model import Changes, Item, Listing, Removal

if TYPE_CHECKING:
    from collections.abc import Callable

STORE_SOURCE = "the store"
RETENTION_S = 2.5  # entries that expired in an outage are written again about 2 s after it


class Mirror:
    """Items under one key prefix.

    :param prefix: prefix of the keys
    :param retains_expired: whether an item that is removed around an outage of the store is kept
        for a while longer, because its writer may not have been able to renew its lease
    """

    def __init__(self, prefix: str, retains_expired: bool) -> None:
        self.prefix = prefix
        self.retains_expired = retains_expired
        self.items: dict[str, Item] = {}
        self.retained_until: dict[str, float] = {}
        self.sources: dict[str, tuple[str, float]] = {}
        self.revision = 0
        self.is_loaded = False
        self.distrusted_until = 0.0
        self.current_at = float("-inf")
        self.lock = threading.Lock()
        self.listeners: list[Callable[[], None]] = []

    def replace(self, listing: Listing, now: float, source: str = STORE_SOURCE) -> bool:
        """Replace the content by a listing; return false if the listing is outdated.

        :param source: the store, or the name of the peer that sent it
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
        self._notify()
        return True

    def apply(self, changes: Changes, now: float, source: str = STORE_SOURCE) -> None:
        """Apply changes that follow the current revision.

        :param source: the store, or the name of the peer that sent them
        """
        with self.lock:
            for item in changes.items:
                self._put(item, now, source)
            for removal in changes.removals:
                known = self.items.get(removal.key)
                if known is not None and known.revision < removal.revision:
                    self._remove(removal.key, now)
            self.revision = max(self.revision, changes.revision)
        if changes.items or changes.removals:
            self._notify()

    def confirm_current(self, at: float) -> None:
        """Record that the store, directly or through a peer, confirmed the content as current.

        :param at: time of the request that was answered so
        """
        with self.lock:
            self.current_at = max(self.current_at, at)

    def distrust_removals(self, until: float) -> None:
        """Retain items that are removed until ``until``, because the store was unreachable."""
        with self.lock:
            self.distrusted_until = max(self.distrusted_until, until)
            for key in self.retained_until:
                self.retained_until[key] = max(self.retained_until[key], until)

    def expire(self, now: float) -> None:
        """Drop retained items that were not written again in time."""
        with self.lock:
            expired = [key for key, until in self.retained_until.items() if until <= now]
            for key in expired:
                del self.retained_until[key]
                self.items.pop(key, None)
                self.sources.pop(key, None)
        if expired:
            self._notify()

    def snapshot(self) -> dict[str, Item]:
        """Return all items by key, retained ones included."""
        with self.lock:
            return dict(self.items)

    def retained(self) -> dict[str, float]:
        """Return until when removed items are still retained, by key."""
        with self.lock:
            return dict(self.retained_until)

    def copy(self) -> Listing:
        """Return a listing for a peer, without retained items."""
        with self.lock:
            items = tuple(
                item for key, item in self.items.items() if key not in self.retained_until
            )
            return Listing(items, self.revision)

    def source_of(self, key: str) -> tuple[str, float | None]:
        """Return the source of an item and when it came; empty and none for an unknown key."""
        with self.lock:
            return self.sources.get(key, ("", None))

    def _put(self, item: Item, now: float, source: str) -> None:
        known = self.items.get(item.key)
        if known is None or known.revision <= item.revision:
            if known is None or known.revision < item.revision:
                self.sources[item.key] = (source, now)
            self.items[item.key] = item
            self.retained_until.pop(item.key, None)

    def _remove(self, key: str, now: float) -> None:
        if self.retains_expired and now < self.distrusted_until:
            self.retained_until.setdefault(key, self.distrusted_until)
            return
        self.items.pop(key, None)
        self.sources.pop(key, None)
        self.retained_until.pop(key, None)

    def _notify(self) -> None:
        for listener in self.listeners:
            listener()


def diff(before: dict[str, Item], listing: Listing) -> Changes:
    """Return the changes that lead from the items before to a listing."""
    found = {item.key for item in listing.items}
    newer = [
        item
        for item in listing.items
        if item.key not in before or before[item.key].revision < item.revision
    ]
    removals = [Removal(key, listing.revision) for key in before if key not in found]
    return Changes(tuple(newer), tuple(removals), listing.revision)


__all__ = ["RETENTION_S", "Mirror", "diff"]
