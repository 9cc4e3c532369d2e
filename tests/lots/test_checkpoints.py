"""Saving the text of long samples while they run."""

from __future__ import annotations

import pytest
from msgspec import Struct, msgpack
from msgspec.structs import replace

from tests.core.test_lot_tracker import make_book, make_sample, start
from threadramp.lots.checkpoints import Checkpoints, join_records
from threadramp.lots.model import LotHead, SavedText, StoredHead, decode_texts, encode
from threadramp.lots.owned import OwnedLot, OwnedLots
from threadramp.lots.text_inputs import belongs_to
from threadramp.platform.store import StoreClient

MAX_VALUE_BYTES = 1_048_576  # of the users' store
HEAD = LotHead("g1", "inc", 0.0, 7.5, 40.0, 3, False, 2, 1, 0, 0, False, "n")


@pytest.fixture
def lot() -> OwnedLot:
    tracker = make_book(make_sample("a", "g"), make_sample("b", "g"))
    start(tracker, "a", "s1")
    return OwnedLot(tracker, StoredHead("lot", HEAD, 1))


@pytest.fixture
def store(store_address) -> StoreClient:
    return StoreClient(store_address, timeout_s=0.5)


def checkpoints(store: StoreClient, lot: OwnedLot, incarnation: str = "inc") -> Checkpoints:
    owned = OwnedLots()
    owned.add(lot)
    return Checkpoints(owned, store, incarnation)


def grow(lot: OwnedLot, until: int) -> list[str]:
    state = lot.tracker.states["a"]
    new = [f"e{number}" for number in range(len(state.events) + 1, until + 1)]
    lot.tracker.add_events("a", "s1", len(state.events), new, [1] * len(new), "L1")
    return state.events


def test_a_long_sample_comes_back_as_far_as_it_was_saved(store, lot):
    made = checkpoints(store, lot)
    assert made.save(lot) == 0  # nothing is long yet
    grow(lot, 30)
    assert made.save(lot) == 1
    assert made.save(lot) == 0  # nothing is new
    events = grow(lot, 70)
    assert made.save(lot) == 1
    text = checkpoints(store, lot, "other").load("lot")["a"]
    assert (list(text.events), list(text.versions)) == (events, [1] * 70)
    assert text.lineage == "L1"


def test_a_restarted_sample_replaces_what_was_saved(store, lot):
    made = checkpoints(store, lot)
    grow(lot, 40)
    made.save(lot)
    lot.tracker._restart(lot.tracker.states["a"], 0.0)
    start(lot.tracker, "a", "s1")
    grow(lot, 30)
    made.save(lot)
    assert len(made.load("lot")["a"].events) == 30


def test_two_owners_never_mix_their_records(store, lot):
    first, second = checkpoints(store, lot), checkpoints(store, lot, "other")
    grow(lot, 30)
    first.save(lot)
    grow(lot, 60)
    second.save(lot)
    assert len(first.load("lot")["a"].events) == 60


def test_a_record_that_was_not_written_is_part_of_the_next_one(store, lot, platform_store):
    made = checkpoints(store, lot)
    grow(lot, 30)
    platform_store.faults["calls_per_s"] = 0.001
    platform_store.faults_changed()
    assert made.save(lot) == 0
    platform_store.faults["calls_per_s"] = 0
    platform_store.faults_changed()
    grow(lot, 31)
    assert made.save(lot) == 1
    assert len(made.load("lot")["a"].events) == 31


def test_records_go_with_the_end_of_the_lot(store, lot, platform_store):
    made = checkpoints(store, lot)
    for length in range(30, 400, 10):
        grow(lot, length)
        made.save(lot)
    made.forget("lot")
    assert platform_store.data == {}


def test_a_gap_between_records_drops_the_text():
    def record(base: int, count: int) -> SavedText:
        return SavedText("a", base, ("x",) * count, (1,) * count, "L")

    assert [len(text.events) for text in join_records([record(0, 3), record(3, 2)])] == [5]
    assert join_records([record(0, 3), record(4, 2)]) == []
    assert [len(text.events) for text in join_records([record(4, 2), record(0, 1)])] == [1]


