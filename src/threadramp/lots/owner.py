"""Owns lots: takes them in, ends them, takes them over, hands them over."""

from __future__ import annotations

import threading
from dataclasses import replace
from typing import TYPE_CHECKING

from threadramp.core.lot_book import LotBook, LotRules
from threadramp.lots.journal import LotMissingError, NotOwnerError
from threadramp.lots.kept_texts import KeptTexts
from threadramp.lots.latest_ends import LatestEnds
from threadramp.lots.model import KeptLot, LotHead
from threadramp.lots.owned import OwnedLot
from threadramp.platform.store_model import StoreError
from threadramp.policy.routing import rendezvous
from threadramp.policy.sample_length import LengthEstimator
from threadramp.report.log import log_state
from threadramp.wire.fleet import Adopt

if TYPE_CHECKING:
    from collections.abc import Callable

    from threadramp.fleet.clock import Clock
    from threadramp.fleet.model import Route
    from threadramp.fleet.peers import Peers
    from threadramp.fleet.picture import Member
    from threadramp.lots.checkpoints import Checkpoints
    from threadramp.lots.journal import LotJournal
    from threadramp.lots.model import KeptHead, Lot, SavedText
    from threadramp.lots.owned import OwnedLots
    from threadramp.policy.listing_policy import ListingPolicy

GIVE_UP_MARGIN_S = 1.0  # after the time at which a sample may be given up
CLOCK_SKEW_S = 6.0  # by which the times of day of two boxes may differ, or one may have jumped
END_TRIES = 5  # times that a lot's end is written while others change its head
HAND_OVER_TIMEOUT_S = 1.0
HAND_OVER_PAUSE_S = 0.3  # before lots are offered again that nobody could be given


