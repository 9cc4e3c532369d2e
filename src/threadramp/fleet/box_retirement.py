"""Answers an operator's request to retire a box with a disk.

threadramp stores nothing on such boxes, so there is nothing to move: a request is confirmed as soon
as it is seen, by the gateway that rendezvous hashing picks for the box, or else by the next ones.
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

POLL_INTERVAL_S = 0.5
TAKEOVER_INTERVAL_S = 2.0  # after this time without an answer, the next gateway answers


class BoxRetirement:
    """Confirms each request to retire a box once."""

    def __init__(self, name: str, fleet_view: FleetView, store: StoreClient) -> None:
        self.name = name
        self.fleet_view = fleet_view
        self.store = store
        self.answered: set[tuple[str, int]] = set()
        self.polls: dict[tuple[str, int], int] = {}
        self.stopped = threading.Event()

    def start(self) -> None:
        """Start polling for requests."""
        start_loop(self._run, self.stopped)

    def _run(self) -> None:
        while not self.stopped.wait(POLL_INTERVAL_S):
            for request in self.fleet_view.snapshot.retire_requests:
                self._handle(request)

    def _handle(self, request: RetireRequest) -> None:
        request_id = (request.box, request.revision)
        if request_id in self.answered:
            return
        polled = self.polls.get(request_id, 0)
        self.polls[request_id] = polled + 1
        gateways = [one.name for one in self.fleet_view.snapshot.gateways()]
        order = rendezvous(request.box, gateways)
        position = order.index(self.name) if self.name in order else len(order)
        if polled * POLL_INTERVAL_S < position * TAKEOVER_INTERVAL_S:
            return
        key = EMPTY_STATUS_PREFIX + request.box
        try:
            if position and self._is_answered(key, request):
                self.answered.add(request_id)
                return
            self.store.transact(Transaction(puts=(Put(key, empty_status(True)),)), repeatable=True)
        except StoreError as error:
            log_state("retirement_not_confirmed", box=request.box, error=str(error))
            return
        self.answered.add(request_id)
        log_state("box_retired", box=request.box, revision=request.revision)

    def _is_answered(self, key: str, request: RetireRequest) -> bool:
        status = self.store.get(key)
        return status is not None and status.revision > request.revision


__all__ = ["BoxRetirement"]
