"""Engines dealt out to models."""

from __future__ import annotations

import pytest

from threadramp.policy.model_share import load_turn, models_for, takes_version


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


def test_each_engine_loads_each_version_unless_the_operator_says_otherwise():
    assert all(
        takes_version(rank, version, version - 1, 1) for rank in range(4) for version in (5, 6)
    )


def test_every_second_version_half_of_the_engines_load_and_all_serve_the_lots_of_each_step():
    held = dict.fromkeys(range(6), 1)
    loads = 0
    for version in range(2, 12):
        for rank, before in held.items():
            if takes_version(rank, version, before, 2):
                held[rank] = version
                loads += 1
        assert sorted(held.values()) == [version - 1] * 3 + [version] * 3
    assert loads == 30


def test_an_engine_that_has_fallen_behind_loads_the_newest_whatever_its_number():
    assert takes_version(0, 7, 4, 2)
    assert not takes_version(0, 7, 6, 2)
