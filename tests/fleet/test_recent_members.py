"""Members that were listed or answered lately."""

from __future__ import annotations

from tests.fleet.test_peers import member, names
from threadramp.fleet.recent_members import RecentMembers

KEPT_S = 5.0


def test_a_member_is_known_for_a_while_after_it_was_listed():
    lately = RecentMembers(KEPT_S)
    lately.note([member("g2"), member("g1")], 100.0)
    lately.note([member("g1")], 103.0)
    assert names(lately.known({}, 104.9)) == ["g1", "g2"]
    assert names(lately.known({}, 105.1)) == ["g1"]
    assert lately.known({}, 108.1) == []


def test_one_that_answers_stays_known():
    lately = RecentMembers(KEPT_S)
    lately.note([member("g1")], 100.0)
    assert names(lately.known({"g1:1": 107.0}, 110.0)) == ["g1"]
    assert lately.known({"g1:1": 107.0}, 112.1) == []


def test_a_new_process_at_another_address_takes_the_place_of_the_one_before():
    lately = RecentMembers(KEPT_S)
    lately.note([member("g1")], 100.0)
    lately.note([member("g1", incarnation="2")], 101.0)
    (one,) = lately.known({}, 101.0)
    assert one.incarnation == "2"


def test_what_a_changed_list_lacks_was_listed_until_the_change():
    """A gateway that was listed for 0.2 s, between two beats, was not remembered."""
    lately = RecentMembers(KEPT_S)
    lately.changed([member("g1"), member("g2")], 100.0)
    lately.changed([member("g2")], 160.0)
    assert names(lately.known({}, 164.9)) == ["g1", "g2"]
