"""What the client of the platform's store takes and gives: items, transactions, calls, errors."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Protocol

import msgspec

ABSENT = 0  # the revision of a key that does not exist
ANSWERED = (200, 404, 410, 412)  # statuses of calls that the store carried out or judged
NOT_DONE = (400, 401, 403, 405, 413, 429, 503)  # all further statuses leave the outcome unknown
MAX_ENTRIES = 32  # in one transaction; the store's limit


class StoreError(Exception):
    """A call to the store brought no result."""


class StoreRefusedError(StoreError):
    """The store, or the way to it, says that nothing was done."""


class StoreUnknownError(StoreError):
    """No answer came; the call may have been done, or may be done later."""


class KeptLineError(StoreUnknownError):
    """No answer came on a connection that was used before; that says nothing of the store.

    :param is_first: whether the connections of that time were still in use until this call
    """

    def __init__(self, reason: str, is_first: bool) -> None:
        self.is_first = is_first
        super().__init__(reason)


class GivenUpError(StoreUnknownError):
    """The connection of a call was given up by this process while the call waited."""


@dataclass(frozen=True)
class Item:
    """One key of the store.

    :param revision: of its last change
    :param lease: id of the lease with which it goes, 0 if none
    """

    key: str
    value: bytes
    revision: int
    lease: int = 0


@dataclass(frozen=True)
class Listing:
    """All items under a prefix, as they stood at or after ``revision``."""

    items: tuple[Item, ...]
    revision: int


@dataclass(frozen=True)
class Removal:
    """A key that went away."""

    key: str
    revision: int


@dataclass(frozen=True)
class Changes:
    """What changed under a prefix up to ``revision``."""

    items: tuple[Item, ...]
    removals: tuple[Removal, ...]
    revision: int


@dataclass(frozen=True)
class HistoryGone:
    """The store no longer knows what changed since then: list the prefix again."""


@dataclass(frozen=True)
class Put:
    """One write of a transaction."""

    key: str
    value: bytes
    lease: int = 0


@dataclass(frozen=True)
class Transaction:
    """All or nothing.

    :param expected: revision by key, ``ABSENT`` for a key that must not exist
    """

    expected: dict[str, int] = field(default_factory=dict)
    puts: tuple[Put, ...] = ()
    removals: tuple[str, ...] = ()

    @property
    def first_key(self) -> str:
        """Return the first key that it changes, which stands for it in logs and counts."""
        keys = [*(put.key for put in self.puts), *self.removals]
        return keys[0] if keys else ""


@dataclass(frozen=True)
class Committed:
    """The transaction took effect at ``revision``."""

    revision: int


@dataclass(frozen=True)
class Conflict:
    """Nothing was done; ``current`` is what the expected keys hold now, absent ones left out."""

    current: dict[str, Item]


@dataclass(frozen=True)
class LeaseGone:
    """Nothing was done, since the lease is over."""


class Relay(Protocol):
    """Passes a call to the store through another process of ours."""

    def __call__(self, call: Call, /) -> RawAnswer:
        """Return the answer.

        :raises StoreRefusedError: if no peer passed it on to a store that carried it out
        :raises StoreUnknownError: if a peer may have
        """


class Call(msgspec.Struct, frozen=True):
    """A call to the store as it is sent.

    :param timeout_s: seconds to wait for the answer
    :param repeatable: whether it may be sent again when its outcome is unknown
    :param cause: as which it is counted, also where a peer passes it on
    :param key: the first key that it writes, for the log; empty for other calls
    """

    method: str
    path: str
    body: bytes
    timeout_s: float
    repeatable: bool
    cause: str = ""
    key: str = ""


class RawAnswer(msgspec.Struct, frozen=True):
    """An answer of the store as it came."""

    status: int
    body: bytes

    def checked(self) -> RawAnswer:
        """Return this answer if the store carried the call out or judged it.

        :raises StoreRefusedError: if the store says that it did nothing
        :raises StoreUnknownError: if the status does not tell whether it did anything
        """
        if self.status in ANSWERED:
            return self
        kind = StoreRefusedError if self.status in NOT_DONE else StoreUnknownError
        raise kind(f"status {self.status}")


__all__ = [
    "ABSENT",
    "MAX_ENTRIES",
    "Call",
    "Changes",
    "Committed",
    "Conflict",
    "GivenUpError",
    "HistoryGone",
    "Item",
    "KeptLineError",
    "LeaseGone",
    "Listing",
    "Put",
    "RawAnswer",
    "Relay",
    "Removal",
    "StoreError",
    "StoreRefusedError",
    "StoreUnknownError",
    "Transaction",
]
