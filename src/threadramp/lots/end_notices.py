"""Notifies other gateways of ends that this one wrote for lots that another may be running.

The store records an end, but nobody watches the heads of lots there, since calls are billed. A
gateway that runs a lot, or still runs it because it does not know that another has taken it over,
would learn of the end only at its next write, and start samples that nobody needs.
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

NOTICE_TTL_S = 8.0  # an unlisted, frozen or disconnected gateway is reachable again by then
FAST_RETRY_FOR_S = 3.0  # the users' requirements allow samples to start this long after an end
FAST_RETRY_S = 0.3  # during FAST_RETRY_FOR_S
SLOW_RETRY_S = 1.0
ANSWER_TIMEOUT_S = 0.4


class EndNotices:
    """Sends each notice to all gateways repeatedly until one confirms that it ran the lot."""

    def __init__(self, peers: Peers, clock: Clock) -> None:
        self.peers = peers
        self.clock = clock
        self.pending: dict[str, tuple[StoredHead, float]] = {}
        self.lock = threading.Lock()
        self.has_pending = threading.Event()
        self.stopped = threading.Event()

    def start(self) -> None:
        """Start sending notices."""
        start_loop(self._run, self.stopped)

    def notify(self, stored: StoredHead) -> None:
        """Notify the other gateways of an end that is stored."""
        with self.lock:
            self.pending.setdefault(stored.lot_id, (stored, self.clock.now() + NOTICE_TTL_S))
        self.has_pending.set()

    def run_once(self) -> bool:
        """Send the pending notices; true if some are still pending afterwards."""
        with self.lock:
            notices = list(self.pending.values())
        for stored, until in notices:
            runner = self._notify_gateways(stored)
            if runner or self.clock.now() >= until:
                log_state(
                    "end_notice_closed", lot=stored.lot_id, gateway=runner, revision=stored.revision
                )
                with self.lock:
                    del self.pending[stored.lot_id]
        with self.lock:
            return bool(self.pending)

    def _run(self) -> None:
        while not self.stopped.is_set():
            self.has_pending.wait()
            self.has_pending.clear()
            while self.run_once():
                self.stopped.wait(self._pause_s())

    def _pause_s(self) -> float:
        with self.lock:
            newest = max((until for _, until in self.pending.values()), default=0.0)
        age = NOTICE_TTL_S - (newest - self.clock.now())
        return FAST_RETRY_S if age < FAST_RETRY_FOR_S else SLOW_RETRY_S

    def _notify_gateways(self, stored: StoredHead) -> str:
        """Notify all gateways; returns the one that ran the lot, empty if none confirmed it.

        Gateways that are missing in the member list may run it too, and are notified before they
        are listed again.
        """
        gateways = self.peers.recent_gateways()
        ask = EndKept(*self.peers.sender_fields, stored)
        replies = self.peers.ask_all({one.address: ask for one in gateways}, ANSWER_TIMEOUT_S)
        for one in gateways:
            reply = replies.get(one.address)
            if isinstance(reply, LotEnded) and reply.owned:
                return one.name
        return ""


__all__ = ["NOTICE_TTL_S", "EndNotices"]
