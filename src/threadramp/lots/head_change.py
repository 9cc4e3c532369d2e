"""Changes to the head of a lot, which keep their nonce until their outcome is known."""

from __future__ import annotations

import secrets
from dataclasses import dataclass
from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from collections.abc import Sequence

    from threadramp.lots.model import LotHead, Result, StoredHead


@dataclass(frozen=True)
class HeadChange:
    """One conditional write of a lot's head.

    It is sent unchanged at each attempt. A new nonce for the same change would make the owner take
    an earlier attempt, which was done without an answer, for the write of another gateway.

    :param before: the stored head on whose revision the write is conditional
    :param head: the new head, with the nonce of this write
    :param results: stored along with the head, as its last chunk
    """

    before: StoredHead
    head: LotHead
    results: tuple[Result, ...] = ()

    @property
    def nonce(self) -> str:
        """Return what identifies this write in the head that it makes."""
        return self.head.nonce


def append_change(stored: StoredHead, results: Sequence[Result]) -> HeadChange:
    """Return the write that stores results at the next positions."""
    head = stored.head
    new_head = msgspec.structs.replace(
        head, chunks=head.chunks + 1, listed=head.listed + len(results), nonce=new_nonce()
    )
    return HeadChange(stored, new_head, tuple(results))


def head_change(stored: StoredHead, **fields: object) -> HeadChange:
    """Return the write that changes fields of a head, such as its owner."""
    return HeadChange(stored, msgspec.structs.replace(stored.head, nonce=new_nonce(), **fields))


def new_nonce() -> str:
    """Return the nonce of a new write."""
    return secrets.token_hex(8)


__all__ = ["HeadChange", "append_change", "head_change", "new_nonce"]