class LotOwner:
    """The lots of one gateway.

    :param drop: tells the sidecars that a lot's samples are not wanted; true lets them finish
    :param tell_end: lets other gateways know of the end of a lot that may run there
    :param listing: when results are written
    """

    def __init__(
        self,
        owned: OwnedLots,
        journal: LotJournal,
        peers: Peers,
        clock: Clock,
        drop: Callable[[OwnedLot, bool], None],
        checkpoints: Checkpoints,
        tell_end: Callable[[KeptHead], None],
        listing: ListingPolicy | None = None,
    ) -> None:
        self.owned = owned
        self.journal = journal
        self.peers = peers
        self.clock = clock
        self.drop = drop
        self.checkpoints = checkpoints
        self.tell_end = tell_end
        self.listing = listing
        self.texts = KeptTexts()
        self.lengths: dict[str, LengthEstimator] = {}
        self.stopped = threading.Event()
        self.leaving = False
        self.ends = LatestEnds()

    def hand_in(self, lot: Lot, route: Route, patience_s: float) -> None:
        """Keep a lot and start on it; a lot that is kept already stays as it is.

        :param patience_s: for so long it is tried while the store is away or silent
        :raises StoreRefusedError: if it is not kept
        :raises StoreUnknownError: if it may be kept
        """
        if self.owned.get(lot.id) is not None:
            return
        head = self._new_head(lot, route)
        kept = self.journal.create(lot, head, patience_s)
        if kept is None:
            log_state("lot_known", lot=lot.id)
            return
        self._begin(lot, kept)

    def end(self, lot_id: str) -> bool:
        """End a lot, wherever it is owned; false if the store has no such lot.

        :raises StoreError: if the end is not known to be kept
        """
        owned = self.owned.get(lot_id)
        if owned is not None:
            had_ended = owned.kept.head.ended
            kept = self._end_kept(owned.kept)
            self._ended(owned, kept)
            if owned.others and not had_ended:
                self.tell_end(kept)
            return True
        kept = self.journal.head(lot_id)
        if kept is None:
            return False
        ended = self._end_kept(kept)
        self.ended_elsewhere(ended)  # it may have been taken over here meanwhile
        if ended.revision != kept.revision:  # else it had ended before, and that was told
            self.tell_end(ended)
        return True

    def ended_elsewhere(self, kept: KeptHead) -> bool:
        """Stop working on a lot whose end is kept; false if it does not run here.

        One that is being taken over now was read before its end: it is ended once it is.
        """
        self.ends.note(kept)
        owned = self.owned.get(kept.lot_id)
        if owned is None:
            return False
        if not owned.book.ended:
            self._ended(owned, kept)
        return True

    def release(self, owned: OwnedLot) -> None:
        """Stop working on a lot that somebody else owns now."""
        self.owned.remove(owned.lot_id)
        self.drop(owned, True)

    def adopt(self, whole: KeptLot) -> None:
        """Take over a lot that its owner gives away."""
        me = self.peers.member
        head = whole.kept.head
        if (head.owner, head.incarnation) == (me.name, me.incarnation):
            self._add(whole, "a gateway that stops", False, {})  # it has let go of the lot

    def take_over(self, kept: KeptHead) -> None:
        """Take over a lot that lies idle, from what the store has of it.

        :raises NotOwnerError: if somebody else took it over meanwhile
        :raises LotMissingError: if the store has no such lot any more
        :raises StoreError: if the change of owner is not known to be kept
        """
        if self.owned.get(kept.lot_id) is not None or self.leaving:
            return
        me = self.peers.member
        before = kept.head.owner
        if (kept.head.owner, kept.head.incarnation) != (me.name, me.incarnation):
            kept = self.journal.change(kept, owner=me.name, incarnation=me.incarnation)
        texts = self.checkpoints.load(kept.lot_id)
        self._add(self.journal.whole(kept), before, before != me.name, texts)

    def hand_over(self) -> None:
        """Give all open lots to other gateways; for a planned stop, until all are given."""
        self.leaving = True
        deaf: set[str] = set()
        while open_lots := self.owned.open():
            others = {one.name: one for one in self.peers.gateways() if one.name not in deaf}
            for owned in open_lots if others else ():
                heir = rendezvous(owned.lot_id, sorted(others))[0]
                if not self._give_to(owned, others[heir]):
                    deaf.add(heir)
            self.stopped.wait(HAND_OVER_PAUSE_S)

    def _new_head(self, lot: Lot, route: Route) -> LotHead:
        """Return the head of a lot that is handed in here now."""
        return LotHead(
            owner=self.peers.member.name,
            incarnation=self.peers.member.incarnation,
            handed_in=self.clock.time_of_day(),
            result_target_s=route.result_target_s,
            give_up_s=route.give_up_s,
            max_attempts=route.max_attempts,
            one_version=route.one_version,
            total=len(lot.samples),
            parts=0,
            chunks=0,
            listed=0,
            ended=False,
            nonce="",
            rank=route.priority,
        )

    def _give_to(self, owned: OwnedLot, heir: Member) -> bool:
        """Make another gateway the owner of a lot, in the store first; false if it does not answer.

        Then the lot stays here for the next try: its owner by the store might not look for it.
        """
        try:
            with self.owned.lock:
                kept = owned.kept
            kept = self.journal.change(kept, owner=heir.name, incarnation=heir.incarnation)
        except (StoreError, NotOwnerError, LotMissingError) as error:
            log_state("hand_over_failed", lot=owned.lot_id, error=str(error))
            return True
        whole = KeptLot(kept, owned.book.lot, tuple(owned.book.listed))
        ask = Adopt(*self.peers.myself, whole)
        if self.peers.ask(heir.address, ask, HAND_OVER_TIMEOUT_S) is None:
            log_state("heir_silent", lot=owned.lot_id, to=heir.name)
            with self.owned.lock:
                owned.kept = kept
            return False
        self.release(owned)
        log_state("handed_over", lot=owned.lot_id, to=heir.name)
        return True

    def _begin(self, lot: Lot, kept: KeptHead) -> None:
        """Start on a lot that has just been kept."""
        rules = rules_of(kept.head, self.clock.now())
        book = LotBook(lot, rules, lengths=self._lengths_of(lot), listing=self.listing)
        owned = OwnedLot(book, kept)
        reused = self.texts.use(owned.book)
        self.owned.add(owned)
        log_state(
            "lot_taken",
            lot=lot.id,
            step=lot.step,
            model=lot.model,
            samples=len(lot.samples),
            min_version=lot.min_version,
            revision=kept.revision,
            due_s=kept.head.result_target_s,
            reused=reused,
        )

    def _end_kept(self, kept: KeptHead) -> KeptHead:
        """Write the end, over any change that another owner makes meanwhile."""
        for _ in range(END_TRIES):
            if kept.head.ended:
                return kept
            try:
                return self.journal.change(kept, ended=True)
            except NotOwnerError:
                found = self.journal.head(kept.lot_id)
                if found is None:
                    raise LotMissingError(kept.lot_id) from None
                kept = found
        raise StoreError(f"the head of {kept.lot_id} changed at each of {END_TRIES} tries")

    def _ended(self, owned: OwnedLot, kept: KeptHead) -> None:
        """Stop working on a lot whose end is kept."""
        with self.owned.lock:
            owned.kept = kept
            self.texts.keep(owned.book)
            running = owned.book.end()
            listed = len(owned.book.listed)
            self.owned.tell_listed()
        log_state("lot_ended", lot=owned.lot_id, listed=listed, running=len(running))
        self.drop(owned, True)
        self.checkpoints.forget(owned.lot_id)

    def _add(self, whole: KeptLot, of: str, others: bool, texts: dict[str, SavedText]) -> None:
        """Start on a lot that was taken over.

        :param of: whose it was
        :param others: whether another box may believe that it still is
        """
        kept = whole.kept
        lengths = self._lengths_of(whole.lot)
        rules = self._rules_again(kept)
        book = LotBook(whole.lot, rules, whole.results, lengths, self.listing)
        reused = [
            name
            for name, text in texts.items()
            if book.prefill(name, text.events, text.versions, text.lineage)
        ]
        if not self.owned.add(OwnedLot(book, kept, others=others)):
            return
        log_state(
            "lot_adopted",
            lot=kept.lot_id,
            of=of,
            listed=len(whole.results),
            samples=len(whole.lot.samples),
            revision=kept.revision,
            texts=len(reused),
        )
        end = self.ends.of(kept.lot_id)
        if end is not None:
            self.ended_elsewhere(end)

    def _lengths_of(self, lot: Lot) -> LengthEstimator:
        """Return what was learned of the lengths of a model's samples."""
        return self.lengths.setdefault(lot.model, LengthEstimator())

    def _rules_again(self, kept: KeptHead) -> LotRules:
        """Return the rules of a lot that was handed in some time ago, perhaps at another box.

        No sample may be given up early: where that box's clock is behind, the lot seems older.
        """
        age = max(0.0, self.clock.time_of_day() - kept.head.handed_in)
        rules = rules_of(kept.head, self.clock.now() - age)
        return replace(rules, give_up_at=rules.give_up_at + CLOCK_SKEW_S)


def rules_of(head: LotHead, start: float) -> LotRules:
    """Return what a lot's head asks for.

    :param start: time at which the lot was handed in, by this process's clock
    """
    return LotRules(
        max_attempts=head.max_attempts,
        one_version=head.one_version,
        due=start + head.result_target_s,
        give_up_at=start + head.give_up_s + GIVE_UP_MARGIN_S,
    )


__all__ = ["LotOwner", "rules_of"]
