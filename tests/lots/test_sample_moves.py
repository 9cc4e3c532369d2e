"""Samples that are taken back from a slower engine."""

from __future__ import annotations

import pytest

from tests.core.test_lot_tracker import make_book, make_sample, start
from tests.lots.routed import routed_view
from tests.policy.test_moves import view
from threadramp.core.lot_tracker import Phase
from threadramp.lots.model import StoredHead
from threadramp.lots.owned import OwnedLot, OwnedLots
from threadramp.lots.sample_moves import SampleMoves
from threadramp.lots.sample_routes import SampleRoutes
from threadramp.policy.moves import MIN_EVENTS_BEFORE_MOVE

EXPECTED = 150  # events; the tokens per event are not learned yet


@pytest.fixture
def owned(clock) -> OwnedLots:
    clock.at = 50.0
    made = OwnedLots()
    tracker = make_book(make_sample("a", "g", expected=EXPECTED))
    made.add(OwnedLot(tracker, StoredHead("lot", None, 1)))
    return made


def routes() -> SampleRoutes:
    return SampleRoutes(routed_view())


def run_at_slow(owned: OwnedLots, events: int):
    (lot,) = owned.open()
    start(lot.tracker, "a", "slow")
    lot.tracker.add_events("a", "slow", 0, ["x"] * events, [3] * events, "L1")
    return lot.tracker.states["a"]


def test_a_moved_sample_waits_with_its_events(owned, clock):
    state = run_at_slow(owned, MIN_EVENTS_BEFORE_MOVE)
    dropped = []
    moves = SampleMoves(
        owned, clock, lambda seen, have: dropped.append((seen.member.name, have)), routes()
    )
    moves.run_once({"slow": view("slow", 60.0), "a": view("a"), "b": view("b")})
    assert dropped == [("slow", {"a": MIN_EVENTS_BEFORE_MOVE})]
    assert state.phase is Phase.WAITING
    assert len(state.events) == MIN_EVENTS_BEFORE_MOVE


def test_a_sample_that_has_just_started_stays(owned, clock):
    run_at_slow(owned, MIN_EVENTS_BEFORE_MOVE - 1)
    dropped = []
    moves = SampleMoves(owned, clock, lambda seen, have: dropped.append(have), routes())
    moves.run_once({"slow": view("slow", 60.0), "a": view("a"), "b": view("b")})
    assert dropped == []


def test_a_sidecar_that_is_not_known_any_more_keeps_its_samples(owned, clock):
    run_at_slow(owned, MIN_EVENTS_BEFORE_MOVE)
    dropped = []
    moves = SampleMoves(owned, clock, lambda seen, have: dropped.append(have), routes())
    moves.run_once({"a": view("a")})
    assert dropped == []


# Guards against samples that leave their service for a faster one of another route.
def test_a_sample_does_not_move_to_an_engine_of_another_pool(owned, clock):
    run_at_slow(owned, MIN_EVENTS_BEFORE_MOVE)
    dropped = []
    moves = SampleMoves(owned, clock, lambda seen, have: dropped.append(have), routes())
    elsewhere = view("a")
    elsewhere.pool = "others"
    moves.run_once({"slow": view("slow", 60.0), "a": elsewhere})
    assert dropped == []
