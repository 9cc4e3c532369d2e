"""An end that one gateway wrote reaches the gateway that runs the lot."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
import pytest

from tests.core.test_lot_tracker import make_book, make_sample
from threadramp.fleet.fleet_view import FleetView, Member
from threadramp.fleet.peers import Peers
from threadramp.fleet.store_health import StoreHealth
from threadramp.lots.audit import LotAudit, lookers_for
from threadramp.lots.end_notices import TOLD_FOR_S, EndNotices
from threadramp.lots.journal import LotJournal
from threadramp.lots.model import LotHead
from threadramp.lots.owned import OwnedLot, OwnedLots
from threadramp.lots.owner import LotOwner
from threadramp.lots.reading import LotReader
from threadramp.platform.store import StoreClient
from threadramp.platform.store_model import Item, Listing
from threadramp.serve.peer_requests import PeerRequestHandler
from threadramp.wire.fleet import Done, EndKept, LotEnded

if TYPE_CHECKING:
    from threadramp.core.lot_tracker import LotTracker

HEAD = LotHead("g1", "1", 0.0, 7.5, 40.0, 3, False, 3, 0, 0, 0, False, "")


def book_of(names: str) -> LotTracker:
    """Return the book of a lot with one sample for each letter."""
    return make_book(*[make_sample(name, "g") for name in names])


class LocalClient:
    """Carries messages between gateways; some addresses may not answer."""

    def __init__(self) -> None:
        self.answers: dict[str, PeerRequestHandler] = {}
        self.silent: set[str] = set()

    def ask(self, address, ask, timeout_s):
        reached = address in self.answers and address not in self.silent
        return self.answers[address].handle(ask) if reached else None

    def exchange(self, asks, timeout_s):
        replies = {address: self.ask(address, ask, timeout_s) for address, ask in asks.items()}
        return {address: reply for address, reply in replies.items() if reply is not None}


class Checkpoints:
    """Keeps nothing."""

    def load(self, lot_id: str) -> dict:
        """Return nothing."""
        return {}

    def forget(self, lot_id: str) -> None:
        """Take note of nothing."""


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
            self.owned, self.journal, peers, clock, self._drop, Checkpoints(), self.notices.tell
        )
        self.reader = LotReader(self.owned, self.owner, self.journal, peers, clock)
        client.answers[member.address] = PeerRequestHandler(peers, self.owner, self.reader, None)

    def _drop(self, owned: OwnedLot, let_finish: bool) -> None:
        self.dropped.append(owned.lot_id)

    def know(self, *names: str) -> None:
        members = [Member(name, "gateway", "1", f"{name}:1", "a", "") for name in names]
        items = tuple(Item(f"member/{m.name}", msgspec.msgpack.encode(m), 1) for m in members)
        self.picture.members.replace(Listing(items, self.picture.members.revision + 1), 0.0)

    def own(self) -> OwnedLot:
        book = book_of("abc")
        owned = OwnedLot(book, self.journal.create(book.lot, HEAD))
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
    assert not owned.book.ended
    assert other.notices.one_turn()
    other.know("g0", "g1")
    assert not other.notices.one_turn()
    assert owned.book.ended
    assert owned.kept.head.ended
    assert running.dropped == ["lot"]


def test_an_end_reaches_a_gateway_that_has_just_lost_its_place_in_the_list(running, other, clock):
    """It heard of the end once it had listed itself again, 2.1 s later, beside load after 3 s."""
    owned = running.own()
    other.know("g0", "g1")
    other.know("g0")
    clock.at += 1.0
    other.reader.end("lot")
    assert not other.notices.one_turn()
    assert owned.book.ended
    assert running.dropped == ["lot"]


def test_an_end_that_an_owner_did_not_answer_reaches_it_later(running, other, client):
    owned = running.own()
    other.know("g0", "g1")
    client.silent.add("g1:1")
    other.reader.end("lot")
    assert other.notices.one_turn()
    client.silent.clear()
    assert not other.notices.one_turn()
    assert owned.book.ended


def test_an_end_reaches_the_gateway_that_took_the_lot_over_meanwhile(running, other, client):
    client.silent.add("g2:1")
    other.know("g0", "g1", "g2")
    book = book_of("abc")
    kept = other.journal.create(book.lot, HEAD)
    client.silent.add("g1:1")
    other.reader.end("lot")  # it goes by the owner before
    running.owned.add(OwnedLot(book, kept))
    client.silent.discard("g1:1")
    other.notices.one_turn()
    assert book.ended


def test_an_end_of_a_lot_that_was_taken_over_reaches_the_gateway_that_ran_it(running, other):
    """It was not listed for a moment, and does not know that its lot went to another."""
    owned = running.own()
    other.know("g0")
    other.owner.take_over(owned.kept)
    other.reader.end("lot")
    assert other.dropped == ["lot"]
    assert not owned.book.ended
    other.know("g0", "g1")
    assert not other.notices.one_turn()
    assert owned.book.ended
    assert running.dropped == ["lot"]


def test_an_end_of_a_lot_of_the_process_before_on_the_same_box_needs_no_notice(running, other):
    old = running.own()
    running.owned.remove("lot")
    running.owner.peers.member = Member("g1", "gateway", "2", "g1:1", "a", "")
    running.owner.take_over(old.kept)
    running.reader.end("lot")
    assert not running.notices.one_turn()


def test_a_notice_that_no_owner_takes_is_given_up_after_a_while(running, other, clock):
    running.journal.create(book_of("a").lot, HEAD)
    other.know("g0", "g1")
    other.reader.end("lot")
    assert other.notices.one_turn()
    clock.at += TOLD_FOR_S + 0.1
    assert not other.notices.one_turn()


def test_an_end_that_its_owner_wrote_needs_no_notice(running, other):
    running.own()
    other.know("g0", "g1")
    other.reader.end("lot")
    assert not other.notices.one_turn()


def test_a_notice_of_an_end_that_is_known_changes_nothing(running, other):
    owned = running.own()
    running.reader.end("lot")
    reply = running.reader.peers.client.ask("g1:1", EndKept("g0", "g0:1", owned.kept), 1.0)
    assert reply == LotEnded(True, True)
    assert running.dropped == ["lot"]
    gone = running.reader.peers.client.ask("g0:1", EndKept("g1", "g1:1", owned.kept), 1.0)
    assert gone == LotEnded(False, False)
    assert not isinstance(gone, Done)


def test_the_audit_notices_the_end_of_a_lot_that_runs_here(running, other):
    owned = running.own()
    running.know("g0", "g1")
    kept = running.journal.head("lot")
    running.journal.change(kept, ended=True)
    LotAudit(running.owner, status_s=120.0)._audit()
    assert owned.book.ended
    assert running.dropped == ["lot"]


def test_an_end_that_comes_again_long_after_is_not_told_again(running, other, clock):
    running.journal.create(book_of("a").lot, HEAD)
    other.know("g0", "g1")
    other.reader.end("lot")
    clock.at += TOLD_FOR_S + 0.1
    assert not other.notices.one_turn()
    other.reader.end("lot")
    assert not other.notices.one_turn()


def test_a_lot_that_lay_idle_at_two_looks_is_taken_by_whoever_looks(other):
    """Those that it fell to did not see its gateway go; the one that looks is not among them."""
    names = [f"g{n}" for n in range(12)]
    gone = next(f"gone{n}" for n in range(99) if "g0" not in lookers_for(f"gone{n}", names))
    head = msgspec.structs.replace(HEAD, owner=gone, incarnation="old")
    other.journal.create(book_of("a").lot, head)
    other.know(*names)
    audit = LotAudit(other.owner, status_s=120.0)
    audit._audit()
    assert other.owned.get("lot") is None
    audit._audit()
    assert other.owned.get("lot") is not None


def test_a_lot_stays_where_it_is_while_its_heir_does_not_answer(running, other, client, clock):
    """Else nobody would run it: its owner by the store does not look for lots that it never saw."""
    owned = running.own()
    running.know("g0", "g1")
    client.silent.add("g0:1")
    assert not running.owner._give_to(owned, running.picture.snapshot.members["g0"])
    assert running.owned.get("lot") is owned
    client.silent.clear()
    assert running.owner._give_to(owned, running.picture.snapshot.members["g0"])
    assert running.owned.get("lot") is None
    assert other.owned.get("lot") is not None


def test_an_end_that_is_written_while_the_lot_is_taken_over_here_holds_here(running, other):
    """Samples of an ended lot began 3.4 s after its end, once beside load.

    How it came about: a gateway that was asked for the end did not own the lot, wrote the end to
    the store and told the others, while its own look at idle lots took the lot over, from what it
    had read before the end. Cause: an end was looked up among the lots that are owned, and a lot
    that is being taken over is not among them yet. Proof: the lines of that run; without the mend
    each order of the two fails.
    """
    running.own()
    kept = other.journal.head("lot")
    whole = other.journal.whole

    def end_meanwhile(head):
        found = whole(head)
        other.reader.end("lot")
        return found

    other.journal.whole = end_meanwhile
    other.owner.take_over(kept)
    assert other.owned.get("lot").book.ended


def test_a_lot_that_is_taken_over_while_its_end_is_being_written_is_ended(running, other):
    running.own()
    kept = other.journal.head("lot")
    write = other.owner._end_kept

    def take_over_first(head):
        other.owner.take_over(kept)
        return write(head)

    other.owner._end_kept = take_over_first
    other.reader.end("lot")
    assert other.owned.get("lot").book.ended


def test_an_end_that_is_told_while_the_lot_is_taken_over_holds_once_it_is(running, other):
    running.own()
    kept = other.journal.head("lot")
    whole = other.journal.whole

    def told_meanwhile(head):
        found = whole(head)
        running.owner.end("lot")
        other.owner.ended_elsewhere(running.journal.head("lot"))
        return found

    other.journal.whole = told_meanwhile
    other.owner.take_over(kept)
    assert other.owned.get("lot").book.ended
