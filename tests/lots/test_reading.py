"""Reading lots at gateways that own them, do not own them, or no longer own them."""

from __future__ import annotations

import msgspec
import pytest

from tests.core.test_lot_tracker import make_book, make_sample
from threadramp.fleet.fleet_view import FleetView, Member
from threadramp.fleet.peers import Peers
from threadramp.fleet.store_health import StoreHealth
from threadramp.lots.head_change import append_change
from threadramp.lots.head_writer import HeadWriter
from threadramp.lots.journal import LotJournal
from threadramp.lots.model import LotHead, Result, ResultState
from threadramp.lots.owned import OwnedLot, OwnedLots
from threadramp.lots.reading import OWNERSHIP_CHECK_S, LotReader
from threadramp.lots.remote_lots import LotUnknownError
from threadramp.platform.store import StoreClient
from threadramp.platform.store_model import (
    Item,
    Listing,
    StoreError,
    StoreRefusedError,
    StoreUnknownError,
)
from threadramp.wire.fleet import LotEnded, LotPage, ReadLot, TakeUp

HEAD = LotHead("g1", "1", 0.0, 7.5, 40.0, 3, False, 3, 0, 0, 0, False, "")
MEMBERS = [Member(f"g{n}", "gateway", "1", f"g{n}:1", "a", "") for n in range(3)]


def result(name: str) -> Result:
    return Result(name, ResultState.SUCCEEDED, f"text of {name}", (1,), "s")


class Owner:
    """Releases lots as the real owner does."""

    def __init__(self, owned: OwnedLots, writer: HeadWriter) -> None:
        self.owned = owned
        self.writer = writer
        self.taken_up: list[str] = []
        self.unresolved_ends: set[str] = set()
        self.end_error: StoreError | None = None

    def take_up_if_named(self, lot_id: str) -> None:
        self.taken_up.append(lot_id)

    def end(self, lot_id: str) -> bool:
        if self.end_error is not None:
            raise self.end_error
        return True

    def release(self, lot: OwnedLot) -> None:
        self.owned.remove(lot.lot_id)


class Client:
    """Peers that answer as configured."""

    def __init__(self) -> None:
        self.replies: dict[str, object] = {}
        self.asked: list[tuple[str, object]] = []

    def ask(self, address, ask, timeout_s):
        self.asked.append((address, ask))
        return self.replies.get(address)


class Gateway:
    """One gateway, ``g0``, and a store that has a lot of three samples."""

    def __init__(self, clock, store_address) -> None:
        self.clock = clock
        self.journal = LotJournal(StoreClient(store_address, timeout_s=0.5))
        self.tracker = make_book(*[make_sample(name, "g") for name in "abc"])
        self.stored = self.journal.create(self.tracker.lot, HEAD)
        picture = FleetView()
        items = tuple(Item(f"member/{m.name}", msgspec.msgpack.encode(m), 1) for m in MEMBERS)
        picture.members.replace(Listing(items, 1), 0.0)
        self.client = Client()
        peers = Peers(MEMBERS[0], picture, self.client, StoreHealth(clock), clock)
        self.owned = OwnedLots()
        writer = HeadWriter(self.owned, self.journal, MEMBERS[0], clock)
        self.owner = Owner(self.owned, writer)
        self.reader = LotReader(self.owned, self.owner, self.journal, peers, clock)

    def append(self, name: str) -> None:
        self.stored = self.journal.append(self.stored, [result(name)])

    def own(self) -> None:
        """Make the gateway consider itself the owner of the lot, with the current results."""
        self.stored = self.journal.update(self.stored, owner="g0")
        self.tracker.appended(())
        for one in self.journal.read_results(self.stored, 0):
            self.tracker.appended([one])
        self.owned.add(OwnedLot(self.tracker, self.stored))

    def reports(self) -> list[str]:
        """Return the addresses that were told to take the lot up."""
        return [at for at, ask in self.client.asked if isinstance(ask, TakeUp)]

    def names(self, after: int = 0) -> list[str]:
        return [one.sample for one in self.reader.results("lot", after, 0.0).results]


@pytest.fixture
def gateway(clock, store_address) -> Gateway:
    return Gateway(clock, store_address)


