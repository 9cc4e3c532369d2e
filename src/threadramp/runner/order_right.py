"""The right to order an engine, of which one process at a time is the holder."""

from __future__ import annotations

from typing import TYPE_CHECKING

from threadramp.fleet.fenced_lock import VERIFICATION_TTL_S, FencedLock

if TYPE_CHECKING:
    from collections.abc import Callable

    from threadramp.fleet.clock import Clock
    from threadramp.platform.store import StoreClient

RIGHT_PREFIX = "engine/"
# In which an order that left just before its proof was too old reaches the engine or is dropped:
# its box's kernel gives it up, also where the process stands still or has ended.
ARRIVAL_S = 1.0
# Beyond the time in which two holders may not give orders in turns.
HAND_OVER_MARGIN_S = VERIFICATION_TTL_S + ARRIVAL_S


def order_right(
    store: StoreClient,
    engine: str,
    holder: str,
    apart_s: float,
    clock: Clock,
    may_take: Callable[[], bool] = lambda: True,
) -> FencedLock:
    """Return the right of one process to order one engine.

    :param engine: its address
    :param apart_s: holders may not give orders in turns within this time
    :param may_take: whether it may be taken from another holder, or where nobody holds it
    """
    wait_s = apart_s + HAND_OVER_MARGIN_S
    return FencedLock(store, RIGHT_PREFIX + engine, holder, wait_s, clock, lambda _: may_take())


__all__ = ["ARRIVAL_S", "HAND_OVER_MARGIN_S", "RIGHT_PREFIX", "order_right"]
