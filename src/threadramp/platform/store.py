"""Client of the platform's store: items under keys, conditions, leases and watches.

Each call ends in one of three ways that callers must tell apart: an answer, ``StoreRefusedError``
(the store says that nothing was done) and ``StoreUnknownError`` (no answer: it may have been done,
or may still be done later if its condition holds by then).
"""

from __future__ import annotations

import base64
import threading
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any, Protocol
from urllib.parse import urlencode

import msgspec
from urllib3 import HTTPConnectionPool, Timeout
from urllib3.exceptions import HTTPError

if TYPE_CHECKING:
    from collections.abc import Callable

ABSENT = 0  # the revision of a key that does not exist
CONNECT_TIMEOUT_S = 0.6  # two lost opening packets are not waited for
CALL_TIMEOUT_S = 1.2  # the slowest answers seen take 0.4
WATCH_MARGIN_S = 1.0
POOL_SIZE = 8
MAX_ENTRIES = 32  # in one transaction; the store's limit
KEY_ROOT = "/threadramp"


class StoreError(Exception):
    """A call to the store brought no result."""


class StoreRefusedError(StoreError):
    """The store, or the way to it, says that nothing was done."""


class StoreUnknownError(StoreError):
    """No answer came; the call may have been done, or may be done later."""


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

    def __call__(self, call: Call, /) -> RawAnswer | None:
        """Return the answer, or none if nobody could pass it on."""


class Call(msgspec.Struct, frozen=True):
    """A call to the store as it is sent.

    :param timeout_s: seconds to wait for the answer
    :param repeatable: whether it may be sent again when its outcome is unknown
    """

    method: str
    path: str
    body: bytes
    timeout_s: float
    repeatable: bool


class RawAnswer(msgspec.Struct, frozen=True):
    """An answer of the store as it came."""

    status: int
    body: bytes


class _WireItem(msgspec.Struct):
    key: str
    value: str = ""
    rev: int = 0
    lease: int = 0
    deleted: bool = False

    def decoded(self) -> Item:
        return Item(self.key, base64.b64decode(self.value), self.rev, self.lease)


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
    ttlMs: float = 0  # noqa: N815 - the platform's spelling
    lease: int = 0


class _WireCommitted(msgspec.Struct):
    rev: int = 0


_decode_one = msgspec.json.Decoder(_WireOne).decode
_decode_listing = msgspec.json.Decoder(_WireListing).decode
_decode_changes = msgspec.json.Decoder(_WireChanges).decode
_decode_conflict = msgspec.json.Decoder(_WireConflict).decode
_decode_lease = msgspec.json.Decoder(_WireLease).decode
_decode_committed = msgspec.json.Decoder(_WireCommitted).decode


