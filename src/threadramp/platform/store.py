"""Client of the platform's store: items under keys, conditions, leases and watches.

Each call ends in one of three ways that callers must tell apart: an answer, ``StoreRefusedError``
(the store says that nothing was done) and ``StoreUnknownError`` (no answer: it may have been done,
or may still be done later if its condition holds by then).
"""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING
from urllib.parse import urlencode

from msgspec.structs import replace

from threadramp.fleet.clock import steady_s
from threadramp.platform.call_attempts import CallAttempts
from threadramp.platform.store_lines import StoreLines
from threadramp.platform.store_model import (
    Call,
    HistoryGone,
    KeptLineError,
    LeaseGone,
    Listing,
    RawAnswer,
    StoreError,
    StoreUnknownError,
)
from threadramp.platform.store_wire import (
    lease_body,
    read_changes,
    read_committed,
    read_conflict,
    read_item,
    read_lease,
    read_page,
    transaction_body,
)
from threadramp.report.log import log_state

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from threadramp.platform.store_lines import WatchLine
    from threadramp.platform.store_model import (
        Changes,
        Committed,
        Conflict,
        Item,
        Relay,
        Removal,
        Transaction,
    )

CALL_TIMEOUT_S = 1.2  # the slowest answers seen take 0.4
RENEW_TIMEOUT_S = 0.8  # renewals find out what is silent; with their pause < UNREACHABLE_AFTER_S
AGAIN_TIMEOUT_S = 0.6  # on a new connection; in an outage this puts off that it is known
OLD_S = 0.5  # beyond the time in which a call is answered or given up, on a busy processor
WATCH_MARGIN_S = 0.6  # for the answer to come back once the store's wait is over
KEY_ROOT = "/threadramp"


