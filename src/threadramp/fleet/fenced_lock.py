"""Rights that one box at a time holds, such as to order an engine, and the numbers that fence it.

A right is a key of the store that names its holder; the revision of that write is the number of all
that the holder does under it. Whoever takes it over has a higher one, and does nothing under it
until the holder before can not do any more. So no two boxes ever use the same number, a lower one
never follows a higher one, and no two act in turns, also towards those that look at no number.

Only the store shows who holds a right. That a process still runs, is listed or is asked by others
says nothing of it: whoever tells that may not know of the next holder. A proof counts from when
the store was asked, by a clock that no suspension stops, and for ``PROVEN_S``; the next holder
waits for longer than that and all that may still be on its way.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from threadramp.platform.store_model import (
    ABSENT,
    Committed,
    Put,
    StoreError,
    Transaction,
)
from threadramp.report.log import log_state

if TYPE_CHECKING:
    from collections.abc import Callable

    from threadramp.fleet.clock import Clock
    from threadramp.platform.store import StoreClient
    from threadramp.platform.store_model import Item

RETRY_INTERVAL_S = 1.0  # after the store did not answer, or the right is another's
VERIFICATION_TTL_S = (
    1.0  # for which the store's word counts, from when it was asked; it answers in ms
)


class LockRecord(msgspec.Struct, frozen=True, array_like=True):
    """Who holds a right, as the store has it.

    :param holder: name of the box, empty if it was given up
    :param waits: whether that box has yet to wait until nobody before it can act any more
    :param shared: whether another box ever held it
    """

    holder: str
    waits: bool
    shared: bool = False


class FencedLock:
    """The right of one process to what a key of the store stands for.

    :param holder: name of the box
    :param hand_over_s: that pass between the last proof of one holder and the first use by the next
    :param may_take: whether it may be taken from a holder, who is empty if nobody holds it, and
        none as long as the store was not asked
    """

    def __init__(
        self,
        store: StoreClient,
        key: str,
        holder: str,
        takeover_delay_s: float,
        clock: Clock,
        may_take: Callable[[str | None], bool] = lambda holder: True,
    ) -> None:
        self.store = store
        self.key = key
        self.holder = holder
        self.takeover_delay_s = takeover_delay_s
        self.clock = clock
        self.may_take = may_take
        self.fencing_token = 0
        self.waits = False
        self.had_previous_holder = False
        self.doubted = False
        self.first_use_at = 0.0
        self.ask_again_at = 0.0
        self.shown_at = float("-inf")

    def verified_ago_s(self) -> float:
        """Return the seconds since the store was asked that showed the right to be ours."""
        return self.clock.now() - self.shown_at

    def is_verified(self) -> bool:
        """Return whether the last proof holds yet; to be asked right before bytes are sent."""
        usable = bool(self.fencing_token) and not self.waits and not self.doubted
        return usable and self.verified_ago_s() <= VERIFICATION_TTL_S

    def invalidate(self) -> None:
        """Take note that another process may hold it by now."""
        self.doubted = True

    def verified_token(self) -> int:
        """Return the number under which to act now, 0 if there is none.

        The store is asked each time, and its answer counts only while it is young.
        """
        if not self.waits:
            self.invalidate()
        number = self.cached_token()
        return number if self.is_verified() else 0

    def cached_token(self) -> int:
        """Return the number by what is known, 0 if it may not be used; no proof to act by."""
        now = self.clock.now()
        if now < max(self.ask_again_at, self.first_use_at if self.waits else 0.0):
            return 0
        try:
            if self.waits:
                self._end_wait()
            elif not self.fencing_token or self.doubted:
                self._look()
        except StoreError as error:
            log_state("right_unknown", right=self.key, error=str(error))
            self.doubted = True
            self.ask_again_at = now + RETRY_INTERVAL_S
            return 0
        return 0 if self.waits else self.fencing_token

    def transfer_to(self, heir: str) -> None:
        """Let another box hold it, which uses it once it has waited as after any holder.

        :param heir: name of the box, empty if whoever finds it may take it
        :raises StoreError: if that is not known to be kept
        """
        number, self.fencing_token = self.fencing_token, 0
        self.waits = False
        if not number:
            return
        held = LockRecord(heir, waits=True, shared=True)
        transaction = Transaction({self.key: number}, (self._put(held),))
        self.store.transact(transaction, repeatable=True)
        log_state("right_given", right=self.key, number=number, to=heir)

    def _look(self) -> None:
        """See whether it is held, and take it if it is not and may be taken.

        :raises StoreError: if the store did not answer
        """
        self.doubted = False
        asked_at = self.clock.now()
        if self.fencing_token:
            found = self.store.get(self.key)
        elif self.may_take(None):
            found = self._take(ABSENT, "")
            if self.fencing_token:
                return
        else:
            self.ask_again_at = self.clock.now() + RETRY_INTERVAL_S
            return
        if self._is_ours(found, asked_at):
            return
        held = _read(found)
        before = "" if held is None else held.holder
        if self.may_take(before):
            self._take(ABSENT if found is None else found.revision, before)

    def _is_ours(self, found: Item | None, asked_at: float) -> bool:
        """Note what the store has, and return whether that names this box.

        :param asked_at: when the store was asked
        """
        held = _read(found)
        if held is not None and held.holder == self.holder:
            self._note(found.revision, held, asked_at)
            return True
        self._lost(held)
        return False

    def _take(self, revision: int, before: str) -> Item | None:
        """Write it if it stands as expected; returns how it stands where it does not.

        :param before: who holds it as far as is known
        :raises StoreError: if the store did not answer
        """
        asked_at = self.clock.now()
        was_there = revision != ABSENT  # else nobody ever held it
        held = LockRecord(self.holder, waits=was_there, shared=was_there)
        transaction = Transaction({self.key: revision}, (self._put(held),))
        # Done twice, the second time finds this holder.
        answer = self.store.transact(transaction, repeatable=True)
        if isinstance(answer, Committed):
            log_state("right_taken", right=self.key, number=answer.revision, before=before)
            self._note(answer.revision, held, asked_at)
            return None
        log_state("right_not_taken", right=self.key, expected=revision, before=before)
        return answer.current.get(self.key)

    def _end_wait(self) -> None:
        """Write that the wait is over, which is a proof as well.

        Without it a process that begins on this box could not tell whether it has to wait; a time
        of day would not do, since it jumps, and since the store may do a write seconds late.

        :raises StoreError: if the store did not answer
        """
        self.doubted = False
        asked_at = self.clock.now()
        held = LockRecord(self.holder, waits=False, shared=True)
        transaction = Transaction({self.key: self.fencing_token}, (self._put(held),))
        answer = self.store.transact(transaction, repeatable=True)
        if isinstance(answer, Committed):
            self._note(answer.revision, held, asked_at)
            return
        self._is_ours(answer.current.get(self.key), asked_at)  # or its answer was lost before

    def _put(self, held: LockRecord) -> Put:
        return Put(self.key, msgspec.msgpack.encode(held))

    def _note(self, number: int, held: LockRecord, asked_at: float) -> None:
        """Note that it is held; a wait counts from now.

        :param asked_at: when the store was asked that showed it
        """
        self.shown_at = asked_at
        if number == self.fencing_token:
            return
        self.fencing_token = number
        self.waits = held.waits
        self.had_previous_holder = held.shared
        self.ask_again_at = 0.0
        self.first_use_at = self.clock.now() + self.takeover_delay_s
        wait_s = self.takeover_delay_s if held.waits else 0.0
        log_state("right", right=self.key, number=number, wait_s=wait_s)

    def _lost(self, held: LockRecord | None) -> None:
        if self.fencing_token:
            holder = held.holder if held is not None else ""
            log_state("right_lost", right=self.key, number=self.fencing_token, holder=holder)
        self.fencing_token = 0
        self.waits = False
        self.ask_again_at = self.clock.now() + RETRY_INTERVAL_S


def _read(found: Item | None) -> LockRecord | None:
    return None if found is None else decode_lock_record(found.value)


def decode_lock_record(value: bytes) -> LockRecord | None:
    """Return who holds a right, none if nobody can tell; then it is taken over as from another."""
    try:
        return msgspec.msgpack.decode(value, type=LockRecord)
    except msgspec.DecodeError as error:
        log_state("right_unreadable", error=str(error))
        return None


__all__ = ["VERIFICATION_TTL_S", "LockRecord", "FencedLock", "decode_lock_record"]
