"""How far one sample of a step is, over all its attempts."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from threadramp.wire.messages import SampleSpec


@dataclass(frozen=True)
class Place:
    """One attempt of a sample at one endpoint."""

    endpoint: str
    attempt: int


@dataclass
class SampleProgress:
    """One sample of the step.

    :ivar attempts: where attempts were submitted and not seen to be gone
    :ivar finished: attempts that are held whole
    :ivar tokens: produced so far by the attempt that was reported last
    :ivar started_at: monotonic time at which its first tokens were reported
    :ivar delivered: the attempt that was put into the lot, with its digest
    """

    spec: SampleSpec
    group: str
    index: int
    attempts: set[Place] = field(default_factory=set)
    finished: dict[Place, int] = field(default_factory=dict)
    delivered: Place | None = None
    delivered_oldest: int = 0
    digest: str = ""
    last_attempt: int = 0
    tokens: int = 0
    started_at: float | None = None

    def produced(self, tokens: int, now: float) -> None:
        """Note how many tokens there are."""
        if tokens < self.tokens or not tokens:
            self.started_at = None  # it was restarted, or waits
        if tokens and self.started_at is None:
            self.started_at = now
        self.tokens = tokens


__all__ = ["Place", "SampleProgress"]
