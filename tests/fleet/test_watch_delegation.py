"""Whether a gateway watches the store itself or follows others."""

from __future__ import annotations

import msgspec
import pytest

from threadramp.fleet.fleet_view import FleetView, Member
from threadramp.fleet.store_health import StoreHealth
from threadramp.fleet.watch_delegation import FRESHNESS_S, STABLE_S, WatchDelegation
from threadramp.platform.store_model import Item, Listing


def member(name: str, data_centre: str = "a") -> Member:
    return Member(name, "gateway", "1", f"{name}:1", data_centre, "")


def list_gateways(fleet_view: FleetView, names: list[str], revision: int) -> None:
    members = [member(name) for name in names] + [member("far", "b")]
    items = tuple(
        Item(f"member/{one.name}", msgspec.msgpack.encode(one), revision) for one in members
    )
    fleet_view.members.replace(Listing(items, revision), 0.0)


@pytest.fixture
def fleet_view() -> FleetView:
    made = FleetView()
    list_gateways(made, [f"g{n}" for n in range(5)], 1)
    return made


def delegation_of(name: str, fleet_view: FleetView, clock) -> WatchDelegation:
    return WatchDelegation(member(name), fleet_view, StoreHealth(clock), clock)


@pytest.fixture
def watchers(fleet_view, clock) -> list[str]:
    return [one.name for one in delegation_of("g0", fleet_view, clock).leaders()]


@pytest.fixture
def follower(fleet_view, clock, watchers) -> WatchDelegation:
    name = next(f"g{n}" for n in range(5) if f"g{n}" not in watchers)
    return delegation_of(name, fleet_view, clock)


def settle(follower: WatchDelegation, clock, names: list[str]) -> None:
    """Let time pass while the watchers report recent answers of the store."""
    for _ in range(int(STABLE_S / 0.5) + 2):
        for name in names:
            follower.record_confirmation(name, 0.0)
        follower.follows()
        clock.at += 0.5


def test_a_watcher_never_follows(fleet_view, clock, watchers):
    watcher = delegation_of(watchers[0], fleet_view, clock)
    settle(watcher, clock, watchers)
    assert not watcher.follows()
    assert len(watcher.followers()) == 4


def test_the_others_follow_once_watchers_were_fresh_for_a_while(follower, clock, watchers):
    follower.record_confirmation(watchers[0], 0.0)
    assert not follower.follows()
    settle(follower, clock, watchers)
    assert follower.follows()
    assert follower.followers() == []


def test_one_fresh_watcher_is_enough(follower, clock, watchers):
    settle(follower, clock, watchers[1:])
    assert follower.follows()


def test_an_unresponsive_watcher_is_followed_no_longer_than_it_may_be_fresh(
    follower, clock, watchers
):
    settle(follower, clock, watchers)
    assert follower.follows()
    clock.at += FRESHNESS_S
    assert not follower.follows()


def test_a_watcher_that_cannot_reach_the_store_is_not_followed(follower, clock, watchers):
    """The watcher answers its peers, but the store does not answer the watcher."""
    settle(follower, clock, watchers)
    for _ in range(3):
        for name in watchers:
            follower.record_confirmation(name, None)
        clock.at += 0.5
    assert not follower.follows()


def test_an_old_confirmation_counts_by_its_age(follower, clock, watchers):
    for _ in range(12):
        follower.record_confirmation(watchers[0], FRESHNESS_S + 0.1)
        clock.at += 0.5
        assert not follower.follows()


def test_after_a_gap_it_watches_itself_for_a_while(follower, clock, watchers):
    settle(follower, clock, watchers)
    clock.at += 5.0
    assert not follower.follows()
    follower.record_confirmation(watchers[0], 0.0)
    assert not follower.follows()
    settle(follower, clock, watchers)
    assert follower.follows()


def test_a_gateway_without_known_peers_watches_itself(clock):
    alone = delegation_of("g0", FleetView(), clock)
    assert alone.is_watcher()
    assert not alone.follows()


def test_a_watcher_that_is_gone_from_the_list_is_replaced(fleet_view, clock, watchers):
    left = [f"g{n}" for n in range(5) if f"g{n}" != watchers[0]]
    list_gateways(fleet_view, left, 2)
    successors = [one.name for one in delegation_of(left[0], fleet_view, clock).leaders()]
    assert watchers[1] in successors
    assert len(successors) == 2
    assert successors[0] in left


def test_the_watcher_of_another_data_centre_is_the_fallback(follower, clock, watchers):
    """The local watcher is unresponsive; a fallback is polled because it pushes no changes here."""
    assert watchers[1] == "far"
    settle(follower, clock, watchers)
    assert follower.receives_pushed_changes()
    for _ in range(4):
        clock.at += 0.5
        follower.record_confirmation("far", 0.0)
    assert follower.follows()
    assert not follower.receives_pushed_changes()


def test_a_gateway_that_the_store_refuses_follows_any_gateway_that_reaches_it(
    fleet_view, clock, watchers
):
    refused = delegation_of(watchers[0], fleet_view, clock)
    refused.health.record_failure(clock.now(), ValueError("refused"))
    assert not refused.follows()
    refused.record_confirmation("far", 0.1)
    assert refused.follows()


def test_it_watches_itself_again_as_soon_as_it_reaches_the_store(fleet_view, clock, watchers):
    refused = delegation_of(watchers[0], fleet_view, clock)
    refused.health.record_failure(clock.now(), ValueError("refused"))
    refused.record_confirmation("far", 0.1)
    assert refused.follows()
    refused.health.record_answer(clock.now())
    assert not refused.follows()


def test_when_the_store_is_down_for_all_nobody_is_followed(fleet_view, clock, watchers):
    refused = delegation_of(watchers[0], fleet_view, clock)
    refused.health.record_failure(clock.now(), ValueError("down"))
    refused.record_confirmation("far", 0.1)
    clock.at += FRESHNESS_S
    refused.record_confirmation("far", None)
    assert not refused.follows()
