"""The duties of one gateway: it counts, collects where that falls to it, and reports as holder."""

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
    from threadramp.duties.collecting import UsageCollecting
    from threadramp.duties.holding import DutyHolding
    from threadramp.duties.scale_orders import ScaleOrders
    from threadramp.duties.usage_reports import UsageReports
    from threadramp.fleet.peers import Peers
    from threadramp.fleet.picture import Member

TURN_S = 1.0
TURN_LEAST_S = 0.1  # between two turns, however long one took
START_S = 2.0  # by then gateways that start together have listed themselves


class Duties:
    """Takes turns at the duties.

    :param reports: none where usage is not reported
    :param scale: none where sizes of pools are not ordered
    """

    def __init__(
        self,
        peers: Peers,
        holding: DutyHolding,
        collecting: UsageCollecting,
        reports: UsageReports | None,
        scale: ScaleOrders | None = None,
    ) -> None:
        self.peers = peers
        self.holding = holding
        self.collecting = collecting
        self.reports = reports
        self.scale = scale
        self.answered = 0
        self.leaving = False
        self.stopped = threading.Event()

    def start(self) -> None:
        """Start taking turns."""
        start_loop(self._run, self.stopped)

    def may_take(self, holder: str | None) -> bool:
        """Return whether the right may be taken.

        :param holder: that the store names; none as long as it was not asked
        """
        if self.leaving:
            return False
        if holder is None:
            holder = self.holding.holder()
            if holder == self._me:  # what a process of this box took before is learned that way
                return True
        unanswered = self.collecting.unanswered
        return may_take_over(self._me, holder, self._names(), unanswered, self.answered)

    def leave(self) -> None:
        """Hand the duties to the gateway that they fall to next; for a planned stop.

        Also what a process of this box took before and this one has not used yet: others wait for a
        holder that answers them, 5 s and more while it stops.
        """
        if self.holding.is_mine():
            self.holding.right.usable_number()  # learns its number, if it is not known yet
        self.leaving = True
        if not self.holding.is_mine():
            return
        unanswered = self.collecting.unanswered
        heirs = [name for name in succession_order(self._names()) if name not in unanswered]
        heirs = [name for name in heirs if name != self._me]
        try:
            self.holding.right.give_to(heirs[0] if heirs else "")
        except StoreError as error:  # it is taken over once this gateway does not answer
            log_state("duties_not_handed_over", error=str(error))

    def turn(self) -> None:
        """Collect, and report what is due, where that falls to this gateway."""
        holder = self.holding.holder()
        if not is_collector(self._me, holder, self._names()):
            return
        self.answered = self.collecting.round()
        if self.leaving or not (self.holding.right.number or self.may_take(None)):
            return
        number = self.holding.usable_number()
        if not number:
            return
        try:
            if self.reports is not None:
                self.reports.turn(number)
            if self.scale is not None:
                self.scale.turn(number)
        except StoreError as error:
            log_state("duty_put_off", number=number, error=str(error))

    def take_last(self, ask: UsageLeft) -> Done:
        """Take what a gateway that stops counted last."""
        self.collecting.take(ask.counts, self.collecting.true_time.now())
        return Done()

    def tell_last(self, until: float) -> None:
        """Tell those that collect what was counted here last; for a planned stop.

        Sent once, it was lost where this process or a collector was held up; nobody else has these
        counts, and a repetition changes nothing.

        :param until: time of the clock after which it is not sent again
        """
        counting = self.collecting.counting
        changes, windows = counting.changed_since(0)
        counts = UsageCounts(counting.box, counting.incarnation, changes, windows, 0.0)
        ask = UsageLeft(*self.peers.myself, counts)
        told: set[str] = set()
        while True:
            waiting = {one.address: one.name for one in self._collectors() if one.name not in told}
            replies = self.peers.ask_all(dict.fromkeys(waiting, ask), ASK_TIMEOUT_S)
            told |= {waiting[address] for address in replies}
            unanswered = set(waiting.values()) - told
            if not unanswered or self.peers.clock.now() >= until:
                break
            time.sleep(TURN_LEAST_S)
        log_state(
            "usage_left", told=sorted(told), unanswered=sorted(unanswered), changes=counts.changes
        )

    def _collectors(self) -> list[Member]:
        """Return the other gateways that collect."""
        names = {self.holding.holder(), *succession_order(self._names())[:COLLECTORS]}
        return [one for one in self.peers.gateways() if one.name in names]

    @property
    def _me(self) -> str:
        return self.peers.member.name

    def _names(self) -> list[str]:
        listed = [one.name for one in self.peers.picture.belief.gateways()]
        return listed if self._me in listed else [*listed, self._me]

    def _run(self) -> None:
        self.stopped.wait(START_S)
        while not self.stopped.is_set():
            begun = self.peers.clock.now()
            self.turn()
            # Rounds stay a second apart where a gateway that is gone is waited for in each.
            self.stopped.wait(max(TURN_LEAST_S, begun + TURN_S - self.peers.clock.now()))


__all__ = ["Duties"]