# Guards against a checkpoint that the store refuses for its size, so that nothing is ever saved.
def test_a_record_of_text_that_is_not_ascii_fits_into_a_value_of_the_store(store):
    tracker = make_book(*(make_sample(name, "g") for name in "abcd"))
    for name in "abcd":
        start(tracker, name, "s1")
        tracker.add_events(name, "s1", 0, ["\u6f22" * 5_000] * 25, [1] * 25, "L1")
    lot = OwnedLot(tracker, StoredHead("lot", HEAD, 1))
    records = checkpoints(store, lot)._new_records(lot)
    assert records
    assert len(encode(tuple(records))) <= MAX_VALUE_BYTES


# Guards against a text of two requests: the record of an earlier lot with the same id was written
# after that lot was removed.
def test_records_of_two_requests_are_not_joined():
    def record(base: int, inputs: bytes) -> SavedText:
        return SavedText("a", base, ("x",) * 3, (1,) * 3, "L", inputs)

    assert join_records([record(0, b"one"), record(3, b"other")]) == []
    (text,) = join_records([record(0, b"one"), record(3, b"one")])
    assert (len(text.events), text.inputs) == (6, b"one")


# Guards against joined text that lacks what it was generated for and then belongs to any request.
def test_saved_text_names_the_request_it_was_generated_for(store, lot):
    made = checkpoints(store, lot)
    grow(lot, 30)
    made.save(lot)
    grow(lot, 60)
    made.save(lot)
    text = made.load("lot")["a"]
    sample = lot.tracker.states["a"].sample
    assert belongs_to(text, lot.tracker.lot, sample)
    assert not belongs_to(text, lot.tracker.lot, replace(sample, body=b"another prompt"))


# Guards against a release during which the records of one version are unreadable for the other.
def test_records_without_a_request_are_read_and_others_are_read_without_it():
    class OlderText(Struct, frozen=True, array_like=True):
        sample: str
        base: int
        events: tuple[str, ...]
        versions: tuple[int, ...]
        lineage: str

    older = OlderText("a", 0, ("x",), (1,), "L")
    newer = SavedText("a", 0, ("x",), (1,), "L", b"inputs")
    assert decode_texts(encode((older,))) == (SavedText("a", 0, ("x",), (1,), "L"),)
    assert msgpack.decode(encode((newer,)), type=tuple[OlderText, ...]) == (older,)


# Guards against a text of two chains: an owner that is being replaced still writes records, and the
# one with which a restarted sample begins anew is missing from a listing of several pages.
def test_a_record_does_not_follow_one_from_before_a_restart(store, lot):
    made = checkpoints(store, lot)
    grow(lot, 30)
    made.save(lot)
    lot.tracker._restart(lot.tracker.states["a"], 0.0)
    start(lot.tracker, "a", "s1", lineage="L2")
    for length in (30, 60):
        new = [f"{length} of L2"] * 30
        lot.tracker.add_events("a", "s1", length - 30, new, [1] * 30, "L2")
        made.save(lot)
    _, second, _ = made.keys["lot"]
    assert len(made.load("lot")["a"].events) == 60
    made.remove([second])
    assert made.load("lot") == {}


# Guards against a text that is dropped because another sidecar continued it between two records.
def test_a_text_that_another_sidecar_continued_is_joined(store, lot):
    made = checkpoints(store, lot)
    grow(lot, 30)
    made.save(lot)
    lot.tracker.lose_runner("s1", 0.0)
    start(lot.tracker, "a", "s2", lineage="L2")
    lot.tracker.add_events("a", "s2", 30, ["x"] * 30, [1] * 30, "L2")
    made.save(lot)
    text = made.load("lot")["a"]
    assert (len(text.events), text.lineage) == (60, "L2")
