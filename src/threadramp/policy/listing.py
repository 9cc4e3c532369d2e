"""When the results of a lot are written, so that they are listed.

Each write is a priced call to the store, and a trainer goes on only once it has the whole groups
that it waits for. What is listed sooner than that gains nothing; what is listed after the lot is
due, or after the last group that was missing, is late by as much.
"""

from __future__ import annotations

from dataclasses import dataclass

from threadramp.config.registry import Registry

LISTINGS: Registry[type[Listing]] = Registry()
OTHERS_S = 0.3  # a result that completes no group waits so long for others
# Results wait so long where nobody waits for them yet. A box that is lost takes those along that
# are not written: up to a second of short samples, the long ones are saved while they run.
GATHER_S = 1.0
# Before the lot is due; a write takes 5 ms, with a busy store some tenths of a second, and trainers
# read twice a second.
NEAR_S = 1.2


@dataclass(frozen=True)
class Unlisted:
    """What waits to be written of one lot.

    :param oldest_at: time at which the first of the results was there
    :param completes: whether any of them completes its group
    :param whole: groups that are whole with these results
    :param wanted: whole groups that the trainer waits for, 0 if it did not say
    :param due: time at which the lot is due
    """

    oldest_at: float
    completes: bool
    whole: int
    wanted: int
    due: float


class Listing:
    """Base of the ways."""

    def is_due(self, unlisted: Unlisted, now: float) -> bool:
        """Return whether it is written now."""
        raise NotImplementedError


@LISTINGS.register("at_once")
class AtOnce(Listing):
    """Each whole group as it is whole, other results after a moment."""

    def is_due(self, unlisted: Unlisted, now: float) -> bool:
        """Return whether it is written now."""
        return unlisted.completes or unlisted.oldest_at <= now - OTHERS_S


@LISTINGS.register("as_needed")
class AsNeeded(AtOnce):
    """Gathered, until the trainer has what it waits for or the lot is nearly due."""

    def is_due(self, unlisted: Unlisted, now: float) -> bool:
        """Return whether it is written now."""
        is_waited_for = not unlisted.wanted or unlisted.whole >= unlisted.wanted
        if is_waited_for or now >= unlisted.due - NEAR_S:
            return super().is_due(unlisted, now)
        return unlisted.oldest_at <= now - GATHER_S


__all__ = ["GATHER_S", "LISTINGS", "NEAR_S", "OTHERS_S", "Listing", "Unlisted"]
