"""Retries writes to the store that were not answered, while there is time left.

An unanswered write is retried unchanged. If the head then contains its nonce, the first attempt had
been committed.
"""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from threadramp.fleet.clock import steady_s
from threadramp.lots.model import decode_head
from threadramp.platform.call_attempts import CallAttempts
from threadramp.platform.store_model import ABSENT, Committed, StoreError, StoreUnknownError
from threadramp.report.log import log_state

if TYPE_CHECKING:
    from threadramp.platform.store import StoreClient
    from threadramp.platform.store_model import Conflict, Transaction

RETRY_FOR_S = 2.0  # how long an unanswered write is retried; a trainer waits for it
FIRST_PAUSE_S = 0.05  # before the first retry; doubles with each further one
MAX_PAUSE_S = 0.4  # outages of the store last seconds


class RetriedWrites:
    """The writes of one change to a lot, which share a deadline.

    :param retry_for_s: how long they may be retried
    :param retry_refused: whether to retry also after the store refused a write
    """

    def __init__(self, store: StoreClient, retry_for_s: float, retry_refused: bool) -> None:
        self.store = store
        self.deadline = steady_s() + retry_for_s
        self.retry_refused = retry_refused
        self.next_pause_s = FIRST_PAUSE_S

    def commit(self, key: str, transaction: Transaction, nonce: str) -> Committed | Conflict:
        """Write conditionally until the outcome is known.

        :param key: of the head that the write changes
        :param nonce: contained in the head once the write is committed
        :raises StoreRefusedError: if it was not done
        :raises StoreUnknownError: if it may have been done, or may still be done
        """
        answer = self.send(transaction)
        if isinstance(answer, Committed):
            return answer
        current = answer.current.get(key)
        if current is None and transaction.expected.get(key) == ABSENT:
            raise StoreUnknownError(f"the store has no {key} and yet refuses to create it")
        if current is not None and decode_head(current.value).nonce == nonce:
            log_state("write_confirmed", key=key, revision=current.revision)
            return Committed(current.revision)
        return answer

    def send(self, transaction: Transaction) -> Committed | Conflict:
        """Send a write until it is answered or the deadline is reached.

        :raises StoreRefusedError: if it was not done
        :raises StoreUnknownError: if it may have been done, or may still be done
        """
        attempts = CallAttempts()
        while True:
            try:
                return self.store.transact(transaction, repeatable=True)
            except StoreError as error:
                attempts.record(error)
                log_state(
                    "write_failed",
                    key=transaction.first_key,
                    attempt=len(attempts.errors),
                    may_be_done=attempts.may_be_done,
                    error=str(error),
                )
                if not self._may_retry(attempts):
                    raise attempts.failure() from error
            self._pause()

    def _may_retry(self, attempts: CallAttempts) -> bool:
        """Return whether there is a reason and time for another attempt."""
        retryable = self.retry_refused or attempts.may_be_done
        return retryable and steady_s() + self.next_pause_s < self.deadline

    def _pause(self) -> None:
        """Wait before the next attempt, longer each time."""
        time.sleep(self.next_pause_s)
        self.next_pause_s = min(MAX_PAUSE_S, 2 * self.next_pause_s)


__all__ = ["RETRY_FOR_S", "RetriedWrites"]
