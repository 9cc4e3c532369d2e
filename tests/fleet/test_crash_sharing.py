"""Crash records of one gateway reach the others, also where a connection is cut."""

from __future__ import annotations

import time
from base64 import b64encode
from random import Random

import pytest

from threadramp.fleet.crash_sharing import CrashSharing
from threadramp.fleet.fleet_view import MEMBER_PREFIX, FleetView, Member
from threadramp.fleet.model import Incarnation
from threadramp.fleet.store_health import StoreHealth
from threadramp.lots.model import encode
from threadramp.platform.store import StoreClient
from threadramp.policy.crash_tracker import NO_SUSPICION, CrashTracker, SuspicionLevel
from threadramp.wire.fleet import Done, decode_ask

ONE = b"one-request-0000"
CONTACT_S = 3.0  # time within which users require a refusal to be known everywhere


class Peers:
    """Passes messages between boxes that can reach each other."""

    def __init__(self, name: str, boxes: dict[str, Box]) -> None:
        self.member = Member(name, "gateway", "1", name, "a", "")
        self.sender_fields = (name, name)
        self.fleet_view = FleetView()
        self.boxes = boxes

    def recent_gateways(self) -> list[Member]:
        return [box.peers.member for name, box in self.boxes.items() if name != self.member.name]

    def ask_all(self, asks, timeout_s):
        replies = {}
        for address, ask in asks.items():
            box = self.boxes[address]
            if not box.cut:
                replies[address] = box.sharing.receive(decode_ask(encode(ask)))
        assert all(isinstance(one, Done) for one in replies.values())
        return replies


class Box:
    """One gateway's crash records and their sharing; tests run its watch by hand."""

    def __init__(self, name: str, boxes: dict[str, Box], store: str, clock) -> None:
        self.cut = False
        self.clock = clock
        self.tracker = CrashTracker()
        self.store = StoreClient(store, timeout_s=0.5)
        self.peers = Peers(name, boxes)
        self.health = StoreHealth(clock)
        self.sharing = CrashSharing(self.tracker, self.peers, self.store, self.health, clock, name)
        boxes[name] = self

    def crash(self, *starts: int) -> None:
        for number in starts:
            self.tracker.record_crash(ONE, Incarnation(f"i-{number}", 1), self.clock.time_of_day())
        self.sharing.run_once()

    def watch(self) -> None:
        self.peers.fleet_view.members.replace(self.store.list(MEMBER_PREFIX), self.clock.now())

    @property
    def verdict(self) -> SuspicionLevel:
        return self.tracker.assess(ONE, self.clock.time_of_day()).level


@pytest.fixture
def boxes(store_address, clock) -> dict[str, Box]:
    made: dict[str, Box] = {}
    for name in ("g0", "g1", "g2"):
        Box(name, made, store_address, clock)
    return made


def test_three_boxes_that_saw_one_crash_each_refuse_together(boxes):
    for number, box in enumerate(boxes.values()):
        box.crash(number)
    assert {box.verdict for box in boxes.values()} == {SuspicionLevel.REFUSED}


def test_nothing_is_written_for_a_crash_that_all_peers_accepted(boxes, platform_store):
    boxes["g0"].crash(0)
    assert platform_store.counts["writes"] == 0
    boxes["g0"].sharing.run_once()
    assert platform_store.counts["writes"] == 0


def test_a_gateway_that_peers_cannot_reach_is_updated_through_the_store(boxes):
    boxes["g2"].cut = True
    for number, name in enumerate(("g0", "g1", "g0")):
        boxes[name].crash(number)
    assert boxes["g2"].verdict is SuspicionLevel.NONE
    boxes["g2"].watch()
    assert boxes["g2"].verdict is SuspicionLevel.REFUSED


def test_a_gateway_that_starts_later_refuses_at_once(boxes, store_address, clock):
    boxes["g1"].crash(0, 1, 2)
    late = Box("g9", boxes, store_address, clock)
    late.watch()
    assert late.verdict is SuspicionLevel.REFUSED
    assert late.peers.fleet_view.snapshot.members == {}  # stored crash records are not members


