"""Crash records: which requests were open at endpoints that crashed; sent to peers and stored."""

from __future__ import annotations

import msgspec

from threadramp.fleet.model import Incarnation


class Crash(msgspec.Struct, frozen=True, array_like=True):
    """A crash of an endpoint while a request was open there.

    :param start: the incarnation that crashed
    :param at: seconds since the epoch; other boxes compare it with their own time, and a box that
        was suspended must not take it for more recent than it is
    :param listens: whether its port still accepted connections, so that a response from there does
        not disprove the crash
    :param next_born: start time of the next incarnation, which proves the crash; 0 if unknown
    """

    start: Incarnation
    at: float
    listens: bool = False
    next_born: int = 0

    @property
    def is_proven(self) -> bool:
        """Return whether the crash is proven, so that no later response retracts it."""
        return self.next_born > 0

    def merged(self, other: Crash) -> Crash:
        """Return the record that combines the observations of two processes of one crash."""
        return Crash(
            self.start,
            min(self.at, other.at),
            self.listens and other.listens,
            max(self.next_born, other.next_born),
        )


class Suspect(msgspec.Struct, frozen=True, array_like=True):
    """The crash history of one request.

    :param fingerprint: identifies the request independently of its id
    :param crashes: the most recent ones, each of another incarnation
    :param well_at: time of its last response that the endpoint survived; 0 for never
    :param trials: highest number of its trial runs since it is refused
    :param seen_at: time of the last observation; the record expires some time after it
    :param owed: whether it is work of an accepted lot, which is delayed but never refused
    """

    fingerprint: bytes
    crashes: tuple[Crash, ...] = ()
    well_at: float = 0.0
    trials: int = 0
    seen_at: float = 0.0
    owed: bool = False

    @property
    def standing(self) -> tuple[Crash, ...]:
        """Return the crashes since the last successful response."""
        return tuple(one for one in self.crashes if one.at > self.well_at)


class Living(msgspec.Struct, frozen=True, array_like=True):
    """An incarnation that responded at a time, which disproves its earlier unproven crashes."""

    start: Incarnation
    at: float


class CrashNews(msgspec.Struct, frozen=True, array_like=True):
    """The observations that one process has not sent to its peers yet."""

    suspects: tuple[Suspect, ...] = ()
    living: tuple[Living, ...] = ()

    def __bool__(self) -> bool:
        return bool(self.suspects or self.living)


__all__ = ["Crash", "CrashNews", "Living", "Suspect"]
