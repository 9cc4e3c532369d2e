"""Estimates the remaining events of a sample from the trainer's guess and from finished samples.

Lengths have a long tail: most samples have 10 to 60 events, one in twelve more than 100. The
trainer's guesses count tokens; they are right in the median but often far off. An event holds many
tokens, and how many is not reported, so it is learned from finished samples.
"""

from __future__ import annotations

# Samples until the older ones are halved in weight, so that a new workload is learned in a minute.
WINDOW_SAMPLES = 200
MIN_SAMPLES = 8  # finished samples until the learned ratio is used
# Remaining events are at least this share of those received: in a long tail, the longer a sample
# has lasted, the more events are still to come.
TAIL_SHARE = 0.5


class LengthEstimator:
    """Learns the tokens per event and estimates the remaining events of a sample."""

    def __init__(self) -> None:
        self.samples = 0
        self.tokens = 0.0
        self.events = 0

    @property
    def tokens_per_event(self) -> float:
        """Return the expected tokens per event, 1 until enough samples have finished."""
        if self.samples < MIN_SAMPLES or not self.events or not self.tokens:
            return 1.0
        return self.tokens / self.events

    def add_sample(self, expected_tokens: int, events: int) -> None:
        """Record a finished sample; one without a guess is ignored."""
        if expected_tokens <= 0 or events <= 0:
            return
        if self.samples >= WINDOW_SAMPLES:
            self.samples //= 2
            self.tokens /= 2
            self.events //= 2
        self.samples += 1
        self.tokens += expected_tokens
        self.events += events

    def remaining_events(self, expected_tokens: int, events: int) -> float:
        """Return the expected number of remaining events.

        :param expected_tokens: the trainer's guess, 0 if there is none
        :param events: number of events received so far
        """
        guessed = expected_tokens / self.tokens_per_event - events
        return max(guessed, TAIL_SHARE * events)


__all__ = ["LengthEstimator"]
