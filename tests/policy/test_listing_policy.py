"""When results are written, for a lot whose groups become whole one after the other.

The load: groups of 8 or 16 samples that become whole over some 6 s, of which the trainer waits for
nine in ten; each write is a priced call, and what comes before the last group gains nothing.
"""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from threadramp.policy.listing_policy import GATHER_S, LISTINGS, NEAR_S, OTHERS_S, PendingResults

DUE = 7.5
TURN_S = 0.05


def writes(way: str, whole_at: list[float], wanted: int) -> list[float]:
    """Return when a lot is written whose groups are whole at these times."""
    listing = LISTINGS[way]()
    waiting: list[float] = []
    found = []
    now = 0.0
    left = sorted(whole_at)
    while left or waiting:
        while left and left[0] <= now:
            waiting.append(left.pop(0))
        if waiting:
            whole = len(whole_at) - len(left)
            unlisted = PendingResults(waiting[0], True, whole, wanted, DUE)
            if listing.is_due(unlisted, now):
                found.append(now)
                waiting.clear()
        now += TURN_S
    return found


SPREAD = [1.0 + 0.45 * n for n in range(12)]  # as on a calm day of lots with long samples


def test_the_last_group_that_is_waited_for_is_listed_as_soon_as_at_once():
    wanted = 11
    last = SPREAD[wanted - 1]
    for way in ("at_once", "as_needed"):
        first = min(at for at in writes(way, SPREAD, wanted) if at >= last)
        assert first <= last + TURN_S


def test_gathering_takes_half_of_the_writes():
    assert len(writes("at_once", SPREAD, 11)) == 12
    assert len(writes("as_needed", SPREAD, 11)) <= 7


@given(st.lists(st.floats(0.0, 12.0), min_size=1, max_size=20), st.integers(0, 20))
def test_nothing_is_late_for_having_been_gathered(whole_at, wanted):
    """By the lot's due time, and once the trainer has its groups, all is listed at once."""
    found = writes("as_needed", whole_at, wanted)
    ordered = sorted(whole_at)
    for place, at in enumerate(ordered, start=1):
        listed = min(one for one in found if one >= at)
        if place >= wanted or at >= DUE - NEAR_S:
            assert listed <= at + 2 * TURN_S
        assert listed <= at + GATHER_S + 2 * TURN_S


def test_a_result_that_completes_nothing_waits_for_others():
    listing = LISTINGS["at_once"]()
    assert not listing.is_due(PendingResults(1.0, False, 0, 3, DUE), 1.0 + OTHERS_S - 0.01)
    assert listing.is_due(PendingResults(1.0, False, 0, 3, DUE), 1.0 + OTHERS_S)


def test_a_trainer_that_does_not_say_what_it_waits_for_gets_all_at_once():
    assert LISTINGS["as_needed"]().is_due(PendingResults(1.0, True, 1, 0, DUE), 1.0)
