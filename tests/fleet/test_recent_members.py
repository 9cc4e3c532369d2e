"""Members that were recently listed or replied."""

from __future__ import annotations

from tests.fleet.test_peers import member, names
from threadramp.fleet.recent_members import RecentMembers

RETENTION_S = 5.0


def test_a_member_is_known_for_a_while_after_it_was_listed():
    recent = RecentMembers(RETENTION_S)
    recent.record([member("g2"), member("g1")], 100.0)
    recent.record([member("g1")], 103.0)
    assert names(recent.current({}, 104.9)) == ["g1", "g2"]
    assert names(recent.current({}, 105.1)) == ["g1"]
    assert recent.current({}, 108.1) == []


def test_one_that_answers_stays_known():
    recent = RecentMembers(RETENTION_S)
    recent.record([member("g1")], 100.0)
    assert names(recent.current({"g1:1": 107.0}, 110.0)) == ["g1"]
    assert recent.current({"g1:1": 107.0}, 112.1) == []


def test_a_new_process_at_another_address_takes_the_place_of_the_one_before():
    recent = RecentMembers(RETENTION_S)
    recent.record([member("g1")], 100.0)
    recent.record([member("g1", incarnation="2")], 101.0)
    (one,) = recent.current({}, 101.0)
    assert one.incarnation == "2"


def test_members_missing_from_a_changed_list_were_listed_until_then():
    """A gateway that was listed for 0.2 s, between two heartbeats, was not remembered."""
    recent = RecentMembers(RETENTION_S)
    recent.record_change([member("g1"), member("g2")], 100.0)
    recent.record_change([member("g2")], 160.0)
    assert names(recent.current({}, 164.9)) == ["g1", "g2"]
