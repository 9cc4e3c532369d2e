"""When a gateway treats an engine as one without a sidecar.

Guards against a gateway that had just started taking the engine lock from a live sidecar and
sending an order 5 s later. It had the list of endpoints, but the store had not yet returned the
member list. It then treated every unknown sidecar as missing since its own start, and did not probe
the sidecar.
"""

from __future__ import annotations

from types import SimpleNamespace

import pytest

from threadramp.fleet.fleet_view import FleetSnapshot, Member
from threadramp.fleet.model import Endpoint
from threadramp.runner.hosting import NO_SIDECAR_S, HostedRunners

ENGINE = Endpoint("i-1", "p", "10.0.0.9:80", "a", 6)


@pytest.fixture
def members():
    return SimpleNamespace(is_loaded=False)


@pytest.fixture
def hosting(clock, members) -> HostedRunners:
    gateway = Member("front-0", "gateway", "i", "10.0.0.1:1", "a", "")
    peers = SimpleNamespace(
        fleet_view=SimpleNamespace(
            members=members, snapshot=FleetSnapshot(endpoints={"i-1": ENGINE})
        ),
        member=gateway,
        last_reply_at={},
        sidecars=list,
        live_gateways=lambda: [gateway],
    )
    return HostedRunners(peers, None, clock, None, 1, 3.0)


def should_host(hosting: HostedRunners) -> bool:
    belief = hosting.peers.fleet_view.snapshot
    hosting._update_coverage(belief)
    return hosting._should_host(ENGINE, belief)


def test_without_the_member_list_every_engine_counts_as_having_a_sidecar(hosting, clock):
    for _ in range(20):
        clock.at += 0.5
        assert not should_host(hosting)


def test_an_engine_lacks_a_sidecar_only_a_while_after_the_member_list_arrived(
    hosting, members, clock
):
    clock.at += 10.0
    assert not should_host(hosting)
    members.is_loaded = True
    clock.at += NO_SIDECAR_S - 0.1
    assert not should_host(hosting)
    clock.at += 0.2
    assert should_host(hosting)
