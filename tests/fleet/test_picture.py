"""What a gateway makes of the store's items."""

from __future__ import annotations

import msgspec
import pytest

from tests.entries import entry
from threadramp.fleet import picture as picture_module
from threadramp.fleet.picture import Member, Picture
from threadramp.platform.store_model import Changes, Item, Listing, Removal


@pytest.fixture
def picture() -> Picture:
    return Picture()


def test_of_two_starts_at_one_address_the_newer_counts(picture):
    items = (entry("i-old", "10.0.0.1:80", 3), entry("i-new", "10.0.0.1:80", 9))
    picture.endpoints.replace(Listing(items, 9), 0.0)
    assert list(picture.belief.endpoints) == ["i-new"]
    assert picture.belief.at_address("10.0.0.1:80").instance == "i-new"


def test_what_cannot_be_read_is_left_out(picture):
    items = (Item("servers/x", b"{", 3), entry("i-1", "10.0.0.1:80", 4))
    picture.endpoints.replace(Listing(items, 4), 0.0)
    assert list(picture.belief.endpoints) == ["i-1"]


def test_an_unreadable_configuration_leaves_the_one_in_force(picture):
    good = Item("op/config", b'{"version":3}', 3)
    picture.operator.replace(Listing((good,), 3), 0.0)
    picture.operator.replace(Listing((Item("op/config", b"{", 4),), 4), 0.0)
    assert picture.belief.configuration.version == 3


def test_members_are_told_apart_by_role(picture):
    members = [
        Member("g", "gateway", "1", "a:1", "a", ""),
        Member("s", "sidecar", "2", "b:1", "a", "b:80"),
    ]
    items = tuple(Item(f"member/{one.name}", msgspec.msgpack.encode(one), 1) for one in members)
    picture.members.replace(Listing(items, 1), 0.0)
    assert [one.name for one in picture.belief.gateways()] == ["g"]
    assert [one.name for one in picture.belief.sidecars()] == ["s"]


def test_the_newest_revision_of_any_named_version_is_kept(picture):
    items = (
        Item("op/version/a", b'{"model":"a","version":5}', 100),
        Item("op/version/b", b'{"model":"b","version":3}', 110),
    )
    picture.operator.replace(Listing(items, 110), 0.0)
    assert picture.belief.targets_revision == 110
    assert {one.model: one.version for one in picture.belief.targets} == {"a": 5, "b": 3}


def test_it_is_complete_only_with_configuration_and_endpoints(picture):
    assert not picture.is_complete
    picture.operator.replace(Listing((Item("op/config", b'{"version":3}', 3),), 3), 0.0)
    assert not picture.is_complete
    picture.endpoints.replace(Listing((), 3), 0.0)
    assert picture.is_complete


def test_a_removal_that_is_doubted_is_told_once(picture, monkeypatch):
    told = []
    monkeypatch.setattr(
        picture_module, "log_state", lambda what, **fields: told.append((what, fields))
    )
    picture.endpoints.replace(Listing((entry("i-1", "10.0.0.1:80", 4),), 4), 0.0)
    picture.endpoints.disturbed(12.5)
    picture.endpoints.apply(Changes((), (Removal("servers/i-1", 5),), 5), 10.0)
    picture.endpoints.apply(Changes((entry("i-2", "10.0.0.2:80", 6),), (), 6), 10.5)
    doubted = [fields for what, fields in told if what == "removal_doubted"]
    assert doubted == [{"key": "servers/i-1", "until": 12.5}]
