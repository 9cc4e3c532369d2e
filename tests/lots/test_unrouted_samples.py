"""Samples whose route was dropped from the configuration."""

from __future__ import annotations

import pytest

from tests.core.test_lot_tracker import make_book, make_sample
from tests.lots.routed import POOL, reconfigure, route, routed_view
from threadramp.core.lot_tracker import Phase
from threadramp.fleet.fleet_view import FleetView
from threadramp.lots.model import ResultState, StoredHead
from threadramp.lots.owned import OwnedLot, OwnedLots
from threadramp.lots.sample_routes import SampleRoutes
from threadramp.lots.unrouted_samples import UnroutedSamples

GRACE_S = 2.0


class Unrouted:
    """A gateway with one lot of a running and a waiting sample, whose route can be dropped."""

    def __init__(self, fleet_view: FleetView, clock) -> None:
        self.fleet_view, self.clock = fleet_view, clock
        clock.at = 100.0
        owned = OwnedLots()
        self.tracker = make_book(make_sample("waits", "g"), make_sample("runs", "g"))
        owned.add(OwnedLot(self.tracker, StoredHead("lot", None, 1)))
        self.tracker.assign("runs", "s0")
        self.unrouted = UnroutedSamples(owned, SampleRoutes(fleet_view), clock, GRACE_S)

    def pass_time(self, seconds: float) -> None:
        self.unrouted.run_once()
        self.clock.at += seconds
        self.unrouted.run_once()

    @property
    def phases(self) -> tuple[Phase, Phase]:
        return tuple(self.tracker.states[name].phase for name in ("waits", "runs"))


@pytest.fixture
def unrouted(clock) -> Unrouted:
    return Unrouted(routed_view(), clock)


# Guards against a trainer that learns only at its deadline that nobody may run its samples.
def test_waiting_samples_are_given_up_once_their_route_is_gone_for_good(unrouted):
    reconfigure(unrouted.fleet_view, route(POOL, prefix="/elsewhere/"), revision=9)
    unrouted.pass_time(GRACE_S - 0.1)
    assert unrouted.phases == (Phase.WAITING, Phase.RUNNING)
    unrouted.pass_time(0.2)
    assert unrouted.phases == (Phase.STAGED, Phase.RUNNING)
    assert unrouted.tracker.states["waits"].result.state is ResultState.DEAD


# Guards against lots that an operator loses by replacing a route with two versions in a row.
def test_a_route_that_comes_back_in_time_finds_its_samples(unrouted):
    reconfigure(unrouted.fleet_view, route(POOL, prefix="/elsewhere/"), revision=9)
    unrouted.pass_time(GRACE_S - 0.1)
    reconfigure(unrouted.fleet_view, route(POOL), revision=10)
    unrouted.pass_time(0.2)
    reconfigure(unrouted.fleet_view, route(POOL, prefix="/elsewhere/"), revision=11)
    unrouted.pass_time(GRACE_S - 0.1)
    assert unrouted.phases == (Phase.WAITING, Phase.RUNNING)
