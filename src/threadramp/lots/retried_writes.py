"""Sends a write to the store again while its answer does not come and there is time for it.

A write whose answer was lost is sent again as it was; if the head then names its nonce, it had
taken effect.
"""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from threadramp.fleet.clock import steady_s
from threadramp.lots.model import decode_head
from threadramp.platform.store_model import Committed, StoreError, StoreUnknownError
from threadramp.report.log import log_state

if TYPE_CHECKING:
    from threadramp.platform.store import StoreClient
    from threadramp.platform.store_model import Conflict, Transaction

RETRY_FOR_S = 2.0  # for so long a write without an answer is sent again; a trainer waits for it
PAUSE_S = 0.05  # before a write is sent again; doubles with each further time
PAUSE_MOST_S = 0.4  # the store's outages take seconds


class RetriedWrites:
    """The writes of one change to a lot, which share the time for them.

    :param patience_s: for so long they may be sent again
    :param waits: whether they are also sent again after the store said that it did nothing
    """

    def __init__(self, store: StoreClient, patience_s: float, waits: bool) -> None:
        self.store = store
        self.until = steady_s() + patience_s
        self.waits = waits
        self.unanswered = 0
        self.next_pause_s = PAUSE_S

    def settle(self, key: str, transaction: Transaction, nonce: str) -> Committed | Conflict:
        """Write under a condition until it is known whether the write took effect.

        :param key: of the head that the write changes
        :param nonce: that the head names once the write took effect
        :raises StoreRefusedError: if it was not done
        :raises StoreUnknownError: if it may have been done, or may still be
        """
        self.unanswered = 0
        answer = self.send(transaction)
        if isinstance(answer, Committed):
            return answer
        current = answer.current.get(key)
        if current is not None and decode_head(current.value).nonce == nonce:
            log_state("write_settled", key=key, revision=current.revision)
            return Committed(current.revision)
        return answer

    def send(self, transaction: Transaction) -> Committed | Conflict:
        """Send a write until it is answered or the time is up.

        :raises StoreRefusedError: if it was not done
        :raises StoreUnknownError: if it may have been done, or may still be
        """
        while True:
            try:
                return self.store.transact(transaction, repeatable=True)
            except StoreError as error:
                self._note(error)
                if not self._may_go_on(error):
                    if self.unanswered and not isinstance(error, StoreUnknownError):
                        raise StoreUnknownError(str(error)) from error  # an earlier try may count
                    raise
            self._pause()

    def _note(self, error: StoreError) -> None:
        """Count a try that brought no answer."""
        unanswered = isinstance(error, StoreUnknownError)
        self.unanswered += unanswered
        log_state("write_failed", unanswered=unanswered, error=str(error))

    def _may_go_on(self, error: StoreError) -> bool:
        """Return whether there is time for another try."""
        again = self.waits or isinstance(error, StoreUnknownError)
        return again and steady_s() + self.next_pause_s < self.until

    def _pause(self) -> None:
        """Wait before the next try, longer each time."""
        time.sleep(self.next_pause_s)
        self.next_pause_s = min(PAUSE_MOST_S, 2 * self.next_pause_s)


__all__ = ["RETRY_FOR_S", "RetriedWrites"]
