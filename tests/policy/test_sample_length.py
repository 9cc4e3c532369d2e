"""How many events are guessed to come."""

from __future__ import annotations

import pytest

from threadramp.policy.sample_length import FEWEST, REMEMBERED, LengthEstimator


def learned(tokens_per_event: int, samples: int = FEWEST) -> LengthEstimator:
    lengths = LengthEstimator()
    for _ in range(samples):
        lengths.add_sample(tokens_per_event * 20, 20)
    return lengths


def test_tokens_count_as_events_until_enough_is_seen():
    assert LengthEstimator().remaining_events(300, 10) == 290
    assert learned(52, FEWEST - 1).tokens_per_event == 1


def test_a_guess_in_tokens_is_turned_into_events():
    assert learned(52).remaining_events(52 * 100, 30) == pytest.approx(70)


def test_a_sample_that_outlasts_its_guess_has_more_to_come_the_longer_it_lasts():
    """Lengths have a long tail: the longest of a lot are those whose guess was too small."""
    lengths = learned(52)
    assert lengths.remaining_events(52 * 10, 40) == 20
    assert lengths.remaining_events(52 * 10, 100) == 50


@pytest.mark.parametrize("guess", [0, -5])
def test_a_guess_that_says_nothing_teaches_nothing(guess):
    lengths = learned(52)
    lengths.add_sample(guess, 40)
    assert lengths.samples == FEWEST
    assert lengths.remaining_events(guess, 0) >= 0


def test_another_load_is_learned_within_some_hundred_samples():
    lengths = learned(52, REMEMBERED)
    for _ in range(3 * REMEMBERED):
        lengths.add_sample(200, 20)
    assert lengths.tokens_per_event < 20