class StoreClient:
    """Calls the platform's store, directly or through a peer that has a way to it.

    :param address: ``ip:port``
    :param relay: asked when the direct way is shut
    :param timeout_s: seconds after which a call is given up
    :param observe: told of each call on the direct way: none if it was answered, else what failed
    """

    def __init__(
        self,
        address: str,
        relay: Relay | None = None,
        observe: Callable[[StoreError | None], None] = lambda error: None,
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> None:
        host, _, port = address.partition(":")
        self.pool = HTTPConnectionPool(host, int(port), maxsize=POOL_SIZE, retries=False)
        self.host = host
        self.port = int(port)
        self.relay = relay
        self.observe = observe
        self.timeout_s = timeout_s
        self.lock = threading.Lock()
        self.calls = 0
        self.shut = False

    def get(self, key: str) -> Item | None:
        """Read one key; the answer is the newest.

        :raises StoreError: if no answer came
        """
        answer = self._ask("GET", f"{KEY_ROOT}/kv-key?{urlencode({'key': key})}")
        if answer.status == 404:
            return None
        return _decoded(_decode_one, answer).decoded()

    def list(self, prefix: str) -> Listing:
        """Read all keys under a prefix, page by page.

        :raises StoreError: if a page did not come
        """
        items: list[Item] = []
        revision = 0
        after = ""
        while True:
            query = {"pathPrefix": prefix}
            if after:
                query["after"] = after
            answer = self._ask("GET", f"{KEY_ROOT}/kv-range?{urlencode(query)}")
            page = _decoded(_decode_listing, answer)
            items.extend(row.decoded() for row in page.requests)
            # Changes between two pages are seen again by a watch from the first page's revision.
            revision = revision or page.storeRevision
            if not page.truncated or not page.requests:
                return Listing(tuple(items), revision)
            after = page.requests[-1].key

    def watch(
        self, prefix: str, after: int, wait_s: float, pool: HTTPConnectionPool
    ) -> Changes | HistoryGone:
        """Wait for changes under a prefix; never passed through a peer.

        :param after: revision from which on changes are wanted
        :param pool: made by ``watch_pool``, so that its owner can cut the call short
        :raises StoreError: if no answer came
        """
        query = {"pathPrefix": prefix, "after": after, "waitMs": int(wait_s * 1000)}
        path = f"{KEY_ROOT}/kv-watch?{urlencode(query)}"
        call = Call("GET", path, b"", wait_s + WATCH_MARGIN_S, True)
        answer = self._checked(self.direct(call, pool))
        if answer.status == 410:
            return HistoryGone()
        changes = _decoded(_decode_changes, answer)
        items = tuple(row.decoded() for row in changes.events if not row.deleted)
        gone = tuple(Removal(row.key, row.rev) for row in changes.events if row.deleted)
        return Changes(items, gone, changes.storeRevision)

    def watch_pool(self) -> HTTPConnectionPool:
        """Return a connection pool for one watch."""
        return HTTPConnectionPool(self.host, self.port, maxsize=1, retries=False)

    def transact(
        self, transaction: Transaction, repeatable: bool = False
    ) -> Committed | Conflict | LeaseGone:
        """Do all of a transaction or nothing.

        :param repeatable: whether doing it twice is the same as once
        :raises StoreRefusedError: if nothing was done
        :raises StoreUnknownError: if it may have been done
        """
        body = msgspec.json.encode(
            {
                "expected": [{"key": k, "rev": rev} for k, rev in transaction.expected.items()],
                "puts": [_wire_put(put) for put in transaction.puts],
                "remove": list(transaction.removals),
            }
        )
        answer = self._ask("POST", f"{KEY_ROOT}/kv-txn", body, repeatable)
        if answer.status == 404:
            return LeaseGone()
        if answer.status == 412:
            rows = _decoded(_decode_conflict, answer).requests
            return Conflict({row.key: row.decoded() for row in rows if row.rev and not row.deleted})
        return Committed(_decoded(_decode_committed, answer).rev)

    def grant_lease(self, ttl_s: float) -> int:
        """Return the id of a new lease.

        :raises StoreError: if no answer came
        """
        body = msgspec.json.encode({"ttlMs": int(ttl_s * 1000)})
        answer = self._ask("POST", f"{KEY_ROOT}/kv-lease", body, repeatable=True)
        return _decoded(_decode_lease, answer).lease

    def renew_lease(self, lease: int) -> bool:
        """Renew a lease; false if it is over.

        :raises StoreError: if no answer came
        """
        path = f"{KEY_ROOT}/kv-keep/{lease}"
        answer = self._ask("POST", path, b"", repeatable=True, probes=True)
        return answer.status != 404

    def end_lease(self, lease: int) -> None:
        """End a lease; its keys go with it.

        :raises StoreError: if no answer came
        """
        self._ask("DELETE", f"{KEY_ROOT}/kv-lease-end/{lease}", repeatable=True)

    def direct(self, call: Call, pool: HTTPConnectionPool | None = None) -> RawAnswer:
        """Send a call on our own way to the store.

        :raises StoreUnknownError: if no answer came
        """
        with self.lock:
            self.calls += 1
        headers = {"Content-Type": "application/json"} if call.body else {}
        timeout = Timeout(connect=CONNECT_TIMEOUT_S, read=call.timeout_s)
        try:
            response = (pool or self.pool).urlopen(
                call.method, call.path, body=call.body or None, headers=headers, timeout=timeout
            )
        except (HTTPError, OSError) as error:
            raise StoreUnknownError(
                f"{call.method} {call.path.split('?')[0]}: {error!r}"
            ) from error
        return RawAnswer(response.status, response.data)

    def _ask(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        repeatable: bool | None = None,
        probes: bool = False,
    ) -> RawAnswer:
        """Send a call directly, then through a peer where that is safe.

        While the direct way is known to be shut the peer comes first.

        :param probes: whether this call finds out if the direct way is open again
        """
        again = method == "GET" if repeatable is None else repeatable
        call = Call(method, path, body, self.timeout_s, again)
        peer_first = self.shut and not probes
        relayed = self._relayed(call) if peer_first else None
        if relayed is not None:
            return self._checked(relayed)
        try:
            answer = self._checked(self.direct(call))
        except StoreError as error:
            self.shut = True
            self.observe(error)
            may_go_on = not peer_first and (again or isinstance(error, StoreRefusedError))
            relayed = self._relayed(call) if may_go_on else None
            if relayed is None:
                raise
            return self._checked(relayed)
        self.shut = False
        self.observe(None)
        return answer

    def _relayed(self, call: Call) -> RawAnswer | None:
        return None if self.relay is None else self.relay(call)

    def _checked(self, answer: RawAnswer) -> RawAnswer:
        if answer.status in (200, 404, 410, 412):
            return answer
        raise StoreRefusedError(f"status {answer.status}")


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
    "ABSENT",
    "Call",
    "Changes",
    "Committed",
    "Conflict",
    "HistoryGone",
    "Item",
    "LeaseGone",
    "Listing",
    "Put",
    "RawAnswer",
    "Relay",
    "Removal",
    "StoreClient",
    "StoreError",
    "StoreRefusedError",
    "StoreUnknownError",
    "Transaction",
]
