"""Reads lots for trainers at any gateway: from memory, from the owner, else from the store."""

from __future__ import annotations

import threading
from collections import OrderedDict
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from threadramp.lots.owned import Page, first_page
from threadramp.platform.store_model import StoreError
from threadramp.report.log import log_state
from threadramp.wire.fleet import EndLot, LotEnded, LotPage, ReadBody, ReadLot, SampleBody

if TYPE_CHECKING:
    from threadramp.fleet.clock import Clock
    from threadramp.fleet.peers import Peers
    from threadramp.fleet.picture import Member
    from threadramp.lots.journal import LotJournal
    from threadramp.lots.model import KeptHead, Lot, Result
    from threadramp.lots.owned import OwnedLots
    from threadramp.lots.owner import LotOwner

OWNER_TIMEOUT_S = 0.8  # beyond the time for which the reader lets us wait
CACHED_LOTS = 64
LOOK_S = 0.8  # a position that was told anywhere is told by all within a second
END_TIMEOUT_S = 3.0


class LotUnknownError(Exception):
    """The store itself says that there is no such lot."""


@dataclass
class CachedLot:
    """What was read of a lot that another gateway owns; positions never change.

    :param lot: what was handed in, none while nobody asked for it
    """

    kept: KeptHead
    results: list[Result] = field(default_factory=list)
    lot: Lot | None = None


