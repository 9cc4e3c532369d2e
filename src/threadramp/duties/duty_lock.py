"""The lock for the fleet's duties, as one gateway sees it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from threadramp.fleet.fenced_lock import FencedLock, decode_lock_record
from threadramp.fleet.fleet_view import DUTIES_KEY

if TYPE_CHECKING:
    from collections.abc import Callable

    from threadramp.fleet.clock import Clock
    from threadramp.fleet.fleet_view import FleetView
    from threadramp.platform.store import StoreClient


class DutyLock:
    """The lock for the duties at one gateway.

    Its key has the prefix of the member list, so that all gateways know the holder without a call
    to the store.

    A call of one holder is given up long before the next holder makes its first (``duty_calls``),
    so the takeover delay alone keeps the calls of two holders apart.

    :param box: name of this gateway
    :param takeover_delay_s: two holders may not make alternating calls within this time
    :param may_take: whether this gateway may take the lock from another one
    """

    def __init__(
        self,
        fleet_view: FleetView,
        store: StoreClient,
        box: str,
        takeover_delay_s: float,
        clock: Clock,
        may_take: Callable[[str | None], bool],
    ) -> None:
        self.fleet_view = fleet_view
        self.box = box
        # Work under the lock is verified by a conditional write of its own, or by reading the lock.
        self.lock = FencedLock(store, DUTIES_KEY, box, takeover_delay_s, clock, may_take)

    def holder(self) -> str:
        """Return the holder of the lock as known to this gateway, empty if there is none."""
        item = self.fleet_view.members.snapshot().get(DUTIES_KEY)
        held = decode_lock_record(item.value) if item is not None else None
        return held.holder if held is not None else ""

    def cached_token(self) -> int:
        """Return the fencing token, 0 if the lock may not be used now."""
        if self.lock.fencing_token and self.holder() not in ("", self.box):
            self.lock.invalidate()  # or the member list does not show this holder yet
        return self.lock.cached_token()

    def is_held_here(self) -> bool:
        """Return whether this gateway holds the lock, as far as it knows."""
        return self.holder() == self.box


__all__ = ["DutyLock"]
