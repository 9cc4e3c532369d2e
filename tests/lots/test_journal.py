"""Lots in the store: what stands is one conditional write."""

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

HEAD = LotHead("g1", "inc", 0.0, 7.5, 40.0, 3, False, 2, 0, 0, 0, False, "")


def make_lot(body: bytes = b"prompt") -> Lot:
    samples = tuple(Sample(name, "/p", (), body, 1, "g", None, 0) for name in "ab")
    return Lot("lot", "host", "/p/", 0, "m", 1, 1, samples)


def result(name: str) -> Result:
    return Result(name, ResultState.SUCCEEDED, f"text of {name}", (1,), "s")


@pytest.fixture
def journal(store_address) -> LotJournal:
    return LotJournal(StoreClient(store_address, timeout_s=0.3))


def test_a_lot_is_kept_once(journal):
    assert journal.create(make_lot(), HEAD) is not None
    assert journal.create(make_lot(), HEAD) is None


def test_a_lot_of_several_parts_comes_back_whole(journal):
    lot = make_lot(body=b"x" * 500_000)
    stored = journal.create(lot, HEAD)
    assert stored.head.parts == 2
    assert journal.load("lot").lot == lot


def test_results_stand_at_their_positions(journal):
    stored = journal.create(make_lot(), HEAD)
    stored = journal.append(stored, [result("b")])
    stored = journal.append(stored, [result("a")])
    whole = journal.load("lot")
    assert [one.sample for one in whole.results] == ["b", "a"]
    assert whole.stored.head.listed == 2


def test_the_results_of_a_lot_are_read_with_one_call(store_address):
    """A chunk at a time took 506 of 2,480 calls of a day."""
    causes = []
    journal = LotJournal(StoreClient(store_address, timeout_s=0.3, count=causes.append))
    lot = make_lot()
    samples = tuple(replace(lot.samples[0], id=f"s{n}") for n in range(12))
    stored = journal.create(replace(lot, samples=samples), HEAD)
    for sample in samples:
        stored = journal.append(stored, [result(sample.id)])
    causes.clear()
    found = journal.results(stored, 0)
    assert [one.sample for one in found] == [sample.id for sample in samples]  # also beyond ten
    assert causes == ["list lot-chunk"]


def test_a_chunk_that_is_missing_beside_its_head_is_not_passed_over(journal):
    stored = journal.create(make_lot(), HEAD)
    for name in "ab":
        stored = journal.append(stored, [result(name)])
    journal.store.transact(Transaction(removals=("lot-chunk/lot/0",)))
    with pytest.raises(StoreUnknownError):
        journal.results(stored, 0)


def test_of_two_owners_one_append_stands(journal):
    stored = journal.create(make_lot(), HEAD)
    journal.append(stored, [result("a")])
    with pytest.raises(NotOwnerError):
        journal.append(stored, [result("b")])
    assert [one.sample for one in journal.load("lot").results] == ["a"]


def test_who_took_a_lot_over_is_told_to_the_owner_before(journal):
    stored = journal.create(make_lot(), HEAD)
    journal.change(stored, owner="g2", incarnation="other")
    with pytest.raises(NotOwnerError) as raised:
        journal.append(stored, [result("a")])
    assert raised.value.head.owner == "g2"


def test_a_lost_answer_is_settled_by_the_nonce(journal, platform_store):
    platform_store.faults["lose_answers"] = 1
    stored = journal.create(make_lot(), HEAD)
    assert stored is not None
    platform_store.faults["lose_answers"] = 2
    stored = journal.append(stored, [result("a")])
    assert stored.head.listed == 1
    assert [one.sample for one in journal.load("lot").results] == ["a"]


def test_a_write_that_is_done_late_changes_nothing_twice(journal, platform_store):
    stored = journal.create(make_lot(), HEAD)
    platform_store.faults.update(late_writes=1, late_s=0.05)
    stored = journal.append(stored, [result("a")])
    stored = journal.append(stored, [result("b")])
    assert [one.sample for one in journal.load("lot").results] == ["a", "b"]


def test_what_stays_unanswered_is_unknown_and_not_refused(journal, platform_store):
    platform_store.faults["lose_answers"] = 99
    platform_store.faults["late_writes"] = 99
    platform_store.faults["late_s"] = 60.0
    with pytest.raises(StoreUnknownError):
        journal.create(make_lot(), HEAD)


def test_a_hand_in_waits_for_a_store_that_is_away(journal, platform_store):
    """It was refused at once, though the outage ended long before the trainer's time did."""
    platform_store.faults["outage"] = True
    threading.Timer(0.6, platform_store.faults.update, ({"outage": False},)).start()
    assert journal.create(make_lot(body=b"x" * 500_000), HEAD, patience_s=5.0) is not None
    assert journal.load("lot").stored.head.parts == 2


def test_a_hand_in_is_given_up_when_its_time_is_up(journal, platform_store):
    platform_store.faults["calls_per_s"] = 0.001
    platform_store.faults_changed()
    started = time.monotonic()
    with pytest.raises(StoreRefusedError):
        journal.create(make_lot(), HEAD, patience_s=1.0)
    assert time.monotonic() - started <= 1.1


def test_a_store_that_says_no_is_not_asked_without_pause(journal, platform_store):
    """296 writes of one lot were sent in an outage of 4.7 s, one right after the other."""
    platform_store.faults["calls_per_s"] = 0.001
    platform_store.faults_changed()
    platform_store.counts["refused"] = 0
    with pytest.raises(StoreRefusedError):
        journal.create(make_lot(), HEAD, patience_s=2.0)
    assert 3 <= platform_store.counts["refused"] <= 9


def test_a_lot_that_was_taken_though_its_answer_was_lost_is_not_called_refused(
    journal, platform_store
):
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
        journal.create(make_lot(), HEAD, patience_s=0.5)


def test_a_missing_lot_is_told(journal):
    with pytest.raises(LotMissingError):
        journal.load("none")


def test_a_removed_lot_leaves_no_key(journal, platform_store):
    stored = journal.append(journal.create(make_lot(), HEAD), [result("a")])
    journal.remove(stored)
    assert platform_store.data == {}


def test_the_heads_of_all_lots_are_listed(journal):
    journal.create(make_lot(), HEAD)
    assert [stored.lot_id for stored in journal.heads()] == ["lot"]


def test_a_removal_that_comes_late_leaves_a_lot_of_the_same_id_alone(journal):
    """Whoever removes has listed the heads before, and may have stood still since."""
    old = journal.create(make_lot(), HEAD)
    journal.remove(old)
    new = journal.create(make_lot(), HEAD)
    new = journal.append(new, [result("a")])
    journal.remove(old)
    assert journal.whole(new).results == (result("a"),)


def test_a_removal_that_stops_half_way_is_gone_on_with_and_harms_no_other(journal, platform_store):
    """Of a lot with more keys than one write may name."""
    old = journal.create(make_lot(), HEAD)
    for _ in range(MAX_ENTRIES):
        old = journal.append(old, [result("a")])
    stand_still = HeldUp(journal, 1)
    with pytest.raises(StoreUnknownError):
        journal.remove(old)
    stand_still.end()
    journal.remove(old)
    assert not [key for key in platform_store.data if key.startswith("lot")]
    new = journal.append(journal.create(make_lot(), HEAD), [result("b")])
    stand_still.late()
    assert journal.whole(new).results == (result("b"),)


class HeldUp:
    """Lets writes after the first ones bring no answer, and does them late."""

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
