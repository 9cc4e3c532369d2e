"""Identification of callers by the configuration."""

from __future__ import annotations

import pytest

from threadramp.fleet.model import PoolShare, Route, RouteKind
from threadramp.fleet.organisations import Organisation, Organisations, digest
from threadramp.policy.callers import ANONYMOUS, UNIDENTIFIED, Caller, Denial, identify_caller

ROWS = [(b"1", Organisation("acme", (digest(b"k"),), 1))]
KNOWN = Organisations.from_rows(ROWS)
ROUTE = Route("r", "h", "/", RouteKind.REPEATABLE, (PoolShare("p", 1.0),), 1.0, 0.2, priority=4)


@pytest.mark.parametrize(
    ("organisations", "key", "public", "found"),
    [
        (None, None, False, UNIDENTIFIED),
        (None, b"k", False, UNIDENTIFIED),
        (KNOWN, b"k", False, Caller("acme", 1)),
        (KNOWN, b"other", False, Denial.UNKNOWN_KEY),
        (KNOWN, b"", False, Denial.UNKNOWN_KEY),
        (KNOWN, None, False, Denial.NO_KEY),
        (KNOWN, None, True, ANONYMOUS),
        (KNOWN, b"other", True, ANONYMOUS),
        (KNOWN, b"", True, ANONYMOUS),
        (KNOWN, b"k", True, Caller("acme", 1)),
        (Organisations(), b"k", False, Denial.UNKNOWN_KEY),
    ],
)
def test_a_caller_is_identified_by_its_key(organisations, key, public, found):
    assert identify_caller(organisations, key, public) == found


def test_the_priority_of_an_organisation_overrides_that_of_the_route():
    assert Caller("acme", 1).with_priority(ROUTE).priority == 1
    assert Caller("acme", 0).with_priority(ROUTE).priority == 0
    assert Caller("acme").with_priority(ROUTE) is ROUTE
    assert UNIDENTIFIED.with_priority(ROUTE) is ROUTE
