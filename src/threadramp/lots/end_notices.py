"""Tells other gateways of ends that this one wrote for lots that another may be running.

The store keeps an end, but nobody watches the heads of lots there: calls are priced. A gateway that
runs a lot, or believes so since it does not know that another took it over, would learn of an end
only with its next write, and begin samples that nobody wants.
"""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING

from threadramp.report.guard import start_loop
from threadramp.report.log import log_state
from threadramp.wire.fleet import EndKept, LotEnded

if TYPE_CHECKING:
    from threadramp.fleet.clock import Clock
    from threadramp.fleet.peers import Peers
    from threadramp.lots.model import StoredHead

TOLD_FOR_S = 8.0  # a gateway that was not listed, frozen or cut off is in touch again by then
URGENT_S = 3.0  # samples may begin for so long after an end on the users' sheets
TURN_S = 0.3  # while a notice is urgent
LATER_TURN_S = 1.0
ANSWER_S = 0.4


class EndNotices:
    """Repeats each notice to all gateways until one says that it ran the lot."""

    def __init__(self, peers: Peers, clock: Clock) -> None:
        self.peers = peers
        self.clock = clock
        self.open: dict[str, tuple[StoredHead, float]] = {}
        self.lock = threading.Lock()
        self.any_open = threading.Event()
        self.stopped = threading.Event()

    def start(self) -> None:
        """Start telling."""
        start_loop(self._run, self.stopped)

    def notify(self, stored: StoredHead) -> None:
        """Let the others know of an end that the store keeps."""
        with self.lock:
            self.open.setdefault(stored.lot_id, (stored, self.clock.now() + TOLD_FOR_S))
        self.any_open.set()

    def one_turn(self) -> bool:
        """Tell what is to be told; true if there is more to tell later."""
        with self.lock:
            notices = list(self.open.values())
        for stored, until in notices:
            runner = self._runner_of(stored)
            if runner or self.clock.now() >= until:
                log_state("end_told", lot=stored.lot_id, gateway=runner, revision=stored.revision)
                with self.lock:
                    del self.open[stored.lot_id]
        with self.lock:
            return bool(self.open)

    def _run(self) -> None:
        while not self.stopped.is_set():
            self.any_open.wait()
            self.any_open.clear()
            while self.one_turn():
                self.stopped.wait(self._pause_s())

    def _pause_s(self) -> float:
        with self.lock:
            newest = max((until for _, until in self.open.values()), default=0.0)
        age = TOLD_FOR_S - (newest - self.clock.now())
        return TURN_S if age < URGENT_S else LATER_TURN_S

    def _runner_of(self, stored: StoredHead) -> str:
        """Tell all gateways; returns the one that ran the lot, empty if none said so.

        One that is not listed may run it: it is told before it has listed itself again.
        """
        gateways = self.peers.gateways_lately()
        ask = EndKept(*self.peers.myself, stored)
        replies = self.peers.ask_all({one.address: ask for one in gateways}, ANSWER_S)
        for one in gateways:
            reply = replies.get(one.address)
            if isinstance(reply, LotEnded) and reply.owned:
                return one.name
        return ""


__all__ = ["TOLD_FOR_S", "EndNotices"]