class StoreClient:
    """Calls the platform's store, directly or through a peer that has a way to it.

    :param address: ``ip:port``
    :param relay: asked when the direct way is shut
    :param timeout_s: seconds after which a call is given up
    :param observe: told of each call on the direct way: none if it was answered, else what failed
    :param count: told the cause of each call on the direct way
    """

    def __init__(
        self,
        address: str,
        relay: Relay | None = None,
        observe: Callable[[StoreError | None], None] = lambda error: None,
        timeout_s: float = CALL_TIMEOUT_S,
        count: Callable[[str], None] = lambda cause: None,
    ) -> None:
        self.address = address
        self.lines = StoreLines(address)
        self.relay = relay
        self.observe = observe
        self.timeout_s = timeout_s
        self.count = count
        self.lock = threading.Lock()
        self.calls = 0
        self.shut = False
        self.on_silence: list[Callable[[], None]] = []

    def get(self, key: str) -> Item | None:
        """Read one key; the answer is the newest.

        :raises StoreError: if no answer came
        """
        path = f"{KEY_ROOT}/kv-key?{urlencode({'key': key})}"
        answer = self._ask(_cause("read", key), "GET", path)
        if answer.status == 404:
            return None
        item = read_item(answer)
        self._check_own(key, [item.key] if item.key != key else [])
        return item

    def list(self, prefix: str, direct_when_shut: bool = False) -> Listing:
        """Read all keys under a prefix, page by page.

        :param direct_when_shut: whether the direct way is tried though it is known to be shut and
            no peer has one
        :raises StoreError: if a page did not come
        """
        items: list[Item] = []
        revision = 0
        after = ""
        while True:
            query = {"pathPrefix": prefix}
            if after:
                query["after"] = after
            path = f"{KEY_ROOT}/kv-range?{urlencode(query)}"
            cause = _cause("list", prefix)
            answer = self._ask(cause, "GET", path, direct_when_shut=direct_when_shut)
            page = read_page(answer)
            self._check_own(prefix, _strangers(page.items, prefix))
            items.extend(page.items)
            # Changes between two pages are seen again by a watch from the first page's revision.
            revision = revision or page.revision
            after = page.after
            if not after:
                return Listing(tuple(items), revision)

    def watch(
        self, prefix: str, after: int, wait_s: float, line: WatchLine
    ) -> Changes | HistoryGone:
        """Wait for changes under a prefix; never passed through a peer.

        :param after: revision from which on changes are wanted
        :param line: made by ``watch_line``, so that its owner can give the call up
        :raises GivenUpError: if its owner gave it up
        :raises StoreError: if no answer came
        """
        query = {"pathPrefix": prefix, "after": after, "waitMs": int(wait_s * 1000)}
        path = f"{KEY_ROOT}/kv-watch?{urlencode(query)}"
        call = Call("GET", path, b"", wait_s + WATCH_MARGIN_S, True, _cause("watch", prefix))
        self._count(call)
        begun = steady_s()
        answer = line.send(call).checked()
        _check_fresh(call, begun, call.timeout_s)
        if answer.status == 410:
            return HistoryGone()
        changes = read_changes(answer)
        strangers = _strangers((*changes.items, *changes.removals), prefix, after)
        if strangers:
            line.give_up()
        self._check_own(prefix, strangers)
        return changes

    def watch_line(self) -> WatchLine:
        """Return a connection for one watch."""
        return self.lines.watch_line()

    def give_up_lines(self) -> None:
        """Use no connection again that is open now."""
        self.lines.give_up()

    def went_silent(self) -> None:
        """Take note that open connections pass nothing; the watches have some that are as old."""
        self.lines.give_up()
        self._tell_silence()

    def transact(
        self, transaction: Transaction, repeatable: bool = False
    ) -> Committed | Conflict | LeaseGone:
        """Do all of a transaction or nothing.

        :param repeatable: whether doing it twice is the same as once
        :raises StoreRefusedError: if nothing was done
        :raises StoreUnknownError: if it may have been done
        """
        body = transaction_body(transaction)
        key = transaction.first_key
        cause = _cause("write" if transaction.puts else "remove", key)
        answer = self._ask(cause, "POST", f"{KEY_ROOT}/kv-txn", body, repeatable, key=key)
        if answer.status == 404:
            return LeaseGone()
        if answer.status == 412:
            return read_conflict(answer)
        return read_committed(answer)

    def grant_lease(self, ttl_s: float) -> int:
        """Return the id of a new lease.

        :raises StoreError: if no answer came
        """
        path = f"{KEY_ROOT}/kv-lease"
        answer = self._ask("grant lease", "POST", path, lease_body(ttl_s), repeatable=True)
        return read_lease(answer)

    def renew_lease(self, lease: int) -> bool:
        """Renew a lease; false if it is over.

        :raises StoreError: if no answer came
        """
        path = f"{KEY_ROOT}/kv-keep/{lease}"
        timeout_s = min(RENEW_TIMEOUT_S, self.timeout_s)
        answer = self._ask(
            "renew lease", "POST", path, repeatable=True, probes=True, timeout_s=timeout_s
        )
        return answer.status != 404

    def end_lease(self, lease: int) -> None:
        """End a lease; its keys go with it.

        :raises StoreError: if no answer came
        """
        path = f"{KEY_ROOT}/kv-lease-end/{lease}"
        self._ask("end lease", "DELETE", path, repeatable=True)

    def direct(self, call: Call) -> RawAnswer:
        """Send a call on our own way to the store.

        :raises StoreRefusedError: if there was no connection to send it on
        :raises StoreUnknownError: if no answer came
        """
        self._count(call)
        return self.lines.send(call)

    def _count(self, call: Call) -> None:
        with self.lock:
            self.calls += 1
        self.count(call.cause)

    def _ask(
        self,
        cause: str,
        method: str,
        path: str,
        body: bytes = b"",
        repeatable: bool | None = None,
        probes: bool = False,
        direct_when_shut: bool = True,
        timeout_s: float = 0.0,
        key: str = "",
    ) -> RawAnswer:
        """Send a call directly, then through a peer where that is safe.

        While the direct way is known to be shut the peer comes first.

        :param cause: as which it is counted
        :param probes: whether this call finds out if the direct way is open again
        :param direct_when_shut: whether the direct way is tried though it is known to be shut and
            no peer has one; all processes list again and again, and refused calls are priced
        :param timeout_s: 0 for the usual one
        :raises StoreError: if no answer came
        """
        again = method == "GET" if repeatable is None else repeatable
        call = Call(method, path, body, timeout_s or self.timeout_s, again, cause, key)
        ways = [self._observed]
        if self.relay is not None:
            peer_first = self.shut and not probes
            ways.insert(0 if peer_first else 1, self.relay)
            if peer_first and not direct_when_shut:
                ways.remove(self._observed)
        attempts = CallAttempts()
        for send in ways:
            if attempts.may_be_done and not call.repeatable:
                break
            try:
                return send(call)
            except StoreError as error:
                attempts.record(error)
        raise attempts.failure()

    def _observed(self, call: Call) -> RawAnswer:
        """Send a call directly and note whether the direct way is open.

        :raises KeptLineError: if that is open: no answer came on a kept connection, and the call
            may not be repeated; the next one goes on a new connection and tells
        """
        begun = steady_s()
        try:
            answer, was_silent = self._sent(call)
            _check_fresh(call, begun, call.timeout_s + max(call.timeout_s, AGAIN_TIMEOUT_S))
        except KeptLineError:
            raise
        except StoreError as error:
            self.shut = True
            self.observe(error)
            self._log_failed_write(call, "direct", error)
            raise
        self.shut = False
        self.observe(None)
        if was_silent:
            self._tell_silence()
        return answer

    def _sent(self, call: Call) -> tuple[RawAnswer, bool]:
        """Send a call, once more if no answer came on a kept connection.

        :returns: its answer, and whether it is the first to show that what was open is silent
        :raises StoreRefusedError: if nothing was done
        :raises StoreUnknownError: if it may have been done
        """
        attempts = CallAttempts()
        try:
            return self.direct(call).checked(), False
        except KeptLineError as error:
            self._log_failed_write(call, "kept connection", error)
            if not call.repeatable:
                raise
            attempts.record(error)
            is_first = error.is_first
        again = replace(call, timeout_s=min(AGAIN_TIMEOUT_S, call.timeout_s))
        try:
            return self.direct(again).checked(), is_first
        except StoreError as error:
            attempts.record(error)
            raise attempts.failure() from error

    def _log_failed_write(self, call: Call, leg: str, error: StoreError) -> None:
        """Log a write without an answer: an answer to a caller may rest on its outcome."""
        if call.key:
            log_state(
                "store_write_failed",
                key=call.key,
                leg=leg,
                may_be_done=isinstance(error, StoreUnknownError),
                error=str(error),
            )

    def _check_own(self, asked: str, strangers: list[str]) -> None:
        """Let an answer count only if it names nothing but what was asked for.

        It may answer an earlier call once more, so that no connection is used again.

        :param strangers: keys that it should not name
        :raises StoreUnknownError: if there are any
        """
        if not strangers:
            return
        self.lines.give_up()
        log_state("answer_not_own", store=self.address, asked=asked, named=strangers[0])
        raise StoreUnknownError(f"asked for {asked}, the answer names {strangers[0]}")

    def _tell_silence(self) -> None:
        for tell in self.on_silence:
            tell()


def _strangers(found: Sequence[Item | Removal], prefix: str, after: int = -1) -> list[str]:
    """Return the keys of an answer that are not asked for.

    :param after: revision behind which all of it has to have changed
    """
    return [one.key for one in found if not one.key.startswith(prefix) or one.revision <= after]


def _cause(what: str, key: str) -> str:
    """Return what a call does and the kind of keys that it is about."""
    return f"{what} {key.partition('/')[0]}"


def _check_fresh(call: Call, begun: float, most_s: float) -> None:
    """Let an answer count only if it came in time.

    Else the box was suspended, or stood still, while it lay here: it tells what held before that,
    and must not pass for a sign that the store is there, or that a lease was just renewed.

    :param most_s: seconds within which it is answered or given up by its time-outs
    :raises StoreUnknownError: if it may be old
    """
    took_s = steady_s() - begun
    if took_s > most_s + OLD_S:
        raise StoreUnknownError(f"{call.method} {call.path}: its answer is {took_s:.1f} s old")


__all__ = ["StoreClient"]
