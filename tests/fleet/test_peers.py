"""What a gateway knows of its peers."""

from __future__ import annotations

import msgspec
import pytest

from threadramp.fleet.fleet_view import FleetView, Member
from threadramp.fleet.peers import GATEWAY_RETENTION_S, Peers
from threadramp.fleet.store_health import StoreHealth
from threadramp.fleet.unresponsive_gateways import MAX_MISSED_BEATS
from threadramp.platform.store_model import Item, Listing
from threadramp.wire.fleet import MirrorBeat, MirrorCopy


def member(name: str, role: str = "gateway", incarnation: str = "1") -> Member:
    return Member(
        name, role, incarnation, f"{name}:1", "a", "engine:80" if role != "gateway" else ""
    )


class Client:
    """Answers on behalf of the peers that are up."""

    def __init__(self) -> None:
        self.down: set[str] = set()
        self.asked: list[tuple[str, object]] = []

    def exchange(self, asks, timeout_s):
        self.asked += asks.items()
        return {address: MirrorCopy({}, {}) for address in asks if address not in self.down}


@pytest.fixture
def peers(clock) -> Peers:
    fleet_view = FleetView()
    made = Peers(member("g0"), fleet_view, Client(), StoreHealth(clock), clock)
    list_members(made, [member("g0"), member("g1"), member("g2"), member("s1", "sidecar")], 1)
    return made


def list_members(peers: Peers, members: list[Member], revision: int) -> None:
    items = tuple(
        Item(f"member/{one.name}", msgspec.msgpack.encode(one), revision) for one in members
    )
    peers.fleet_view.members.replace(Listing(items, revision), 0.0)


def names(members: list[Member]) -> list[str]:
    return sorted(one.name for one in members)


def test_a_gateway_that_does_not_answer_counts_as_failed_though_it_is_listed(peers, clock):
    peers.client.down.add("g1:1")
    for _ in range(MAX_MISSED_BEATS):
        assert names(peers.live_gateways()) == ["g0", "g1", "g2"]
        clock.at += 0.5
        peers._exchange_with_gateways()
    assert names(peers.live_gateways()) == ["g0", "g2"]
    peers.client.down.clear()
    peers._exchange_with_gateways()
    assert names(peers.live_gateways()) == ["g0", "g1", "g2"]


def test_its_next_process_is_not_unresponsive(peers, clock):
    peers.client.down.add("g1:1")
    for _ in range(MAX_MISSED_BEATS):
        peers._exchange_with_gateways()
    list_members(peers, [member("g0"), member("g1", incarnation="2"), member("g2")], 2)
    assert names(peers.live_gateways()) == ["g0", "g1", "g2"]


def test_a_gateway_dropped_from_the_list_is_known_for_a_while(peers, clock):
    """It may run lots whose end others write, and registers again only 2 s later."""
    list_members(peers, [member("g0"), member("g2")], 2)
    clock.at += GATEWAY_RETENTION_S - 0.1
    assert names(peers.recent_gateways()) == ["g1", "g2"]
    clock.at += 0.2
    assert names(peers.recent_gateways()) == ["g2"]


def test_a_listed_gateway_is_known_however_old_its_last_reply_is(peers, clock):
    clock.at += 10 * GATEWAY_RETENTION_S
    assert names(peers.recent_gateways()) == ["g1", "g2"]


def test_a_sidecar_dropped_from_the_list_is_used_while_it_answers(peers, clock):
    assert names(peers.sidecars()) == ["s1"]
    list_members(peers, [member("g0")], 2)
    for _ in range(20):
        clock.at += 0.5
        peers.last_reply_at["s1:1"] = clock.at
        assert names(peers.sidecars()) == ["s1"]
    assert not peers.facts_for(member("s1", "sidecar")).listed
    clock.at += 5.1
    assert peers.sidecars() == []


def test_a_gateway_that_lags_behind_gets_a_copy(peers):
    copy = peers.mirror_sync.copy_for(MirrorBeat("g1", "g1:1", {"member/": 0}))
    assert [item.key for item in copy.items["member/"]] == [
        "member/g0",
        "member/g1",
        "member/g2",
        "member/s1",
    ]
    assert peers.mirror_sync.copy_for(MirrorBeat("g1", "g1:1", {"member/": 1})).items == {}


def test_a_process_that_is_missing_in_the_list_notices_after_a_while(peers, clock):
    noticed = []
    peers.on_unlisted = lambda: noticed.append(clock.at)
    list_members(peers, [member("g1")], 2)
    peers._check_listed(clock.at)
    assert noticed == []
    clock.at += 1.6
    peers._check_listed(clock.at)
    assert len(noticed) == 1


def test_calls_to_the_store_alternate_between_gateways_and_sidecars(peers, clock):
    """All gateways were disconnected from the store, sidecars were not; the drain bound broke."""
    list_members(
        peers,
        [
            member("g0"),
            member("g1"),
            member("g2"),
            member("s1", "sidecar"),
            member("s2", "sidecar"),
        ],
        2,
    )
    for address, at in (("g2:1", 1.0), ("g1:1", 2.0), ("s1:1", 3.0), ("s2:1", 4.0)):
        peers.last_reply_at[address] = at
    assert peers.relay_addresses() == ["g1:1", "s2:1", "g2:1", "s1:1"]


def test_without_other_gateways_sidecars_relay(peers):
    list_members(peers, [member("g0"), member("s1", "sidecar")], 2)
    assert peers.relay_addresses() == ["s1:1"]
