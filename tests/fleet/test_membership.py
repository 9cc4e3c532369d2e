"""A process's place in the list of members, against the stand-in of the store."""

from __future__ import annotations

import time

import pytest

from threadramp.fleet.fleet_view import Member
from threadramp.fleet.membership import Membership
from threadramp.platform.store import StoreClient


@pytest.fixture
def membership(store_address) -> Membership:
    member = Member("side-1", "sidecar", "1", "127.0.0.1:1", "a", "127.0.0.1:2")
    return Membership(member, StoreClient(store_address, timeout_s=0.5), 1.0)


def lease_length(platform_store, membership: Membership) -> float:
    return platform_store.leases[membership.lease][1]


def test_it_is_listed_under_a_lease_that_outlasts_some_renewals(membership, platform_store):
    membership.turn()
    assert list(platform_store.data) == ["member/side-1"]
    assert lease_length(platform_store, membership) >= 3 * membership.pause_s()


def test_a_longer_pause_between_renewals_asks_for_a_longer_lease_first(membership, platform_store):
    """Else the place would lapse before the next renewal."""
    membership.turn()
    membership.renew_s = lambda: 9.0
    assert membership.pause_s() < 1.0
    membership.turn()
    assert membership.pause_s() == 9.0
    assert lease_length(platform_store, membership) >= 27.0
    assert platform_store.data["member/side-1"].lease == membership.lease


def test_a_place_that_was_taken_away_is_written_again(membership, platform_store):
    membership.turn()
    platform_store.faults["revoke"] = True
    platform_store.faults_changed()
    assert platform_store.data == {}
    membership.mark_unlisted()
    membership.turn()
    assert list(platform_store.data) == ["member/side-1"]


def test_a_lease_that_is_over_is_granted_anew(membership, platform_store):
    membership.turn()
    with platform_store.lock:
        platform_store.leases[membership.lease] = (time.monotonic() - 1.0, 3.0)
    membership.turn()
    assert list(platform_store.data) == ["member/side-1"]
    assert lease_length(platform_store, membership) >= 3.0


def test_leaving_takes_the_place_out(membership, platform_store):
    membership.turn()
    membership.leave()
    assert platform_store.data == {}