class LotReader:
    """Answers trainers' calls about lots."""

    def __init__(
        self, owned: OwnedLots, owner: LotOwner, journal: LotJournal, peers: Peers, clock: Clock
    ) -> None:
        self.owned = owned
        self.owner = owner
        self.journal = journal
        self.peers = peers
        self.clock = clock
        self.cache: OrderedDict[str, CachedLot] = OrderedDict()
        self.looked: OrderedDict[str, tuple[float, int]] = OrderedDict()
        self.lock = threading.Lock()

    def results(self, lot_id: str, after: int, wait_s: float) -> Page:
        """Return results from a position on.

        :raises LotUnknownError: if there is no such lot
        :raises StoreError: if nobody who is sure could be reached
        """
        page = self._own_page(lot_id, after, wait_s)
        return page if page is not None else self._others_page(lot_id, after, wait_s)

    def body(self, lot_id: str, sample: str) -> bytes | None:
        """Return the body of a sample, none if there is no such sample.

        :raises LotUnknownError: if there is no such lot
        :raises StoreError: if nobody who is sure could be reached
        """
        owned = self.owned.get(lot_id)
        if owned is not None:
            state = owned.book.states.get(sample)
            return state.sample.body if state is not None else None
        cached = self._cached(lot_id)
        if cached.lot is None:
            found = self._body_from_owner(cached, sample)
            if found is not None and found.owned:
                return found.body
            cached.lot = self.journal.hand_in(cached.kept)
        bodies = {one.id: one.body for one in cached.lot.samples}
        return bodies.get(sample)

    def end(self, lot_id: str) -> None:
        """End a lot.

        :raises LotUnknownError: if there is no such lot
        :raises StoreError: if the end is not known to be kept
        """
        if self.owned.get(lot_id) is None:
            cached = self._cached(lot_id)
            member = self._owner(cached)
            ask = EndLot(*self.peers.myself, lot_id)
            if member is not None:
                reply = self.peers.ask(member.address, ask, END_TIMEOUT_S)
                if isinstance(reply, LotEnded) and reply.kept:
                    return
        if not self.owner.end(lot_id):
            raise LotUnknownError(lot_id)

    def page_for_peer(self, ask: ReadLot) -> LotPage:
        """Answer another gateway that reads a lot of ours."""
        try:
            page = self._own_page(ask.lot, ask.after, ask.wait_s)
        except (LotUnknownError, StoreError) as error:
            log_state("not_sure_of_lot", lot=ask.lot, asker=ask.sender, error=str(error))
            page = None
        if page is None:
            return LotPage(0, False, ())
        return LotPage(page.total, page.ended, page.results, True)

    def body_for_peer(self, ask: ReadBody) -> SampleBody:
        """Answer another gateway that wants a body of a lot of ours."""
        owned = self.owned.get(ask.lot)
        if owned is None:
            return SampleBody(False, None)
        state = owned.book.states.get(ask.sample)
        return SampleBody(True, state.sample.body if state is not None else None)

    def _own_page(self, lot_id: str, after: int, wait_s: float) -> Page | None:
        """Return results of a lot of ours, none if it is not ours, or not any more."""
        until = self.clock.now() + wait_s
        page = self.owned.page(lot_id, after, lambda: until - self.clock.now())
        if page is None or page.results or after >= page.total or self._is_sure(lot_id):
            return page
        kept = self._head_if_listed(lot_id, after)
        if kept is None:
            return page
        if (kept.head.owner, kept.head.incarnation) != self._myself():
            self._let_go(lot_id, kept)
            return None
        return self.owned.page(lot_id, after, lambda: 0.0)

    def _others_page(self, lot_id: str, after: int, wait_s: float) -> Page:
        """Return results of a lot that another gateway owns."""
        cached = self._cached(lot_id)
        if after < len(cached.results):
            return Page(cached.kept.head.total, False, first_page(cached.results[after:]))
        page = self._from_owner(cached, after, wait_s)
        return page if page is not None else self._from_store(cached, after)

    def _is_sure(self, lot_id: str) -> bool:
        """Return whether a write of ours lately showed that a lot is ours."""
        owned = self.owned.get(lot_id)
        return owned is not None and self.clock.now() - owned.sure_at < LOOK_S

    def _head_if_listed(self, lot_id: str, after: int) -> KeptHead | None:
        """Return a lot's head if the store has a result at a position, looked up now and then.

        Whoever answers that nothing stands there must be sure: the owner may have changed without
        its knowledge, and the position may have been told elsewhere.

        :raises LotUnknownError: if there is no such lot
        :raises StoreError: if no answer came
        """
        now = self.clock.now()
        looked_at, listed = self.looked.get(lot_id, (0.0, -1))
        if now - looked_at < LOOK_S and listed <= after:
            return None
        kept = self.journal.head(lot_id)
        if kept is None:
            raise LotUnknownError(lot_id)
        with self.lock:
            self.looked.pop(lot_id, None)
            self.looked[lot_id] = (now, kept.head.listed)
            while len(self.looked) > CACHED_LOTS:
                self.looked.popitem(last=False)
        return kept if kept.head.listed > after else None

    def _let_go(self, lot_id: str, kept: KeptHead) -> None:
        owned = self.owned.get(lot_id)
        if owned is not None:
            log_state("lot_changed_hands", lot=lot_id, owner=kept.head.owner, seen="by a reader")
            self.owner.release(owned)

    def _myself(self) -> tuple[str, str]:
        return (self.peers.member.name, self.peers.member.incarnation)

    def _cached(self, lot_id: str) -> CachedLot:
        with self.lock:
            cached = self.cache.get(lot_id)
            if cached is not None:
                self.cache.move_to_end(lot_id)
                return cached
        kept = self.journal.head(lot_id)
        if kept is None:
            raise LotUnknownError(lot_id)
        with self.lock:
            cached = self.cache.setdefault(lot_id, CachedLot(kept))
            while len(self.cache) > CACHED_LOTS:
                self.cache.popitem(last=False)
        return cached

    def _owner(self, cached: CachedLot) -> Member | None:
        member = self.peers.picture.belief.members.get(cached.kept.head.owner)
        if member is None or member.incarnation != cached.kept.head.incarnation:
            return None
        return None if member.name == self.peers.member.name else member

    def _from_owner(self, cached: CachedLot, after: int, wait_s: float) -> Page | None:
        member = self._owner(cached)
        if member is None:
            return None
        ask = ReadLot(*self.peers.myself, cached.kept.lot_id, after, wait_s)
        reply = self.peers.ask(member.address, ask, wait_s + OWNER_TIMEOUT_S)
        if not isinstance(reply, LotPage) or not reply.total:
            return None
        if not reply.sure and not reply.results and after < reply.total:
            return None
        with self.lock:
            if len(cached.results) == after:
                cached.results.extend(reply.results)
        return Page(reply.total, reply.ended, reply.results)

    def _body_from_owner(self, cached: CachedLot, sample: str) -> SampleBody | None:
        member = self._owner(cached)
        if member is None:
            return None
        ask = ReadBody(*self.peers.myself, cached.kept.lot_id, sample)
        reply = self.peers.ask(member.address, ask, OWNER_TIMEOUT_S)
        return reply if isinstance(reply, SampleBody) else None

    def _from_store(self, cached: CachedLot, after: int) -> Page:
        """Read from the store what neither memory nor the owner gave."""
        kept = self.journal.head(cached.kept.lot_id)
        if kept is None:
            raise LotUnknownError(cached.kept.lot_id)
        if kept.head.listed > after:
            results = self.journal.results(kept, 0)
            with self.lock:
                if len(results) > len(cached.results):
                    cached.results = list(results)
        cached.kept = kept
        log_state(
            "lot_read_from_store",
            lot=kept.lot_id,
            owner=kept.head.owner,
            listed=kept.head.listed,
            revision=kept.revision,
        )
        return Page(kept.head.total, kept.head.ended, first_page(cached.results[after:]))


__all__ = ["LotReader", "LotUnknownError"]
