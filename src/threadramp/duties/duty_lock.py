"""Who holds the fleet's duties, as one gateway sees it, and its own right to them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from threadramp.fleet.picture import DUTIES_KEY
from threadramp.fleet.rights import Right, read_right

if TYPE_CHECKING:
    from collections.abc import Callable

    from threadramp.fleet.clock import Clock
    from threadramp.fleet.picture import Picture
    from threadramp.platform.store import StoreClient


class DutyLock:
    """The right to the duties at one gateway.

    Its key lies beside the list of members, so that all gateways know who holds it without a call.

    A call of one holder is given up long before the next one makes its first (``duty_calls``), so
    the wait between them is the time alone in which holders may not take turns.

    :param box: name of this gateway
    :param apart_s: two holders may not make calls in turns within this time
    :param may_take: whether this gateway may take the right from another one
    """

    def __init__(
        self,
        picture: Picture,
        store: StoreClient,
        box: str,
        apart_s: float,
        clock: Clock,
        may_take: Callable[[str | None], bool],
    ) -> None:
        self.picture = picture
        self.box = box
        # What is done under it is proven by a write of its own, or by asking the store for it.
        self.lock = Right(store, DUTIES_KEY, box, apart_s, clock, may_take)

    def holder(self) -> str:
        """Return who holds the right as far as this gateway knows, empty if nobody does."""
        item = self.picture.members.snapshot().get(DUTIES_KEY)
        held = read_right(item.value) if item is not None else None
        return held.holder if held is not None else ""

    def usable_number(self) -> int:
        """Return the number of the right now, 0 if it may not be used."""
        if self.lock.number and self.holder() not in ("", self.box):
            self.lock.doubt()  # or the list of members does not show yet that it is ours
        return self.lock.usable_number()

    def is_mine(self) -> bool:
        """Return whether this gateway holds it as far as it knows."""
        return self.holder() == self.box


__all__ = ["DutyLock"]
