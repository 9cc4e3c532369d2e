"""How many events of a sample are still to come, by the trainer's guess and by what was seen.

The load that this answers: lengths with a long tail (most samples have 10 to 60 events, one in
twelve more than 100), guesses in tokens that are right in the median but often far off, and events
that hold many tokens. How many is not told, so it is taken from the samples that have ended.
"""

from __future__ import annotations

REMEMBERED = 200  # samples; then older ones count half, so that another load is learned in a minute
FEWEST = 8  # ended samples before what was seen is believed
TAIL_SHARE = 0.5  # of what has come; a long tail has more to come the longer it has lasted


class LengthEstimator:
    """Learns how many tokens an event holds and guesses what is left of a sample."""

    def __init__(self) -> None:
        self.samples = 0
        self.tokens = 0.0
        self.events = 0

    @property
    def tokens_per_event(self) -> float:
        """Return how many expected tokens there were for each event, 1 until enough is seen."""
        if self.samples < FEWEST or not self.events or not self.tokens:
            return 1.0
        return self.tokens / self.events

    def add_sample(self, expected_tokens: int, events: int) -> None:
        """Note a sample that is whole; one without a guess teaches nothing."""
        if expected_tokens <= 0 or events <= 0:
            return
        if self.samples >= REMEMBERED:
            self.samples //= 2
            self.tokens /= 2
            self.events //= 2
        self.samples += 1
        self.tokens += expected_tokens
        self.events += events

    def remaining_events(self, expected_tokens: int, events: int) -> float:
        """Return how many events are about to come.

        :param expected_tokens: the guess, 0 if there is none
        :param events: that have come
        """
        guessed = expected_tokens / self.tokens_per_event - events
        return max(guessed, TAIL_SHARE * events)


__all__ = ["LengthEstimator"]
