"""The right to order an engine, of which one process at a time is the holder."""

from __future__ import annotations

from typing import TYPE_CHECKING

from threadramp.fleet.rights import Right

if TYPE_CHECKING:
    from collections.abc import Callable

    from threadramp.fleet.clock import Clock
    from threadramp.platform.store import StoreClient

RIGHT_PREFIX = "engine/"
# Beyond the time in which two holders may not give orders in turns: for a call to the store that
# the holder before had made to see that it holds the right, and an order on its way.
HAND_OVER_MARGIN_S = 2.0


def order_right(
    store: StoreClient,
    engine: str,
    holder: str,
    apart_s: float,
    clock: Clock,
    is_sure: Callable[[], bool] = lambda: False,
    may_take: Callable[[], bool] = lambda: True,
) -> Right:
    """Return the right of one process to order one engine.

    :param engine: its address
    :param apart_s: holders may not give orders in turns within this time
    :param may_take: whether it may be taken from another holder, or where nobody holds it
    """
    wait_s = apart_s + HAND_OVER_MARGIN_S
    key = RIGHT_PREFIX + engine
    return Right(store, key, holder, wait_s, clock, is_sure, lambda _: may_take())


__all__ = ["HAND_OVER_MARGIN_S", "RIGHT_PREFIX", "order_right"]
