"""What gateways tell each other, and keep in the store, of requests under which endpoints ended."""

from __future__ import annotations

import msgspec

from threadramp.fleet.model import Incarnation


class Crash(msgspec.Struct, frozen=True, array_like=True):
    """An endpoint that ended while a request was open there.

    :param at: seconds since the epoch: other boxes compare it with their own time, and a box that
        was suspended must not take it for newer than it is
    :param listens: whether its port went on taking connections, so that an answer from there does
        not tell whether it had ended
    :param next_born: birth of the start that came after it, which proves its end; 0 if none is
        known
    """

    start: Incarnation
    at: float
    listens: bool = False
    next_born: int = 0

    @property
    def is_proven(self) -> bool:
        """Return whether no later answer can take it back."""
        return self.next_born > 0

    def merged(self, other: Crash) -> Crash:
        """Return what two processes know of the same end."""
        return Crash(
            self.start,
            min(self.at, other.at),
            self.listens and other.listens,
            max(self.next_born, other.next_born),
        )


class Suspect(msgspec.Struct, frozen=True, array_like=True):
    """All that is known of one request under which endpoints ended.

    :param fingerprint: what stands for it, whatever its id
    :param crashes: the newest, each of another start
    :param well_at: when it last had an answer after which the endpoint lived on; 0 for never
    :param trials: numbers of the trials that were made of it since it is refused, the highest
    :param seen_at: when anything of it was last seen; it is forgotten some time after
    """

    fingerprint: bytes
    crashes: tuple[Crash, ...] = ()
    well_at: float = 0.0
    trials: int = 0
    seen_at: float = 0.0

    @property
    def standing(self) -> tuple[Crash, ...]:
        """Return the crashes that no good answer has followed."""
        return tuple(one for one in self.crashes if one.at > self.well_at)


class Living(msgspec.Struct, frozen=True, array_like=True):
    """A start that answered at a time; what had said before that it ended was wrong."""

    start: Incarnation
    at: float


class CrashNews(msgspec.Struct, frozen=True, array_like=True):
    """What one process has seen lately."""

    suspects: tuple[Suspect, ...] = ()
    living: tuple[Living, ...] = ()

    def __bool__(self) -> bool:
        return bool(self.suspects or self.living)


__all__ = ["Crash", "CrashNews", "Living", "Suspect"]
