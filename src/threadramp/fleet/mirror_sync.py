"""What gateways tell each other of the store: changes at once, whole copies where one is behind."""

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


ALL_SEEN = 2**62  # a revision beyond all
TOLD_MOST_S = 3600.0  # what was shown longer ago is not worth telling


class MirrorSync:
    """Gives and takes copies of one gateway's mirrors."""

    def __init__(self, fleet_view: FleetView, health: StoreHealth, clock: Clock) -> None:
        self.fleet_view = fleet_view
        self.health = health
        self.clock = clock

    def revisions(self) -> dict[str, int]:
        """Return what this gateway has seen, by prefix."""
        return {one.prefix: one.revision for one in self.fleet_view.mirrors if one.is_loaded}

    def copy_for(self, ask: MirrorBeat) -> MirrorCopy:
        """Answer a gateway with what it has not seen yet."""
        items = {}
        for mirror in self.fleet_view.mirrors:
            if mirror.is_loaded and ask.revisions.get(mirror.prefix, 0) < mirror.revision:
                items[mirror.prefix] = mirror.copy().items
        revisions = self.revisions()
        return MirrorCopy(revisions, items, self.health.confirmed_ago_s(), self._current_ago_s())

    def take_over(
        self, copy: MirrorCopy, name: str = "a peer", asked_at: float = float("-inf")
    ) -> None:
        """Take over what a gateway has seen that this one has not.

        :param name: of that gateway
        :param asked_at: time at which it was asked
        """
        for mirror in self.fleet_view.mirrors:
            items = copy.items.get(mirror.prefix)
            if items is not None and copy.revisions[mirror.prefix] > mirror.revision:
                listing = Listing(items, copy.revisions[mirror.prefix])
                if mirror.replace(listing, self.clock.now(), name):
                    log_state(
                        "seen_by_peer", prefix=mirror.prefix, revision=listing.revision, peer=name
                    )
            if mirror.revision >= copy.revisions.get(mirror.prefix, ALL_SEEN):
                ago_s = copy.current_ago_s.get(mirror.prefix, float("inf"))
                mirror.was_current(asked_at - ago_s)

    def apply_changes(self, ask: MirrorChanges) -> None:
        """Take over changes that a watcher has just seen, unless some before them are missing."""
        mirror = self._mirror(ask.prefix)
        if mirror is None or not mirror.is_loaded or ask.revision <= mirror.revision:
            return
        if mirror.revision < ask.after:
            log_state("changes_missed", prefix=ask.prefix, has=mirror.revision, after=ask.after)
            return  # the next beat brings a whole copy
        changes = Changes(ask.items, ask.removals, ask.revision)
        mirror.apply(changes, self.clock.now(), ask.sender)

    def _current_ago_s(self) -> dict[str, float]:
        """Return how long ago each mirror was shown to be current, those alone that were."""
        now = self.clock.now()
        rows = {
            one.prefix: now - one.current_at for one in self.fleet_view.mirrors if one.is_loaded
        }
        return {prefix: ago_s for prefix, ago_s in rows.items() if ago_s < TOLD_MOST_S}

    def _mirror(self, prefix: str) -> Mirror | None:
        return next((one for one in self.fleet_view.mirrors if one.prefix == prefix), None)


__all__ = ["MirrorSync"]
