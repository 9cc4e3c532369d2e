"""Decides when slow samples at the end of a step get a second attempt."""

from __future__ import annotations

from statistics import median
from typing import TYPE_CHECKING

from threadramp.config.registry import Registry

if TYPE_CHECKING:
    from collections.abc import Sequence

    from threadramp.core.progress import SampleProgress
    from threadramp.policy.placement import EndpointCapacity

MIN_AGE_S = 0.5  # the rate of a younger sample is not meaningful
SLOW_SHARE = 0.5  # of the usual token rate; an endpoint below it counts as slow

TAILS: Registry[type[TailPolicy]] = Registry()


class TailPolicy:
    """Base of the tail policies."""

    def second_attempts(
        self, samples: dict[str, SampleProgress], endpoints: Sequence[EndpointCapacity], now: float
    ) -> list[SampleProgress]:
        """Return the samples that get a second attempt now."""
        raise NotImplementedError


@TAILS.register("wait")
class Wait(TailPolicy):
    """Waits for the first attempt of every sample."""

    def second_attempts(
        self, samples: dict[str, SampleProgress], endpoints: Sequence[EndpointCapacity], now: float
    ) -> list[SampleProgress]:
        """Return the samples that get a second attempt now."""
        return []


@TAILS.register("slow_rate")
class SecondAttemptOfSlow(TailPolicy):
    """Repeats samples whose endpoint produces far fewer tokens per second than usual.

    A sample that is merely long runs at the usual rate and gets no second attempt.
    """

    def __init__(self) -> None:
        self.usual_rate = 0.0

    def second_attempts(
        self, samples: dict[str, SampleProgress], endpoints: Sequence[EndpointCapacity], now: float
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
        self.usual_rate = max(self.usual_rate, median(rates.values()))
        free = sum(endpoint.free for endpoint in endpoints)
        waiting = any(_waits(sample) for sample in samples.values())
        if waiting or free <= 0:
            return []
        slow = [name for name, rate in rates.items() if rate < SLOW_SHARE * self.usual_rate]
        return [samples[name] for name in sorted(slow, key=rates.__getitem__)[:free]]


def _runs_once(sample: SampleProgress) -> bool:
    return len(sample.attempts) == 1 and not sample.finished and sample.delivered is None


def _waits(sample: SampleProgress) -> bool:
    return not (sample.attempts or sample.finished or sample.delivered)


__all__ = ["SecondAttemptOfSlow", "TAILS", "TailPolicy", "Wait"]
