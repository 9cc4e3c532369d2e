"""What to do about the last samples of a step."""

from __future__ import annotations

from statistics import median
from typing import TYPE_CHECKING

from threadramp.config.registry import Registry

if TYPE_CHECKING:
    from collections.abc import Sequence

    from threadramp.core.progress import SampleProgress
    from threadramp.policy.placement import Room

MIN_AGE_S = 0.5  # a younger sample has no rate worth comparing
SLOW_SHARE = 0.5  # of the usual rate; below it an endpoint counts as slow

TAILS: Registry[type[TailPolicy]] = Registry()


class TailPolicy:
    """Base of the tail policies."""

    def second_attempts(
        self, samples: dict[str, SampleProgress], rooms: Sequence[Room], now: float
    ) -> list[SampleProgress]:
        """Return the samples that get a second attempt now."""
        raise NotImplementedError


@TAILS.register("wait")
class Wait(TailPolicy):
    """Wait for every sample's first attempt."""

    def second_attempts(
        self, samples: dict[str, SampleProgress], rooms: Sequence[Room], now: float
    ) -> list[SampleProgress]:
        """Return the samples that get a second attempt now."""
        return []


@TAILS.register("slow_rate")
class SecondAttemptOfSlow(TailPolicy):
    """A second attempt for samples whose endpoint produces far fewer tokens a second than usual.

    A sample that is merely long runs at the usual rate and gets none.
    """

    def __init__(self) -> None:
        self.usual = 0.0

    def second_attempts(
        self, samples: dict[str, SampleProgress], rooms: Sequence[Room], now: float
    ) -> list[SampleProgress]:
        """Return the samples that get a second attempt now."""
        rates = {
            name: sample.tokens / (now - sample.started_at)
            for name, sample in samples.items()
            if _runs_once(sample)
            and sample.started_at is not None
            and now - sample.started_at > MIN_AGE_S
        }
        if not rates:
            return []
        self.usual = max(self.usual, median(rates.values()))
        free = sum(room.free for room in rooms)
        waiting = any(_waits(sample) for sample in samples.values())
        if waiting or free <= 0:
            return []
        slow = [name for name, rate in rates.items() if rate < SLOW_SHARE * self.usual]
        return [samples[name] for name in sorted(slow, key=rates.__getitem__)[:free]]


def _runs_once(sample: SampleProgress) -> bool:
    return len(sample.attempts) == 1 and not sample.finished and sample.delivered is None


def _waits(sample: SampleProgress) -> bool:
    return not (sample.attempts or sample.finished or sample.delivered)


__all__ = ["SecondAttemptOfSlow", "TAILS", "TailPolicy", "Wait"]
