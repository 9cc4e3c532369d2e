"""Manages the lots that this gateway owns: submits, ends, takes over and hands over lots."""

from __future__ import annotations

import math
import threading
from dataclasses import replace
from typing import TYPE_CHECKING

from threadramp.core.lot_tracker import LotRules, LotTracker, TextSource
from threadramp.lots.head_change import head_change
from threadramp.lots.head_writer import HeadWriter, is_owned_by
from threadramp.lots.journal import LotMissingError, NotOwnerError
from threadramp.lots.model import LotHead, StoredLot
from threadramp.lots.owned import OwnedLot
from threadramp.lots.partial_texts import PartialTexts
from threadramp.lots.recent_ends import RecentEnds
from threadramp.lots.text_inputs import belongs_to
from threadramp.lots.unresolved_lots import UnresolvedLots
from threadramp.platform.store_model import StoreError, StoreRefusedError, StoreUnknownError
from threadramp.policy.routing import rendezvous
from threadramp.policy.sample_length import LengthEstimator
from threadramp.report.log import log_state
from threadramp.wire.fleet import Adopt

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from threadramp.fleet.clock import Clock
    from threadramp.fleet.fleet_view import Member
    from threadramp.fleet.model import Route
    from threadramp.fleet.peers import Peers
    from threadramp.lots.checkpoints import Checkpoints
    from threadramp.lots.head_change import HeadChange
    from threadramp.lots.journal import LotJournal
    from threadramp.lots.model import Lot, SavedText, StoredHead
    from threadramp.lots.owned import OwnedLots
    from threadramp.policy.listing_policy import ListingPolicy

GIVE_UP_MARGIN_S = 1.0  # added to the time after which a sample may be given up
MAX_CLOCK_SKEW_S = 6.0  # between the times of day of two boxes, jumps included
MAX_END_ATTEMPTS = 5  # writes of a lot's end while others change its head
HAND_OVER_TIMEOUT_S = 1.0
HAND_OVER_RETRY_S = 0.3  # before lots that no gateway took are offered again


