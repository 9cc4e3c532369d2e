"""Who calls, by what the configuration tells."""

from __future__ import annotations

import pytest

from threadramp.fleet.model import PoolShare, Route, RouteKind
from threadramp.fleet.organisations import Organisation, Organisations, digest
from threadramp.policy.callers import ANYBODY, NOBODY, Caller, Denial, who_calls

ROWS = [(b"1", Organisation("acme", (digest(b"k"),), 1))]
KNOWN = Organisations.from_rows(ROWS)
ROUTE = Route("r", "h", "/", RouteKind.REPEATABLE, (PoolShare("p", 1.0),), 1.0, 0.2, priority=4)


@pytest.mark.parametrize(
    ("organisations", "key", "public", "found"),
    [
        (None, None, False, ANYBODY),
        (None, b"k", False, ANYBODY),
        (KNOWN, b"k", False, Caller("acme", 1)),
        (KNOWN, b"other", False, Denial.UNKNOWN_KEY),
        (KNOWN, b"", False, Denial.UNKNOWN_KEY),
        (KNOWN, None, False, Denial.NO_KEY),
        (KNOWN, None, True, NOBODY),
        (KNOWN, b"other", True, NOBODY),
        (KNOWN, b"", True, NOBODY),
        (KNOWN, b"k", True, Caller("acme", 1)),
        (Organisations(), b"k", False, Denial.UNKNOWN_KEY),
    ],
)
def test_who_calls(organisations, key, public, found):
    assert who_calls(organisations, key, public) == found


def test_the_priority_of_an_organisation_goes_before_that_of_the_route():
    assert Caller("acme", 1).ranked(ROUTE).priority == 1
    assert Caller("acme", 0).ranked(ROUTE).priority == 0
    assert Caller("acme").ranked(ROUTE) is ROUTE
    assert ANYBODY.ranked(ROUTE) is ROUTE
