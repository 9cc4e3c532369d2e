"""The lots that this gateway owns, shared by the threads that work on them."""

from __future__ import annotations

import threading
from dataclasses import dataclass, field
from functools import cached_property
from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from threadramp.core.lot_tracker import LotTracker
    from threadramp.lots.head_change import HeadChange
    from threadramp.lots.model import Result, StoredHead

MAX_PAGE_BYTES = 600_000  # a page of results may have 1 MB


@dataclass
class OwnedLot:
    """One owned lot with its last known state in the store.

    :param stored: its newest known head; changed by ``record`` only
    :param partial_texts_requested: whether sidecars were asked for partial text of its samples
    :param had_other_owner: whether another box ran it before, which may not know that it is no
        longer the owner
    :param ownership_confirmed_at: time at which the store last accepted a conditional write of
        ours, so that nobody else can have owned the lot before
    :param unresolved: writes of this process that may have been done or may be done later, by
        nonce; all of them are conditional on the revision of ``stored``, so at most one is done
    """

    tracker: LotTracker
    stored: StoredHead
    partial_texts_requested: bool = False
    had_other_owner: bool = False
    ownership_confirmed_at: float = float("-inf")
    unresolved: dict[str, HeadChange] = field(default_factory=dict)

    @property
    def lot_id(self) -> str:
        """Return the lot's id."""
        return self.stored.lot_id

    @cached_property
    def body_bytes(self) -> int:
        """Return the bytes of the lot's samples."""
        return self.tracker.lot.body_bytes

    def find_unresolved(self, matches: Callable[[HeadChange], bool]) -> HeadChange | None:
        """Return an unresolved write that is to be sent again unchanged, none if there is none."""
        return next((one for one in self.unresolved.values() if matches(one)), None)

    def record(self, stored: StoredHead, results: Iterable[Result]) -> None:
        """Record a newer head; with it the outcome of each unresolved write is known.

        :param results: stored since the previous head
        """
        self.unresolved = {}
        self.stored = stored
        self.tracker.appended(results)


@dataclass(frozen=True)
class Page:
    """Results from a position on.

    :param total: number of samples in the lot
    """

    total: int
    ended: bool
    results: tuple[Result, ...]


class OwnedLots:
    """All owned lots; ``lock`` guards them and their trackers."""

    def __init__(self) -> None:
        self.lots: dict[str, OwnedLot] = {}
        self.lock = threading.RLock()
        self.listing_changed = threading.Condition(self.lock)
        self.work_available = threading.Event()

    def add(self, owned: OwnedLot) -> bool:
        """Add a lot; false if it exists already."""
        with self.lock:
            if owned.lot_id in self.lots:
                return False
            self.lots[owned.lot_id] = owned
        self.work_available.set()
        return True

    def get(self, lot_id: str) -> OwnedLot | None:
        """Return a lot, none if it is not owned here."""
        with self.lock:
            return self.lots.get(lot_id)

    def remove(self, lot_id: str) -> OwnedLot | None:
        """Remove a lot and wake the readers that wait for its results."""
        with self.lock:
            owned = self.lots.pop(lot_id, None)
            self.listing_changed.notify_all()
            return owned

    def open(self) -> list[OwnedLot]:
        """Return the lots that have not ended, the one that is due first at the front."""
        with self.lock:
            found = [owned for owned in self.lots.values() if not owned.tracker.ended]
        found.sort(key=lambda owned: owned.tracker.rules.due)
        return found

    def body_bytes(self, but: str) -> int:
        """Return the bytes of the samples of all lots but one."""
        with self.lock:
            return sum(one.body_bytes for name, one in self.lots.items() if name != but)

    def notify_readers(self) -> None:
        """Wake the readers that wait for results."""
        with self.lock:
            self.listing_changed.notify_all()

    def page(self, lot_id: str, after: int, wait: Callable[[], float]) -> Page | None:
        """Return results from a position on, waiting for the first if there is none yet.

        :param wait: returns the remaining seconds to wait
        """
        with self.lock:
            while True:
                owned = self.lots.get(lot_id)
                if owned is None:
                    return None
                tracker = owned.tracker
                remaining_s = wait()
                if (
                    after < len(tracker.listed)
                    or tracker.ended
                    or tracker.is_complete
                    or remaining_s <= 0
                ):
                    results = first_page(tracker.listed[after:])
                    return Page(len(tracker.states), tracker.ended, results)
                self.listing_changed.wait(remaining_s)


def first_page(results: Iterable[Result]) -> tuple[Result, ...]:
    """Return as many results as fit into one answer, at least one if there is one.

    Line feeds, quotes and control characters take up to six bytes in the answer.
    """
    page: list[Result] = []
    size = 0
    for result in results:
        size += len(msgspec.json.encode(result.text))
        if page and size > MAX_PAGE_BYTES:
            break
        page.append(result)
    return tuple(page)


__all__ = ["OwnedLot", "OwnedLots", "Page", "first_page"]
