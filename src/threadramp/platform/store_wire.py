"""How the platform's store spells its bodies: they are written and read here."""

from __future__ import annotations

import base64
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import msgspec

from threadramp.platform.store_model import (
    Changes,
    Committed,
    Conflict,
    Item,
    Removal,
    StoreUnknownError,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from threadramp.platform.store_model import Put, RawAnswer, Transaction


class _WireItem(msgspec.Struct):
    key: str
    value: bytes = b""  # spelled in base64
    rev: int = 0
    lease: int = 0
    deleted: bool = False

    def decoded(self) -> Item:
        return Item(self.key, self.value, self.rev, self.lease)


class _WireOne(_WireItem):
    storeRevision: int = 0  # noqa: N815 - the platform's spelling


class _WireListing(msgspec.Struct):
    requests: list[_WireItem] = []  # the platform's word for a list of items
    truncated: bool = False
    storeRevision: int = 0  # noqa: N815 - the platform's spelling


class _WireChanges(msgspec.Struct):
    events: list[_WireItem] = []
    storeRevision: int = 0  # noqa: N815 - the platform's spelling


class _WireConflict(msgspec.Struct):
    requests: list[_WireItem] = []  # the platform's word for a list of items


class _WireLease(msgspec.Struct):
    lease: int = 0


class _WireCommitted(msgspec.Struct):
    rev: int = 0


_decode_one = msgspec.json.Decoder(_WireOne).decode
_decode_listing = msgspec.json.Decoder(_WireListing).decode
_decode_changes = msgspec.json.Decoder(_WireChanges).decode
_decode_conflict = msgspec.json.Decoder(_WireConflict).decode
_decode_lease = msgspec.json.Decoder(_WireLease).decode
_decode_committed = msgspec.json.Decoder(_WireCommitted).decode


@dataclass(frozen=True)
class Page:
    """Part of a listing.

    :param after: the last key of this page if more follow, empty if none do
    """

    items: tuple[Item, ...]
    revision: int
    after: str


def read_item(answer: RawAnswer) -> Item:
    """Read one key.

    :raises StoreUnknownError: if the body is spoiled
    """
    return _decoded(_decode_one, answer).decoded()


def read_page(answer: RawAnswer) -> Page:
    """Read one page of a listing.

    :raises StoreUnknownError: if the body is spoiled
    """
    page = _decoded(_decode_listing, answer)
    rows = page.requests
    after = rows[-1].key if page.truncated and rows else ""
    return Page(tuple(row.decoded() for row in rows), page.storeRevision, after)


def read_changes(answer: RawAnswer) -> Changes:
    """Read what a watch brought.

    :raises StoreUnknownError: if the body is spoiled
    """
    changes = _decoded(_decode_changes, answer)
    items = tuple(row.decoded() for row in changes.events if not row.deleted)
    gone = tuple(Removal(row.key, row.rev) for row in changes.events if row.deleted)
    return Changes(items, gone, changes.storeRevision)


def read_conflict(answer: RawAnswer) -> Conflict:
    """Read why a transaction was not done.

    :raises StoreUnknownError: if the body is spoiled
    """
    rows = _decoded(_decode_conflict, answer).requests
    return Conflict({row.key: row.decoded() for row in rows if row.rev and not row.deleted})


def read_committed(answer: RawAnswer) -> Committed:
    """Read at which revision a transaction took effect.

    :raises StoreUnknownError: if the body is spoiled
    """
    return Committed(_decoded(_decode_committed, answer).rev)


def read_lease(answer: RawAnswer) -> int:
    """Read the id of a new lease.

    :raises StoreUnknownError: if the body is spoiled
    """
    return _decoded(_decode_lease, answer).lease


def transaction_body(transaction: Transaction) -> bytes:
    """Return a transaction as it is sent."""
    return msgspec.json.encode(
        {
            "expected": [{"key": key, "rev": rev} for key, rev in transaction.expected.items()],
            "puts": [_wire_put(put) for put in transaction.puts],
            "remove": list(transaction.removals),
        }
    )


def lease_body(ttl_s: float) -> bytes:
    """Return the wish for a lease as it is sent."""
    return msgspec.json.encode({"ttlMs": int(ttl_s * 1000)})


def _wire_put(put: Put) -> dict[str, object]:
    row: dict[str, object] = {"key": put.key, "value": base64.b64encode(put.value).decode()}
    if put.lease:
        row["lease"] = put.lease
    return row


def _decoded(decode: Callable[[bytes], Any], answer: RawAnswer) -> Any:
    """Decode a body; one that is spoiled counts as no answer."""
    try:
        return decode(answer.body)
    except (msgspec.DecodeError, ValueError) as error:
        raise StoreUnknownError(f"an answer that cannot be read: {error}") from error


__all__ = [
    "Page",
    "lease_body",
    "read_changes",
    "read_committed",
    "read_conflict",
    "read_item",
    "read_lease",
    "read_page",
    "transaction_body",
]
