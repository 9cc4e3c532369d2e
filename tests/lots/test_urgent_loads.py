"""Loads that the gateway of a lot requests."""

from __future__ import annotations

from dataclasses import dataclass, field

import pytest

from tests.core.test_lot_tracker import make_book, make_sample, start
from tests.lots.routed import routed_view
from tests.policy.test_moves import view
from threadramp.fleet.fleet_view import Member
from threadramp.lots.model import StoredHead
from threadramp.lots.owned import OwnedLot, OwnedLots
from threadramp.lots.sample_routes import SampleRoutes
from threadramp.lots.urgent_loads import REPEAT_INTERVAL_S, UrgentLoads
from threadramp.wire.fleet import HurryLoad


@dataclass
class Peers:
    """Records what is asked."""

    sender_fields: tuple[str, str] = ("g0", "g0:1")
    asked: list[dict[str, HurryLoad]] = field(default_factory=list)

    def ask_members(self, asks: list[tuple[Member, HurryLoad]], timeout_s: float) -> dict:
        self.asked.append({member.address: ask for member, ask in asks})
        return {}


@pytest.fixture
def urgent_loads(clock) -> UrgentLoads:
    clock.at = 50.0
    owned = OwnedLots()
    tracker = make_book(make_sample("a", "g"), min_version=4)
    owned.add(OwnedLot(tracker, StoredHead("lot", None, 1)))
    return UrgentLoads(owned, Peers(), clock, SampleRoutes(routed_view()))


def test_engines_are_asked_once_in_a_while_for_a_lot_that_none_can_run(urgent_loads, clock):
    views = [view("a", version=3), view("b", version=2)]
    urgent_loads.run_once(views)
    urgent_loads.run_once(views)
    (asks,) = urgent_loads.peers.asked
    assert asks == {f"{name}:1": HurryLoad("g0", "g0:1", "m", f"{name}:80") for name in "ab"}
    clock.at += REPEAT_INTERVAL_S + 0.1
    urgent_loads.run_once(views)
    assert len(urgent_loads.peers.asked) == 2


def test_none_is_asked_where_nothing_waits_or_one_engine_can_run_it(urgent_loads):
    urgent_loads.run_once([view("a", version=4), view("b", version=3)])
    (lot,) = urgent_loads.owned.open()
    start(lot.tracker, "a", "s1")
    urgent_loads.run_once([view("a", version=3)])
    assert urgent_loads.peers.asked == []


# Guards against weights that are loaded by engines of another route's service.
def test_engines_of_another_pool_neither_load_nor_count(urgent_loads):
    elsewhere, busy = view("a", version=3), view("b", version=4)
    elsewhere.pool = busy.pool = "others"
    urgent_loads.run_once([elsewhere, busy, view("c", version=3)])
    (asks,) = urgent_loads.peers.asked
    assert list(asks) == ["c:1"]
