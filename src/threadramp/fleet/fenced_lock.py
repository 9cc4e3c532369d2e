"""Fenced locks in the store, each held by one box at a time, such as the one to order an engine.

A lock is a key of the store that names its holder. The revision of the write that acquired it is
the holder's fencing token. The next holder gets a higher token, and does not use it until the
previous holder can no longer act. So no two boxes ever use the same token, a lower token never
follows a higher one, and two holders never act alternately, even on receivers that check no token.

Only the store shows who holds a lock. That a process still runs, is listed as a member or gets
requests from others shows nothing: those others may not know the next holder yet. A verification
counts from the time at which the store was asked, on a clock that keeps running during suspension,
and is valid for ``VERIFICATION_TTL_S``. The next holder waits longer than that plus the time that
messages may still be in transit.
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

RETRY_INTERVAL_S = 1.0  # after the store did not answer, or while another box holds the lock
VERIFICATION_TTL_S = 1.0  # counted from when the store was asked; it answers within milliseconds


class LockRecord(msgspec.Struct, frozen=True, array_like=True):
    """The holder of a lock as stored.

    :param holder: name of the box, empty if the lock was released
    :param takeover_pending: whether the holder must still wait until no previous one can act
    :param had_previous_holder: whether another box ever held it
    """

    holder: str
    takeover_pending: bool
    had_previous_holder: bool = False


class FencedLock:
    """One process's handle on a fenced lock, identified by a key of the store.

    :param holder: name of this box
    :param takeover_delay_s: time between the last verification by one holder and the first use by
        the next
    :param may_acquire: whether the lock may be taken from a holder, which is empty if nobody holds
        it, and none as long as the store was not asked
    """

    def __init__(
        self,
        store: StoreClient,
        key: str,
        holder: str,
        takeover_delay_s: float,
        clock: Clock,
        may_acquire: Callable[[str | None], bool] = lambda holder: True,
    ) -> None:
        self.store = store
        self.key = key
        self.holder = holder
        self.takeover_delay_s = takeover_delay_s
        self.clock = clock
        self.may_acquire = may_acquire
        self.fencing_token = 0
        self.takeover_pending = False
        self.had_previous_holder = False
        self.must_recheck = False
        self.usable_from = 0.0
        self.next_query_at = 0.0
        self.verified_at = float("-inf")

    def verified_ago_s(self) -> float:
        """Return the seconds since the store was asked for the last verification."""
        return self.clock.now() - self.verified_at

    def is_verified(self) -> bool:
        """Return whether the last verification is still valid; call right before sending bytes."""
        usable = bool(self.fencing_token) and not self.takeover_pending and not self.must_recheck
        return usable and self.verified_ago_s() <= VERIFICATION_TTL_S

    def invalidate(self) -> None:
        """Require a new look-up because another process may have acquired the lock."""
        self.must_recheck = True

    def verified_token(self) -> int:
        """Return the fencing token to act under now, 0 if the lock is not held.

        Asks the store each time; its answer counts only for ``VERIFICATION_TTL_S``.
        """
        if not self.takeover_pending:
            self.invalidate()
        token = self.cached_token()
        return token if self.is_verified() else 0

    def cached_token(self) -> int:
        """Return the last known token, 0 if it must not be used; no verification to act on."""
        now = self.clock.now()
        if now < max(self.next_query_at, self.usable_from if self.takeover_pending else 0.0):
            return 0
        try:
            if self.takeover_pending:
                self._finish_takeover()
            elif not self.fencing_token or self.must_recheck:
                self._query_store()
        except StoreError as error:
            log_state("lock_state_unknown", key=self.key, error=str(error))
            self.must_recheck = True
            self.next_query_at = now + RETRY_INTERVAL_S
            return 0
        return 0 if self.takeover_pending else self.fencing_token

    def transfer_to(self, successor: str) -> None:
        """Transfer the lock to another box, which waits for the usual takeover delay.

        :param successor: name of the box, empty to release the lock to any box
        :raises StoreError: if it is not known whether the transfer was stored
        """
        token, self.fencing_token = self.fencing_token, 0
        self.takeover_pending = False
        if not token:
            return
        held = LockRecord(successor, takeover_pending=True, had_previous_holder=True)
        transaction = Transaction({self.key: token}, (self._put(held),))
        self.store.transact(transaction, repeatable=True)
        log_state("lock_transferred", key=self.key, token=token, to=successor)

    def _query_store(self) -> None:
        """Look up the holder, and acquire the lock if it may be acquired.

        :raises StoreError: if the store did not answer
        """
        self.must_recheck = False
        asked_at = self.clock.now()
        if self.fencing_token:
            found = self.store.get(self.key)
        elif self.may_acquire(None):
            found = self._acquire(ABSENT, "")
            if self.fencing_token:
                return
        else:
            self.next_query_at = self.clock.now() + RETRY_INTERVAL_S
            return
        if self._record_if_ours(found, asked_at):
            return
        held = _decode_item(found)
        previous_holder = "" if held is None else held.holder
        if self.may_acquire(previous_holder):
            self._acquire(ABSENT if found is None else found.revision, previous_holder)

    def _record_if_ours(self, found: Item | None, asked_at: float) -> bool:
        """Record the stored state and return whether this box holds the lock.

        :param asked_at: time at which the store was asked
        """
        held = _decode_item(found)
        if held is not None and held.holder == self.holder:
            self._record_holding(found.revision, held, asked_at)
            return True
        self._record_loss(held)
        return False

    def _acquire(self, revision: int, previous_holder: str) -> Item | None:
        """Acquire the lock if it is at the expected revision; else return its current state.

        :param previous_holder: the last known holder
        :raises StoreError: if the store did not answer
        """
        asked_at = self.clock.now()
        existed = revision != ABSENT  # otherwise nobody ever held the lock
        held = LockRecord(self.holder, takeover_pending=existed, had_previous_holder=existed)
        transaction = Transaction({self.key: revision}, (self._put(held),))
        # Repeatable: a second write fails the comparison and finds this box as the holder.
        answer = self.store.transact(transaction, repeatable=True)
        if isinstance(answer, Committed):
            log_state(
                "lock_acquired",
                key=self.key,
                token=answer.revision,
                previous_holder=previous_holder,
            )
            self._record_holding(answer.revision, held, asked_at)
            return None
        log_state(
            "lock_not_acquired", key=self.key, expected=revision, previous_holder=previous_holder
        )
        return answer.current.get(self.key)

    def _finish_takeover(self) -> None:
        """Store that the takeover delay is over, which also verifies the lock.

        Otherwise a process that restarts on this box could not tell whether it must still wait.
        A stored time of day would not do: clocks jump, and the store may apply a write seconds
        late.

        :raises StoreError: if the store did not answer
        """
        self.must_recheck = False
        asked_at = self.clock.now()
        held = LockRecord(self.holder, takeover_pending=False, had_previous_holder=True)
        transaction = Transaction({self.key: self.fencing_token}, (self._put(held),))
        answer = self.store.transact(transaction, repeatable=True)
        if isinstance(answer, Committed):
            self._record_holding(answer.revision, held, asked_at)
            return
        # It is ours if the answer to an earlier attempt was lost.
        self._record_if_ours(answer.current.get(self.key), asked_at)

    def _put(self, held: LockRecord) -> Put:
        return Put(self.key, msgspec.msgpack.encode(held))

    def _record_holding(self, token: int, held: LockRecord, asked_at: float) -> None:
        """Record that this box holds the lock; a takeover delay counts from now.

        :param asked_at: time at which the store was asked
        """
        self.verified_at = asked_at
        if token == self.fencing_token:
            return
        self.fencing_token = token
        self.takeover_pending = held.takeover_pending
        self.had_previous_holder = held.had_previous_holder
        self.next_query_at = 0.0
        self.usable_from = self.clock.now() + self.takeover_delay_s
        wait_s = self.takeover_delay_s if held.takeover_pending else 0.0
        log_state("lock_held", key=self.key, token=token, wait_s=wait_s)

    def _record_loss(self, held: LockRecord | None) -> None:
        if self.fencing_token:
            holder = held.holder if held is not None else ""
            log_state("lock_lost", key=self.key, token=self.fencing_token, holder=holder)
        self.fencing_token = 0
        self.takeover_pending = False
        self.next_query_at = self.clock.now() + RETRY_INTERVAL_S


def _decode_item(found: Item | None) -> LockRecord | None:
    return None if found is None else decode_lock_record(found.value)


def decode_lock_record(value: bytes) -> LockRecord | None:
    """Return a lock's stored state, none if unreadable: then it counts as held by another box."""
    try:
        return msgspec.msgpack.decode(value, type=LockRecord)
    except msgspec.DecodeError as error:
        log_state("lock_record_unreadable", error=str(error))
        return None


__all__ = ["VERIFICATION_TTL_S", "LockRecord", "FencedLock", "decode_lock_record"]
