"""Answers trainers' calls about lots at any gateway, and other gateways' calls about owned lots."""

from __future__ import annotations

import threading
from collections import OrderedDict
from typing import TYPE_CHECKING

from threadramp.lots.journal import NotOwnerError
from threadramp.lots.remote_lots import EndOutcome, LotUnknownError, RemoteLots
from threadramp.platform.store_model import StoreError, StoreRefusedError, StoreUnknownError
from threadramp.report.log import log_state
from threadramp.wire.fleet import LotPage, SampleBody

if TYPE_CHECKING:
    from threadramp.fleet.clock import Clock
    from threadramp.fleet.peers import Peers
    from threadramp.lots.journal import LotJournal
    from threadramp.lots.model import StoredHead
    from threadramp.lots.owned import OwnedLots, Page
    from threadramp.lots.owner import LotOwner
    from threadramp.wire.fleet import ReadBody, ReadLot

MAX_HEAD_CHECKS = 64  # lots whose last ownership check is remembered
OWNERSHIP_CHECK_S = 0.8  # a result returned by one gateway is returned by all within a second


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
        self.remote_lots = RemoteLots(
            journal, peers, owned, lambda lot_id: self.owner.take_up_if_named(lot_id)
        )
        self.head_checks: OrderedDict[str, tuple[float, int]] = OrderedDict()
        self.lock = threading.Lock()

    def results(self, lot_id: str, after: int, wait_s: float) -> Page:
        """Return results from a position on.

        :raises LotUnknownError: if there is no such lot
        :raises StoreError: if neither a confirmed owner nor the store could be reached
        """
        page = self._own_page(lot_id, after, wait_s)
        return page if page is not None else self.remote_lots.page(lot_id, after, wait_s)

    def body(self, lot_id: str, sample: str) -> bytes | None:
        """Return the body of a sample, none if there is no such sample.

        :raises LotUnknownError: if there is no such lot
        :raises StoreError: if neither the owner nor the store could be reached
        """
        owned = self.owned.get(lot_id)
        if owned is not None:
            state = owned.tracker.states.get(sample)
            return state.sample.body if state is not None else None
        return self.remote_lots.body(lot_id, sample)

    def end(self, lot_id: str) -> None:
        """End a lot.

        :raises LotUnknownError: if there is no such lot
        :raises StoreRefusedError: if the end is not stored
        :raises StoreUnknownError: if it may be stored
        """
        at_owner = EndOutcome.NOT_STORED
        if self.owned.get(lot_id) is None:
            at_owner = self.remote_lots.end(lot_id)
        if at_owner is EndOutcome.STORED:
            return
        try:
            is_found = self.owner.end(lot_id)
        except StoreRefusedError as error:
            if at_owner is EndOutcome.UNKNOWN:
                self.owner.unresolved_ends.add(lot_id)
                raise StoreUnknownError(f"the owner did not answer; here: {error}") from error
            raise
        if not is_found:
            raise LotUnknownError(lot_id)

    def page_for_peer(self, ask: ReadLot) -> LotPage:
        """Answer another gateway that reads an owned lot."""
        try:
            page = self._own_page(ask.lot, ask.after, ask.wait_s)
        except (LotUnknownError, StoreError) as error:
            log_state("lot_ownership_unconfirmed", lot=ask.lot, asker=ask.sender, error=str(error))
            page = None
        if page is None:
            return LotPage(0, False, ())
        return LotPage(page.total, page.ended, page.results, True)

    def body_for_peer(self, ask: ReadBody) -> SampleBody:
        """Answer another gateway that reads a sample's body of an owned lot."""
        owned = self.owned.get(ask.lot)
        if owned is None:
            return SampleBody(False, None)
        state = owned.tracker.states.get(ask.sample)
        return SampleBody(True, state.sample.body if state is not None else None)

    def _own_page(self, lot_id: str, after: int, wait_s: float) -> Page | None:
        """Return results of an owned lot, none if this gateway does not own it (any more)."""
        until = self.clock.now() + wait_s
        page = self.owned.page(lot_id, after, lambda: until - self.clock.now())
        if page is None or page.results or after >= page.total or self._owned_lately(lot_id):
            return page
        stored = self._head_if_listed_beyond(lot_id, after)
        if stored is None:
            return page
        if not self._record_head(lot_id, stored):
            return None
        return self.owned.page(lot_id, after, lambda: 0.0)

    def _owned_lately(self, lot_id: str) -> bool:
        """Return whether a recent write confirmed that this gateway owns a lot."""
        owned = self.owned.get(lot_id)
        return (
            owned is not None
            and self.clock.now() - owned.ownership_confirmed_at < OWNERSHIP_CHECK_S
        )

    def _head_if_listed_beyond(self, lot_id: str, after: int) -> StoredHead | None:
        """Return a lot's head if the store has a result at a position.

        A gateway may answer that there is no result at a position only if its ownership is
        confirmed: another gateway may have taken the lot over without its knowledge and have
        answered readers with a result at that position. While the store has no such result, it is
        read at most once per ``OWNERSHIP_CHECK_S``.

        :raises LotUnknownError: if there is no such lot
        :raises StoreError: if the store did not answer
        """
        now = self.clock.now()
        checked_at, listed = self.head_checks.get(lot_id, (0.0, -1))
        if now - checked_at < OWNERSHIP_CHECK_S and listed <= after:
            return None
        stored = self.journal.read_head(lot_id)
        if stored is None:
            raise LotUnknownError(lot_id)
        with self.lock:
            self.head_checks.pop(lot_id, None)
            self.head_checks[lot_id] = (now, stored.head.listed)
            while len(self.head_checks) > MAX_HEAD_CHECKS:
                self.head_checks.popitem(last=False)
        return stored if stored.head.listed > after else None

    def _record_head(self, lot_id: str, stored: StoredHead) -> bool:
        """Record a head that lists more than is known here; false if another gateway owns the lot.

        :raises StoreError: if the store did not answer about the results
        """
        owned = self.owned.get(lot_id)
        if owned is None:
            return False
        try:
            self.owner.writer.record(owned, stored)
        except NotOwnerError:
            log_state(
                "lot_owner_changed", lot=lot_id, owner=stored.head.owner, seen="while reading"
            )
            self.owner.release(owned)
            return False
        if stored.head.ended:
            self.owner.apply_end(stored)
        return True


__all__ = ["LotReader"]
