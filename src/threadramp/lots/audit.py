"""Scans the lots in the store: takes over orphaned ones and removes expired ones."""

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

    from threadramp.fleet.fleet_view import Member
    from threadramp.lots.model import StoredHead
    from threadramp.lots.owner import LotOwner

SCAN_INTERVAL_S = 10.0  # between periodic scans; each scan is a billed call
SCANNERS = 3  # gateways that scan for the lots of one that has left, and share them
PERIODIC_SCANNERS = 6  # gateways that scan periodically, whatever the size of the fleet
SCAN_RETRY_S = 1.0  # after a failed scan
POLL_INTERVAL_S = 0.2  # several changes of the gateways within this time share one scan
RETENTION_MARGIN_S = 60.0  # added to the time for which results stay readable; clocks may differ


class LotAudit:
    """Finds lots without a live owner, and lots that are past their retention.

    :param owner: takes over the lots assigned to this gateway
    :param status_s: seconds for which the results of an ended lot stay readable
    """

    def __init__(self, owner: LotOwner, status_s: float) -> None:
        self.owner = owner
        self.owned = owner.owned
        self.journal = owner.journal
        self.peers = owner.peers
        self.clock = owner.clock
        self.retention_s = status_s + RETENTION_MARGIN_S
        self.orphans: set[tuple[str, int]] = set()
        self.stopped = threading.Event()

    def start(self) -> None:
        """Start scanning the lots."""
        start_loop(self._scan_loop, self.stopped)

    def _scan_loop(self) -> None:
        """Scan the heads when a gateway has left, and periodically.

        A new gateway scans at its start, which takes over the lots of the previous process on its
        box.
        """
        seen: frozenset[tuple[str, str]] = frozenset()
        last = float("-inf")
        while not self.stopped.wait(POLL_INTERVAL_S):
            self._forget_expired()
            gateways = self._live_incarnations()
            if not self._is_due(seen, gateways, last):
                seen = gateways
                continue
            if self.owner.leaving or not self.peers.fleet_view.members.is_loaded:
                continue
            try:
                self._scan()
            except StoreError as error:
                log_state("audit_failed", error=str(error))
                self.stopped.wait(SCAN_RETRY_S)
                continue
            seen = gateways
            last = self.clock.now()

    def _is_due(
        self,
        seen: frozenset[tuple[str, str]],
        gateways: frozenset[tuple[str, str]],
        last: float,
    ) -> bool:
        """Return whether to scan now: at the start, when a gateway has left, or periodically.

        :param seen: gateways at the last scan
        :param last: time of the last scan
        """
        name = self.peers.member.name
        since_s = self.clock.now() - last
        if since_s == math.inf or is_scan_due(seen, gateways, name):
            return True
        return since_s >= SCAN_INTERVAL_S and name in periodic_scanners(one for one, _ in gateways)

    def _live_incarnations(self) -> frozenset[tuple[str, str]]:
        """Return the names and incarnations of the gateways considered live."""
        return frozenset((one.name, one.incarnation) for one in self.peers.live_gateways())

    def _scan(self) -> None:
        """Take over the orphaned lots assigned to this gateway."""
        heads = self.journal.list_heads()
        for stored in heads:
            if stored.head.ended:
                self.owner.apply_end(stored)
        self._remove_expired(heads)
        candidates = [
            stored
            for stored in heads
            if not stored.head.ended and self.owned.get(stored.lot_id) is None
        ]
        if any(stored.head.owner not in self._live_by_name() for stored in candidates):
            self.peers.reload_members()  # a gateway that has just started may not be known yet
        live = self._live_by_name()
        orphans = {
            (stored.lot_id, stored.revision)
            for stored in candidates
            if stored.head.owner not in live
        }
        still_orphaned, self.orphans = self.orphans & orphans, orphans
        for stored in candidates:
            # Orphaned since the last scan: the gateways that should take it over did not see it.
            is_still_orphaned = (stored.lot_id, stored.revision) in still_orphaned
            if not is_still_orphaned and successor_of(stored, live) != self.peers.member.name:
                continue
            try:
                self.owner.take_over(stored)
            except (NotOwnerError, LotMissingError) as error:
                log_state("lot_take_over_failed", lot=stored.lot_id, error=str(error))

    def _remove_expired(self, heads: list[StoredHead]) -> None:
        """Remove the expired lots that this gateway is responsible for."""
        limit = self.clock.time_of_day() - self.retention_s
        scanners = periodic_scanners(self._live_by_name())
        for stored in heads:
            is_responsible = rendezvous(stored.lot_id, scanners)[0] == self.peers.member.name
            if not is_responsible or not stored.head.ended or stored.head.submitted_at > limit:
                continue
            try:
                is_removed = self.journal.remove(stored)
            except StoreError as error:
                log_state("lot_not_removed", lot=stored.lot_id, error=str(error))
                continue
            if not is_removed:
                continue
            self.owned.remove(stored.lot_id)
            log_state("lot_removed", lot=stored.lot_id, revision=stored.revision)

    def _forget_expired(self) -> None:
        """Drop the expired lots of this gateway from its memory; readers then go to the store.

        Another gateway may be the one that removes them from the store.
        """
        limit = self.clock.time_of_day() - self.retention_s
        with self.owned.lock:
            expired = [
                lot_id
                for lot_id, owned in self.owned.lots.items()
                if owned.tracker.ended and owned.stored.head.submitted_at <= limit
            ]
        for lot_id in expired:
            self.owned.remove(lot_id)
            log_state("lot_forgotten", lot=lot_id)

    def _live_by_name(self) -> dict[str, Member]:
        """Return the gateways considered live by name, including this one."""
        return {one.name: one for one in self.peers.live_gateways()}


def is_scan_due(
    seen: frozenset[tuple[str, str]], gateways: frozenset[tuple[str, str]], name: str
) -> bool:
    """Return whether lots may have been orphaned that this gateway has to look for.

    A scan is a billed call. When every gateway scanned, 58 gateways made 58 scans for each gateway
    that left, and 290 periodic scans on a quiet day.

    :param seen: names and incarnations of the gateways at the last scan
    :param name: of this gateway
    """
    live = [one for one, _ in gateways]
    lost = {one for one, _ in seen - gateways}
    return any(name in scanners_for(one, live) for one in lost)


def scanners_for(lost: str, live: Iterable[str]) -> list[str]:
    """Return the gateways that scan for the lots of one that has left, and that may take them over.

    :param live: names of the gateways considered live
    """
    return rendezvous(lost, sorted(set(live) - {lost}))[:SCANNERS]


def periodic_scanners(live: Iterable[str]) -> list[str]:
    """Return the gateways that scan periodically.

    They find what the scans for a gateway that left have missed, and remove expired lots.

    :param live: names of the gateways considered live
    """
    # The hash key decides which gateways scan: gateways of all versions must use the same one.
    return rendezvous("regular looks", sorted(live))[:PERIODIC_SCANNERS]


def successor_of(stored: StoredHead, live: dict[str, Member]) -> str:
    """Return the gateway to take over a lot: its owner's box if a gateway is live there."""
    if stored.head.owner in live:
        return stored.head.owner
    return rendezvous(stored.lot_id, scanners_for(stored.head.owner, live))[0]


__all__ = ["LotAudit", "is_scan_due", "periodic_scanners", "scanners_for", "successor_of"]
