"""The snapshot that a gateway builds from the store's items."""

from __future__ import annotations

import msgspec
import pytest

from tests.entries import entry
from threadramp.fleet import fleet_view as fleet_view_module
from threadramp.fleet.fleet_view import FleetView, Member
from threadramp.platform.store_model import Changes, Item, Listing, Removal


@pytest.fixture
def fleet_view() -> FleetView:
    return FleetView()


def test_of_two_incarnations_at_one_address_the_newer_counts(fleet_view):
    items = (entry("i-old", "10.0.0.1:80", 3), entry("i-new", "10.0.0.1:80", 9))
    fleet_view.endpoints.replace(Listing(items, 9), 0.0)
    assert list(fleet_view.snapshot.endpoints) == ["i-new"]
    assert fleet_view.snapshot.at_address("10.0.0.1:80").instance == "i-new"


def test_what_cannot_be_read_is_left_out(fleet_view):
    items = (Item("servers/x", b"{", 3), entry("i-1", "10.0.0.1:80", 4))
    fleet_view.endpoints.replace(Listing(items, 4), 0.0)
    assert list(fleet_view.snapshot.endpoints) == ["i-1"]


def test_an_unreadable_configuration_leaves_the_one_in_force(fleet_view):
    good = Item("op/config", b'{"version":3}', 3)
    fleet_view.operator.replace(Listing((good,), 3), 0.0)
    fleet_view.operator.replace(Listing((Item("op/config", b"{", 4),), 4), 0.0)
    assert fleet_view.snapshot.configuration.version == 3


def test_members_are_told_apart_by_role(fleet_view):
    members = [
        Member("g", "gateway", "1", "a:1", "a", ""),
        Member("s", "sidecar", "2", "b:1", "a", "b:80"),
    ]
    items = tuple(Item(f"member/{one.name}", msgspec.msgpack.encode(one), 1) for one in members)
    fleet_view.members.replace(Listing(items, 1), 0.0)
    assert [one.name for one in fleet_view.snapshot.gateways()] == ["g"]
    assert [one.name for one in fleet_view.snapshot.sidecars()] == ["s"]


def test_the_newest_revision_of_any_published_version_is_kept(fleet_view):
    items = (
        Item("op/version/a", b'{"model":"a","version":5}', 100),
        Item("op/version/b", b'{"model":"b","version":3}', 110),
    )
    fleet_view.operator.replace(Listing(items, 110), 0.0)
    assert fleet_view.snapshot.targets_revision == 110
    assert {one.model: one.version for one in fleet_view.snapshot.targets} == {"a": 5, "b": 3}


def test_it_is_complete_only_with_configuration_and_endpoints(fleet_view):
    assert not fleet_view.is_complete
    fleet_view.operator.replace(Listing((Item("op/config", b'{"version":3}', 3),), 3), 0.0)
    assert not fleet_view.is_complete
    fleet_view.endpoints.replace(Listing((), 3), 0.0)
    assert fleet_view.is_complete


def test_a_deferred_removal_is_logged_once(fleet_view, monkeypatch):
    logged = []
    monkeypatch.setattr(
        fleet_view_module, "log_state", lambda what, **fields: logged.append((what, fields))
    )
    fleet_view.endpoints.replace(Listing((entry("i-1", "10.0.0.1:80", 4),), 4), 0.0)
    fleet_view.endpoints.distrust_removals(12.5)
    fleet_view.endpoints.apply(Changes((), (Removal("servers/i-1", 5),), 5), 10.0)
    fleet_view.endpoints.apply(Changes((entry("i-2", "10.0.0.2:80", 6),), (), 6), 10.5)
    deferred = [fields for what, fields in logged if what == "removal_deferred"]
    assert deferred == [{"key": "servers/i-1", "until": 12.5}]