def test_the_owner_returns_what_is_listed(gateway):
    gateway.append("a")
    gateway.own()
    assert gateway.names() == ["a"]
    assert gateway.names(1) == []


def test_an_owner_that_lost_the_lot_unknowingly_returns_what_the_next_one_listed(gateway):
    gateway.append("a")
    gateway.own()
    assert gateway.names(1) == []
    gateway.stored = gateway.journal.update(gateway.stored, owner="g2")
    gateway.append("b")
    gateway.clock.at += 0.9
    assert gateway.names(1) == ["b"]
    assert gateway.owned.get("lot") is None


def test_a_previous_owner_that_still_answers_is_not_trusted_without_a_check(gateway):
    gateway.append("a")
    gateway.client.replies["g1:1"] = LotPage(3, False, (result("a"),))
    assert gateway.names() == ["a"]
    gateway.stored = gateway.journal.update(gateway.stored, owner="g2")
    gateway.append("b")
    gateway.client.replies["g1:1"] = LotPage(3, False, ())
    gateway.clock.at += 0.9
    assert gateway.names(1) == ["b"]


def test_without_the_store_no_gateway_answers_that_there_is_no_result(gateway, platform_store):
    gateway.append("a")
    gateway.own()
    platform_store.faults["calls_per_s"] = 0.001
    platform_store.faults_changed()
    assert gateway.names() == ["a"]
    with pytest.raises(StoreError):
        gateway.names(1)


def test_the_store_is_not_asked_at_each_read(gateway, platform_store):
    gateway.append("a")
    gateway.own()
    before = platform_store.counts["reads"]
    for _ in range(8):
        gateway.clock.at += 0.1
        assert gateway.names(1) == []
    assert platform_store.counts["reads"] - before <= 2


def test_a_lot_that_the_store_does_not_have_is_unknown(gateway):
    with pytest.raises(LotUnknownError):
        gateway.reader.results("other", 0, 0.0)


def test_what_was_read_once_is_returned_without_owner_and_store(gateway, platform_store):
    gateway.append("a")
    gateway.client.replies["g1:1"] = LotPage(3, False, (result("a"),))
    assert gateway.names() == ["a"]
    gateway.client.replies.clear()
    platform_store.faults["calls_per_s"] = 0.001
    platform_store.faults_changed()
    assert gateway.names() == ["a"]


def test_an_owner_whose_write_was_just_committed_needs_no_check(gateway, platform_store):
    gateway.append("a")
    gateway.own()
    gateway.owned.get("lot").ownership_confirmed_at = gateway.clock.now()
    before = platform_store.counts["reads"]
    assert gateway.names(1) == []
    assert platform_store.counts["reads"] == before
    gateway.clock.at += OWNERSHIP_CHECK_S + 0.1
    assert gateway.names(1) == []
    assert platform_store.counts["reads"] == before + 1


def test_a_remote_reader_trusts_an_owner_that_is_sure(gateway, platform_store):
    gateway.append("a")
    gateway.client.replies["g1:1"] = LotPage(3, False, (result("a"),), True)
    assert gateway.names() == ["a"]
    gateway.client.replies["g1:1"] = LotPage(3, False, (), True)
    before = platform_store.counts["reads"]
    for _ in range(4):
        gateway.clock.at += 0.5
        assert gateway.names(1) == []
    assert platform_store.counts["reads"] == before


def test_an_owner_answers_a_peer_only_when_it_is_sure(gateway):
    gateway.append("a")
    gateway.own()
    ask = ReadLot("g2", "g2:1", "lot", 1, 0.0)
    assert gateway.reader.page_for_peer(ask) == LotPage(3, False, (), True)
    gateway.stored = gateway.journal.update(gateway.stored, owner="g2")
    gateway.append("b")
    gateway.clock.at += OWNERSHIP_CHECK_S + 0.1
    assert gateway.reader.page_for_peer(ask).total == 0
    assert gateway.owned.get("lot") is None


