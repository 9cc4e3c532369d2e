"""Engines dealt out to models."""

from __future__ import annotations

import pytest

from threadramp.policy.model_share import models_for


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
