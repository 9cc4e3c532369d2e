"""Which gateways watch the store."""

from __future__ import annotations

import pytest

from threadramp.fleet.fleet_view import Member
from threadramp.policy.watcher_assignment import WATCHERS, watchers_in, watchers_to_follow


def gateways(count: int, data_centres: int = 1) -> list[Member]:
    return [
        Member(f"g{n}", "gateway", "1", f"g{n}:1", f"dc{n % data_centres}", "")
        for n in range(count)
    ]


@pytest.mark.parametrize("count", [1, 2, 3, 22])
def test_a_single_data_centre_has_two_watchers(count):
    assert len(watchers_in("dc0", gateways(count))) == min(count, WATCHERS)


@pytest.mark.parametrize("data_centres", [2, 6, 16])
def test_each_of_several_data_centres_has_one_watcher(data_centres):
    fleet = gateways(350, data_centres)
    chosen = [one for n in range(data_centres) for one in watchers_in(f"dc{n}", fleet)]
    assert len(chosen) == data_centres


@pytest.mark.parametrize("data_centres", [1, 2, 6, 16])
def test_each_gateway_may_follow_two_watchers(data_centres):
    fleet = gateways(350, data_centres)
    watchers = [one for n in range(data_centres) for one in watchers_in(f"dc{n}", fleet)]
    for number in range(data_centres):
        leaders = watchers_to_follow(f"dc{number}", fleet)
        assert len({one.name for one in leaders}) == WATCHERS
        assert leaders[0].data_centre == f"dc{number}"
        assert all(one in watchers for one in leaders)


def test_losing_a_watcher_keeps_the_fallback():
    fleet = gateways(58, 6)
    first, fallback = watchers_to_follow("dc0", fleet)
    left = [one for one in fleet if one.name != first.name]
    again, same = watchers_to_follow("dc0", left)
    assert again.data_centre == "dc0"
    assert same == fallback


def test_all_gateways_agree_in_any_order():
    fleet = gateways(22)
    assert watchers_in("dc0", fleet) == watchers_in("dc0", reversed(fleet))


def test_gateways_of_other_data_centres_do_not_count():
    fleet = gateways(350, 16)
    assert {one.data_centre for one in watchers_in("dc3", fleet)} == {"dc3"}


def test_a_lost_watcher_is_replaced_and_the_other_stays():
    fleet = gateways(22)
    first, second = watchers_in("dc0", fleet)
    left = [one for one in fleet if one.name != first.name]
    assert second in watchers_in("dc0", left)
    assert len(watchers_in("dc0", left)) == WATCHERS
