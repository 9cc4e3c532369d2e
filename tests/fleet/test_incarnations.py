"""Starts of endpoints: the same id may come back knowing nothing of before.

An older start that is told late, by a peer, a delayed watch or a last write of its own, never takes
the place of a newer one.
"""

from __future__ import annotations

import pytest

from tests.entries import entry
from threadramp.fleet.fleet_view import FleetView
from threadramp.fleet.model import Endpoint, Incarnation, newest_by_address
from threadramp.platform.store_model import Changes, Listing, Removal

PLACE = "10.0.0.1:80"


@pytest.fixture
def fleet_view() -> FleetView:
    return FleetView()


def tell(fleet_view: FleetView, revision: int, **fields) -> None:
    item = entry(fields.pop("instance", "i-1"), PLACE, revision, **fields)
    fleet_view.endpoints.apply(Changes((item,), (), revision), 0.0)


def starts(fleet_view: FleetView) -> list[Incarnation]:
    return [one.incarnation for one in fleet_view.snapshot.endpoints.values()]


def endpoint(instance: str, revision: int, born: int = 0) -> Endpoint:
    return Endpoint(instance, "p", PLACE, "a", 6, revision=revision, born=born)


def test_the_same_id_with_another_birth_is_another_start(fleet_view):
    tell(fleet_view, 5, born=1000)
    tell(fleet_view, 6, born=2000)
    assert starts(fleet_view) == [Incarnation("i-1", 2000)]


def test_an_older_start_that_writes_late_changes_nothing(fleet_view):
    tell(fleet_view, 5, born=2000)
    tell(fleet_view, 6, born=1000, state="draining")
    assert starts(fleet_view) == [Incarnation("i-1", 2000)]
    assert not fleet_view.snapshot.endpoints["i-1"].leaving


def test_an_older_start_that_writes_behind_the_end_of_the_newer_names_nobody(fleet_view):
    tell(fleet_view, 5, born=2000)
    fleet_view.endpoints.apply(Changes((), (Removal("servers/i-1", 6),), 6), 0.0)
    tell(fleet_view, 7, born=1000)
    assert starts(fleet_view) == []


def test_an_older_list_of_a_peer_brings_no_older_start_back(fleet_view):
    tell(fleet_view, 5, born=1000)
    tell(fleet_view, 9, born=2000)
    fleet_view.endpoints.replace(Listing((entry("i-1", PLACE, 5, born=1000),), 5), 0.0)
    assert starts(fleet_view) == [Incarnation("i-1", 2000)]


def test_of_two_at_one_address_the_one_that_started_later_counts():
    late_write = [endpoint("i-old", 9, born=1000), endpoint("i-new", 5, born=2000)]
    assert list(newest_by_address(late_write)) == ["i-new"]
    assert list(newest_by_address(reversed(late_write))) == ["i-new"]


def test_where_one_does_not_tell_its_birth_the_entry_that_changed_last_counts():
    rows = [endpoint("i-old", 5, born=3000), endpoint("i-new", 9)]
    assert list(newest_by_address(rows)) == ["i-new"]
