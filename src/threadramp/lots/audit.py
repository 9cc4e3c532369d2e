"""Looks through the lots in the store: takes over idle ones, removes old ones."""

from __future__ import annotations

import math
import threading
from typing import TYPE_CHECKING

from threadramp.lots.journal import LotMissingError, NotOwnerError
from threadramp.platform.store_model import StoreError
from threadramp.policy.routing import rendezvous
from threadramp.report.guard import start_loop
from threadramp.report.log import log_state

if TYPE_CHECKING:
    from collections.abc import Iterable

    from threadramp.fleet.picture import Member
    from threadramp.lots.model import StoredHead
    from threadramp.lots.owner import LotOwner

AUDIT_S = 10.0  # how often the heads in the store are looked through; each look is a priced call
LOOKERS = 3  # gateways that look for the lots of one that is gone, and share them
REGULAR_LOOKERS = 6  # gateways that look regularly, however many there are
AUDIT_AGAIN_S = 1.0  # after a look that failed
AUDIT_SOON_S = 0.2  # after the gateways changed, so that several changes are looked at together
KEPT_MARGIN_S = 60.0  # beyond the time for which results stay readable; clocks may differ


class LotAudit:
    """Finds lots without a living owner, and lots that nobody may ask for any more.

    :param owner: takes over what falls to this gateway
    :param status_s: seconds for which the results of an ended lot stay readable
    """

    def __init__(self, owner: LotOwner, status_s: float) -> None:
        self.owner = owner
        self.owned = owner.owned
        self.journal = owner.journal
        self.peers = owner.peers
        self.clock = owner.clock
        self.kept_s = status_s + KEPT_MARGIN_S
        self.orphans: set[tuple[str, int]] = set()
        self.stopped = threading.Event()

    def start(self) -> None:
        """Start looking through the lots."""
        start_loop(self._audit_loop, self.stopped)

    def _audit_loop(self) -> None:
        """Look through the heads when a gateway is gone, and from time to time.

        One that is new looks for itself and takes over what its box had.
        """
        seen: frozenset[tuple[str, str]] = frozenset()
        last = float("-inf")
        while not self.stopped.wait(AUDIT_SOON_S):
            gateways = self._gateways_now()
            if not self._is_due(seen, gateways, last):
                seen = gateways
                continue
            if self.owner.leaving or not self.peers.picture.members.known:
                continue
            try:
                self._audit()
            except StoreError as error:
                log_state("audit_failed", error=str(error))
                self.stopped.wait(AUDIT_AGAIN_S)
                continue
            seen = gateways
            last = self.clock.now()

    def _is_due(
        self,
        seen: frozenset[tuple[str, str]],
        gateways: frozenset[tuple[str, str]],
        last: float,
    ) -> bool:
        """Return whether to look now: at the start, when a gateway is gone, or regularly.

        :param seen: at the last look
        :param last: time of the last look
        """
        name = self.peers.member.name
        since_s = self.clock.now() - last
        if since_s == math.inf or is_look_due(seen, gateways, name):
            return True
        return since_s >= AUDIT_S and name in regular_lookers(one for one, _ in gateways)

    def _gateways_now(self) -> frozenset[tuple[str, str]]:
        """Return the names and incarnations of the gateways that are believed to live."""
        return frozenset((one.name, one.incarnation) for one in self.peers.live_gateways())

    def _audit(self) -> None:
        """Take over the open lots whose owner is gone and that fall to this gateway."""
        heads = self.journal.heads()
        for stored in heads:
            if stored.head.ended:
                self.owner.apply_end(stored)
        self._remove_old(heads)
        idle = [
            stored
            for stored in heads
            if not stored.head.ended and self.owned.get(stored.lot_id) is None
        ]
        if any(stored.head.owner not in self._live() for stored in idle):
            self.peers.relist_members()  # a gateway that just started may not be seen yet
        live = self._live()
        orphans = {
            (stored.lot_id, stored.revision) for stored in idle if stored.head.owner not in live
        }
        left, self.orphans = self.orphans & orphans, orphans
        for stored in idle:
            # An orphan since the last look: those that it falls to did not see it.
            is_left = (stored.lot_id, stored.revision) in left
            if not is_left and heir_of(stored, live) != self.peers.member.name:
                continue
            try:
                self.owner.take_over(stored)
            except (NotOwnerError, LotMissingError) as error:
                log_state("not_adopted", lot=stored.lot_id, error=str(error))

    def _remove_old(self, heads: list[StoredHead]) -> None:
        """Remove the lots that fall to this gateway and that nobody may ask for any more."""
        limit = self.clock.time_of_day() - self.kept_s
        lookers = regular_lookers(self._live())
        for stored in heads:
            mine = rendezvous(stored.lot_id, lookers)[0] == self.peers.member.name
            if not mine or not stored.head.ended or stored.head.submitted_at > limit:
                continue
            try:
                is_gone = self.journal.remove(stored)
            except StoreError as error:
                log_state("lot_not_removed", lot=stored.lot_id, error=str(error))
                continue
            if not is_gone:
                continue
            self.owned.remove(stored.lot_id)
            log_state("lot_removed", lot=stored.lot_id, revision=stored.revision)

    def _live(self) -> dict[str, Member]:
        """Return the gateways that are believed to live, this one among them, by name."""
        return {one.name: one for one in self.peers.live_gateways()}


def is_look_due(
    seen: frozenset[tuple[str, str]], gateways: frozenset[tuple[str, str]], name: str
) -> bool:
    """Return whether lots may lie idle that did not before, and fall to this gateway.

    A look is a priced call: where all looked, 58 gateways made 58 at each one that went, and 290 in
    the regular looks of a calm day.

    :param seen: names and incarnations of the gateways at the last look
    :param name: of this gateway
    """
    live = [one for one, _ in gateways]
    gone = {one for one, _ in seen - gateways}
    return any(name in lookers_for(one, live) for one in gone)


def lookers_for(gone: str, live: Iterable[str]) -> list[str]:
    """Return the gateways that look for the lots of one that is gone, and that they fall to.

    :param live: names of the gateways that are believed to live
    """
    return rendezvous(gone, sorted(set(live) - {gone}))[:LOOKERS]


def regular_lookers(live: Iterable[str]) -> list[str]:
    """Return the gateways that look regularly.

    They find what no look for a gateway that went has found, and remove what is old.

    :param live: names of the gateways that are believed to live
    """
    return rendezvous("regular looks", sorted(live))[:REGULAR_LOOKERS]


def heir_of(stored: StoredHead, live: dict[str, Member]) -> str:
    """Return the gateway that a lot falls to: its owner's box while a gateway lives there."""
    if stored.head.owner in live:
        return stored.head.owner
    return rendezvous(stored.lot_id, lookers_for(stored.head.owner, live))[0]


__all__ = ["LotAudit", "heir_of", "is_look_due", "lookers_for", "regular_lookers"]
