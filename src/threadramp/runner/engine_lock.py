"""The lock on sending orders to an engine; one process at a time holds it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from threadramp.fleet.fenced_lock import VERIFICATION_TTL_S, FencedLock

if TYPE_CHECKING:
    from collections.abc import Callable

    from threadramp.fleet.clock import Clock
    from threadramp.platform.store import StoreClient

LOCK_PREFIX = "engine/"
# An order that is sent just before its verification expires reaches the engine or is dropped within
# this time: the kernel of the sender's box drops it, also if the process is suspended or has ended.
MAX_DELIVERY_S = 1.0
# Added to the minimum time between orders of two holders.
TAKEOVER_MARGIN_S = VERIFICATION_TTL_S + MAX_DELIVERY_S


def make_engine_lock(
    store: StoreClient,
    engine: str,
    holder: str,
    apart_s: float,
    clock: Clock,
    may_take: Callable[[], bool] = lambda: True,
) -> FencedLock:
    """Return the lock of one engine, for one process to acquire.

    :param engine: address of the engine
    :param apart_s: minimum time between orders of two holders
    :param may_take: returns whether the lock may be taken, from another holder or while it is free
    """
    wait_s = apart_s + TAKEOVER_MARGIN_S
    return FencedLock(store, LOCK_PREFIX + engine, holder, wait_s, clock, lambda _: may_take())


__all__ = ["LOCK_PREFIX", "MAX_DELIVERY_S", "TAKEOVER_MARGIN_S", "make_engine_lock"]
