"""Incarnations of endpoints: an instance id may come back without its earlier state.

An older incarnation that is reported late, by a peer, a delayed watch or its own last write, never
replaces a newer one.
"""

from __future__ import annotations

import pytest

from tests.entries import entry
from threadramp.fleet.fleet_view import FleetView
from threadramp.fleet.model import Endpoint, Incarnation, newest_per_address
from threadramp.platform.store_model import Changes, Listing, Removal

ADDRESS = "10.0.0.1:80"


@pytest.fixture
def fleet_view() -> FleetView:
    return FleetView()


def write_entry(fleet_view: FleetView, revision: int, **fields) -> None:
    item = entry(fields.pop("instance", "i-1"), ADDRESS, revision, **fields)
    fleet_view.endpoints.apply(Changes((item,), (), revision), 0.0)


def incarnations(fleet_view: FleetView) -> list[Incarnation]:
    return [one.incarnation for one in fleet_view.snapshot.endpoints.values()]


def endpoint(instance: str, revision: int, born: int = 0) -> Endpoint:
    return Endpoint(instance, "p", ADDRESS, "a", 6, revision=revision, born=born)


def test_the_same_id_with_another_start_time_is_another_incarnation(fleet_view):
    write_entry(fleet_view, 5, born=1000)
    write_entry(fleet_view, 6, born=2000)
    assert incarnations(fleet_view) == [Incarnation("i-1", 2000)]


def test_an_older_incarnation_that_writes_late_changes_nothing(fleet_view):
    write_entry(fleet_view, 5, born=2000)
    write_entry(fleet_view, 6, born=1000, state="draining")
    assert incarnations(fleet_view) == [Incarnation("i-1", 2000)]
    assert not fleet_view.snapshot.endpoints["i-1"].leaving


def test_an_older_incarnation_that_writes_after_the_newer_ended_is_ignored(fleet_view):
    write_entry(fleet_view, 5, born=2000)
    fleet_view.endpoints.apply(Changes((), (Removal("servers/i-1", 6),), 6), 0.0)
    write_entry(fleet_view, 7, born=1000)
    assert incarnations(fleet_view) == []


def test_an_older_listing_of_a_peer_restores_no_older_incarnation(fleet_view):
    write_entry(fleet_view, 5, born=1000)
    write_entry(fleet_view, 9, born=2000)
    fleet_view.endpoints.replace(Listing((entry("i-1", ADDRESS, 5, born=1000),), 5), 0.0)
    assert incarnations(fleet_view) == [Incarnation("i-1", 2000)]


def test_of_two_at_one_address_the_one_that_started_later_counts():
    late_write = [endpoint("i-old", 9, born=1000), endpoint("i-new", 5, born=2000)]
    assert list(newest_per_address(late_write)) == ["i-new"]
    assert list(newest_per_address(reversed(late_write))) == ["i-new"]


def test_where_one_reports_no_start_time_the_entry_that_changed_last_counts():
    rows = [endpoint("i-old", 5, born=3000), endpoint("i-new", 9)]
    assert list(newest_per_address(rows)) == ["i-new"]
