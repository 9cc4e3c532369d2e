"""Decides when the results of a lot are written to the store, which makes them listed.

Each write is a billed call to the store, and a trainer continues only once it has the complete
groups that it waits for. Listing results earlier gains nothing. Listing them after the lot is due,
or after the last missing group, delays the trainer by that time.
"""

from __future__ import annotations

from dataclasses import dataclass

from threadramp.config.registry import Registry

LISTINGS: Registry[type[ListingPolicy]] = Registry()
BATCH_WAIT_S = 0.3  # a result that completes no group waits this long for others
# Results wait this long while the trainer does not need them yet. A lost box loses its unwritten
# results: up to a second of short samples; long samples are saved while they run.
GATHER_S = 1.0
# Time before the lot is due from which results are written at once. A write takes 5 ms, some tenths
# of a second if the store is busy, and trainers read twice a second.
DUE_MARGIN_S = 1.2


@dataclass(frozen=True)
class PendingResults:
    """The results of one lot that are not written yet.

    :param oldest_at: time at which the first of these results arrived
    :param completes_group: whether any of them completes its group
    :param complete_groups: number of complete groups, including these results
    :param wanted_groups: number of complete groups that the trainer waits for, 0 if unknown
    :param due: time at which the lot is due
    """

    oldest_at: float
    completes_group: bool
    complete_groups: int
    wanted_groups: int
    due: float


class ListingPolicy:
    """Base of the listing policies."""

    def is_due(self, pending: PendingResults, now: float) -> bool:
        """Return whether the results are written now."""
        raise NotImplementedError


@LISTINGS.register("at_once")
class ImmediateListing(ListingPolicy):
    """Writes each group as soon as it is complete, other results after a short wait."""

    def is_due(self, pending: PendingResults, now: float) -> bool:
        """Return whether the results are written now."""
        return pending.completes_group or pending.oldest_at <= now - BATCH_WAIT_S


@LISTINGS.register("as_needed")
class DeferredListing(ImmediateListing):
    """Batches results until the trainer's groups are complete or the lot is nearly due."""

    def is_due(self, pending: PendingResults, now: float) -> bool:
        """Return whether the results are written now."""
        is_needed = not pending.wanted_groups or pending.complete_groups >= pending.wanted_groups
        if is_needed or now >= pending.due - DUE_MARGIN_S:
            return super().is_due(pending, now)
        return pending.oldest_at <= now - GATHER_S


__all__ = [
    "BATCH_WAIT_S",
    "DUE_MARGIN_S",
    "GATHER_S",
    "LISTINGS",
    "ListingPolicy",
    "PendingResults",
]
