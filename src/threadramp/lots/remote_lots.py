"""Reads and ends lots of other gateways: from the cache, through the owner, else from the store."""

from __future__ import annotations

import threading
from collections import OrderedDict
from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING

from threadramp.lots.head_lookup import HeadLookup
from threadramp.lots.owned import Page, first_page
from threadramp.platform.store_model import StoreRefusedError, StoreUnknownError
from threadramp.report.log import log_state
from threadramp.wire.fleet import (
    EndLot,
    LotEnded,
    LotPage,
    ReadBody,
    ReadLot,
    SampleBody,
    TakeUp,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from threadramp.fleet.fleet_view import Member
    from threadramp.fleet.peers import Peers
    from threadramp.lots.journal import LotJournal
    from threadramp.lots.model import Lot, Result, StoredHead
    from threadramp.lots.owned import OwnedLots
    from threadramp.wire.fleet import AnyReply, FindLot, LotFound

OWNER_MARGIN_S = 0.8  # added to the time that the reader is willing to wait
MAX_CACHED_LOTS = 64
END_TIMEOUT_S = 3.0
TAKE_UP_TIMEOUT_S = 0.3
TAKE_UP_INTERVAL_S = 1.0  # between two reports of a lot to its owner; trainers read more often


class LotUnknownError(Exception):
    """The store itself has no such lot."""


class EndOutcome(Enum):
    """What came of asking the owner of a lot to end it."""

    STORED = "stored"
    NOT_STORED = "not stored"
    UNKNOWN = "unknown"


@dataclass
class CachedLot:
    """What was read of a lot that another gateway owns; results at a position never change.

    :param lot: the lot as submitted, none until it was needed
    :param denied_by: gateway that said at the last read that it does not own the lot, or is unsure
    :param reported_at: time at which its owner was last told to take it up
    """

    stored: StoredHead
    results: list[Result] = field(default_factory=list)
    lot: Lot | None = None
    denied_by: str = ""
    reported_at: float = float("-inf")


class RemoteLots:
    """Reads and ends the lots that other gateways own.

    :param take_up: called with a lot whose head names this process, which does not run it
    """

    def __init__(
        self, journal: LotJournal, peers: Peers, owned: OwnedLots, take_up: Callable[[str], None]
    ) -> None:
        self.take_up = take_up
        self.journal = journal
        self.peers = peers
        self.owned = owned
        self.head_lookup = HeadLookup(journal, peers, self._known_head)
        self.cache: OrderedDict[str, CachedLot] = OrderedDict()
        self.lock = threading.Lock()

    def page(self, lot_id: str, after: int, wait_s: float) -> Page:
        """Return results from a position on.

        :raises LotUnknownError: if there is no such lot
        :raises StoreError: if neither a confirmed owner nor the store could be reached
        """
        cached = self._cached_lot(lot_id)
        if after < len(cached.results):
            return Page(cached.stored.head.total, False, first_page(cached.results[after:]))
        page = self._from_owner(cached, after, wait_s)
        return page if page is not None else self._from_store(cached, after)

    def body(self, lot_id: str, sample: str) -> bytes | None:
        """Return the body of a sample, none if there is no such sample.

        :raises LotUnknownError: if there is no such lot
        :raises StoreError: if neither the owner nor the store could be reached
        """
        cached = self._cached_lot(lot_id)
        if cached.lot is None:
            found = self._body_from_owner(cached, sample)
            if found is not None and found.owned:
                return found.body
            cached.lot = self.journal.read_lot(cached.stored)
        bodies = {one.id: one.body for one in cached.lot.samples}
        return bodies.get(sample)

    def end(self, lot_id: str) -> EndOutcome:
        """Ask the owner to end a lot.

        :raises LotUnknownError: if there is no such lot
        :raises StoreRefusedError: if the owner can't be read from the store
        """
        try:
            member = self._live_owner(self._cached_lot(lot_id))
        except StoreUnknownError as error:
            raise StoreRefusedError(f"the end was not sent: {error}") from error
        if member is None:
            return EndOutcome.NOT_STORED
        ask = EndLot(*self.peers.sender_fields, lot_id)
        reply = self.peers.ask(member.address, ask, END_TIMEOUT_S)
        outcome = _end_outcome(reply)
        log_state("lot_end_asked", lot=lot_id, owner=member.name, outcome=outcome.value)
        return outcome

    def find_for_peer(self, ask: FindLot) -> LotFound:
        """Answer a head lookup of a gateway in this data centre, and cache what was read.

        :raises StoreError: if the store did not answer
        """
        found = self.head_lookup.find_for_peer(ask)
        if found.kept is not None and self.owned.get(ask.lot) is None:
            with self.lock:
                self._cache_head(ask.lot, found.kept)
        return found

    def _known_head(self, lot_id: str) -> StoredHead | None:
        owned = self.owned.get(lot_id)
        if owned is not None:
            return owned.stored
        cached = self.cache.get(lot_id)
        return None if cached is None else cached.stored

    def _cache_head(self, lot_id: str, stored: StoredHead) -> CachedLot:
        """Cache a head unless one is cached already; the caller holds the lock."""
        cached = self.cache.setdefault(lot_id, CachedLot(stored))
        while len(self.cache) > MAX_CACHED_LOTS:
            self.cache.popitem(last=False)
        return cached

    def _cached_lot(self, lot_id: str) -> CachedLot:
        with self.lock:
            cached = self.cache.get(lot_id)
            if cached is not None:
                self.cache.move_to_end(lot_id)
                return cached
        stored = self.head_lookup.read_head(lot_id)
        if stored is None:
            raise LotUnknownError(lot_id)
        with self.lock:
            return self._cache_head(lot_id, stored)

    def _live_owner(self, cached: CachedLot) -> Member | None:
        member = self.peers.fleet_view.snapshot.members.get(cached.stored.head.owner)
        if member is None or member.incarnation != cached.stored.head.incarnation:
            return None
        return None if member.name == self.peers.member.name else member

    def _from_owner(self, cached: CachedLot, after: int, wait_s: float) -> Page | None:
        cached.denied_by = ""
        member = self._live_owner(cached)
        if member is None:
            return None
        ask = ReadLot(*self.peers.sender_fields, cached.stored.lot_id, after, wait_s)
        reply = self.peers.ask(member.address, ask, wait_s + OWNER_MARGIN_S)
        if not isinstance(reply, LotPage):
            return None
        if not reply.total:
            cached.denied_by = member.name
            return None
        if not reply.sure and not reply.results and after < reply.total:
            return None
        with self.lock:
            if len(cached.results) == after:
                cached.results.extend(reply.results)
        return Page(reply.total, reply.ended, reply.results)

    def _body_from_owner(self, cached: CachedLot, sample: str) -> SampleBody | None:
        member = self._live_owner(cached)
        if member is None:
            return None
        ask = ReadBody(*self.peers.sender_fields, cached.stored.lot_id, sample)
        reply = self.peers.ask(member.address, ask, OWNER_MARGIN_S)
        return reply if isinstance(reply, SampleBody) else None

    def _from_store(self, cached: CachedLot, after: int) -> Page:
        """Read from the store what neither the cache nor the owner had."""
        stored = self.journal.read_head(cached.stored.lot_id)
        if stored is None:
            raise LotUnknownError(cached.stored.lot_id)
        if stored.head.listed > after:
            results = self.journal.read_results(stored, 0)
            with self.lock:
                if len(results) > len(cached.results):
                    cached.results = list(results)
        cached.stored = stored
        log_state(
            "lot_read_from_store",
            lot=stored.lot_id,
            owner=stored.head.owner,
            listed=stored.head.listed,
            revision=stored.revision,
        )
        self._report_idle(cached)
        return Page(stored.head.total, stored.head.ended, first_page(cached.results[after:]))

    def _report_idle(self, cached: CachedLot) -> None:
        """Tell the owner that a lot's head names to take it up if it does not run it.

        A write that was done without an answer may have made a live gateway the owner without its
        knowledge. The other gateways leave such a lot alone.
        """
        head = cached.stored.head
        now = self.peers.clock.now()
        is_open = not head.ended and head.listed < head.total
        if not is_open or now - cached.reported_at < TAKE_UP_INTERVAL_S:
            return
        if head.owner == self.peers.member.name:
            cached.reported_at = now
            self.take_up(cached.stored.lot_id)
            return
        member = self.peers.fleet_view.snapshot.members.get(head.owner)
        if member is None:
            return  # gateways that scan the lots of one that has left take it over
        if member.incarnation == head.incarnation and member.name != cached.denied_by:
            return
        cached.reported_at = now
        log_state("lot_owner_idle", lot=cached.stored.lot_id, owner=member.name)
        ask = TakeUp(*self.peers.sender_fields, cached.stored.lot_id)
        self.peers.ask(member.address, ask, TAKE_UP_TIMEOUT_S)


def _end_outcome(reply: AnyReply | None) -> EndOutcome:
    if not isinstance(reply, LotEnded):
        return EndOutcome.UNKNOWN
    if reply.kept:
        return EndOutcome.STORED
    is_certain = not reply.owned or reply.refused
    return EndOutcome.NOT_STORED if is_certain else EndOutcome.UNKNOWN


__all__ = ["EndOutcome", "LotUnknownError", "RemoteLots"]
