"""Looks through the lots in the store: takes over idle ones, removes old ones."""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING

from threadramp.lots.journal import LotMissingError, NotOwnerError
from threadramp.platform.store_model import StoreError
from threadramp.policy.routing import rendezvous
from threadramp.report.guard import start_loop
from threadramp.report.log import log_state

if TYPE_CHECKING:
    from threadramp.fleet.picture import Member
    from threadramp.lots.model import KeptHead
    from threadramp.lots.owner import LotOwner

AUDIT_S = 10.0  # how often the heads in the store are looked through; each look is a priced call
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
        self.stopped = threading.Event()

    def start(self) -> None:
        """Start looking through the lots."""
        start_loop(self._audit_loop, self.stopped)

    def _audit_loop(self) -> None:
        """Look through the heads when a gateway is gone, and from time to time.

        One that is new looks for itself and takes over what its box had.
        """
        seen: frozenset[tuple[str, str]] = frozenset()
        last = self.clock.now() - AUDIT_S
        while not self.stopped.wait(AUDIT_SOON_S):
            gateways = self._gateways_now()
            due = is_look_due(seen, gateways) or self.clock.now() - last >= AUDIT_S
            if not due:
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

    def _gateways_now(self) -> frozenset[tuple[str, str]]:
        """Return the names and incarnations of the gateways that are believed to live."""
        return frozenset((one.name, one.incarnation) for one in self.peers.live_gateways())

    def _audit(self) -> None:
        """Take over the open lots whose owner is gone and that fall to this gateway."""
        heads = self.journal.heads()
        for kept in heads:
            if kept.head.ended:
                self.owner.ended_elsewhere(kept)
        self._remove_old(heads)
        idle = [
            kept for kept in heads if not kept.head.ended and self.owned.get(kept.lot_id) is None
        ]
        if any(kept.head.owner not in self._live() for kept in idle):
            self.peers.relist_members()  # a gateway that just started may not be seen yet
        live = self._live()
        for kept in idle:
            if heir_of(kept, live) != self.peers.member.name:
                continue
            try:
                self.owner.take_over(kept)
            except (NotOwnerError, LotMissingError) as error:
                log_state("not_adopted", lot=kept.lot_id, error=str(error))

    def _remove_old(self, heads: list[KeptHead]) -> None:
        """Remove the lots that fall to this gateway and that nobody may ask for any more."""
        limit = self.clock.time_of_day() - self.kept_s
        names = sorted(self._live())
        for kept in heads:
            mine = rendezvous(kept.lot_id, names)[0] == self.peers.member.name
            if not mine or not kept.head.ended or kept.head.handed_in > limit:
                continue
            try:
                self.journal.remove(kept)
            except StoreError as error:
                log_state("lot_not_removed", lot=kept.lot_id, error=str(error))
                continue
            self.owned.remove(kept.lot_id)
            log_state("lot_removed", lot=kept.lot_id, revision=kept.revision)

    def _live(self) -> dict[str, Member]:
        """Return the gateways that are believed to live, this one among them, by name."""
        return {one.name: one for one in self.peers.live_gateways()}


def is_look_due(seen: frozenset[tuple[str, str]], gateways: frozenset[tuple[str, str]]) -> bool:
    """Return whether lots may lie idle that did not before.

    In a stop of 20 gateways in turn each looked at each start of another as well: 632 calls.

    :param seen: names and incarnations of the gateways at the last look
    """
    return bool(seen - gateways)


def heir_of(kept: KeptHead, live: dict[str, Member]) -> str:
    """Return the gateway that a lot falls to: its owner's box while a gateway lives there."""
    if kept.head.owner in live:
        return kept.head.owner
    return rendezvous(kept.lot_id, sorted(live))[0]


__all__ = ["LotAudit", "heir_of", "is_look_due"]
