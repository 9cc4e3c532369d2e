"""An end written by one gateway reaches the gateway that runs the lot."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
import pytest

from tests.core.test_lot_tracker import make_book, make_sample
from threadramp.fleet.fleet_view import FleetView, Member
from threadramp.fleet.peers import Peers
from threadramp.fleet.store_health import StoreHealth
from threadramp.lots.audit import LotAudit, scanners_for
from threadramp.lots.end_notices import NOTICE_TTL_S, EndNotices
from threadramp.lots.journal import LotJournal
from threadramp.lots.model import LotHead
from threadramp.lots.owned import OwnedLot, OwnedLots
from threadramp.lots.owner import LotOwner
from threadramp.lots.reading import LotReader
from threadramp.platform.store import StoreClient
from threadramp.platform.store_model import Item, Listing
from threadramp.serve.answers import GatewayAnswers
from threadramp.wire.fleet import Done, EndKept, LotEnded

if TYPE_CHECKING:
    from threadramp.core.lot_tracker import LotTracker

HEAD = LotHead("g1", "1", 0.0, 7.5, 40.0, 3, False, 3, 0, 0, 0, False, "")


def tracker_of(names: str) -> LotTracker:
    """Return the tracker of a lot with one sample for each letter."""
    return make_book(*[make_sample(name, "g") for name in names])


class LocalClient:
    """Delivers messages between gateways; some addresses may not answer."""

    def __init__(self) -> None:
        self.answers: dict[str, GatewayAnswers] = {}
        self.silent: set[str] = set()

    def ask(self, address, ask, timeout_s):
        reached = address in self.answers and address not in self.silent
        return self.answers[address].handle(ask) if reached else None

    def exchange(self, asks, timeout_s):
        replies = {address: self.ask(address, ask, timeout_s) for address, ask in asks.items()}
        return {address: reply for address, reply in replies.items() if reply is not None}


class Checkpoints:
    """Stores nothing."""

    def load(self, lot_id: str) -> dict:
        """Return nothing."""
        return {}

    def forget(self, lot_id: str) -> None:
        """Do nothing."""


class Gateway:
    """The lots of one gateway."""

    def __init__(self, name: str, client: LocalClient, clock, store_address: str) -> None:
        member = Member(name, "gateway", "1", f"{name}:1", "a", "")
        self.picture = FleetView()
        self.journal = LotJournal(StoreClient(store_address, timeout_s=0.5))
        peers = Peers(member, self.picture, client, StoreHealth(clock), clock)
        self.owned = OwnedLots()
        self.dropped: list[str] = []
        self.notices = EndNotices(peers, clock)
        self.owner = LotOwner(
            self.owned, self.journal, peers, clock, self._drop, Checkpoints(), self.notices.notify
        )
        self.reader = LotReader(self.owned, self.owner, self.journal, peers, clock)
        client.answers[member.address] = GatewayAnswers(peers, self.owner, self.reader, None)

    def _drop(self, owned: OwnedLot, let_finish: bool) -> None:
        self.dropped.append(owned.lot_id)

    def know(self, *names: str) -> None:
        members = [Member(name, "gateway", "1", f"{name}:1", "a", "") for name in names]
        items = tuple(Item(f"member/{m.name}", msgspec.msgpack.encode(m), 1) for m in members)
        self.picture.members.replace(Listing(items, self.picture.members.revision + 1), 0.0)

    def own(self) -> OwnedLot:
        tracker = tracker_of("abc")
        owned = OwnedLot(tracker, self.journal.create(tracker.lot, HEAD))
        self.owned.add(owned)
        return owned


@pytest.fixture
def client() -> LocalClient:
    return LocalClient()


@pytest.fixture
def running(client, clock, store_address) -> Gateway:
    """The gateway that runs the lot."""
    return Gateway("g1", client, clock, store_address)


@pytest.fixture
def other(client, clock, store_address) -> Gateway:
    return Gateway("g0", client, clock, store_address)


def test_an_end_by_a_gateway_that_does_not_know_the_owner_yet_reaches_it(running, other):
    owned = running.own()
    other.know("g0")
    other.reader.end("lot")
    assert not owned.tracker.ended
    assert other.notices.run_once()
    other.know("g0", "g1")
    assert not other.notices.run_once()
    assert owned.tracker.ended
    assert owned.stored.head.ended
    assert running.dropped == ["lot"]


def test_an_end_reaches_a_gateway_just_dropped_from_the_member_list(running, other, clock):
    """It was notified only once it was listed again, after 2.1 s, or 3 s under load."""
    owned = running.own()
    other.know("g0", "g1")
    other.know("g0")
    clock.at += 1.0
    other.reader.end("lot")
    assert not other.notices.run_once()
    assert owned.tracker.ended
    assert running.dropped == ["lot"]


def test_an_end_that_an_owner_did_not_answer_reaches_it_later(running, other, client):
    owned = running.own()
    other.know("g0", "g1")
    client.silent.add("g1:1")
    other.reader.end("lot")
    assert other.notices.run_once()
    client.silent.clear()
    assert not other.notices.run_once()
    assert owned.tracker.ended


def test_an_end_reaches_the_gateway_that_took_the_lot_over_meanwhile(running, other, client):
    client.silent.add("g2:1")
    other.know("g0", "g1", "g2")
    tracker = tracker_of("abc")
    stored = other.journal.create(tracker.lot, HEAD)
    client.silent.add("g1:1")
    other.reader.end("lot")  # it uses the previous owner
    running.owned.add(OwnedLot(tracker, stored))
    client.silent.discard("g1:1")
    other.notices.run_once()
    assert tracker.ended


def test_an_end_of_a_lot_that_was_taken_over_reaches_the_gateway_that_ran_it(running, other):
    """It was unlisted for a moment, and does not know that another gateway took its lot over."""
    owned = running.own()
    other.know("g0")
    other.owner.take_over(owned.stored)
    other.reader.end("lot")
    assert other.dropped == ["lot"]
    assert not owned.tracker.ended
    other.know("g0", "g1")
    assert not other.notices.run_once()
    assert owned.tracker.ended
    assert running.dropped == ["lot"]


def test_an_end_of_a_lot_of_the_process_before_on_the_same_box_needs_no_notice(running, other):
    old = running.own()
    running.owned.remove("lot")
    running.owner.peers.member = Member("g1", "gateway", "2", "g1:1", "a", "")
    running.owner.take_over(old.stored)
    running.reader.end("lot")
    assert not running.notices.run_once()


def test_a_notice_that_no_owner_confirms_expires(running, other, clock):
    running.journal.create(tracker_of("a").lot, HEAD)
    other.know("g0", "g1")
    other.reader.end("lot")
    assert other.notices.run_once()
    clock.at += NOTICE_TTL_S + 0.1
    assert not other.notices.run_once()


def test_an_end_that_its_owner_wrote_needs_no_notice(running, other):
    running.own()
    other.know("g0", "g1")
    other.reader.end("lot")
    assert not other.notices.run_once()


def test_a_notice_of_an_end_that_is_known_changes_nothing(running, other):
    owned = running.own()
    running.reader.end("lot")
    reply = running.reader.peers.client.ask("g1:1", EndKept("g0", "g0:1", owned.stored), 1.0)
    assert reply == LotEnded(True, True)
    assert running.dropped == ["lot"]
    unowned = running.reader.peers.client.ask("g0:1", EndKept("g1", "g1:1", owned.stored), 1.0)
    assert unowned == LotEnded(False, False)
    assert not isinstance(unowned, Done)


def test_the_audit_notices_the_end_of_a_lot_that_runs_here(running, other):
    owned = running.own()
    running.know("g0", "g1")
    stored = running.journal.read_head("lot")
    running.journal.update(stored, ended=True)
    LotAudit(running.owner, status_s=120.0)._scan()
    assert owned.tracker.ended
    assert running.dropped == ["lot"]


def test_a_repeated_end_is_not_notified_again(running, other, clock):
    running.journal.create(tracker_of("a").lot, HEAD)
    other.know("g0", "g1")
    other.reader.end("lot")
    clock.at += NOTICE_TTL_S + 0.1
    assert not other.notices.run_once()
    other.reader.end("lot")
    assert not other.notices.run_once()


def test_a_lot_orphaned_at_two_scans_is_taken_over_by_any_scanner(other):
    """Its assigned successors did not see the owner leave; the scanning gateway is none of them."""
    names = [f"g{n}" for n in range(12)]
    left = next(f"gone{n}" for n in range(99) if "g0" not in scanners_for(f"gone{n}", names))
    head = msgspec.structs.replace(HEAD, owner=left, incarnation="old")
    other.journal.create(tracker_of("a").lot, head)
    other.know(*names)
    audit = LotAudit(other.owner, status_s=120.0)
    audit._scan()
    assert other.owned.get("lot") is None
    audit._scan()
    assert other.owned.get("lot") is not None


def test_a_lot_stays_where_it_is_while_its_successor_does_not_answer(running, other, client, clock):
    """Otherwise nobody would run it.

    The owner that the store names does not look for lots that it never received.
    """
    owned = running.own()
    running.know("g0", "g1")
    client.silent.add("g0:1")
    assert not running.owner._transfer_to(owned, running.picture.snapshot.members["g0"])
    assert running.owned.get("lot") is owned
    client.silent.clear()
    assert running.owner._transfer_to(owned, running.picture.snapshot.members["g0"])
    assert running.owned.get("lot") is None
    assert other.owned.get("lot") is not None


def test_an_end_written_during_a_takeover_ends_the_lot(running, other):
    """Samples of an ended lot started 3.4 s after its end, once, under load.

    A gateway that did not own the lot wrote its end and notified the others, while its own audit
    took the lot over from what it had read before the end. Ends were looked up among the owned lots
    only, and a lot that is being taken over is not one of them yet. Confirmed by the log lines of
    that run; without the fix both orders of end and takeover fail.
    """
    running.own()
    stored = other.journal.read_head("lot")
    load_from_head = other.journal.load_from_head

    def end_meanwhile(head):
        found = load_from_head(head)
        other.reader.end("lot")
        return found

    other.journal.load_from_head = end_meanwhile
    other.owner.take_over(stored)
    assert other.owned.get("lot").tracker.ended


def test_a_lot_that_is_taken_over_while_its_end_is_being_written_is_ended(running, other):
    running.own()
    stored = other.journal.read_head("lot")
    write = other.owner._store_end

    def take_over_first(head):
        other.owner.take_over(stored)
        return write(head)

    other.owner._store_end = take_over_first
    other.reader.end("lot")
    assert other.owned.get("lot").tracker.ended


def test_a_notice_received_during_a_takeover_ends_the_lot(running, other):
    running.own()
    stored = other.journal.read_head("lot")
    load_from_head = other.journal.load_from_head

    def told_meanwhile(head):
        found = load_from_head(head)
        running.owner.end("lot")
        other.owner.apply_end(running.journal.read_head("lot"))
        return found

    other.journal.load_from_head = told_meanwhile
    other.owner.take_over(stored)
    assert other.owned.get("lot").tracker.ended
