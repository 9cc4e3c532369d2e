"""Stores lots in the platform's store; every change is conditional on the revision of a lot's head.

Two processes that both consider themselves the owner of a lot therefore can't corrupt it: only the
one conditional write that the store commits counts.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from threadramp.lots.checkpoints import TEXT_PREFIX
from threadramp.lots.head_change import append_change, head_change, new_nonce
from threadramp.lots.model import (
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
    StoreRefusedError,
    StoreUnknownError,
    Transaction,
)

if TYPE_CHECKING:
    from collections.abc import Sequence

    from threadramp.lots.head_change import HeadChange
    from threadramp.lots.model import Lot, LotHead, Result
    from threadramp.platform.store import StoreClient
    from threadramp.platform.store_model import Item

HEAD_PREFIX = "lot/"
PART_PREFIX = "lot-part/"
CHUNK_PREFIX = "lot-chunk/"
PART_BYTES = 600_000  # a value may have 1 MB, and a request body two such parts in base64
MAX_REMOVALS_PER_WRITE = MAX_ENTRIES - 1  # one entry is left for the condition


class LotMissingError(Exception):
    """The store has no such lot."""


class NotOwnerError(Exception):
    """Another gateway owns the lot now, or has changed its head.

    :param stored: the head that the store has
    """

    def __init__(self, stored: StoredHead) -> None:
        self.stored = stored
        self.head = stored.head
        super().__init__(f"the lot is owned by {stored.head.owner} now")


class LotJournal:
    """Reads and writes lots in the store."""

    def __init__(self, store: StoreClient) -> None:
        self.store = store

    def create(
        self, lot: Lot, head: LotHead, retry_for_s: float = RETRY_FOR_S
    ) -> StoredHead | None:
        """Store a new lot; none if the store already has it.

        :param retry_for_s: how long to retry while the store is unreachable or does not answer
        :raises StoreRefusedError: if the lot is not stored
        :raises StoreUnknownError: if it is unknown whether the lot is stored
        """
        data = encode(lot)
        parts = [data[start : start + PART_BYTES] for start in range(0, len(data), PART_BYTES)]
        head = msgspec.structs.replace(head, parts=len(parts), nonce=new_nonce())
        puts = [Put(_part_key(lot.id, number), part) for number, part in enumerate(parts)]
        writes = RetriedWrites(self.store, retry_for_s, retry_refused=True)
        self._store_parts(lot.id, writes, puts[1:])
        key = HEAD_PREFIX + lot.id
        transaction = Transaction({key: ABSENT}, (puts[0], Put(key, encode(head))))
        answer = writes.commit(key, transaction, head.nonce)
        return StoredHead(lot.id, head, answer.revision) if isinstance(answer, Committed) else None

    def _store_parts(self, lot_id: str, writes: RetriedWrites, puts: Sequence[Put]) -> None:
        """Store all parts of a new lot but the first, which goes with the head.

        :raises StoreRefusedError: if one may not be stored; without its head no lot exists
        """
        for put in puts:
            try:
                writes.send(Transaction(puts=(put,)))
            except StoreUnknownError as error:
                raise StoreRefusedError(f"the head of {lot_id} was not sent: {error}") from error

    def append(self, stored: StoredHead, results: Sequence[Result]) -> StoredHead:
        """Store results at the next positions.

        :raises NotOwnerError: if another gateway owns the lot now
        :raises StoreError: if it is unknown whether the results are stored
        """
        return self.commit(append_change(stored, results))

    def update(self, stored: StoredHead, **fields: object) -> StoredHead:
        """Change fields of the head, such as its owner or that the lot has ended.

        :raises NotOwnerError: if the head has changed meanwhile
        :raises StoreError: if it is unknown whether the change is stored
        """
        return self.commit(head_change(stored, **fields))

    def commit(self, change: HeadChange) -> StoredHead:
        """Store a change, or recognise it if an earlier attempt stored it.

        :raises NotOwnerError: if the head has changed meanwhile, by another write
        :raises LotMissingError: if the store no longer has the lot
        :raises StoreRefusedError: if this attempt was not done
        :raises StoreUnknownError: if it may have been done, or may still be done
        """
        lot_id = change.before.lot_id
        key = HEAD_PREFIX + lot_id
        puts = [Put(key, encode(change.head))]
        if change.results:
            puts.insert(
                0, Put(_chunk_key(lot_id, change.before.head.chunks), encode(change.results))
            )
        transaction = Transaction({key: change.before.revision}, tuple(puts))
        writes = RetriedWrites(self.store, RETRY_FOR_S, retry_refused=False)
        answer = writes.commit(key, transaction, change.nonce)
        if isinstance(answer, Committed):
            return StoredHead(lot_id, change.head, answer.revision)
        current = answer.current.get(key)
        if current is None:
            raise LotMissingError(lot_id)
        raise NotOwnerError(_decode_stored(current))

    def read_head(self, lot_id: str) -> StoredHead | None:
        """Read a lot's head; none if the store has no such lot.

        :raises StoreError: if the store did not answer
        """
        item = self.store.get(HEAD_PREFIX + lot_id)
        return None if item is None else _decode_stored(item)

    def list_heads(self) -> list[StoredHead]:
        """Read the heads of all lots.

        :raises StoreError: if the store did not answer
        """
        return [_decode_stored(item) for item in self.store.list(HEAD_PREFIX).items]

    def load(self, lot_id: str) -> StoredLot:
        """Read a complete lot.

        :raises LotMissingError: if the store has no such lot
        :raises StoreError: if the store did not answer
        """
        stored = self.read_head(lot_id)
        if stored is None:
            raise LotMissingError(lot_id)
        return self.load_from_head(stored)

    def load_from_head(self, stored: StoredHead) -> StoredLot:
        """Read the request and the results that a head refers to.

        :raises StoreError: if the store did not answer
        """
        return StoredLot(stored, self.read_lot(stored), self.read_results(stored, 0))

    def read_lot(self, stored: StoredHead) -> Lot:
        """Read the lot as the trainer submitted it.

        :raises StoreError: if the store did not answer
        """
        keys = [_part_key(stored.lot_id, number) for number in range(stored.head.parts)]
        return decode_lot(b"".join(self._read_value(key) for key in keys))

    def read_results(self, stored: StoredHead, first_chunk: int) -> tuple[Result, ...]:
        """Read the results of all chunks from ``first_chunk`` on.

        :raises StoreError: if the store did not answer
        """
        numbers = range(first_chunk, stored.head.chunks)
        values = self._list_chunks(stored.lot_id) if len(numbers) > 1 else {}
        found: list[Result] = []
        for number in numbers:
            key = _chunk_key(stored.lot_id, number)
            value = values.get(key)
            found.extend(decode_results(self._read_value(key) if value is None else value))
        return tuple(found)

    def _list_chunks(self, lot_id: str) -> dict[str, bytes]:
        """Read all chunks of a lot, one call a page; a lot has ten chunks or more."""
        items = self.store.list(f"{CHUNK_PREFIX}{lot_id}/", direct_when_shut=True).items
        return {item.key: item.value for item in items}

    def remove(self, stored: StoredHead) -> bool:
        """Remove a lot that is past its retention; false if a later lot of this id exists by now.

        Every removal is conditional on the revision of the head, and the head is removed last. A
        removal that is late, or that comes from a process that was suspended after it listed the
        heads, thus leaves a later lot of the same id alone.

        :raises StoreError: if it is unknown whether the lot is removed
        """
        key = HEAD_PREFIX + stored.lot_id
        names = [_part_key(stored.lot_id, number) for number in range(stored.head.parts)]
        names += [_chunk_key(stored.lot_id, number) for number in range(stored.head.chunks)]
        names += [item.key for item in self.store.list(f"{TEXT_PREFIX}{stored.lot_id}/").items]
        names.append(key)
        for start in range(0, len(names), MAX_REMOVALS_PER_WRITE):
            batch = tuple(names[start : start + MAX_REMOVALS_PER_WRITE])
            transaction = Transaction({key: stored.revision}, removals=batch)
            answer = self.store.transact(transaction, repeatable=True)
            if not isinstance(answer, Committed):
                return key not in answer.current  # removed before, or by another box
        return True

    def _read_value(self, key: str) -> bytes:
        item = self.store.get(key)
        if item is None:
            raise StoreUnknownError(f"the head refers to {key}, which the store does not have")
        return item.value


def _decode_stored(item: Item) -> StoredHead:
    return StoredHead(item.key.removeprefix(HEAD_PREFIX), decode_head(item.value), item.revision)


def _part_key(lot_id: str, number: int) -> str:
    return f"{PART_PREFIX}{lot_id}/{number}"


def _chunk_key(lot_id: str, number: int) -> str:
    return f"{CHUNK_PREFIX}{lot_id}/{number}"


__all__ = ["HEAD_PREFIX", "LotJournal", "LotMissingError", "NotOwnerError"]
