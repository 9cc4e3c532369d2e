"""Decodes what lies in the store once for each revision, and remembers what cannot be read."""

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
    """An item that is not what its key says.

    :param kind: what it should be, such as ``endpoint``
    :param revision: of the store, at which it was written
    """

    kind: str
    revision: int
    reason: str


class DecodeCache:
    """The decoded items of one process; not for several threads at once.

    An item is decoded when its revision is seen for the first time: the entries of a large fleet
    are gone through with each change of one of them.
    """

    def __init__(self) -> None:
        self.held: dict[str, tuple[int, Any]] = {}
        self.unreadable: dict[str, Unreadable] = {}
        self.on_unreadable: Callable[[str], None] = lambda kind: None

    def read(self, kind: str, item: Item, decode: Callable[[Item], Any]) -> Any | None:
        """Return what an item says, none if it cannot be read.

        :param decode: raises ``DocumentError`` if it cannot be read
        """
        held = self.held.get(item.key)
        if held is not None and held[0] == item.revision:
            return held[1]
        try:
            found = decode(item)
        except DocumentError as error:
            found = None
            self._note_unreadable(kind, item, str(error))
        else:
            self.unreadable.pop(item.key, None)
        self.held[item.key] = (item.revision, found)
        return found

    def read_or_last(self, kind: str, item: Item, decode: Callable[[Item], Any]) -> Any | None:
        """Return what an item says, or what it said when it could last be read."""
        held = self.held.get(item.key)
        found = self.read(kind, item, decode)
        if found is None and held is not None:
            found = held[1]
            self.held[item.key] = (item.revision, found)
        return found

    def keep_only(self, prefix: str, keys: Collection[str]) -> None:
        """Forget the items under a prefix that are gone."""
        for rows in (self.held, self.unreadable):
            for key in [key for key in rows if key.startswith(prefix) and key not in keys]:
                del rows[key]

    def _note_unreadable(self, kind: str, item: Item, reason: str) -> None:
        """Tell it once for each revision; each change of any item goes through all of them."""
        self.unreadable[item.key] = Unreadable(kind, item.revision, reason)
        self.on_unreadable(kind)
        log_state(f"{kind}_unreadable", key=item.key, revision=item.revision, error=reason)


__all__ = ["DecodeCache", "Unreadable"]
