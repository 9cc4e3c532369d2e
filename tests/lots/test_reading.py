"""Reading lots at gateways that own them, do not, or do not any more."""

from __future__ import annotations

import msgspec
import pytest

from tests.core.test_lot_book import make_book, make_sample
from threadramp.fleet.peers import Peers
from threadramp.fleet.picture import Member, Picture
from threadramp.fleet.store_health import StoreHealth
from threadramp.lots.journal import LotJournal
from threadramp.lots.model import LotHead, Result, ResultState
from threadramp.lots.owned import OwnedLot, OwnedLots
from threadramp.lots.reading import LOOK_S, LotReader
from threadramp.lots.remote_lots import LotUnknownError
from threadramp.platform.store import StoreClient
from threadramp.platform.store_model import Item, Listing, StoreError
from threadramp.wire.fleet import LotPage, ReadLot

HEAD = LotHead("g1", "1", 0.0, 7.5, 40.0, 3, False, 3, 0, 0, 0, False, "")
MEMBERS = [Member(f"g{n}", "gateway", "1", f"g{n}:1", "a", "") for n in range(3)]


def result(name: str) -> Result:
    return Result(name, ResultState.SUCCEEDED, f"text of {name}", (1,), "s")


class Owner:
    """Lets go of lots as the real one does."""

    def __init__(self, owned: OwnedLots) -> None:
        self.owned = owned

    def release(self, lot: OwnedLot) -> None:
        self.owned.remove(lot.lot_id)


class Client:
    """Peers that answer as they are told."""

    def __init__(self) -> None:
        self.replies: dict[str, object] = {}

    def ask(self, address, ask, timeout_s):
        return self.replies.get(address)


class World:
    """One gateway, ``g0``, before a store that has a lot of three samples."""

    def __init__(self, clock, store_address) -> None:
        self.clock = clock
        self.journal = LotJournal(StoreClient(store_address, timeout_s=0.5))
        self.book = make_book(*[make_sample(name, "g") for name in "abc"])
        self.stored = self.journal.create(self.book.lot, HEAD)
        picture = Picture()
        items = tuple(Item(f"member/{m.name}", msgspec.msgpack.encode(m), 1) for m in MEMBERS)
        picture.members.replace(Listing(items, 1), 0.0)
        self.client = Client()
        peers = Peers(MEMBERS[0], picture, self.client, StoreHealth(clock), clock)
        self.owned = OwnedLots()
        self.reader = LotReader(self.owned, Owner(self.owned), self.journal, peers, clock)

    def append(self, name: str) -> None:
        self.stored = self.journal.append(self.stored, [result(name)])

    def own(self) -> None:
        """Let the gateway believe that it owns the lot, with what is listed now."""
        self.stored = self.journal.change(self.stored, owner="g0")
        self.book.appended(())
        for one in self.journal.results(self.stored, 0):
            self.book.appended([one])
        self.owned.add(OwnedLot(self.book, self.stored))

    def names(self, after: int = 0) -> list[str]:
        return [one.sample for one in self.reader.results("lot", after, 0.0).results]


@pytest.fixture
def world(clock, store_address) -> World:
    return World(clock, store_address)


def test_the_owner_tells_what_is_listed(world):
    world.append("a")
    world.own()
    assert world.names() == ["a"]
    assert world.names(1) == []


def test_an_owner_that_lost_the_lot_without_knowing_tells_what_the_next_one_listed(world):
    world.append("a")
    world.own()
    assert world.names(1) == []
    world.stored = world.journal.change(world.stored, owner="g2")
    world.append("b")
    world.clock.at += 0.9
    assert world.names(1) == ["b"]
    assert world.owned.get("lot") is None


def test_an_owner_before_that_still_answers_is_not_believed_without_a_look(world):
    world.append("a")
    world.client.replies["g1:1"] = LotPage(3, False, (result("a"),))
    assert world.names() == ["a"]
    world.stored = world.journal.change(world.stored, owner="g2")
    world.append("b")
    world.client.replies["g1:1"] = LotPage(3, False, ())
    world.clock.at += 0.9
    assert world.names(1) == ["b"]


def test_without_a_way_to_the_store_nobody_is_sure_that_nothing_stands_there(world, platform_store):
    world.append("a")
    world.own()
    platform_store.faults["calls_per_s"] = 0.001
    platform_store.faults_changed()
    assert world.names() == ["a"]
    with pytest.raises(StoreError):
        world.names(1)


def test_the_store_is_not_asked_at_each_look(world, platform_store):
    world.append("a")
    world.own()
    before = platform_store.counts["reads"]
    for _ in range(8):
        world.clock.at += 0.1
        assert world.names(1) == []
    assert platform_store.counts["reads"] - before <= 2


def test_a_lot_that_the_store_does_not_have_is_unknown(world):
    with pytest.raises(LotUnknownError):
        world.reader.results("other", 0, 0.0)


def test_what_was_read_once_is_told_without_owner_and_store(world, platform_store):
    world.append("a")
    world.client.replies["g1:1"] = LotPage(3, False, (result("a"),))
    assert world.names() == ["a"]
    world.client.replies.clear()
    platform_store.faults["calls_per_s"] = 0.001
    platform_store.faults_changed()
    assert world.names() == ["a"]


def test_an_owner_whose_write_was_just_taken_needs_no_look(world, platform_store):
    world.append("a")
    world.own()
    world.owned.get("lot").ownership_confirmed_at = world.clock.now()
    before = platform_store.counts["reads"]
    assert world.names(1) == []
    assert platform_store.counts["reads"] == before
    world.clock.at += LOOK_S + 0.1
    assert world.names(1) == []
    assert platform_store.counts["reads"] == before + 1


def test_a_reader_elsewhere_believes_an_owner_that_is_sure(world, platform_store):
    world.append("a")
    world.client.replies["g1:1"] = LotPage(3, False, (result("a"),), True)
    assert world.names() == ["a"]
    world.client.replies["g1:1"] = LotPage(3, False, (), True)
    before = platform_store.counts["reads"]
    for _ in range(4):
        world.clock.at += 0.5
        assert world.names(1) == []
    assert platform_store.counts["reads"] == before


def test_an_owner_answers_a_peer_only_when_it_is_sure(world):
    world.append("a")
    world.own()
    ask = ReadLot("g2", "g2:1", "lot", 1, 0.0)
    assert world.reader.page_for_peer(ask) == LotPage(3, False, (), True)
    world.stored = world.journal.change(world.stored, owner="g2")
    world.append("b")
    world.clock.at += LOOK_S + 0.1
    assert world.reader.page_for_peer(ask).total == 0
    assert world.owned.get("lot") is None


def test_an_owner_without_a_way_is_not_sure_for_a_peer(world, platform_store):
    world.append("a")
    world.own()
    platform_store.faults["calls_per_s"] = 0.001
    platform_store.faults_changed()
    page = world.reader.page_for_peer(ReadLot("g2", "g2:1", "lot", 1, 0.0))
    assert (page.total, page.sure) == (0, False)
