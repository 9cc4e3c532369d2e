"""Engines dealt out to models."""

from __future__ import annotations

import pytest

from threadramp.policy.model_share import load_turn, models_for


@pytest.mark.parametrize(("engines", "models"), [(1, 2), (2, 2), (5, 2), (3, 3), (7, 3), (2, 5)])
def test_every_model_has_an_engine_and_every_engine_a_model(engines, models):
    names = [f"m{number}" for number in range(models)]
    dealt = [models_for(rank, engines, names) for rank in range(engines)]
    assert all(dealt)
    assert {model for row in dealt for model in row} == set(names)


def test_the_engines_are_dealt_out_evenly():
    dealt = [models_for(rank, 5, ["a", "b"]) for rank in range(5)]
    assert dealt == [("a",), ("a",), ("a",), ("b",), ("b",)]


def test_one_model_is_on_all_engines():
    assert {models_for(rank, 6, ["a"]) for rank in range(6)} == {("a",)}


def test_a_pool_without_models_has_nothing_to_load():
    assert models_for(0, 3, []) == ()


def turns(engines: int) -> list[int]:
    return [load_turn(rank, engines) for rank in range(engines)]


@pytest.mark.parametrize(
    ("engines", "expected"), [(1, [0]), (5, [0, 0, 1, 1, 2]), (6, [0, 0, 1, 1, 2, 2])]
)
def test_few_engines_load_two_at_a_time(engines, expected):
    assert turns(engines) == expected


@pytest.mark.parametrize("engines", [7, 21, 300, 2_700])
def test_a_version_is_on_all_engines_within_three_turns(engines):
    """Two at a time whatever the pool: the last of 21 engines waited ten turns."""
    assert max(turns(engines)) == 2
    assert max(turns(engines).count(turn) for turn in range(3)) <= -(-engines // 3)
