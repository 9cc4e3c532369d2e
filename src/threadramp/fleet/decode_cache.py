"""Decodes items of the store once for each revision, and records those that are unreadable."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from threadramp.platform.documents import DocumentError
from threadramp.report.log import log_state

if TYPE_CHECKING:
    from collections.abc import Callable, Collection

    from threadramp.platform.store_model import Item


@dataclass(frozen=True)
class Unreadable:
    """An item that could not be decoded.

    :param kind: expected kind, such as ``endpoint``
    :param revision: the store's revision at which it was written
    """

    kind: str
    revision: int
    reason: str


class DecodeCache:
    """The decoded items of one process; not thread-safe.

    An item is decoded when its revision is first seen, because each change of one entry iterates
    over all entries of the fleet.
    """

    def __init__(self) -> None:
        self.entries: dict[str, tuple[int, Any]] = {}
        self.unreadable: dict[str, Unreadable] = {}
        self.on_unreadable: Callable[[str], None] = lambda kind: None

    def decode_item(self, kind: str, item: Item, decode: Callable[[Item], Any]) -> Any | None:
        """Return the decoded item, none if it is unreadable.

        :param decode: raises ``DocumentError`` if the item is unreadable
        """
        entry = self.entries.get(item.key)
        if entry is not None and entry[0] == item.revision:
            return entry[1]
        try:
            found = decode(item)
        except DocumentError as error:
            found = None
            self._record_unreadable(kind, item, str(error))
        else:
            self.unreadable.pop(item.key, None)
        self.entries[item.key] = (item.revision, found)
        return found

    def decode_or_last(self, kind: str, item: Item, decode: Callable[[Item], Any]) -> Any | None:
        """Return the decoded item, or its last readable state."""
        entry = self.entries.get(item.key)
        found = self.decode_item(kind, item, decode)
        if found is None and entry is not None:
            found = entry[1]
            self.entries[item.key] = (item.revision, found)
        return found

    def retain_only(self, prefix: str, keys: Collection[str]) -> None:
        """Forget items under a prefix that no longer exist."""
        for rows in (self.entries, self.unreadable):
            for key in [key for key in rows if key.startswith(prefix) and key not in keys]:
                del rows[key]

    def _record_unreadable(self, kind: str, item: Item, reason: str) -> None:
        """Log an item once for each revision; each change of any item visits all of them."""
        self.unreadable[item.key] = Unreadable(kind, item.revision, reason)
        self.on_unreadable(kind)
        log_state(f"{kind}_unreadable", key=item.key, revision=item.revision, error=reason)


__all__ = ["DecodeCache", "Unreadable"]