class LotOwner:
    """Manages the lots of one gateway.

    :param drop: tells the sidecars that a lot's samples are no longer needed; true lets running
        ones finish
    :param notify_end: notifies other gateways of the end of a lot that may run there
    :param listing: policy that decides when results are written
    """

    def __init__(
        self,
        owned: OwnedLots,
        journal: LotJournal,
        peers: Peers,
        clock: Clock,
        drop: Callable[[OwnedLot, bool], None],
        checkpoints: Checkpoints,
        notify_end: Callable[[StoredHead], None],
        listing: ListingPolicy | None = None,
    ) -> None:
        self.owned = owned
        self.journal = journal
        self.peers = peers
        self.clock = clock
        self.drop = drop
        self.checkpoints = checkpoints
        self.notify_end = notify_end
        self.listing = listing
        self.partial_texts = PartialTexts()
        self.lengths: dict[str, LengthEstimator] = {}
        self.stopped = threading.Event()
        self.leaving = False
        self.recent_ends = RecentEnds()
        self.writer = HeadWriter(owned, journal, peers.member, clock)
        self.unresolved_owners = UnresolvedLots("owner", self._take_up_if_named, clock)
        self.unresolved_ends = UnresolvedLots("end", self._repeat_end, clock, math.inf)

    def start(self) -> None:
        """Start resolving writes of unknown outcome."""
        self.unresolved_owners.start()
        self.unresolved_ends.start()

    def submit(self, lot: Lot, route: Route, retry_for_s: float) -> None:
        """Store a lot and start work on it; does nothing if the store already has the lot.

        :param retry_for_s: how long to retry while the store is unreachable or does not answer
        :raises StoreRefusedError: if the lot is not stored
        :raises StoreUnknownError: if it is unknown whether the lot is stored
        """
        if self.owned.get(lot.id) is not None:
            return
        head = self._new_head(lot, route)
        try:
            stored = self.journal.create(lot, head, retry_for_s)
        except StoreUnknownError:
            self.unresolved_owners.add(lot.id)  # the lot may be stored, or be stored later
            raise
        if stored is None:
            is_unresolved = lot.id in self.unresolved_owners
            log_state("lot_already_stored", lot=lot.id, may_name_this_gateway=is_unresolved)
            if is_unresolved:
                self.unresolved_owners.add(lot.id)
            return
        self._start(lot, stored)

    def end(self, lot_id: str) -> bool:
        """End a lot, whoever owns it; false if the store has no such lot.

        An end that may have been stored is written again in the background until it is.

        :raises StoreRefusedError: if the end is not stored
        :raises StoreUnknownError: if it may be stored
        """
        try:
            return self._end(lot_id)
        except StoreUnknownError:
            self.unresolved_ends.add(lot_id)
            raise

    def take_up_if_named(self, lot_id: str) -> None:
        """Take a lot up in the background if its head names this process, which does not run it.

        A reader reported that; the head may have been written without this process knowing it.
        """
        if self.owned.get(lot_id) is None:
            self.unresolved_owners.add(lot_id, 0.0)

    def apply_end(self, stored: StoredHead) -> bool:
        """Stop work on a lot whose end is stored; false if the lot does not run here.

        The end is remembered for a lot that is being taken over now and was read before its end;
        the takeover then ends it.
        """
        self.recent_ends.add(stored)
        owned = self.owned.get(stored.lot_id)
        if owned is None:
            return False
        if not owned.tracker.ended:
            self._stop_work(owned, stored)
        if stored.head.listed > len(owned.tracker.listed):
            self.owned.remove(stored.lot_id)  # readers find all results in the store
        return True

    def release(self, owned: OwnedLot) -> None:
        """Stop work on a lot that another gateway owns now."""
        self.owned.remove(owned.lot_id)
        self.drop(owned, True)

    def adopt(self, stored_lot: StoredLot, failures: Mapping[str, int]) -> None:
        """Take over a lot that its previous owner transferred to this gateway.

        :param failures: failed runs by sample, which the previous owner counted
        """
        me = self.peers.member
        head = stored_lot.stored.head
        if (head.owner, head.incarnation) == (me.name, me.incarnation):
            # The previous owner has released the lot, so it does not count as another owner.
            self._resume(stored_lot, "a gateway that stops", False, {}, failures)

    def take_over(self, stored: StoredHead, may_run_elsewhere: bool = False) -> None:
        """Take over an orphaned lot, from what the store has of it.

        :param may_run_elsewhere: whether another box may run it though the head names this one
        :raises NotOwnerError: if another gateway has taken it over meanwhile
        :raises LotMissingError: if the store no longer has the lot
        :raises StoreError: if it is unknown whether the change of owner is stored
        """
        if self.owned.get(stored.lot_id) is not None or self.leaving:
            return
        me = self.peers.member
        before = stored.head.owner
        if not is_owned_by(stored.head, me):
            stored = self._write_take_over(stored)
        partial_texts = self.checkpoints.load(stored.lot_id)
        stored_lot = self.journal.load_from_head(stored)
        had_other_owner = may_run_elsewhere or before != me.name
        self._resume(stored_lot, before, had_other_owner, partial_texts, {})

    def hand_over(self) -> None:
        """Transfer all open lots to other gateways; returns once all are transferred.

        Used for a planned stop.
        """
        self.leaving = True
        unresponsive: set[str] = set()
        while open_lots := self.owned.open():
            targets = {
                one.name: one for one in self.peers.gateways() if one.name not in unresponsive
            }
            for owned in open_lots if targets else ():
                successor = rendezvous(owned.lot_id, sorted(targets))[0]
                if not self._transfer_to(owned, targets[successor]):
                    unresponsive.add(successor)
            self.stopped.wait(HAND_OVER_RETRY_S)

    def _write_take_over(self, stored: StoredHead) -> StoredHead:
        """Make this process the owner of an orphaned lot; return the new head."""
        me = self.peers.member
        try:
            return self.journal.update(stored, owner=me.name, incarnation=me.incarnation)
        except NotOwnerError as error:
            if not is_owned_by(error.head, me) or error.head.ended:
                raise
            return error.stored  # an earlier take-over that was not answered
        except StoreUnknownError:
            self.unresolved_owners.add(stored.lot_id)
            raise

    def _take_up_if_named(self, lot_id: str) -> bool:
        """Take a lot up if its head names this process; false if the store has no such lot (yet).

        :raises StoreError: if the store did not answer
        """
        if self.owned.get(lot_id) is not None or self.leaving:
            return True
        stored = self.journal.read_head(lot_id)
        if stored is None:
            return False
        # The head may also name an earlier process of this box, by a write that was done late.
        takes_up = stored.head.owner == self.peers.member.name and not stored.head.ended
        log_state(
            "lot_owner_checked",
            lot=lot_id,
            revision=stored.revision,
            owner=stored.head.owner,
            ended=stored.head.ended,
            takes_up=takes_up,
        )
        if takes_up:
            try:
                self.take_over(stored, may_run_elsewhere=True)
            except (NotOwnerError, LotMissingError) as error:
                log_state("lot_take_over_failed", lot=lot_id, error=str(error))
        return True

    def _repeat_end(self, lot_id: str) -> bool:
        """Write an end of unknown outcome again, and notify all gateways once it is stored.

        :raises StoreError: if that is still unknown
        """
        is_stored = self._end(lot_id)
        log_state("unresolved_end_known", lot=lot_id, stored=is_stored)
        return True

    def _new_head(self, lot: Lot, route: Route) -> LotHead:
        """Return the head of a lot that is submitted here now."""
        return LotHead(
            owner=self.peers.member.name,
            incarnation=self.peers.member.incarnation,
            submitted_at=self.clock.time_of_day(),
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

    def _transfer_to(self, owned: OwnedLot, successor: Member) -> bool:
        """Make another gateway the owner of a lot; false if that gateway does not answer.

        The store is written first. Without an answer the lot also stays here for the next attempt:
        the owner that the store names might not look for it.
        """
        try:
            stored = self._write_successor(owned, successor)
        except (NotOwnerError, LotMissingError) as error:
            log_state("lot_owner_changed", lot=owned.lot_id, error=str(error), seen="handing over")
            self.release(owned)
            return True
        except StoreError as error:
            log_state("hand_over_failed", lot=owned.lot_id, error=str(error))
            return True
        if stored.head.ended:
            self.apply_end(stored)
            return True
        if not is_owned_by(stored.head, successor):
            return True  # an earlier write of this process was done instead; see the next attempt
        with self.owned.lock:
            stored_lot = StoredLot(owned.stored, owned.tracker.lot, tuple(owned.tracker.listed))
            failures = owned.tracker.failures()
        ask = Adopt(*self.peers.sender_fields, stored_lot, failures)
        if self.peers.ask(successor.address, ask, HAND_OVER_TIMEOUT_S) is None:
            log_state("successor_unresponsive", lot=owned.lot_id, to=successor.name)
            return False
        self.release(owned)
        log_state("lot_handed_over", lot=owned.lot_id, to=successor.name)
        return True

    def _write_successor(self, owned: OwnedLot, successor: Member) -> StoredHead:
        """Write the next owner of a lot; return its newest head.

        A change of owner of unknown outcome is sent again first, whomever it names.
        """
        with self.owned.lock:
            stored = owned.stored
            if is_owned_by(stored.head, successor):
                return stored
            change = owned.find_unresolved(
                lambda one: one.head.owner != stored.head.owner
            ) or head_change(stored, owner=successor.name, incarnation=successor.incarnation)
        return self.writer.write(owned, change)

    def _start(self, lot: Lot, stored: StoredHead) -> None:
        """Start work on a lot that has just been stored."""
        rules = rules_for(stored.head, self.clock.now())
        tracker = LotTracker(lot, rules, lengths=self._lengths_of(lot), listing=self.listing)
        owned = OwnedLot(tracker, stored)
        with self.owned.lock:
            reused = self.partial_texts.apply_to(owned.tracker)
        self.owned.add(owned)
        log_state(
            "lot_taken",
            lot=lot.id,
            step=lot.step,
            model=lot.model,
            samples=len(lot.samples),
            min_version=lot.min_version,
            revision=stored.revision,
            due_s=stored.head.result_target_s,
            reused=reused,
        )

    def _end(self, lot_id: str) -> bool:
        """End a lot, whoever owns it; false if the store has no such lot."""
        owned = self.owned.get(lot_id)
        try:
            return self._end_owned(owned) if owned is not None else self._end_stored(lot_id)
        except LotMissingError:
            return False

    def _end_owned(self, owned: OwnedLot) -> bool:
        """End a lot that runs here, and that another gateway may have taken over unnoticed."""
        stored = owned.stored
        had_ended = stored.head.ended and owned.lot_id not in self.unresolved_ends
        try:
            for _ in range(MAX_END_ATTEMPTS):
                if stored.head.ended:
                    break
                stored = self.writer.write(owned, self._end_change(owned))
        except NotOwnerError:
            return self._end_stored(owned.lot_id)
        if not stored.head.ended:
            raise _changed_too_often(owned.lot_id)
        self._stop_work(owned, stored)
        is_shared = owned.had_other_owner or not is_owned_by(stored.head, self.peers.member)
        if is_shared and not had_ended:
            self.notify_end(stored)
        return True

    def _end_change(self, owned: OwnedLot) -> HeadChange:
        """Return the write of a lot's end; an unresolved one is sent again unchanged."""
        with self.owned.lock:
            unresolved = owned.find_unresolved(lambda one: one.head.ended)
            return unresolved or head_change(owned.stored, ended=True)

    def _end_stored(self, lot_id: str) -> bool:
        """End a lot from what the store has of it; false if the store has no such lot."""
        try:
            stored = self.journal.read_head(lot_id)
        except StoreUnknownError as error:
            raise StoreRefusedError(f"the end was not sent: {error}") from error
        if stored is None:
            return False
        ended = self._store_end(stored)
        self.apply_end(ended)  # this gateway may have taken it over meanwhile
        # If it had ended before, others were notified then, unless that was not answered.
        if ended.revision != stored.revision or lot_id in self.unresolved_ends:
            self.notify_end(ended)
        return True

    def _store_end(self, stored: StoredHead) -> StoredHead:
        """Write the end, retrying while another owner changes the head."""
        for _ in range(MAX_END_ATTEMPTS):
            if stored.head.ended:
                return stored
            try:
                return self.journal.update(stored, ended=True)
            except NotOwnerError as error:
                stored = error.stored
        raise _changed_too_often(stored.lot_id)

    def _stop_work(self, owned: OwnedLot, stored: StoredHead) -> None:
        """Stop work on a lot whose end is stored."""
        with self.owned.lock:
            if stored.revision > owned.stored.revision:
                owned.record(stored, ())
            self.partial_texts.add(owned.tracker)
            running = owned.tracker.end()
            listed = len(owned.tracker.listed)
            self.owned.notify_readers()
        log_state("lot_ended", lot=owned.lot_id, listed=listed, running=len(running))
        self.drop(owned, True)
        self.checkpoints.forget(owned.lot_id)

    def _resume(
        self,
        stored_lot: StoredLot,
        previous_owner: str,
        had_other_owner: bool,
        partial_texts: dict[str, SavedText],
        failures: Mapping[str, int],
    ) -> None:
        """Start work on a lot that was taken over.

        :param previous_owner: name of the previous owner, for the log
        :param had_other_owner: whether another box may still consider itself the owner
        :param failures: failed runs by sample, as far as they are known
        """
        stored = stored_lot.stored
        lengths = self._lengths_of(stored_lot.lot)
        rules = self._rules_after_takeover(stored)
        tracker = LotTracker(stored_lot.lot, rules, stored_lot.results, lengths, self.listing)
        reused = [
            name
            for name, text in partial_texts.items()
            if name in tracker.states
            and belongs_to(text, stored_lot.lot, tracker.states[name].sample)
            and tracker.prefill(
                name, text.events, text.versions, text.lineage, TextSource.CHECKPOINT
            )
        ]
        tracker.restore_failures(failures, self.clock.now())
        if not self.owned.add(OwnedLot(tracker, stored, had_other_owner=had_other_owner)):
            return
        log_state(
            "lot_adopted",
            lot=stored.lot_id,
            previous_owner=previous_owner,
            listed=len(stored_lot.results),
            samples=len(stored_lot.lot.samples),
            revision=stored.revision,
            partial_texts=len(reused),
            failed_before=len(failures),
        )
        end = self.recent_ends.get(stored.lot_id)
        if end is not None:
            self.apply_end(end)

    def _lengths_of(self, lot: Lot) -> LengthEstimator:
        """Return the learned sample lengths of a lot's model."""
        return self.lengths.setdefault(lot.model, LengthEstimator())

    def _rules_after_takeover(self, stored: StoredHead) -> LotRules:
        """Return the rules of a lot that was submitted some time ago, perhaps at another box.

        No sample may be given up early. If the clock of that box is behind, the lot looks older
        than it is, so the largest clock skew is added to the time of giving up.
        """
        age = max(0.0, self.clock.time_of_day() - stored.head.submitted_at)
        rules = rules_for(stored.head, self.clock.now() - age)
        return replace(rules, give_up_at=rules.give_up_at + MAX_CLOCK_SKEW_S)


def _changed_too_often(lot_id: str) -> StoreRefusedError:
    return StoreRefusedError(
        f"the head of {lot_id} changed at each of {MAX_END_ATTEMPTS} attempts to end it"
    )


def rules_for(head: LotHead, start: float) -> LotRules:
    """Return the rules that a lot's head asks for.

    :param start: time of submission, by this process's clock
    """
    return LotRules(
        max_attempts=head.max_attempts,
        one_version=head.one_version,
        due=start + head.result_target_s,
        give_up_at=start + head.give_up_s + GIVE_UP_MARGIN_S,
    )


__all__ = ["LotOwner", "rules_for"]
