"""The lots that this gateway owns, shared by the threads that work on them."""

from __future__ import annotations

import threading
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from threadramp.core.lot_book import LotBook
    from threadramp.lots.model import Result, StoredHead

MAX_PAGE_CHARACTERS = 600_000  # a page of results may have a megabyte


@dataclass
class OwnedLot:
    """One lot with what the store is known to have of it.

    :param kept: its head; replaced with each write
    :param looked: whether sidecars were asked for text that they kept of its samples
    :param others: whether another box ran it before, which may not know that it does not any more
    :param sure_at: time at which the store last took a write of ours under the head's condition, so
        that nobody else can have owned it before
    """

    book: LotBook
    stored: StoredHead
    looked: bool = False
    others: bool = False
    ownership_confirmed_at: float = float("-inf")

    @property
    def lot_id(self) -> str:
        """Return the lot's id."""
        return self.stored.lot_id


@dataclass(frozen=True)
class Page:
    """Results from a position on.

    :param total: samples of the lot
    """

    total: int
    ended: bool
    results: tuple[Result, ...]


class OwnedLots:
    """All owned lots; ``lock`` guards them and their books."""

    def __init__(self) -> None:
        self.lots: dict[str, OwnedLot] = {}
        self.lock = threading.RLock()
        self.listed = threading.Condition(self.lock)
        self.work = threading.Event()

    def add(self, owned: OwnedLot) -> bool:
        """Add a lot; false if it is there already."""
        with self.lock:
            if owned.lot_id in self.lots:
                return False
            self.lots[owned.lot_id] = owned
        self.work.set()
        return True

    def get(self, lot_id: str) -> OwnedLot | None:
        """Return a lot, none if it is not owned here."""
        with self.lock:
            return self.lots.get(lot_id)

    def remove(self, lot_id: str) -> OwnedLot | None:
        """Take a lot out; readers that wait for it are told."""
        with self.lock:
            owned = self.lots.pop(lot_id, None)
            self.listed.notify_all()
            return owned

    def open(self) -> list[OwnedLot]:
        """Return the lots that are not ended, the one that is due first at the front."""
        with self.lock:
            found = [owned for owned in self.lots.values() if not owned.book.ended]
        found.sort(key=lambda owned: owned.book.rules.due)
        return found

    def tell_listed(self) -> None:
        """Wake the readers that wait for results."""
        with self.lock:
            self.listed.notify_all()

    def page(self, lot_id: str, after: int, wait: Callable[[], float]) -> Page | None:
        """Return results from a position on, waiting for the first if there is none yet.

        :param wait: returns the seconds that are left to wait
        """
        with self.lock:
            while True:
                owned = self.lots.get(lot_id)
                if owned is None:
                    return None
                book = owned.book
                left = wait()
                if after < len(book.listed) or book.ended or book.is_whole or left <= 0:
                    results = first_page(book.listed[after:])
                    return Page(len(book.states), book.ended, results)
                self.listed.wait(left)


def first_page(results: Iterable[Result]) -> tuple[Result, ...]:
    """Return as many results as one answer may hold, at least one if there is one."""
    page: list[Result] = []
    size = 0
    for result in results:
        size += len(result.text)
        if page and size > MAX_PAGE_CHARACTERS:
            break
        page.append(result)
    return tuple(page)


__all__ = ["OwnedLot", "OwnedLots", "Page", "first_page"]
