"""Changes the heads of owned lots; a write of unknown outcome is kept until its outcome is known.

A write without an answer may have been done, or may be done later. Each write of a lot's head is
conditional on the revision of the head before it. So the next answer about the head resolves all
unanswered writes at once: the one whose nonce the head carries was done, and the others never will
be, since their condition no longer holds.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from threadramp.lots.journal import NotOwnerError
from threadramp.platform.store_model import StoreRefusedError, StoreUnknownError
from threadramp.report.log import log_state

if TYPE_CHECKING:
    from collections.abc import Callable

    from threadramp.fleet.clock import Clock
    from threadramp.fleet.fleet_view import Member
    from threadramp.lots.head_change import HeadChange
    from threadramp.lots.journal import LotJournal
    from threadramp.lots.model import LotHead, Result, StoredHead
    from threadramp.lots.owned import OwnedLot, OwnedLots


class HeadWriter:
    """Writes the heads of the lots that this process owns.

    :param member: this process
    :ivar on_listed: called with a lot and the results that one of its writes has listed
    """

    def __init__(self, owned: OwnedLots, journal: LotJournal, member: Member, clock: Clock) -> None:
        self.owned = owned
        self.journal = journal
        self.member = member
        self.clock = clock
        self.on_listed: Callable[[OwnedLot, tuple[Result, ...]], None] = lambda lot, results: None

    def write(self, lot: OwnedLot, change: HeadChange) -> StoredHead:
        """Write a change unless another write of this process has replaced the head meanwhile.

        :returns: the lot's newest head, which has the nonce of the change if the change was done
        :raises NotOwnerError: if another gateway owns the lot now
        :raises LotMissingError: if the store no longer has the lot
        :raises StoreRefusedError: if the change was not done and never will be
        :raises StoreUnknownError: if it may have been done, or may still be done; it is then one of
            the lot's unresolved writes
        """
        with self.owned.lock:
            if change.before.revision != lot.stored.revision:
                return lot.stored
            is_repeated = change.nonce in lot.unresolved
            lot.unresolved[change.nonce] = change
        started = self.clock.now()
        try:
            stored = self.journal.commit(change)
        except NotOwnerError as error:
            stored = error.stored
        except StoreRefusedError as error:
            if is_repeated:
                raise StoreUnknownError(f"unanswered earlier; now: {error}") from error
            with self.owned.lock:
                lot.unresolved.pop(change.nonce, None)
            raise
        except StoreUnknownError as error:
            log_state(
                "lot_write_unresolved",
                lot=lot.lot_id,
                revision=change.before.revision,
                nonce=change.nonce,
                unresolved=len(lot.unresolved),
                error=str(error),
            )
            raise
        self.record(lot, stored)
        lot.ownership_confirmed_at = max(lot.ownership_confirmed_at, started)
        return lot.stored

    def record(self, lot: OwnedLot, stored: StoredHead) -> None:
        """Record a head of a lot that the store has, with the results that it lists.

        :raises NotOwnerError: if it names another gateway, and not by a write of this process
        :raises StoreError: if the store did not answer about results that are not known here
        """
        while stored.revision > lot.stored.revision:
            with self.owned.lock:
                before = lot.stored
                done = lot.unresolved.get(stored.head.nonce)
            if done is None and not is_owned_by(stored.head, self.member):
                raise NotOwnerError(stored)
            results = self._results_since(before, stored) if done is None else done.results
            if self._replace(lot, before, stored, results):
                self._log_recorded(lot, before, is_own_write=done is not None)
                if results:
                    self.on_listed(lot, results)

    def _results_since(self, before: StoredHead, stored: StoredHead) -> tuple[Result, ...]:
        """Return the results that a head lists beyond those of an earlier one."""
        known = before.head.chunks
        return self.journal.read_results(stored, known) if stored.head.chunks > known else ()

    def _replace(
        self, lot: OwnedLot, before: StoredHead, stored: StoredHead, results: tuple[Result, ...]
    ) -> bool:
        """Replace the recorded head; false if another thread has replaced it meanwhile."""
        with self.owned.lock:
            if lot.stored is not before:
                return False
            lot.record(stored, results)
            self.owned.notify_readers()
        return True

    def _log_recorded(self, lot: OwnedLot, before: StoredHead, is_own_write: bool) -> None:
        log_state(
            "lot_head_recorded",
            lot=lot.lot_id,
            revision=lot.stored.revision,
            previous_revision=before.revision,
            own_write=is_own_write,
            owner=lot.stored.head.owner,
            ended=lot.stored.head.ended,
        )


def is_owned_by(head: LotHead, member: Member) -> bool:
    """Return whether a head names a process as the owner of its lot."""
    return (head.owner, head.incarnation) == (member.name, member.incarnation)


__all__ = ["HeadWriter", "is_owned_by"]
