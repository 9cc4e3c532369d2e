"""Assigns the fleet's duties: which gateways collect data for them, and which may take them over.

No gateway is reserved for the duties. The holder of the lock keeps them while it answers. The first
gateways of the succession order collect the same data, so that it survives the loss of the holder.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from threadramp.policy.routing import rendezvous

if TYPE_CHECKING:
    from collections.abc import Collection, Sequence

DUTIES = "duties"
COLLECTORS = 2  # besides the holder: the holder and one collector may be lost at the same time
# Rounds, one second apart, without an answer until a gateway counts as gone. With the 3 s that the
# next holder waits, a window that had just ended is reported 7 to 8 s after its end, within its
# limit of 10 s; with three rounds it took 10.3 s. Taking over from a holder that answers again at
# once costs two calls.
MAX_MISSED_ROUNDS = 2


def succession_order(names: Collection[str]) -> list[str]:
    """Return gateways in the order in which they take over the duties."""
    return rendezvous(DUTIES, sorted(names))


def is_collector(me: str, holder: str, names: Collection[str]) -> bool:
    """Return whether a gateway collects the reports of the others.

    :param holder: the holder as known to this gateway, empty if there is none
    :param names: all gateways that are not known to be gone
    """
    return me == holder or me in succession_order(names)[:COLLECTORS]


def may_take_over(
    me: str, holder: str, names: Sequence[str], unanswered: dict[str, int], answered: int
) -> bool:
    """Return whether a gateway may take over the duties from a holder that is gone.

    A gateway without answers from a majority is probably cut off itself; if it took the duties
    over, they would move back and forth.

    :param names: all gateways in the member list
    :param unanswered: by gateway, the consecutive rounds in which it did not answer this one
    :param answered: number of others that answered in the last round
    """
    if holder == me:
        return False
    is_gone = not holder or holder not in names or unanswered.get(holder, 0) >= MAX_MISSED_ROUNDS
    others = len([name for name in names if name != me])
    if not is_gone or 2 * (answered + 1) < others + 1:
        return False
    alive = [
        name for name in names if name != holder and unanswered.get(name, 0) < MAX_MISSED_ROUNDS
    ]
    return succession_order({*alive, me})[0] == me


__all__ = [
    "COLLECTORS",
    "DUTIES",
    "MAX_MISSED_ROUNDS",
    "is_collector",
    "may_take_over",
    "succession_order",
]
