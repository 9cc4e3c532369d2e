"""Lots in the store: every change is one conditional write."""

from __future__ import annotations

import threading
import time

import pytest
from msgspec.structs import replace

from threadramp.lots.journal import LotJournal, LotMissingError, NotOwnerError
from threadramp.lots.model import Lot, LotHead, Result, ResultState, Sample
from threadramp.platform.store import StoreClient
from threadramp.platform.store_model import (
    MAX_ENTRIES,
    StoreRefusedError,
    StoreUnknownError,
    Transaction,
)
from threadramp.standins.server import Response

HEAD = LotHead("g1", "inc", 0.0, 7.5, 40.0, 3, False, 2, 0, 0, 0, False, "")


def make_lot(body: bytes = b"prompt") -> Lot:
    samples = tuple(Sample(name, "/p", (), body, 1, "g", None, 0) for name in "ab")
    return Lot("lot", "host", "/p/", 0, "m", 1, 1, samples)


def result(name: str) -> Result:
    return Result(name, ResultState.SUCCEEDED, f"text of {name}", (1,), "s")


@pytest.fixture
def journal(store_address) -> LotJournal:
    return LotJournal(StoreClient(store_address, timeout_s=0.3))


def test_a_lot_is_stored_once(journal):
    assert journal.create(make_lot(), HEAD) is not None
    assert journal.create(make_lot(), HEAD) is None


def test_a_lot_of_several_parts_comes_back_whole(journal):
    lot = make_lot(body=b"x" * 500_000)
    stored = journal.create(lot, HEAD)
    assert stored.head.parts == 2
    assert journal.load("lot").lot == lot


def test_results_keep_their_positions(journal):
    stored = journal.create(make_lot(), HEAD)
    stored = journal.append(stored, [result("b")])
    stored = journal.append(stored, [result("a")])
    whole = journal.load("lot")
    assert [one.sample for one in whole.results] == ["b", "a"]
    assert whole.stored.head.listed == 2


def test_the_results_of_a_lot_are_read_with_one_call(store_address):
    """Reading a chunk at a time took 506 of 2,480 calls of a day."""
    causes = []
    journal = LotJournal(StoreClient(store_address, timeout_s=0.3, count=causes.append))
    lot = make_lot()
    samples = tuple(replace(lot.samples[0], id=f"s{n}") for n in range(12))
    stored = journal.create(replace(lot, samples=samples), HEAD)
    for sample in samples:
        stored = journal.append(stored, [result(sample.id)])
    causes.clear()
    found = journal.read_results(stored, 0)
    assert [one.sample for one in found] == [
        sample.id for sample in samples
    ]  # in order beyond ten chunks, too
    assert causes == ["list lot-chunk"]


def test_a_chunk_that_is_missing_beside_its_head_is_not_passed_over(journal):
    stored = journal.create(make_lot(), HEAD)
    for name in "ab":
        stored = journal.append(stored, [result(name)])
    journal.store.transact(Transaction(removals=("lot-chunk/lot/0",)))
    with pytest.raises(StoreUnknownError):
        journal.read_results(stored, 0)


def test_only_one_of_two_owners_can_append(journal):
    stored = journal.create(make_lot(), HEAD)
    journal.append(stored, [result("a")])
    with pytest.raises(NotOwnerError):
        journal.append(stored, [result("b")])
    assert [one.sample for one in journal.load("lot").results] == ["a"]


def test_the_previous_owner_learns_who_took_its_lot_over(journal):
    stored = journal.create(make_lot(), HEAD)
    journal.update(stored, owner="g2", incarnation="other")
    with pytest.raises(NotOwnerError) as raised:
        journal.append(stored, [result("a")])
    assert raised.value.head.owner == "g2"


def test_a_write_whose_answer_was_lost_is_recognised_by_its_nonce(journal, platform_store):
    platform_store.faults["lose_answers"] = 1
    stored = journal.create(make_lot(), HEAD)
    assert stored is not None
    platform_store.faults["lose_answers"] = 2
    stored = journal.append(stored, [result("a")])
    assert stored.head.listed == 1
    assert [one.sample for one in journal.load("lot").results] == ["a"]


def test_a_late_write_is_applied_only_once(journal, platform_store):
    stored = journal.create(make_lot(), HEAD)
    platform_store.faults.update(late_writes=1, late_s=0.05)
    stored = journal.append(stored, [result("a")])
    stored = journal.append(stored, [result("b")])
    assert [one.sample for one in journal.load("lot").results] == ["a", "b"]


def test_an_unanswered_write_is_unknown_and_not_refused(journal, platform_store):
    platform_store.faults["lose_answers"] = 99
    platform_store.faults["late_writes"] = 99
    platform_store.faults["late_s"] = 60.0
    with pytest.raises(StoreUnknownError):
        journal.create(make_lot(), HEAD)


def test_a_lot_whose_head_was_not_sent_is_refused_though_a_part_may_be_stored(
    journal, platform_store
):
    """A trainer would be told that the lot may run, though nothing runs without its head."""
    platform_store.faults["lose_answers"] = 99
    with pytest.raises(StoreRefusedError):
        journal.create(make_lot(body=b"x" * 500_000), HEAD, retry_for_s=0.3)
    assert [key for key in platform_store.data if not key.startswith("lot-part/")] == []


