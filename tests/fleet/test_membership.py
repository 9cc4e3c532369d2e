"""A process's entry in the member list, tested with the stand-in of the store."""

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
    membership.run_once()
    assert list(platform_store.data) == ["member/side-1"]
    assert lease_length(platform_store, membership) >= 3 * membership.renewal_interval_s()


def test_a_longer_pause_between_renewals_asks_for_a_longer_lease_first(membership, platform_store):
    """Otherwise the entry would expire before the next renewal."""
    membership.run_once()
    membership.renew_s = lambda: 9.0
    assert membership.renewal_interval_s() < 1.0
    membership.run_once()
    assert membership.renewal_interval_s() == 9.0
    assert lease_length(platform_store, membership) >= 27.0
    assert platform_store.data["member/side-1"].lease == membership.lease


def test_an_entry_that_was_removed_is_written_again(membership, platform_store):
    membership.run_once()
    platform_store.faults["revoke"] = True
    platform_store.faults_changed()
    assert platform_store.data == {}
    membership.mark_unlisted()
    membership.run_once()
    assert list(platform_store.data) == ["member/side-1"]


def test_an_expired_lease_is_granted_again(membership, platform_store):
    membership.run_once()
    with platform_store.lock:
        platform_store.leases[membership.lease] = (time.monotonic() - 1.0, 3.0)
    membership.run_once()
    assert list(platform_store.data) == ["member/side-1"]
    assert lease_length(platform_store, membership) >= 3.0


def test_leaving_removes_the_entry(membership, platform_store):
    membership.run_once()
    membership.leave()
    assert platform_store.data == {}
