"""Which pools the samples of a lot may use, by the configuration in force."""

from __future__ import annotations

from collections import Counter

import pytest

from tests.core.test_lot_tracker import make_book, make_sample
from tests.lots.routed import POOL, reconfigure, route, routed_view, set_engines
from threadramp.fleet.fleet_view import FleetView
from threadramp.lots.model import Lot
from threadramp.lots.sample_routes import SampleRoutes

ENGINE, OTHER = "10.0.0.1:80", "10.0.0.2:80"


def lot_of(*samples: str, group: str = "g") -> Lot:
    return make_book(*(make_sample(name, group) for name in samples)).lot


@pytest.fixture
def fleet_view() -> FleetView:
    found = routed_view()
    set_engines(found, {ENGINE: POOL, OTHER: "others"})
    return found


# Guards against samples that run wherever an engine serves their model (review/3).
def test_only_engines_of_the_pools_of_its_route_may_run_a_sample(fleet_view):
    routes, lot = SampleRoutes(fleet_view), lot_of("a")
    assert routes.allows(lot, "a", ENGINE)
    assert not routes.allows(lot, "a", OTHER)
    assert not routes.allows(lot, "a", "10.0.0.3:80")
    assert routes.pools_of_all([lot]) == {POOL}


# Guards against a copy of the route that was made when the lot was submitted.
def test_a_sample_follows_its_route_to_another_pool(fleet_view):
    routes, lot = SampleRoutes(fleet_view), lot_of("a")
    assert routes.of(lot).revision == 5
    reconfigure(fleet_view, route("others"), revision=9)
    assert routes.of(lot).revision == 9
    assert not routes.allows(lot, "a", ENGINE)
    assert routes.allows(lot, "a", OTHER)


# Guards against an address that another pool's engine reuses.
def test_an_address_that_another_pool_reuses_may_not_run_the_sample(fleet_view):
    routes, lot = SampleRoutes(fleet_view), lot_of("a")
    set_engines(fleet_view, {ENGINE: "others"})
    assert not routes.allows(lot, "a", ENGINE)


def test_the_longest_prefix_of_the_samples_own_path_decides(fleet_view):
    reconfigure(fleet_view, route(POOL), route("others", prefix="/run/b"), revision=9)
    found = SampleRoutes(fleet_view).of(lot_of("a", "b"))
    assert (found.pools_of("a"), found.pools_of("b")) == ((POOL,), ("others",))


def test_the_groups_of_a_split_route_are_divided_by_its_weights(fleet_view):
    reconfigure(fleet_view, route(POOL, "others", weights=(3.0, 1.0)), revision=9)
    routes = SampleRoutes(fleet_view)
    lots = [lot_of("a", "b", group=f"group {number}") for number in range(800)]
    drawn = Counter()
    for lot in lots:
        routes.retain([])
        found = routes.of(lot)
        assert found.pools_of("a") == found.pools_of("b")  # they share their prompt
        assert set(found.pools_of("a")) == {POOL, "others"}
        drawn[found.pools_of("a")[0]] += 1
    assert 0.70 < drawn[POOL] / len(lots) < 0.80


def test_a_pool_without_weight_runs_no_samples(fleet_view):
    reconfigure(fleet_view, route(POOL, "others", weights=(0.0, 1.0)), revision=9)
    assert SampleRoutes(fleet_view).of(lot_of("a")).pools_of("a") == ("others",)


def test_without_a_configuration_no_sample_is_placed_and_none_is_given_up(clock):
    routes = SampleRoutes(FleetView())
    assert routes.of(lot_of("a")).pools_of("a") == ()
    assert routes.of(lot_of("a")).without_route == ()
