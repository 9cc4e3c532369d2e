"""Estimates of the remaining events of a sample."""

from __future__ import annotations

import pytest

from threadramp.policy.sample_length import MIN_SAMPLES, WINDOW_SAMPLES, LengthEstimator


def learned(tokens_per_event: int, samples: int = MIN_SAMPLES) -> LengthEstimator:
    lengths = LengthEstimator()
    for _ in range(samples):
        lengths.add_sample(tokens_per_event * 20, 20)
    return lengths


def test_one_token_counts_as_one_event_until_enough_samples_finished():
    assert LengthEstimator().remaining_events(300, 10) == 290
    assert learned(52, MIN_SAMPLES - 1).tokens_per_event == 1


def test_a_guess_in_tokens_is_converted_to_events():
    assert learned(52).remaining_events(52 * 100, 30) == pytest.approx(70)


def test_a_sample_beyond_its_guess_has_more_events_left_the_longer_it_lasts():
    """Lengths have a long tail: the longest samples of a lot are those with too small a guess."""
    lengths = learned(52)
    assert lengths.remaining_events(52 * 10, 40) == 20
    assert lengths.remaining_events(52 * 10, 100) == 50


@pytest.mark.parametrize("guess", [0, -5])
def test_samples_without_a_guess_are_ignored(guess):
    lengths = learned(52)
    lengths.add_sample(guess, 40)
    assert lengths.samples == MIN_SAMPLES
    assert lengths.remaining_events(guess, 0) >= 0


def test_a_new_workload_is_learned_within_some_hundred_samples():
    lengths = learned(52, WINDOW_SAMPLES)
    for _ in range(3 * WINDOW_SAMPLES):
        lengths.add_sample(200, 20)
    assert lengths.tokens_per_event < 20
