"""How many calls a gateway sends to a cold endpoint."""

from __future__ import annotations

import pytest

from tests.entries import entry
from tests.fleet.test_peers import Client, list_members, member
from threadramp.edge.cold_gate import SETTLED_S, ColdGate
from threadramp.fleet.fleet_view import FleetView
from threadramp.fleet.model import Configuration, Pool
from threadramp.fleet.peers import Peers
from threadramp.fleet.store_health import StoreHealth
from threadramp.platform.settings import Bounds
from threadramp.platform.store_model import Changes, Listing

COLD_MS = 40_000


class Fleet:
    """The view of one gateway of a fleet of three, with one endpoint."""

    def __init__(self, clock, cold_per_s: float = 6.0) -> None:
        self.clock = clock
        self.view = FleetView()
        self.view.snapshot = type(self.view.snapshot)(
            Configuration(1, pools={"p": Pool("p", cold_per_s=cold_per_s)})
        )
        self.peers = Peers(member("g0"), self.view, Client(), StoreHealth(clock), clock)
        self.lease_holds = True
        self.gate = ColdGate(self.peers, Bounds(), clock, lambda now: self.lease_holds)
        list_members(self.peers, [member("g0"), member("g1"), member("g2")], 1)
        self.write_entry(COLD_MS, 2)

    def write_entry(self, cold_ms: float, revision: int) -> None:
        item = entry("i-1", "10.0.0.1:80", revision, coldMs=cold_ms)
        if self.view.endpoints.is_loaded:
            self.view.endpoints.apply(Changes((item,), (), revision), self.clock.now())
        else:
            self.view.endpoints.replace(Listing((item,), revision), self.clock.now())

    def sent(self) -> int:
        endpoint = self.view.snapshot.endpoints["i-1"]
        count = 0
        while count < 50 and not self.gate.blocked([endpoint]):
            assert self.gate.take(endpoint)
            count += 1
        return count


@pytest.fixture
def fleet(clock) -> Fleet:
    made = Fleet(clock)
    clock.at += SETTLED_S
    return made


def test_a_cold_endpoint_gets_this_gateways_share_of_its_calls(fleet, clock):
    assert fleet.sent() == 2
    assert fleet.sent() == 0
    clock.at += 1.01
    assert fleet.sent() == 2


def test_a_warm_endpoint_is_not_limited(fleet, clock):
    clock.at += COLD_MS / 1000
    assert fleet.sent() == 50


def test_an_endpoint_may_become_cold_again(fleet, clock):
    clock.at += COLD_MS / 1000
    fleet.write_entry(1000.0, 3)
    assert fleet.sent() == 2


def test_a_pool_without_a_rate_is_not_limited(clock):
    """Entries name a cold time in deployments whose configuration states no rate."""
    assert Fleet(clock, cold_per_s=0.0).sent() == 50


def test_a_gateway_that_was_listed_just_now_sends_nothing(clock):
    """The others do not know of it yet and use the whole number."""
    fleet = Fleet(clock)
    clock.at += 5.0
    assert fleet.sent() == 0


def test_a_gateway_without_a_lease_sends_nothing(fleet):
    """Its entry may be gone, and a gateway that starts now does not know of it."""
    fleet.lease_holds = False
    assert fleet.sent() == 0


def test_a_gateway_that_was_removed_keeps_its_share_for_a_while(fleet, clock):
    """It may not know yet that it was removed."""
    list_members(fleet.peers, [member("g0")], 5)
    clock.at += 5.0
    assert fleet.sent() == 2
    clock.at += SETTLED_S
    assert fleet.sent() == 6
