"""When the results of a lot are written, so that they are listed.

Each write is a priced call to the store, and a trainer goes on only once it has the whole groups
that it waits for. What is listed sooner than that gains nothing; what is listed after the lot is
due, or after the last group that was missing, is late by as much.
"""

from __future__ import annotations

from dataclasses import dataclass

from threadramp.config.registry import Registry

LISTINGS: Registry[type[ListingPolicy]] = Registry()
OTHERS_S = 0.3  # a result that completes no group waits so long for others
# Results wait so long where nobody waits for them yet. A box that is lost takes those along that
# are not written: up to a second of short samples, the long ones are saved while they run.
GATHER_S = 1.0
# Before the lot is due; a write takes 5 ms, with a busy store some tenths of a second, and trainers
# read twice a second.
NEAR_S = 1.2


@dataclass(frozen=True)
class PendingResults:
    """What waits to be written of one lot.

    :param oldest_at: time at which the first of the results was there
    :param completes_group: whether any of them completes its group
    :param complete_groups: groups that are whole with these results
    :param wanted_groups: whole groups that the trainer waits for, 0 if it did not say
    :param due: time at which the lot is due
    """

    oldest_at: float
    completes_group: bool
    complete_groups: int
    wanted_groups: int
    due: float


class ListingPolicy:
    """Base of the ways."""

    def is_due(self, unlisted: PendingResults, now: float) -> bool:
        """Return whether it is written now."""
        raise NotImplementedError


@LISTINGS.register("at_once")
class ImmediateListing(ListingPolicy):
    """Each whole group as it is whole, other results after a moment."""

    def is_due(self, unlisted: PendingResults, now: float) -> bool:
        """Return whether it is written now."""
        return unlisted.completes_group or unlisted.oldest_at <= now - OTHERS_S


@LISTINGS.register("as_needed")
class DeferredListing(ImmediateListing):
    """Gathered, until the trainer has what it waits for or the lot is nearly due."""

    def is_due(self, unlisted: PendingResults, now: float) -> bool:
        """Return whether it is written now."""
        is_waited_for = (
            not unlisted.wanted_groups or unlisted.complete_groups >= unlisted.wanted_groups
        )
        if is_waited_for or now >= unlisted.due - NEAR_S:
            return super().is_due(unlisted, now)
        return unlisted.oldest_at <= now - GATHER_S


__all__ = ["GATHER_S", "LISTINGS", "NEAR_S", "OTHERS_S", "ListingPolicy", "PendingResults"]
