"""What to do about the last samples of a step."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from threadramp.core.step import SampleProgress
    from threadramp.policy.placement import Room

TAILS: dict[str, type[TailPolicy]] = {}


def tail_policy(name: str) -> Callable[[type[TailPolicy]], type[TailPolicy]]:
    """Register a tail policy under a name."""

    def register(cls: type[TailPolicy]) -> type[TailPolicy]:
        TAILS[name] = cls
        return cls

    return register


class TailPolicy:
    """Base of the tail policies."""

    def second_attempts(
        self, samples: dict[str, SampleProgress], rooms: Sequence[Room], now: float
    ) -> list[SampleProgress]:
        """Return the samples that get a second attempt now."""
        raise NotImplementedError


@tail_policy("wait")
class Wait(TailPolicy):
    """Wait for every sample's first attempt."""

    def second_attempts(
        self, samples: dict[str, SampleProgress], rooms: Sequence[Room], now: float
    ) -> list[SampleProgress]:
        """Return the samples that get a second attempt now."""
        return []


__all__ = ["TAILS", "TailPolicy", "Wait"]
