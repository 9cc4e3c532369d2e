"""Single keys of the platform's store with compare-and-swap, for the own interface.

The calls go through the one client of the store; this module only gives them the shape that the
configuration chain, own keys and steps are written for.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from threadramp.fleet.clock import steady_s
from threadramp.platform.store import StoreClient
from threadramp.platform.store_model import (
    ABSENT,
    Conflict,
    LeaseGone,
    Put,
    StoreError,
    Transaction,
)

if TYPE_CHECKING:
    from threadramp.platform.store_model import Item

MIN_WATCH_S = 0.01


class KvUnavailableError(Exception):
    """The store did not answer; a write may have taken effect all the same."""


@dataclass(frozen=True)
class KvValue:
    """A value with the version at which it was written; version 0 if there is none."""

    value: bytes
    version: int


@dataclass(frozen=True)
class KvWrite:
    """The answer to a compare-and-swap.

    :param written: whether it took effect
    :param current: what the key holds now
    """

    written: bool
    current: KvValue


class KvClient:
    """Reads, swaps and watches single keys.

    :param base: ``http://ip:port``
    :param timeout_s: seconds after which a call is given up
    """

    def __init__(self, base: str, timeout_s: float) -> None:
        self.store = StoreClient(base.removeprefix("http://").rstrip("/"), timeout_s=timeout_s)

    @property
    def calls(self) -> int:
        """Return how many calls were sent."""
        return self.store.calls

    def get(self, key: str) -> KvValue:
        """Read a key.

        :raises KvUnavailableError: if no answer came
        """
        try:
            return _value(self.store.get(key))
        except StoreError as error:
            raise KvUnavailableError(str(error)) from error

    def swap(self, key: str, expected: int, value: bytes, lease: str = "") -> KvWrite:
        """Write a key if it is still at the expected version.

        :param expected: ``ABSENT`` creates the key
        :param lease: id of a lease with which the key goes
        :raises KvUnavailableError: if no answer came; the write may have taken effect
        """
        put = Put(key, value, int(lease or 0))
        try:
            answer = self.store.transact(Transaction({key: expected}, (put,)))
        except StoreError as error:
            raise KvUnavailableError(str(error)) from error
        if isinstance(answer, LeaseGone):
            raise KvUnavailableError(f"lease {lease} is over, nothing was written")
        if isinstance(answer, Conflict):
            return KvWrite(False, _value(answer.current.get(key)))
        return KvWrite(True, KvValue(value, answer.revision))

    def watch(self, key: str, after: int, wait_s: float) -> KvValue:
        """Wait until a key's version differs from ``after``, or the wait is over.

        :raises KvUnavailableError: if no answer came
        """
        until = steady_s() + wait_s
        held = self.get(key)
        line = self.store.watch_line()
        try:
            while held.version == after and (left := until - steady_s()) > MIN_WATCH_S:
                self.store.watch(key, after, left, line)
                held = self.get(key)  # a change under the same prefix may be another key's
        except StoreError as error:
            raise KvUnavailableError(str(error)) from error
        finally:
            line.give_up()
        return held

    def lease(self, ttl_s: float) -> str:
        """Grant a lease that lapses after ``ttl_s`` seconds.

        :raises KvUnavailableError: if no answer came
        """
        try:
            return str(self.store.grant_lease(ttl_s))
        except StoreError as error:
            raise KvUnavailableError(str(error)) from error


def _value(item: Item | None) -> KvValue:
    return KvValue(b"", ABSENT) if item is None else KvValue(item.value, item.revision)


__all__ = ["ABSENT", "KvClient", "KvUnavailableError", "KvValue", "KvWrite"]
