"""Which models engines load when several trainers share a pool, and in which turn."""

from __future__ import annotations

import pytest

from threadramp.policy.load_schedule import (
    PublishedVersion,
    holds_all_models,
    is_turn,
    load_schedule,
    max_concurrent_loads,
    next_load,
)


def published(model: str, version: int, held: int, age_s: float = 0.0) -> PublishedVersion:
    return PublishedVersion(model, version, held, age_s)


@pytest.mark.parametrize(("engines", "models"), [(1, 2), (2, 2), (5, 2), (8, 3), (2, 5)])
def test_in_a_small_pool_every_engine_holds_every_model(engines, models):
    names = [f"m{number}" for number in range(models)]
    assert all(set(load_schedule(rank, engines, names).shifts) == set(names) for rank in range(2))


def test_consecutive_engines_begin_with_different_models():
    first = [
        min(share.shifts, key=share.shifts.__getitem__)
        for share in (load_schedule(rank, 8, ["a", "b", "c"]) for rank in range(6))
    ]
    assert first == ["a", "c", "b", "a", "c", "b"]


def test_in_a_large_pool_models_get_equal_blocks_of_engines():
    shares = [load_schedule(rank, 300, ["a", "b", "c"]) for rank in range(300)]
    assert not holds_all_models(300)
    assert [sum(set(one.shifts) == {model} for one in shares) for model in "abc"] == [100] * 3


def test_a_pool_without_models_has_nothing_to_load():
    assert next_load([], load_schedule(0, 3, ()), 0.1) is None


@pytest.mark.parametrize(("engines", "at_once"), [(1, 2), (5, 2), (6, 2), (8, 2), (21, 7)])
def test_few_engines_have_the_same_turn(engines, at_once):
    shares = [load_schedule(rank, engines, ["m"]) for rank in range(engines)]
    assert max_concurrent_loads(engines) == at_once
    turns = [share.turn for share in shares]
    assert max(turns.count(turn) for turn in turns) <= at_once


@pytest.mark.parametrize("engines", [6, 21, 300, 2_700])
def test_a_version_is_on_all_engines_within_four_turns(engines):
    """With two loads at a time in any pool, the last of 21 engines waited ten turns."""
    assert {load_schedule(rank, engines, ["m"]).turns for rank in range(engines)} <= {3, 4}


def test_a_load_begins_only_early_in_the_turn_of_the_engine():
    assert is_turn(1, 4, 401.1)
    assert not is_turn(1, 4, 401.9)  # the load would last into the next turn
    assert not is_turn(1, 4, 402.1)
    assert is_turn(0, 1, 402.9)  # an engine alone has no turns to wait for


def test_a_recently_published_version_is_loaded_in_turn():
    share = load_schedule(0, 8, ["a", "b", "c"])
    recent = published("a", 5, 4)
    assert next_load([recent], share, 400.1) == recent
    assert next_load([recent], share, 401.1) is None
    assert next_load([published("a", 5, 4, age_s=2.0)], share, 400.1) is None


def test_a_recently_published_version_comes_before_an_unusable_model():
    share = load_schedule(0, 8, ["a", "b", "c"])
    recent = published("b", 5, 4)
    behind = published("a", 5, 2, age_s=9.0)
    assert next_load([behind, recent], share, 400.1) == recent
    assert next_load([behind], share, 400.1) == behind


def test_after_an_outage_every_model_is_loaded_by_some_engine_in_its_first_turn():
    """When all engines began with the model furthest behind, lots of another waited 9.7 s."""
    begun = set()
    for rank in range(8):
        share = load_schedule(rank, 8, ["a", "b", "c"])
        row = [published(model, 9, 1, age_s=9.0) for model in "abc"]
        begun.add(next_load(row, share, share.turn + 0.1).model)
    assert begun == {"a", "b", "c"}


def test_an_urgent_model_does_not_wait_for_the_turn():
    share = load_schedule(0, 8, ["a", "b"])
    behind = published("b", 5, 3, age_s=9.0)
    assert next_load([published("a", 5, 4), behind], share, 402.9, urgent_model="b") == behind
    assert (
        next_load([published("b", 5, 4)], share, 402.9, urgent_model="b") is None
    )  # it can run the lot


def loads(start: float, apart: int) -> int:
    """Return how many of six engines load a version that was published at a time."""
    begun = 0
    for rank in range(6):
        share = load_schedule(rank, 6, ["m"])
        ticks = [start + 0.2 * n for n in range(30)]
        begun += any(
            next_load([published("m", 7, 6, at - start)], share, at, apart) for at in ticks
        )
    return begun


STARTS = [400 + 0.05 + 0.1 * n for n in range(30)]


def test_with_one_model_each_engine_loads_each_version():
    assert {loads(start, 1) for start in STARTS} == {6}


def test_with_versions_apart_half_of_the_engines_load_each_version():
    counts = [loads(start, 2) for start in STARTS]
    assert 2.4 <= sum(counts) / len(counts) <= 3.6
    assert min(counts) >= 2


def test_a_model_that_the_engine_lacks_is_not_loaded():
    assert next_load([published("a", 5, 0)], load_schedule(0, 1, ["a"]), 0.1) is None
