"""Whether a gateway watches the store itself."""

from __future__ import annotations

import msgspec
import pytest

from threadramp.fleet.fleet_view import FleetView, Member
from threadramp.fleet.store_health import StoreHealth
from threadramp.fleet.watch_delegation import CALM_S, FRESH_S, WatchDelegation
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


def of(name: str, fleet_view: FleetView, clock) -> WatchDelegation:
    return WatchDelegation(member(name), fleet_view, StoreHealth(clock), clock)


@pytest.fixture
def watchers(fleet_view, clock) -> list[str]:
    return [one.name for one in of("g0", fleet_view, clock).leaders()]


@pytest.fixture
def follower(fleet_view, clock, watchers) -> WatchDelegation:
    name = next(f"g{n}" for n in range(5) if f"g{n}" not in watchers)
    return of(name, fleet_view, clock)


def settle(follower: WatchDelegation, clock, names: list[str]) -> None:
    """Let time pass while the watchers tell that they are fresh."""
    for _ in range(int(CALM_S / 0.5) + 2):
        for name in names:
            follower.note(name, 0.0)
        follower.follows()
        clock.at += 0.5


def test_a_watcher_never_follows(fleet_view, clock, watchers):
    watcher = of(watchers[0], fleet_view, clock)
    settle(watcher, clock, watchers)
    assert not watcher.follows()
    assert len(watcher.followers()) == 4


def test_the_others_follow_once_watchers_were_fresh_for_a_while(follower, clock, watchers):
    follower.note(watchers[0], 0.0)
    assert not follower.follows()
    settle(follower, clock, watchers)
    assert follower.follows()
    assert follower.followers() == []


def test_one_fresh_watcher_is_enough(follower, clock, watchers):
    settle(follower, clock, watchers[1:])
    assert follower.follows()


def test_a_silent_watcher_is_followed_no_longer_than_it_may_be_fresh(follower, clock, watchers):
    settle(follower, clock, watchers)
    assert follower.follows()
    clock.at += FRESH_S
    assert not follower.follows()


def test_a_watcher_without_a_way_is_not_followed(follower, clock, watchers):
    """It answers its peers, but the store does not answer it."""
    settle(follower, clock, watchers)
    for _ in range(3):
        for name in watchers:
            follower.note(name, None)
        clock.at += 0.5
    assert not follower.follows()


def test_an_old_confirmation_counts_by_its_age(follower, clock, watchers):
    for _ in range(12):
        follower.note(watchers[0], FRESH_S + 0.1)
        clock.at += 0.5
        assert not follower.follows()


def test_after_a_gap_it_watches_itself_for_a_while(follower, clock, watchers):
    settle(follower, clock, watchers)
    clock.at += 5.0
    assert not follower.follows()
    follower.note(watchers[0], 0.0)
    assert not follower.follows()
    settle(follower, clock, watchers)
    assert follower.follows()


def test_who_knows_no_gateway_watches_itself(clock):
    alone = of("g0", FleetView(), clock)
    assert alone.is_watcher()
    assert not alone.follows()


def test_a_watcher_that_is_gone_from_the_list_is_replaced(fleet_view, clock, watchers):
    left = [f"g{n}" for n in range(5) if f"g{n}" != watchers[0]]
    list_gateways(fleet_view, left, 2)
    heirs = [one.name for one in of(left[0], fleet_view, clock).leaders()]
    assert watchers[1] in heirs
    assert len(heirs) == 2
    assert heirs[0] in left


def test_the_watcher_of_another_data_centre_stands_in(follower, clock, watchers):
    """Its own data centre's is silent: what it saw must be asked for, nobody tells it."""
    assert watchers[1] == "far"
    settle(follower, clock, watchers)
    assert follower.receives_pushed_changes()
    for _ in range(4):
        clock.at += 0.5
        follower.note("far", 0.0)
    assert follower.follows()
    assert not follower.receives_pushed_changes()


def test_one_that_the_store_turns_away_follows_any_gateway_with_a_way(fleet_view, clock, watchers):
    away = of(watchers[0], fleet_view, clock)
    away.health.record_failure(clock.now(), ValueError("turned away"))
    assert not away.follows()
    away.note("far", 0.1)
    assert away.follows()


def test_it_watches_itself_again_as_soon_as_its_way_is_open(fleet_view, clock, watchers):
    away = of(watchers[0], fleet_view, clock)
    away.health.record_failure(clock.now(), ValueError("turned away"))
    away.note("far", 0.1)
    assert away.follows()
    away.health.record_answer(clock.now())
    assert not away.follows()


def test_when_the_store_is_down_for_all_nobody_is_followed(fleet_view, clock, watchers):
    away = of(watchers[0], fleet_view, clock)
    away.health.record_failure(clock.now(), ValueError("down"))
    away.note("far", 0.1)
    clock.at += FRESH_S
    away.note("far", None)
    assert not away.follows()
