"""Keeps lots in the platform's store: one head a lot, under whose revision every change stands.

Two processes that both believe they own a lot can not break it: what counts is the one conditional
write that takes effect.
"""

from __future__ import annotations

import secrets
from typing import TYPE_CHECKING

import msgspec

from threadramp.lots.checkpoints import TEXT_PREFIX
from threadramp.lots.model import (
    LotHead,
    StoredHead,
    StoredLot,
    decode_head,
    decode_lot,
    decode_results,
    encode,
)
from threadramp.lots.retried_writes import RETRY_FOR_S, RetriedWrites
from threadramp.platform.store_model import (
    ABSENT,
    MAX_ENTRIES,
    Committed,
    Put,
    StoreUnknownError,
    Transaction,
)

if TYPE_CHECKING:
    from collections.abc import Sequence

    from threadramp.lots.model import Lot, Result
    from threadramp.platform.store import StoreClient
    from threadramp.platform.store_model import Item

HEAD_PREFIX = "lot/"
PART_PREFIX = "lot-part/"
CHUNK_PREFIX = "lot-chunk/"
PART_BYTES = 600_000  # a value may have a megabyte, and a body two of these in base64
REMOVED_AT_ONCE = MAX_ENTRIES - 1  # beside the condition


class LotMissingError(Exception):
    """The store says that there is no such lot."""


class NotOwnerError(Exception):
    """Another gateway owns the lot by now.

    :param head: as it stands
    """

    def __init__(self, head: LotHead) -> None:
        self.head = head
        super().__init__(f"owned by {head.owner}")


