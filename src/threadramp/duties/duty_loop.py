"""The duty loop of a gateway, which counts, collects as a collector and reports as the holder."""

from __future__ import annotations

import threading
import time
from typing import TYPE_CHECKING

from threadramp.duties.collecting import ASK_TIMEOUT_S
from threadramp.platform.store_model import StoreError
from threadramp.policy.duty_assignment import (
    COLLECTORS,
    is_collector,
    may_take_over,
    succession_order,
)
from threadramp.report.guard import start_loop
from threadramp.report.log import log_state
from threadramp.wire.fleet import Done, UsageCounts, UsageLeft

if TYPE_CHECKING:
    from threadramp.duties.collecting import UsageCollector
    from threadramp.duties.duty_lock import DutyLock
    from threadramp.duties.scale_orders import ScaleOrders
    from threadramp.duties.usage_reports import UsageReports
    from threadramp.fleet.fleet_view import Member
    from threadramp.fleet.peers import Peers

CYCLE_S = 1.0
MIN_PAUSE_S = 0.1  # between two cycles, however long one took
START_DELAY_S = 2.0  # by then gateways that start together are in the member list


class DutyLoop:
    """Runs the duties periodically.

    :param reports: none if usage is not reported
    :param scale: none if sizes of pools are not ordered
    """

    def __init__(
        self,
        peers: Peers,
        duty_lock: DutyLock,
        collector: UsageCollector,
        reports: UsageReports | None,
        scale: ScaleOrders | None = None,
    ) -> None:
        self.peers = peers
        self.duty_lock = duty_lock
        self.collector = collector
        self.reports = reports
        self.scale = scale
        self.answered = 0
        self.leaving = False
        self.stopped = threading.Event()

    def start(self) -> None:
        """Start the loop."""
        start_loop(self._run, self.stopped)

    def may_take(self, holder: str | None) -> bool:
        """Return whether this gateway may take the lock.

        :param holder: holder that the store names; none if the store was not asked
        """
        if self.leaving:
            return False
        if holder is None:
            holder = self.duty_lock.holder()
            if holder == self._own_name:  # finds a lock taken by a previous process of this box
                return True
        unanswered = self.collector.missed_rounds
        return may_take_over(self._own_name, holder, self._names(), unanswered, self.answered)

    def leave(self) -> None:
        """Transfer the duties to the next gateway in order; for a planned stop.

        This includes a lock that a previous process of this box took and this one has not used yet:
        otherwise the others wait for a holder that still answers them, 5 s and more while it stops.
        """
        if self.duty_lock.is_held_here():
            self.duty_lock.lock.cached_token()  # reads the fencing token if it is not known yet
        self.leaving = True
        if not self.duty_lock.is_held_here():
            return
        unanswered = self.collector.missed_rounds
        successors = [name for name in succession_order(self._names()) if name not in unanswered]
        successors = [name for name in successors if name != self._own_name]
        try:
            self.duty_lock.lock.transfer_to(successors[0] if successors else "")
        except StoreError as error:  # another gateway takes over once this one does not answer
            log_state("duties_not_handed_over", error=str(error))

    def run_once(self) -> None:
        """Collect if this gateway is a collector, and report what is due if it is the holder."""
        holder = self.duty_lock.holder()
        if not is_collector(self._own_name, holder, self._names()):
            return
        self.answered = self.collector.round()
        if self.leaving or not (self.duty_lock.lock.fencing_token or self.may_take(None)):
            return
        fencing_token = self.duty_lock.cached_token()
        if not fencing_token:
            return
        try:
            if self.reports is not None:
                self.reports.run_once(fencing_token)
            if self.scale is not None:
                self.scale.run_once(fencing_token)
        except StoreError as error:
            log_state("duties_postponed", number=fencing_token, error=str(error))

    def receive_final_counts(self, ask: UsageLeft) -> Done:
        """Record the final counts of a gateway that stops."""
        self.collector.record(ask.counts, self.collector.true_time.now())
        return Done()

    def send_final_counts(self, until: float) -> None:
        """Send this gateway's final counts to the collectors; for a planned stop.

        Sent only once, they were lost when this process or a collector was stalled. No other
        gateway has these counts, and repeating them changes nothing.

        :param until: time of the clock after which they are not sent again
        """
        counter = self.collector.counter
        changes, windows = counter.changed_since(0)
        counts = UsageCounts(counter.box, counter.incarnation, changes, windows, 0.0)
        ask = UsageLeft(*self.peers.sender_fields, counts)
        reached: set[str] = set()
        while True:
            waiting = {
                one.address: one.name for one in self._collectors() if one.name not in reached
            }
            replies = self.peers.ask_all(dict.fromkeys(waiting, ask), ASK_TIMEOUT_S)
            reached |= {waiting[address] for address in replies}
            unanswered = set(waiting.values()) - reached
            if not unanswered or self.peers.clock.now() >= until:
                break
            time.sleep(MIN_PAUSE_S)
        log_state(
            "final_usage_sent",
            reached=sorted(reached),
            unanswered=sorted(unanswered),
            changes=counts.changes,
        )

    def _collectors(self) -> list[Member]:
        """Return the other gateways that collect."""
        names = {self.duty_lock.holder(), *succession_order(self._names())[:COLLECTORS]}
        return [one for one in self.peers.gateways() if one.name in names]

    @property
    def _own_name(self) -> str:
        return self.peers.member.name

    def _names(self) -> list[str]:
        listed = [one.name for one in self.peers.fleet_view.snapshot.gateways()]
        return listed if self._own_name in listed else [*listed, self._own_name]

    def _run(self) -> None:
        self.stopped.wait(START_DELAY_S)
        while not self.stopped.is_set():
            started_at = self.peers.clock.now()
            self.run_once()
            # Keeps cycles a second apart even if each waits for a gateway that does not answer.
            self.stopped.wait(max(MIN_PAUSE_S, started_at + CYCLE_S - self.peers.clock.now()))


__all__ = ["DutyLoop"]
