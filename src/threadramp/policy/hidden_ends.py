"""Whether an endpoint ended whose port goes on taking connections, without I/O, without a clock.

A front takes and breaks connections while its endpoint is down; a full queue, a cut and a link that
flaps show parts of the same. So a break is held against a request for a while only if the endpoint
was sound when the request began there, broke all that was open, and breaks what is new. What is
held is settled by the birth that the endpoint tells once it answers: another one proves the end,
and the same one, or none, takes back what was held.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from itertools import chain
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator

    from threadramp.fleet.model import Incarnation

# A request that is broken as fast as a connection on which nothing is asked was not begun: a full
# queue does that, and a front whose endpoint was down before. A thread may wait for a processor.
BEGUN_S = 0.01
# Endpoints are back after 1 to 3 s, and the users allow 3 s from the third crash until it is known.
# An endpoint that was not down at all answers the first look.
LOOKS_S = (0.1,) + (0.25,) * 20
LATER_LOOKS_S = (2.0,) * 30  # for those that are away for long
BIRTHS_MOST = 1024
CLOCK_SKEW_S = 5.0  # a birth is told by another box's clock
# An endpoint that tells no birth names its next start by an entry alone, which comes a little after
# its first answer.
ENTRY_DELAY_S = 3.0
MS_PER_S = 1000.0


class Settlement(Enum):
    """What became of an endpoint that may have ended."""

    ENDED = "ended"
    LIVES = "lives"
    OPEN = "open"


@dataclass(frozen=True)
class Break:
    """An endpoint that broke a connection while it owed an answer, and breaks new ones as well.

    :param lived_s: seconds from the sending of the request until the break
    :param look_s: seconds after which a connection broke on which nothing was asked
    :param kept: whether it was a kept connection, which the endpoint had taken before
    :param others_go_on: whether other requests of this process are still open there, or have an
        answer since
    :param known_before: whether it was said to have ended before the request was sent
    """

    lived_s: float
    look_s: float
    kept: bool = False
    others_go_on: bool = False
    known_before: bool = False

    @property
    def was_begun(self) -> bool:
        """Return whether the endpoint had taken the request, as far as its time tells."""
        return self.kept or self.lived_s >= self.look_s + BEGUN_S


def may_have_ended(seen: Break) -> bool:
    """Return whether the break is held against the request until it is settled."""
    return seen.was_begun and not seen.others_go_on and not seen.known_before


def settlement(known: int, told: int | None, broke_at: float = float("inf")) -> Settlement:
    """Return what became of an endpoint that may have ended.

    :param known: birth of the start that may have ended, 0 if it is not known
    :param told: birth that it tells now, 0 if it answers without one, none if it does not answer
    :param broke_at: when it broke, in seconds since the epoch
    """
    if told is None or 0 < told < known:  # the older one can not come from after the break
        return Settlement.OPEN
    if not known and told / MS_PER_S > broke_at - CLOCK_SKEW_S:
        return Settlement.ENDED
    return Settlement.ENDED if 0 < known < told else Settlement.LIVES


def looks() -> Iterator[float]:
    """Yield the pauses before each look at an endpoint that may have ended."""
    return chain(LOOKS_S, LATER_LOOKS_S)


class Births:
    """The newest births that are known of endpoints whose entries do not tell them."""

    def __init__(self) -> None:
        self.newest: dict[str, int] = {}

    def note(self, instance: str, born: int) -> None:
        """Note a birth that an endpoint told."""
        if born > self.newest.get(instance, 0):
            self.newest.pop(instance, None)
            self.newest[instance] = born
        while len(self.newest) > BIRTHS_MOST:
            del self.newest[next(iter(self.newest))]

    def current(self, start: Incarnation) -> Incarnation:
        """Return the start that is current where an entry names one."""
        born = self.newest.get(start.instance, 0)
        return start._replace(born=born) if born > start.born else start


__all__ = [
    "ENTRY_DELAY_S",
    "Births",
    "Break",
    "Settlement",
    "looks",
    "may_have_ended",
    "settlement",
]
