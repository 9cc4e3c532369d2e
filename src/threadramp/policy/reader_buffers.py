"""Decides which slow readers are disconnected so that the bytes held for them stay bounded.

The load that it answers: hundreds of callers read large answers slowly or not at all. What is held
for them counts as memory of a gateway, which is ended if it exceeds its limit.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection

# Part of the memory limit of a process; the process itself needs 50 to 60 MB of at least 150 MB.
HELD_SHARE = 0.25
MIN_SPEED_TIME_S = 1.0  # younger readers are judged as if they had this age


@dataclass
class SlowReader:
    """A caller that has not read all of its answer.

    :param left: bytes that it has not read
    :param total: bytes that it had not read at first
    :param since: time from which it is slow
    :param progress_at: time at which it last read some bytes
    """

    left: int
    total: int
    since: float
    progress_at: float

    def speed(self, now: float) -> float:
        """Return the bytes a second that it reads."""
        return (self.total - self.left) / max(MIN_SPEED_TIME_S, now - self.since)


def max_held_bytes(memory_mb: int) -> int:
    """Return how many bytes a process may hold for slow readers."""
    return int(memory_mb * 1_000_000 * HELD_SHARE)


def readers_to_end(
    readers: Collection[SlowReader], max_bytes: int, max_silence_s: float, now: float
) -> list[SlowReader]:
    """Return the readers to disconnect: those without progress, then the slowest ones.

    :param max_bytes: bytes that may be held for all readers together
    :param max_silence_s: time without progress after which a reader is disconnected
    """
    ended = [one for one in readers if now - one.progress_at > max_silence_s]
    kept = [one for one in readers if now - one.progress_at <= max_silence_s]
    held = sum(one.left for one in kept)
    for one in sorted(kept, key=lambda reader: (reader.speed(now), -reader.left)):
        if held <= max_bytes:
            break
        ended.append(one)
        held -= one.left
    return ended


__all__ = ["SlowReader", "max_held_bytes", "readers_to_end"]
