"""Progress of one sample of a step over all its attempts."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from threadramp.wire.messages import SampleSpec


@dataclass(frozen=True)
class EndpointAttempt:
    """One attempt of a sample at one endpoint."""

    endpoint: str
    attempt: int


@dataclass
class SampleProgress:
    """One sample of the step.

    :ivar attempts: attempts that were submitted and are not known to be lost
    :ivar finished: oldest weight version of each complete attempt
    :ivar delivered: the attempt that was added to the lot, none if there is none
    :ivar delivered_oldest: oldest weight version of the delivered attempt
    :ivar digest: of the delivered text and its versions
    :ivar last_attempt: the highest number of an attempt so far
    :ivar tokens: number of tokens in the newest report, of whichever attempt
    :ivar started_at: monotonic time at which its first tokens were reported
    """

    spec: SampleSpec
    group: str
    index: int
    attempts: set[EndpointAttempt] = field(default_factory=set)
    finished: dict[EndpointAttempt, int] = field(default_factory=dict)
    delivered: EndpointAttempt | None = None
    delivered_oldest: int = 0
    digest: str = ""
    last_attempt: int = 0
    tokens: int = 0
    started_at: float | None = None

    def record_tokens(self, tokens: int, now: float) -> None:
        """Record a reported number of tokens; a lower one than before restarts the clock."""
        if tokens < self.tokens or not tokens:
            self.started_at = None  # restarted, or waiting in a queue
        if tokens and self.started_at is None:
            self.started_at = now
        self.tokens = tokens


__all__ = ["EndpointAttempt", "SampleProgress"]
