"""Which gateways collect for the fleet's duties, and which one may take them over.

No one is set aside for it: the holder of the right goes on while it answers, and the gateways that
the duties fall to by their names collect beside it, so that what it knew outlasts it.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from threadramp.policy.routing import rendezvous

if TYPE_CHECKING:
    from collections.abc import Collection, Sequence

DUTIES = "duties"
COLLECTORS = 2  # beside the holder: a holder and one collector may be lost at once
# Rounds, a second apart, in which a gateway did not answer. With the 3 s for which the next holder
# waits, a window that had just ended is reported 7 to 8 s after its end, of the 10 s that it has;
# with three rounds it took 10.3 s. Taking over from one that is back at once costs two calls.
MAX_MISSED_ROUNDS = 2


def succession_order(names: Collection[str]) -> list[str]:
    """Return gateways in the order in which the duties fall to them."""
    return rendezvous(DUTIES, sorted(names))


def is_collector(me: str, holder: str, names: Collection[str]) -> bool:
    """Return whether a gateway collects what the others tell.

    :param holder: as this gateway knows it, empty if nobody is
    :param names: of all gateways that are not known to be gone
    """
    return me == holder or me in succession_order(names)[:COLLECTORS]


def may_take_over(
    me: str, holder: str, names: Sequence[str], unanswered: dict[str, int], answered: int
) -> bool:
    """Return whether a gateway may take the duties from a holder that is gone.

    One that hears few others is more likely cut off itself, and would take the duties to and fro.

    :param names: of all gateways that are listed
    :param unanswered: rounds in a row in which a gateway did not answer this one
    :param answered: others that answered the last round
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
    "succession_order",
    "may_take_over",
]