def test_an_owner_that_cannot_reach_the_store_is_not_sure_for_a_peer(gateway, platform_store):
    gateway.append("a")
    gateway.own()
    platform_store.faults["calls_per_s"] = 0.001
    platform_store.faults_changed()
    page = gateway.reader.page_for_peer(ReadLot("g2", "g2:1", "lot", 1, 0.0))
    assert (page.total, page.sure) == (0, False)


NOT_OWNED = LotPage(0, False, ())


def test_a_live_owner_that_does_not_run_its_lot_is_told_at_most_once_a_second(gateway):
    """A lot lay at no engine until one of six gateways scanned the heads again: review/2."""
    gateway.client.replies["g1:1"] = NOT_OWNED
    for _ in range(9):
        assert gateway.names() == []
        gateway.clock.at += 0.25
    assert gateway.reports() == ["g1:1"] * 3


def test_an_owner_that_runs_its_lot_is_told_nothing(gateway, platform_store):
    gateway.client.replies["g1:1"] = LotPage(3, False, (), True)
    for _ in range(4):
        assert gateway.names() == []
        gateway.clock.at += 1.0
    assert gateway.reports() == []
    assert platform_store.counts["reads"] == 1  # of the head, by the first read


@pytest.mark.parametrize("reply", [None, LotPage(3, False, ())], ids=["silent", "unsure"])
def test_an_owner_that_does_not_deny_to_run_its_lot_is_told_nothing(gateway, reply):
    gateway.client.replies["g1:1"] = reply
    assert gateway.names() == []
    assert gateway.reports() == []


def test_the_next_process_of_a_lots_owner_is_told(gateway):
    """A late write may name the previous process after its successor scanned the heads."""
    gateway.stored = gateway.journal.update(gateway.stored, incarnation="0")
    assert gateway.names() == []
    assert gateway.reports() == ["g1:1"]


def test_a_lot_that_names_the_reading_gateway_itself_is_taken_up(gateway):
    gateway.stored = gateway.journal.update(gateway.stored, owner="g0")
    assert gateway.names() == []
    assert gateway.names() == []
    assert gateway.owner.taken_up == ["lot"]


@pytest.mark.parametrize("fields", [{"ended": True}, {"listed": 3}], ids=["ended", "complete"])
def test_nobody_is_told_of_a_lot_that_needs_no_work(gateway, fields):
    gateway.stored = gateway.journal.update(gateway.stored, **fields)
    gateway.client.replies["g1:1"] = NOT_OWNED
    gateway.reader.results("lot", 3, 0.0)
    assert gateway.reports() == []


def test_an_own_write_that_was_not_answered_is_listed_to_readers(gateway):
    gateway.append("a")
    gateway.own()
    lot = gateway.owned.get("lot")
    change = append_change(lot.stored, (result("b"),))
    lot.unresolved[change.nonce] = change
    gateway.journal.commit(change)
    gateway.clock.at += OWNERSHIP_CHECK_S + 0.1
    assert gateway.names(1) == ["b"]
    assert gateway.owned.get("lot") is lot


@pytest.mark.parametrize(
    ("reply", "error", "expected"),
    [
        (None, StoreRefusedError("503"), StoreUnknownError),
        (LotEnded(True, False), StoreRefusedError("503"), StoreUnknownError),
        (LotEnded(True, False, True), StoreRefusedError("503"), StoreRefusedError),
        (LotEnded(False, False), StoreRefusedError("503"), StoreRefusedError),
        (LotEnded(True, False, True), StoreUnknownError("late"), StoreUnknownError),
    ],
    ids=["silent", "unsure", "refused", "not owned", "unknown here"],
)
def test_an_end_is_refused_only_if_neither_the_owner_nor_we_may_have_stored_it(
    gateway, reply, error, expected
):
    gateway.client.replies["g1:1"] = reply
    gateway.owner.end_error = error
    with pytest.raises(expected):
        gateway.reader.end("lot")
    is_repeated = expected is StoreUnknownError and isinstance(error, StoreRefusedError)
    assert gateway.owner.unresolved_ends == ({"lot"} if is_repeated else set())


def test_an_end_whose_owner_could_not_be_read_was_not_sent(gateway, platform_store):
    platform_store.faults["outage"] = True
    with pytest.raises(StoreRefusedError):
        gateway.reader.end("lot")
