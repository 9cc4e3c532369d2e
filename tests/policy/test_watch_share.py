"""Which gateways watch the store."""

from __future__ import annotations

import pytest

from threadramp.fleet.fleet_view import Member
from threadramp.policy.watch_share import WATCHERS, leaders_of, watchers_in


def gateways(count: int, data_centres: int = 1) -> list[Member]:
    return [
        Member(f"g{n}", "gateway", "1", f"g{n}:1", f"dc{n % data_centres}", "")
        for n in range(count)
    ]


@pytest.mark.parametrize("count", [1, 2, 3, 22])
def test_two_watch_where_there_is_one_data_centre(count):
    assert len(watchers_in("dc0", gateways(count))) == min(count, WATCHERS)


@pytest.mark.parametrize("data_centres", [2, 6, 16])
def test_one_watches_in_each_of_several_data_centres(data_centres):
    fleet = gateways(350, data_centres)
    chosen = [one for n in range(data_centres) for one in watchers_in(f"dc{n}", fleet)]
    assert len(chosen) == data_centres


@pytest.mark.parametrize("data_centres", [1, 2, 6, 16])
def test_each_gateway_may_follow_two_that_watch(data_centres):
    fleet = gateways(350, data_centres)
    watchers = [one for n in range(data_centres) for one in watchers_in(f"dc{n}", fleet)]
    for number in range(data_centres):
        leaders = leaders_of(f"dc{number}", fleet)
        assert len({one.name for one in leaders}) == WATCHERS
        assert leaders[0].data_centre == f"dc{number}"
        assert all(one in watchers for one in leaders)


def test_where_a_watcher_goes_its_stand_in_stays_the_same():
    fleet = gateways(58, 6)
    first, stand_in = leaders_of("dc0", fleet)
    left = [one for one in fleet if one.name != first.name]
    again, same = leaders_of("dc0", left)
    assert again.data_centre == "dc0"
    assert same == stand_in


def test_all_gateways_agree_whatever_the_order():
    fleet = gateways(22)
    assert watchers_in("dc0", fleet) == watchers_in("dc0", reversed(fleet))


def test_those_of_other_data_centres_do_not_count():
    fleet = gateways(350, 16)
    assert {one.data_centre for one in watchers_in("dc3", fleet)} == {"dc3"}


def test_one_that_goes_is_replaced_and_the_other_stays():
    fleet = gateways(22)
    first, second = watchers_in("dc0", fleet)
    left = [one for one in fleet if one.name != first.name]
    assert second in watchers_in("dc0", left)
    assert len(watchers_in("dc0", left)) == WATCHERS
