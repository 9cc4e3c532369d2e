"""When results are written, for a lot whose groups are completed one after the other.

The workload: groups of 8 or 16 samples that are completed over some 6 s, of which the trainer waits
for nine in ten. Each write is a billed call, and writes before the last needed group gain nothing.
"""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from threadramp.policy.listing_policy import (
    BATCH_WAIT_S,
    DUE_MARGIN_S,
    GATHER_S,
    LISTINGS,
    PendingResults,
)

DUE = 7.5
TURN_S = 0.05


def writes(policy: str, completed_at: list[float], wanted: int) -> list[float]:
    """Return the times of the writes of a lot whose groups are completed at these times."""
    listing = LISTINGS[policy]()
    waiting: list[float] = []
    found = []
    now = 0.0
    left = sorted(completed_at)
    while left or waiting:
        while left and left[0] <= now:
            waiting.append(left.pop(0))
        if waiting:
            complete = len(completed_at) - len(left)
            pending = PendingResults(waiting[0], True, complete, wanted, DUE)
            if listing.is_due(pending, now):
                found.append(now)
                waiting.clear()
        now += TURN_S
    return found


SPREAD = [1.0 + 0.45 * n for n in range(12)]  # as on a calm day with lots of long samples


def test_the_last_needed_group_is_listed_as_soon_as_with_immediate_listing():
    wanted = 11
    last = SPREAD[wanted - 1]
    for policy in ("at_once", "as_needed"):
        first = min(at for at in writes(policy, SPREAD, wanted) if at >= last)
        assert first <= last + TURN_S


def test_batching_saves_nearly_half_of_the_writes():
    assert len(writes("at_once", SPREAD, 11)) == 12
    assert len(writes("as_needed", SPREAD, 11)) <= 7


@given(st.lists(st.floats(0.0, 12.0), min_size=1, max_size=20), st.integers(0, 20))
def test_batching_delays_no_needed_result(completed_at, wanted):
    """Near the due time, and once the trainer has its groups, results are listed at once."""
    found = writes("as_needed", completed_at, wanted)
    ordered = sorted(completed_at)
    for place, at in enumerate(ordered, start=1):
        listed = min(one for one in found if one >= at)
        if place >= wanted or at >= DUE - DUE_MARGIN_S:
            assert listed <= at + 2 * TURN_S
        assert listed <= at + GATHER_S + 2 * TURN_S


def test_a_result_that_completes_no_group_waits_for_others():
    listing = LISTINGS["at_once"]()
    assert not listing.is_due(PendingResults(1.0, False, 0, 3, DUE), 1.0 + BATCH_WAIT_S - 0.01)
    assert listing.is_due(PendingResults(1.0, False, 0, 3, DUE), 1.0 + BATCH_WAIT_S)


def test_without_a_number_of_wanted_groups_results_are_written_at_once():
    assert LISTINGS["as_needed"]().is_due(PendingResults(1.0, True, 1, 0, DUE), 1.0)
