"""What one gateway saw of crashes reaches the others, also where a way is shut."""

from __future__ import annotations

import time
from base64 import b64encode
from random import Random

import pytest

from threadramp.fleet.crash_sharing import CrashSharing
from threadramp.fleet.model import Start
from threadramp.fleet.picture import MEMBER_PREFIX, Member, Picture
from threadramp.fleet.store_health import StoreHealth
from threadramp.lots.model import encode
from threadramp.platform.store import StoreClient
from threadramp.policy.crash_tracker import NO_SUSPICION, CrashTracker, SuspicionLevel
from threadramp.wire.fleet import Done, decode_ask

ONE = b"one-request-0000"
CONTACT_S = 3.0  # within which the users allow a refusal to be known


class Peers:
    """Passes messages between boxes that are not cut from each other."""

    def __init__(self, name: str, boxes: dict[str, Box]) -> None:
        self.member = Member(name, "gateway", "1", name, "a", "")
        self.myself = (name, name)
        self.picture = Picture()
        self.boxes = boxes

    def gateways_lately(self) -> list[Member]:
        return [box.peers.member for name, box in self.boxes.items() if name != self.member.name]

    def ask_all(self, asks, timeout_s):
        replies = {}
        for address, ask in asks.items():
            box = self.boxes[address]
            if not box.cut:
                replies[address] = box.sharing.heard(decode_ask(encode(ask)))
        assert all(isinstance(one, Done) for one in replies.values())
        return replies


class Box:
    """One gateway's book with what shares it; its watch is done by hand."""

    def __init__(self, name: str, boxes: dict[str, Box], store: str, clock) -> None:
        self.cut = False
        self.clock = clock
        self.book = CrashTracker()
        self.store = StoreClient(store, timeout_s=0.5)
        self.peers = Peers(name, boxes)
        self.health = StoreHealth(clock)
        self.sharing = CrashSharing(self.book, self.peers, self.store, self.health, clock, name)
        boxes[name] = self

    def crash(self, *starts: int) -> None:
        for number in starts:
            self.book.record_crash(ONE, Start(f"i-{number}", 1), self.clock.time_of_day())
        self.sharing.turn()

    def watch(self) -> None:
        self.peers.picture.members.replace(self.store.list(MEMBER_PREFIX), self.clock.now())

    @property
    def verdict(self) -> SuspicionLevel:
        return self.book.assess(ONE, self.clock.time_of_day()).level


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


def test_nothing_is_written_for_a_crash_that_all_were_told_of(boxes, platform_store):
    boxes["g0"].crash(0)
    assert platform_store.counts["writes"] == 0
    boxes["g0"].sharing.turn()
    assert platform_store.counts["writes"] == 0


def test_one_that_peers_can_not_reach_hears_of_it_through_the_store(boxes):
    boxes["g2"].cut = True
    for number, name in enumerate(("g0", "g1", "g0")):
        boxes[name].crash(number)
    assert boxes["g2"].verdict is SuspicionLevel.NONE
    boxes["g2"].watch()
    assert boxes["g2"].verdict is SuspicionLevel.REFUSED


def test_one_that_starts_later_refuses_at_once(boxes, store_address, clock):
    boxes["g1"].crash(0, 1, 2)
    late = Box("g9", boxes, store_address, clock)
    late.watch()
    assert late.verdict is SuspicionLevel.REFUSED
    assert late.peers.picture.belief.members == {}  # what is kept there is no member


def test_a_box_that_starts_again_keeps_its_part(boxes, store_address, clock):
    boxes["g0"].crash(0, 1, 2)
    again = Box("g0", boxes, store_address, clock)
    again.watch()
    again.book.record_crash(b"another-request0", Start("i-7", 1), clock.time_of_day())
    again.book.record_crash(b"another-request0", Start("i-8", 1), clock.time_of_day())
    again.sharing.turn()
    late = Box("g9", boxes, store_address, clock)
    late.watch()
    assert late.verdict is SuspicionLevel.REFUSED


def test_what_the_store_does_not_take_is_written_once_it_does(boxes, platform_store):
    platform_store.faults["outage"] = True
    boxes["g0"].crash(0, 1, 2)
    assert boxes["g1"].verdict is SuspicionLevel.REFUSED  # told by its peer
    assert boxes["g0"].sharing.pending
    platform_store.faults["outage"] = False
    boxes["g0"].sharing.turn()
    assert [key for key in platform_store.data if "crashes" in key] == ["member/.crashes/g0"]


def test_what_the_store_has_lost_is_written_again(boxes, platform_store):
    box = boxes["g0"]
    box.crash(0, 1, 2)
    box.watch()
    platform_store.faults["revoke"] = True
    platform_store.faults_changed()
    assert platform_store.data == {}
    box.watch()
    box.sharing.turn()
    assert list(platform_store.data) == ["member/.crashes/g0"]


def test_one_box_of_all_gets_a_trial_and_none_while_the_store_is_away(boxes, platform_store):
    boxes["g0"].crash(0, 1, 2)
    assert [box.sharing.claim(ONE, 1) for box in boxes.values()] == [True, False, False]
    platform_store.faults["outage"] = True
    assert [box.sharing.claim(ONE, 2) for box in boxes.values()] == [False, False, False]


NEAR_MISSES = [
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


@pytest.mark.parametrize("value", NEAR_MISSES, ids=range(len(NEAR_MISSES)))
def test_an_unreadable_or_absurd_part_changes_nothing(boxes, platform_store, value):
    boxes["g0"].crash(0, 1, 2)
    row = {"key": "member/.crashes/other", "value": b64encode(value).decode()}
    platform_store._commit({"puts": [row]})
    boxes["g1"].watch()
    assert boxes["g1"].verdict is SuspicionLevel.REFUSED
    assert (
        boxes["g1"].book.assess(b"another-request0", boxes["g1"].clock.time_of_day())
        == NO_SUSPICION
    )


def test_it_is_known_everywhere_within_the_time_that_is_allowed(boxes):
    """Threads as they run: told to peers some hundredths of a second after it was seen."""
    for box in boxes.values():
        box.sharing.start()
    started = time.monotonic()
    boxes["g0"].book.record_crash(ONE, Start("i-0"), boxes["g0"].clock.time_of_day())
    boxes["g1"].book.record_crash(ONE, Start("i-1"), boxes["g0"].clock.time_of_day())
    boxes["g2"].book.record_crash(ONE, Start("i-2"), boxes["g0"].clock.time_of_day())
    while {box.verdict for box in boxes.values()} != {SuspicionLevel.REFUSED}:
        assert time.monotonic() < started + CONTACT_S
        time.sleep(0.01)
    for box in boxes.values():
        box.sharing.stopped.set()
