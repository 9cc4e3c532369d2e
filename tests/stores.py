"""The store's client in memory, for tests that need no sockets."""

from __future__ import annotations

from threadramp.platform.store_model import (
    ABSENT,
    Committed,
    Conflict,
    Item,
    Listing,
    StoreRefusedError,
    StoreUnknownError,
)


class MemoryStore:
    """Keys under conditions.

    :param loses: whether answers are lost after the write was done
    :param away: whether calls are turned away before anything is done
    """

    def __init__(self) -> None:
        self.items: dict[str, Item] = {}
        self.revision = 10
        self.loses = False
        self.away = False
        self.calls = 0

    def get(self, key):
        self._called()
        return self.items.get(key)

    def list(self, prefix):
        self._called()
        rows = tuple(item for key, item in sorted(self.items.items()) if key.startswith(prefix))
        return Listing(rows, self.revision)

    def transact(self, transaction, repeatable=False):
        self._called()
        held = {key: self.items.get(key) for key in transaction.expected}
        stands = {key: ABSENT if item is None else item.revision for key, item in held.items()}
        if stands != transaction.expected:
            return Conflict({key: item for key, item in held.items() if item is not None})
        self.revision += 1
        for put in transaction.puts:
            self.items[put.key] = Item(put.key, put.value, self.revision)
        for key in transaction.removals:
            self.items.pop(key, None)
        if self.loses:
            raise StoreUnknownError("lost")
        return Committed(self.revision)

    def _called(self):
        self.calls += 1
        if self.away:
            raise StoreRefusedError("away")
