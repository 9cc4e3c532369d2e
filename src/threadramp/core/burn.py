"""Error budget burn: good and bad events of each service level objective over time."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

import msgspec

BUCKET_S = 10.0
WINDOWS_S = (300.0, 3600.0, 21_600.0)


@dataclass
class Bucket:
    """Events of one span of ``BUCKET_S``."""

    started_at: float
    good: float = 0.0
    bad: float = 0.0


class BurnPoint(msgspec.Struct, frozen=True):
    """Events of one bucket.

    :param age_s: seconds from the bucket's start until now
    """

    age_s: float
    good: float
    bad: float


class ObjectiveRecord(msgspec.Struct, frozen=True):
    """One objective's events at one gateway.

    :param target: target share of good events
    """

    name: str
    target: float
    points: tuple[BurnPoint, ...]


class BurnRecorder:
    """Counts events of all objectives.

    :param targets: target share of good events by objective
    """

    def __init__(self, targets: dict[str, float]) -> None:
        self.targets = targets
        self.buckets: dict[str, deque[Bucket]] = {name: deque() for name in targets}

    def record(self, objective: str, good: float, bad: float, now: float) -> None:
        """Add events of one objective."""
        buckets = self.buckets[objective]
        if not buckets or now - buckets[-1].started_at >= BUCKET_S:
            buckets.append(Bucket(now))
        while now - buckets[0].started_at > max(WINDOWS_S):
            buckets.popleft()
        buckets[-1].good += good
        buckets[-1].bad += bad

    def records(self, now: float) -> tuple[ObjectiveRecord, ...]:
        """Return the events of all objectives by age."""
        return tuple(
            ObjectiveRecord(
                name,
                target,
                tuple(
                    BurnPoint(now - bucket.started_at, bucket.good, bucket.bad)
                    for bucket in self.buckets[name]
                ),
            )
            for name, target in self.targets.items()
        )


__all__ = [
    "BUCKET_S",
    "BurnPoint",
    "BurnRecorder",
    "ObjectiveRecord",
    "WINDOWS_S",
]
