"""Checks lots again after a write of unknown outcome, until the outcome is known.

Such a write may be done seconds after its caller was answered. The head of a lot then names a
gateway that does not know that it owns the lot, and the other gateways leave it alone because its
owner is live.
"""

from __future__ import annotations

import threading
from dataclasses import dataclass
from typing import TYPE_CHECKING

from threadramp.platform.store_model import StoreError
from threadramp.report.guard import start_loop
from threadramp.report.log import log_state

if TYPE_CHECKING:
    from collections.abc import Callable

    from threadramp.fleet.clock import Clock

POLL_INTERVAL_S = 0.1
FIRST_PAUSE_S = 0.3  # between two checks of a lot; doubles with each further one
MAX_PAUSE_S = 2.0  # a lot may lie at no engine for 5 s
LATE_WRITE_S = 20.0  # the store may carry a write out seconds later
MAX_OUTAGE_S = 60.0  # for which a store that does not answer postpones the last check


@dataclass
class UnresolvedLot:
    """A lot to check.

    :param until: time from which a check without a result is the last one
    """

    due: float
    until: float
    pause_s: float = FIRST_PAUSE_S


class UnresolvedLots:
    """Checks lots with increasing pauses.

    :param name: of the kind of write, for the log
    :param check: returns whether the outcome for a lot is known now; raises a store error otherwise
    :param give_up_s: time after which a check without a result is the last one
    """

    def __init__(
        self, name: str, check: Callable[[str], bool], clock: Clock, give_up_s: float = LATE_WRITE_S
    ) -> None:
        self.name = name
        self.check = check
        self.clock = clock
        self.give_up_s = give_up_s
        self.lots: dict[str, UnresolvedLot] = {}
        self.lock = threading.Lock()
        self.has_lots = threading.Event()
        self.stopped = threading.Event()

    def start(self) -> None:
        """Start checking."""
        start_loop(self._run, self.stopped)

    def add(self, lot_id: str, give_up_s: float | None = None) -> None:
        """Check a lot soon, and again until the outcome is known.

        :param give_up_s: how long it is checked, if not as long as a late write may take
        """
        now = self.clock.now()
        until = now + (self.give_up_s if give_up_s is None else give_up_s)
        with self.lock:
            known = self.lots.get(lot_id)
            until = max(until, known.until) if known is not None else until
            self.lots[lot_id] = UnresolvedLot(now, until)
        self.has_lots.set()

    def __contains__(self, lot_id: str) -> bool:
        """Return whether the outcome for a lot is still unknown."""
        return lot_id in self.lots

    def run_once(self) -> None:
        """Check the lots that are due."""
        now = self.clock.now()
        with self.lock:
            due = [(lot_id, lot) for lot_id, lot in self.lots.items() if lot.due <= now]
        for lot_id, lot in due:
            self._check(lot_id, lot)

    def _check(self, lot_id: str, lot: UnresolvedLot) -> None:
        try:
            is_known = self.check(lot_id)
            is_over = is_known or self.clock.now() >= lot.until
        except StoreError as error:  # a store that does not answer tells nothing
            log_state("lot_outcome_check_failed", kind=self.name, lot=lot_id, error=str(error))
            is_known = False
            is_over = self.clock.now() >= lot.until + MAX_OUTAGE_S
        if is_over:
            log_state("lot_outcome_known", kind=self.name, lot=lot_id, known=is_known)
        with self.lock:
            if self.lots.get(lot_id) is not lot:
                return  # added again meanwhile
            if is_over:
                del self.lots[lot_id]
                return
            lot.due = self.clock.now() + lot.pause_s
            lot.pause_s = min(MAX_PAUSE_S, 2 * lot.pause_s)

    def _run(self) -> None:
        while not self.stopped.is_set():
            self.has_lots.wait()
            self.has_lots.clear()
            while self.lots and not self.stopped.is_set():
                self.run_once()
                self.stopped.wait(POLL_INTERVAL_S)


__all__ = ["LATE_WRITE_S", "UnresolvedLots"]
