"""Answers the operator's wish to empty a box with a disk.

Such boxes keep nothing, so that there is nothing to move: the wish is answered as soon as it is
seen, by the gateway that the box's name falls to, and by the others if that one does not.
"""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING

from threadramp.platform.documents import EMPTY_STATUS_PREFIX, empty_status
from threadramp.platform.store_model import Put, StoreError, Transaction
from threadramp.policy.routing import rendezvous
from threadramp.report.guard import start_loop
from threadramp.report.log import log_state

if TYPE_CHECKING:
    from threadramp.fleet.fleet_view import FleetView
    from threadramp.fleet.model import RetireRequest
    from threadramp.platform.store import StoreClient

LOOK_S = 0.5
TURN_S = 2.0  # the next gateway answers if the one before it did not within this time


class BoxRetirement:
    """Answers wishes to empty a box, each once."""

    def __init__(self, name: str, fleet_view: FleetView, store: StoreClient) -> None:
        self.name = name
        self.fleet_view = fleet_view
        self.store = store
        self.answered: set[tuple[str, int]] = set()
        self.seen: dict[tuple[str, int], int] = {}
        self.stopped = threading.Event()

    def start(self) -> None:
        """Start looking for wishes."""
        start_loop(self._run, self.stopped)

    def _run(self) -> None:
        while not self.stopped.wait(LOOK_S):
            for wish in self.fleet_view.snapshot.retire_requests:
                self._look_at(wish)

    def _look_at(self, wish: RetireRequest) -> None:
        known = (wish.box, wish.revision)
        if known in self.answered:
            return
        looks = self.seen.get(known, 0)
        self.seen[known] = looks + 1
        gateways = [one.name for one in self.fleet_view.snapshot.gateways()]
        order = rendezvous(wish.box, gateways)
        place = order.index(self.name) if self.name in order else len(order)
        if looks * LOOK_S < place * TURN_S:
            return
        key = EMPTY_STATUS_PREFIX + wish.box
        try:
            if place and self._is_answered(key, wish):
                self.answered.add(known)
                return
            self.store.transact(Transaction(puts=(Put(key, empty_status(True)),)), repeatable=True)
        except StoreError as error:
            log_state("emptying_not_answered", box=wish.box, error=str(error))
            return
        self.answered.add(known)
        log_state("box_emptied", box=wish.box, revision=wish.revision)

    def _is_answered(self, key: str, wish: RetireRequest) -> bool:
        status = self.store.get(key)
        return status is not None and status.revision > wish.revision


__all__ = ["BoxRetirement"]