def test_a_hand_in_that_may_be_stored_is_unknown_though_the_last_attempt_was_refused(
    journal, platform_store
):
    """The lot ran after its trainer had been promised that it would not."""
    journal.read_head("other")  # gives the client a kept connection
    write = platform_store.calls_by_name["kv-txn"]

    def write_and_fail(request):
        write(request)
        platform_store.calls_by_name["kv-txn"] = lambda request: Response(503)
        return Response(200, b"", cut=True)

    platform_store.calls_by_name["kv-txn"] = write_and_fail
    with pytest.raises(StoreUnknownError):
        journal.create(make_lot(), HEAD, retry_for_s=0.5)
    assert journal.read_head("lot") is not None


def test_a_conflict_without_the_lot_that_it_is_about_is_unknown(journal, platform_store):
    """The lot was taken for stored already, and its trainer told so, though nobody had it."""
    platform_store.calls_by_name["kv-txn"] = lambda request: Response.from_value(
        {"requests": []}, 412
    )
    with pytest.raises(StoreUnknownError):
        journal.create(make_lot(), HEAD, retry_for_s=0.3)


def test_a_submission_waits_for_an_unreachable_store(journal, platform_store):
    """It was refused at once, though the outage ended long before the trainer's timeout."""
    platform_store.faults["outage"] = True
    threading.Timer(0.6, platform_store.faults.update, ({"outage": False},)).start()
    assert journal.create(make_lot(body=b"x" * 500_000), HEAD, retry_for_s=5.0) is not None
    assert journal.load("lot").stored.head.parts == 2


def test_a_submission_fails_when_its_time_is_up(journal, platform_store):
    platform_store.faults["calls_per_s"] = 0.001
    platform_store.faults_changed()
    started = time.monotonic()
    with pytest.raises(StoreRefusedError):
        journal.create(make_lot(), HEAD, retry_for_s=1.0)
    assert time.monotonic() - started <= 1.1


def test_a_store_that_refuses_writes_is_retried_with_pauses(journal, platform_store):
    """296 writes of one lot were sent in an outage of 4.7 s, without any pause."""
    platform_store.faults["calls_per_s"] = 0.001
    platform_store.faults_changed()
    platform_store.counts["refused"] = 0
    with pytest.raises(StoreRefusedError):
        journal.create(make_lot(), HEAD, retry_for_s=2.0)
    assert 3 <= platform_store.counts["refused"] <= 9


def test_a_stored_lot_whose_answer_was_lost_is_not_reported_as_refused(journal, platform_store):
    platform_store.faults["lose_answers"] = 1

    def turn_away() -> None:
        platform_store.faults["calls_per_s"] = 0.001
        platform_store.faults_changed()

    before = platform_store._commit

    def commit(asked):
        answer = before(asked)
        turn_away()
        return answer

    platform_store._commit = commit
    with pytest.raises(StoreUnknownError):
        journal.create(make_lot(), HEAD, retry_for_s=0.5)


def test_a_missing_lot_is_reported(journal):
    with pytest.raises(LotMissingError):
        journal.load("none")


def test_a_removed_lot_leaves_no_key(journal, platform_store):
    stored = journal.append(journal.create(make_lot(), HEAD), [result("a")])
    journal.remove(stored)
    assert platform_store.data == {}


def test_the_heads_of_all_lots_are_listed(journal):
    journal.create(make_lot(), HEAD)
    assert [stored.lot_id for stored in journal.list_heads()] == ["lot"]


def test_a_late_removal_leaves_a_later_lot_of_the_same_id_alone(journal):
    """The removing process listed the heads before, and may have been suspended since."""
    old = journal.create(make_lot(), HEAD)
    journal.remove(old)
    new = journal.create(make_lot(), HEAD)
    new = journal.append(new, [result("a")])
    journal.remove(old)
    assert journal.load_from_head(new).results == (result("a"),)


def test_an_interrupted_removal_is_resumed_and_leaves_later_lots_alone(journal, platform_store):
    """The lot has more keys than one write may name."""
    old = journal.create(make_lot(), HEAD)
    for _ in range(MAX_ENTRIES):
        old = journal.append(old, [result("a")])
    stalled = HeldUp(journal, 1)
    with pytest.raises(StoreUnknownError):
        journal.remove(old)
    stalled.end()
    journal.remove(old)
    assert not [key for key in platform_store.data if key.startswith("lot")]
    new = journal.append(journal.create(make_lot(), HEAD), [result("b")])
    stalled.late()
    assert journal.load_from_head(new).results == (result("b"),)


class HeldUp:
    """Leaves writes after the first ones unanswered, and commits them later."""

    def __init__(self, journal: LotJournal, writes: int) -> None:
        self.journal = journal
        self.left = writes
        self.held: list[Transaction] = []
        self.transact = journal.store.transact
        journal.store.transact = self._held_up

    def _held_up(self, transaction: Transaction, repeatable: bool = False):
        if self.left:
            self.left -= 1
            return self.transact(transaction, repeatable)
        self.held.append(transaction)
        raise StoreUnknownError("no answer")

    def end(self) -> None:
        self.journal.store.transact = self.transact

    def late(self) -> None:
        for transaction in self.held:
            self.transact(transaction)