class LotJournal:
    """Reads and writes lots in the store."""

    def __init__(self, store: StoreClient) -> None:
        self.store = store

    def create(self, lot: Lot, head: LotHead, patience_s: float = RETRY_FOR_S) -> StoredHead | None:
        """Keep a new lot; none if the store has it already.

        :param patience_s: for so long it is tried while the store is away or silent
        :raises StoreRefusedError: if it is not kept
        :raises StoreUnknownError: if it may be kept
        """
        data = encode(lot)
        parts = [data[start : start + PART_BYTES] for start in range(0, len(data), PART_BYTES)]
        head = msgspec.structs.replace(head, parts=len(parts), nonce=_nonce())
        puts = [Put(_part_key(lot.id, number), part) for number, part in enumerate(parts)]
        writes = RetriedWrites(self.store, patience_s, waits=True)
        for put in puts[1:]:
            writes.send(Transaction(puts=(put,)))
        key = HEAD_PREFIX + lot.id
        transaction = Transaction({key: ABSENT}, (puts[0], Put(key, encode(head))))
        answer = writes.settle(key, transaction, head.nonce)
        return StoredHead(lot.id, head, answer.revision) if isinstance(answer, Committed) else None

    def append(self, stored: StoredHead, results: Sequence[Result]) -> StoredHead:
        """Keep results at the next positions.

        :raises NotOwnerError: if the lot changed hands
        :raises StoreError: if it is not known to be kept
        """
        head = stored.head
        put = Put(_chunk_key(stored.lot_id, head.chunks), encode(tuple(results)))
        grown = msgspec.structs.replace(
            head, chunks=head.chunks + 1, listed=head.listed + len(results), nonce=_nonce()
        )
        return self._advance(stored, grown, (put,))

    def change(self, stored: StoredHead, **fields: object) -> StoredHead:
        """Change fields of the head, such as its owner or that it has ended.

        :raises NotOwnerError: if the head changed meanwhile
        :raises StoreError: if it is not known to be kept
        """
        return self._advance(
            stored, msgspec.structs.replace(stored.head, nonce=_nonce(), **fields), ()
        )

    def head(self, lot_id: str) -> StoredHead | None:
        """Read a lot's head; none if the store has no such lot.

        :raises StoreError: if no answer came
        """
        item = self.store.get(HEAD_PREFIX + lot_id)
        return None if item is None else _kept(item)

    def heads(self) -> list[StoredHead]:
        """Read the heads of all lots.

        :raises StoreError: if no answer came
        """
        return [_kept(item) for item in self.store.list(HEAD_PREFIX).items]

    def load(self, lot_id: str) -> StoredLot:
        """Read a whole lot.

        :raises LotMissingError: if the store has no such lot
        :raises StoreError: if no answer came
        """
        stored = self.head(lot_id)
        if stored is None:
            raise LotMissingError(lot_id)
        return self.whole(stored)

    def whole(self, stored: StoredHead) -> StoredLot:
        """Read what stands behind a head.

        :raises StoreError: if no answer came
        """
        return StoredLot(stored, self.hand_in(stored), self.results(stored, 0))

    def hand_in(self, stored: StoredHead) -> Lot:
        """Read what was handed in.

        :raises StoreError: if no answer came
        """
        keys = [_part_key(stored.lot_id, number) for number in range(stored.head.parts)]
        return decode_lot(b"".join(self._value(key) for key in keys))

    def results(self, stored: StoredHead, first_chunk: int) -> tuple[Result, ...]:
        """Read the results of all chunks from ``first_chunk`` on.

        :raises StoreError: if no answer came
        """
        numbers = range(first_chunk, stored.head.chunks)
        values = self._listed_chunks(stored.lot_id) if len(numbers) > 1 else {}
        found: list[Result] = []
        for number in numbers:
            key = _chunk_key(stored.lot_id, number)
            value = values.get(key)
            found.extend(decode_results(self._value(key) if value is None else value))
        return tuple(found)

    def _listed_chunks(self, lot_id: str) -> dict[str, bytes]:
        """Read all chunks of a lot with as few calls as there are pages; a lot has ten or more."""
        items = self.store.list(f"{CHUNK_PREFIX}{lot_id}/", direct_when_shut=True).items
        return {item.key: item.value for item in items}

    def remove(self, stored: StoredHead) -> bool:
        """Remove a lot that nobody may ask for any more; false if another stands there by now.

        All of it goes under its head's revision, and the head last: what is done late, or by one
        that stood still since it listed the heads, leaves a later lot of the same id alone.

        :raises StoreError: if it is not known to be removed
        """
        key = HEAD_PREFIX + stored.lot_id
        names = [_part_key(stored.lot_id, number) for number in range(stored.head.parts)]
        names += [_chunk_key(stored.lot_id, number) for number in range(stored.head.chunks)]
        names += [item.key for item in self.store.list(f"{TEXT_PREFIX}{stored.lot_id}/").items]
        names.append(key)
        for start in range(0, len(names), REMOVED_AT_ONCE):
            some = tuple(names[start : start + REMOVED_AT_ONCE])
            transaction = Transaction({key: stored.revision}, removals=some)
            answer = self.store.transact(transaction, repeatable=True)
            if not isinstance(answer, Committed):
                return key not in answer.current  # done before, or by another box
        return True

    def _advance(self, stored: StoredHead, head: LotHead, puts: tuple[Put, ...]) -> StoredHead:
        key = HEAD_PREFIX + stored.lot_id
        transaction = Transaction({key: stored.revision}, (*puts, Put(key, encode(head))))
        writes = RetriedWrites(self.store, RETRY_FOR_S, waits=False)
        answer = writes.settle(key, transaction, head.nonce)
        if isinstance(answer, Committed):
            return StoredHead(stored.lot_id, head, answer.revision)
        current = answer.current.get(key)
        if current is None:
            raise LotMissingError(stored.lot_id)
        raise NotOwnerError(decode_head(current.value))

    def _value(self, key: str) -> bytes:
        item = self.store.get(key)
        if item is None:
            raise StoreUnknownError(f"{key} is missing beside its head")
        return item.value


def _kept(item: Item) -> StoredHead:
    return StoredHead(item.key.removeprefix(HEAD_PREFIX), decode_head(item.value), item.revision)


def _part_key(lot_id: str, number: int) -> str:
    return f"{PART_PREFIX}{lot_id}/{number}"


def _chunk_key(lot_id: str, number: int) -> str:
    return f"{CHUNK_PREFIX}{lot_id}/{number}"


def _nonce() -> str:
    return secrets.token_hex(8)


__all__ = ["HEAD_PREFIX", "LotJournal", "LotMissingError", "NotOwnerError"]
