"""Exchanges store contents between gateways: changes at once, copies where one lags behind."""

from __future__ import annotations

from typing import TYPE_CHECKING

from threadramp.platform.store_model import Changes, Listing
from threadramp.report.log import log_state
from threadramp.wire.fleet import MirrorBeat, MirrorChanges, MirrorCopy

if TYPE_CHECKING:
    from threadramp.fleet.clock import Clock
    from threadramp.fleet.fleet_view import FleetView
    from threadramp.fleet.mirror import Mirror
    from threadramp.fleet.store_health import StoreHealth


MAX_REVISION = 2**62  # higher than any revision of the store
MAX_REPORTED_AGE_S = 3600.0  # older confirmations are not reported


class MirrorSync:
    """Synchronises one gateway's mirrors with those of its peers."""

    def __init__(self, fleet_view: FleetView, health: StoreHealth, clock: Clock) -> None:
        self.fleet_view = fleet_view
        self.health = health
        self.clock = clock

    def revisions(self) -> dict[str, int]:
        """Return the revisions of the loaded mirrors, by prefix."""
        return {one.prefix: one.revision for one in self.fleet_view.mirrors if one.is_loaded}

    def copy_for(self, ask: MirrorBeat) -> MirrorCopy:
        """Answer a gateway with copies of the mirrors in which it lags behind."""
        items = {}
        for mirror in self.fleet_view.mirrors:
            if mirror.is_loaded and ask.revisions.get(mirror.prefix, 0) < mirror.revision:
                items[mirror.prefix] = mirror.copy().items
        revisions = self.revisions()
        return MirrorCopy(revisions, items, self.health.confirmed_ago_s(), self._current_ago_s())

    def apply_copy(
        self, copy: MirrorCopy, name: str = "a peer", asked_at: float = float("-inf")
    ) -> None:
        """Apply the copies of mirrors in which this gateway lags behind.

        :param name: name of the gateway that sent them
        :param asked_at: time at which it was asked
        """
        for mirror in self.fleet_view.mirrors:
            items = copy.items.get(mirror.prefix)
            if items is not None and copy.revisions[mirror.prefix] > mirror.revision:
                listing = Listing(items, copy.revisions[mirror.prefix])
                if mirror.replace(listing, self.clock.now(), name):
                    log_state(
                        "mirror_copied_from_peer",
                        prefix=mirror.prefix,
                        revision=listing.revision,
                        peer=name,
                    )
            if mirror.revision >= copy.revisions.get(mirror.prefix, MAX_REVISION):
                ago_s = copy.current_ago_s.get(mirror.prefix, float("inf"))
                mirror.confirm_current(asked_at - ago_s)

    def apply_changes(self, ask: MirrorChanges) -> None:
        """Apply changes that a watcher pushed, unless earlier ones are missing."""
        mirror = self._mirror(ask.prefix)
        if mirror is None or not mirror.is_loaded or ask.revision <= mirror.revision:
            return
        if mirror.revision < ask.after:
            log_state("changes_missed", prefix=ask.prefix, has=mirror.revision, after=ask.after)
            return  # the next heartbeat brings a complete copy
        changes = Changes(ask.items, ask.removals, ask.revision)
        mirror.apply(changes, self.clock.now(), ask.sender)

    def _current_ago_s(self) -> dict[str, float]:
        """Return how long ago each mirror was confirmed as current, without outdated ones."""
        now = self.clock.now()
        rows = {
            one.prefix: now - one.current_at for one in self.fleet_view.mirrors if one.is_loaded
        }
        return {prefix: ago_s for prefix, ago_s in rows.items() if ago_s < MAX_REPORTED_AGE_S}

    def _mirror(self, prefix: str) -> Mirror | None:
        return next((one for one in self.fleet_view.mirrors if one.prefix == prefix), None)


__all__ = ["MirrorSync"]
