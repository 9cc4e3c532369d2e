"""The mirror of one prefix of the store."""

from __future__ import annotations

import pytest

from threadramp.fleet.mirror import Mirror
from threadramp.platform.store_model import Changes, Item, Listing, Removal


def listing(revision: int, *names: str) -> Listing:
    return Listing(tuple(Item(name, b"v", revision) for name in names), revision)


@pytest.fixture
def mirror() -> Mirror:
    return Mirror("servers/", retains_expired=True)


def test_changes_follow_a_listing(mirror):
    mirror.replace(listing(5, "a", "b"), 0.0)
    mirror.apply(Changes((Item("c", b"v", 7),), (Removal("a", 6),), 7), 0.0)
    assert sorted(mirror.snapshot()) == ["b", "c"]
    assert mirror.revision == 7


def test_an_older_listing_replaces_nothing(mirror):
    mirror.replace(listing(5, "a"), 0.0)
    assert not mirror.replace(listing(4, "b"), 0.0)
    assert list(mirror.snapshot()) == ["a"]


def test_an_older_item_or_removal_replaces_nothing(mirror):
    mirror.replace(listing(5, "a"), 0.0)
    mirror.apply(Changes((Item("a", b"old", 4),), (Removal("a", 3),), 5), 0.0)
    assert mirror.snapshot()["a"].value == b"v"


def test_an_entry_removed_without_an_outage_is_dropped_at_once(mirror):
    mirror.replace(listing(5, "a"), 0.0)
    mirror.apply(Changes((), (Removal("a", 6),), 6), 10.0)
    assert mirror.snapshot() == {}


def test_an_entry_that_expired_in_an_outage_is_retained_for_a_while_after_it(mirror):
    mirror.replace(listing(5, "a", "b"), 0.0)
    mirror.distrust_removals(12.5)
    mirror.replace(listing(9, "b"), 10.0)
    assert sorted(mirror.snapshot()) == ["a", "b"]
    mirror.expire(12.4)
    assert sorted(mirror.snapshot()) == ["a", "b"]
    mirror.expire(12.5)
    assert sorted(mirror.snapshot()) == ["b"]


def test_an_entry_that_is_back_in_time_stays(mirror):
    mirror.replace(listing(5, "a"), 0.0)
    mirror.distrust_removals(12.5)
    mirror.apply(Changes((), (Removal("a", 6),), 6), 10.0)
    mirror.apply(Changes((Item("a", b"v", 7),), (), 7), 11.0)
    mirror.expire(99.0)
    assert list(mirror.snapshot()) == ["a"]


def test_a_peer_gets_no_retained_entries(mirror):
    mirror.replace(listing(5, "a", "b"), 0.0)
    mirror.distrust_removals(12.5)
    mirror.apply(Changes((), (Removal("a", 6),), 6), 10.0)
    assert [item.key for item in mirror.copy().items] == ["b"]


def test_the_operators_documents_are_never_retained():
    mirror = Mirror("op/", retains_expired=False)
    mirror.replace(listing(5, "a"), 0.0)
    mirror.distrust_removals(12.5)
    mirror.replace(listing(6), 10.0)
    assert mirror.snapshot() == {}


def test_listeners_hear_of_changes_only(mirror):
    notified = []
    mirror.listeners.append(lambda: notified.append(mirror.revision))
    mirror.replace(listing(5, "a"), 0.0)
    mirror.apply(Changes((), (), 8), 0.0)
    mirror.apply(Changes((Item("b", b"", 9),), (), 9), 0.0)
    assert notified == [5, 9]
