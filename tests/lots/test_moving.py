"""Samples that are taken from a slower engine."""

from __future__ import annotations

import pytest

from tests.core.test_lot_book import make_book, make_sample, start
from tests.policy.test_moves import view
from threadramp.core.lot_book import Phase
from threadramp.lots.model import KeptHead
from threadramp.lots.moving import SampleMoves
from threadramp.lots.owned import OwnedLot, OwnedLots
from threadramp.policy.moves import MIN_EVENTS_BEFORE_MOVE

EXPECTED = 150  # events; nothing is known of tokens yet


@pytest.fixture
def owned(clock) -> OwnedLots:
    clock.at = 50.0
    made = OwnedLots()
    book = make_book(make_sample("a", "g", expected=EXPECTED))
    made.add(OwnedLot(book, KeptHead("lot", None, 1)))
    return made


def run_at_slow(owned: OwnedLots, events: int):
    (lot,) = owned.open()
    start(lot.book, "a", "slow")
    lot.book.add_events("a", "slow", 0, ["x"] * events, [3] * events, "L1")
    return lot.book.states["a"]


def test_a_sample_that_is_taken_waits_with_its_events(owned, clock):
    state = run_at_slow(owned, MIN_EVENTS_BEFORE_MOVE)
    dropped = []
    moves = SampleMoves(owned, clock, lambda seen, have: dropped.append((seen.member.name, have)))
    moves.turn({"slow": view("slow", 60.0), "a": view("a"), "b": view("b")})
    assert dropped == [("slow", {"a": MIN_EVENTS_BEFORE_MOVE})]
    assert state.phase is Phase.WAITING
    assert len(state.events) == MIN_EVENTS_BEFORE_MOVE


def test_one_that_has_just_begun_stays(owned, clock):
    run_at_slow(owned, MIN_EVENTS_BEFORE_MOVE - 1)
    dropped = []
    moves = SampleMoves(owned, clock, lambda seen, have: dropped.append(have))
    moves.turn({"slow": view("slow", 60.0), "a": view("a"), "b": view("b")})
    assert dropped == []


def test_a_sidecar_that_is_not_known_any_more_keeps_its_samples(owned, clock):
    run_at_slow(owned, MIN_EVENTS_BEFORE_MOVE)
    dropped = []
    SampleMoves(owned, clock, lambda seen, have: dropped.append(have)).turn({"a": view("a")})
    assert dropped == []
