"""When a gateway takes an engine for one that has no sidecar.

Seen: a gateway that had just begun took the right to order an engine from its living sidecar, and
ordered 5 s later. How it came about: it got the list of endpoints, but the store did not give it
the list of members yet. Cause: no sidecar known was taken for no sidecar there, counted from its
own begin, and nobody was asked. Proof: without the mend both tests fail.
"""

from __future__ import annotations

from types import SimpleNamespace

import pytest

from threadramp.fleet.fleet_view import FleetSnapshot, Member
from threadramp.fleet.model import Endpoint
from threadramp.runner.hosting import BARE_S, HostedRunners

ENGINE = Endpoint("i-1", "p", "10.0.0.9:80", "a", 6)


@pytest.fixture
def members():
    return SimpleNamespace(is_loaded=False)


@pytest.fixture
def hosting(clock, members) -> HostedRunners:
    me = Member("front-0", "gateway", "i", "10.0.0.1:1", "a", "")
    peers = SimpleNamespace(
        fleet_view=SimpleNamespace(
            members=members, snapshot=FleetSnapshot(endpoints={"i-1": ENGINE})
        ),
        member=me,
        last_reply_at={},
        sidecars=list,
        live_gateways=lambda: [me],
    )
    return HostedRunners(peers, None, clock, None, 1, 3.0)


def falls_here(hosting: HostedRunners) -> bool:
    belief = hosting.peers.fleet_view.snapshot
    hosting._note_covered(belief)
    return hosting._falls_here(ENGINE, belief)


def test_without_the_list_of_members_no_engine_is_taken_for_bare(hosting, clock):
    for _ in range(20):
        clock.at += 0.5
        assert not falls_here(hosting)


def test_an_engine_is_bare_a_while_after_the_list_of_members_came(hosting, members, clock):
    clock.at += 10.0
    assert not falls_here(hosting)
    members.is_loaded = True
    clock.at += BARE_S - 0.1
    assert not falls_here(hosting)
    clock.at += 0.2
    assert falls_here(hosting)
