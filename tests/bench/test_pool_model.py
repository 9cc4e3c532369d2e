"""Policies against the policies before, under the load of three trainers on one small pool."""

from __future__ import annotations

from statistics import mean

import pytest
from bench.policy import POLICIES, days, three_models

SEEDS = 4
LOAD = "three models, 8 engines"
HEAVIER = "the same, half as many groups more"


@pytest.fixture(scope="module")
def as_it_is():
    return days(HEAVIER, "as it is", SEEDS)


def of(figures, name: str) -> float:
    return mean(getattr(one, name) for one in figures)


def test_lots_are_done_sooner_and_no_trainer_falls_as_far_behind_as_before(as_it_is):
    """Third customer: two of eight engines for the model with most work, one of them slower."""
    before = days(HEAVIER, "as before", SEEDS)
    assert of(as_it_is, "lot_s") < of(before, "lot_s") - 0.3
    assert of(as_it_is, "behind_s") < of(before, "behind_s") - 1.0
    assert of(as_it_is, "steps") > of(before, "steps")


@pytest.mark.parametrize(
    "policy", ["dealt out in blocks, loads at once", "all samples wait for a load"]
)
def test_the_longest_samples_wait_longer_without(policy, as_it_is):
    without = days(HEAVIER, policy, SEEDS)
    assert of(without, "wait_s") > of(as_it_is, "wait_s") + 0.2


def test_no_more_loads_than_two_at_a_time_are_begun(as_it_is):
    """Eight engines, two at once, 48 s of turns of a second; hurried ones come on top."""
    assert of(as_it_is, "loads") <= 2 * 48


@pytest.mark.parametrize("guess", [0, 1, 1_000_000_000])
def test_guesses_that_say_nothing_move_neither_engines_nor_samples_about(guess):
    """No guess, the same small one for all, an absurd one."""
    pool = three_models(1, POLICIES["as it is"])
    for trainer in pool.trainers:
        trainer.guess = guess
    figures = pool.play(24.0)
    samples = sum(trainer.step * trainer.groups * trainer.size for trainer in pool.trainers)
    assert figures.steps >= 17
    assert figures.loads <= 2 * 24
    assert pool.moves < samples / 4


def test_a_spell_in_which_a_fifth_of_the_engines_is_slow_costs_nothing_after_it():
    """The shifted work: four models, groups of 16, engines 3.6 times slower for 8 s, twice a day.

    No trainer is behind at the end of the day, 16 s after the second spell.
    """
    figures = days("four models in a spell, 25 engines", "as it is", 2)
    assert of(figures, "behind_s") < 0.5
    assert of(figures, "wait_s") < 0.5
    without = days("four models in a spell, 25 engines", "no moves to faster engines", 2)
    assert of(without, "lot_s") > of(figures, "lot_s")


def test_long_samples_of_one_trainer_do_not_wait_behind_short_ones_of_another():
    """A lot that began to run kept its slots down to its shortest samples; others came late."""
    load = "three trainers over the pool, 23 engines"
    before = days(load, "as it is", 2)
    after = days(load, "samples by their latest start", 2)
    assert of(after, "behind_s") < of(before, "behind_s") - 1.0
    assert of(after, "steps") >= of(before, "steps")