def test_a_restarted_box_keeps_its_crash_records(boxes, store_address, clock):
    boxes["g0"].crash(0, 1, 2)
    again = Box("g0", boxes, store_address, clock)
    again.watch()
    again.tracker.record_crash(b"another-request0", Incarnation("i-7", 1), clock.time_of_day())
    again.tracker.record_crash(b"another-request0", Incarnation("i-8", 1), clock.time_of_day())
    again.sharing.run_once()
    late = Box("g9", boxes, store_address, clock)
    late.watch()
    assert late.verdict is SuspicionLevel.REFUSED


def test_records_that_the_store_did_not_accept_are_written_later(boxes, platform_store):
    platform_store.faults["outage"] = True
    boxes["g0"].crash(0, 1, 2)
    assert boxes["g1"].verdict is SuspicionLevel.REFUSED  # sent by its peer
    assert boxes["g0"].sharing.pending
    platform_store.faults["outage"] = False
    boxes["g0"].sharing.run_once()
    assert [key for key in platform_store.data if "crashes" in key] == ["member/.crashes/g0"]


def test_what_the_store_has_lost_is_written_again(boxes, platform_store):
    box = boxes["g0"]
    box.crash(0, 1, 2)
    box.watch()
    platform_store.faults["revoke"] = True
    platform_store.faults_changed()
    assert platform_store.data == {}
    box.watch()
    box.sharing.run_once()
    assert list(platform_store.data) == ["member/.crashes/g0"]


def test_one_box_of_all_gets_a_trial_and_none_while_the_store_is_away(boxes, platform_store):
    boxes["g0"].crash(0, 1, 2)
    assert [box.sharing.claim_trial(ONE, 1) for box in boxes.values()] == [True, False, False]
    platform_store.faults["outage"] = True
    assert [box.sharing.claim_trial(ONE, 2) for box in boxes.values()] == [False, False, False]


INVALID_RECORDS = [
    b"",
    b"\x00",
    encode(1),
    encode([[], [], []]),
    encode([[["text", [], 0.0, 0, 0.0]], []]),
    encode([[[ONE, [[["i-1", "one"], 1.0]], 0.0, 0, 0.0]], []]),
    encode([[[ONE, [], "soon", 0, 0.0]], []]),
    encode([[[ONE, [], 0.0, -5, float("nan")]], [[["", -1], float("inf")]]]),
    Random(7).randbytes(500),
]


@pytest.mark.parametrize("value", INVALID_RECORDS, ids=range(len(INVALID_RECORDS)))
def test_unreadable_or_absurd_crash_records_change_nothing(boxes, platform_store, value):
    boxes["g0"].crash(0, 1, 2)
    row = {"key": "member/.crashes/other", "value": b64encode(value).decode()}
    platform_store._commit({"puts": [row]})
    boxes["g1"].watch()
    assert boxes["g1"].verdict is SuspicionLevel.REFUSED
    assert (
        boxes["g1"].tracker.assess(b"another-request0", boxes["g1"].clock.time_of_day())
        == NO_SUSPICION
    )


def test_a_refusal_is_known_everywhere_within_its_bound(boxes):
    """With the threads running, peers are notified some hundredths of a second after a crash."""
    for box in boxes.values():
        box.sharing.start()
    started = time.monotonic()
    boxes["g0"].tracker.record_crash(ONE, Incarnation("i-0"), boxes["g0"].clock.time_of_day())
    boxes["g1"].tracker.record_crash(ONE, Incarnation("i-1"), boxes["g0"].clock.time_of_day())
    boxes["g2"].tracker.record_crash(ONE, Incarnation("i-2"), boxes["g0"].clock.time_of_day())
    while {box.verdict for box in boxes.values()} != {SuspicionLevel.REFUSED}:
        assert time.monotonic() < started + CONTACT_S
        time.sleep(0.01)
    for box in boxes.values():
        box.sharing.stopped.set()
