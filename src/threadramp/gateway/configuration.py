"""The gateway's side of the configuration chain: read, watch, accept and repair."""

from __future__ import annotations

import threading
from dataclasses import dataclass
from typing import TYPE_CHECKING

from threadramp.core.head import (
    HEAD_KEY,
    MAX_HEAD_CHANGES,
    Head,
    check_change,
    decode_snapshot,
    encode_snapshot,
    is_prefix,
    snapshot_key,
)
from threadramp.platform.kv import ABSENT, KvUnavailableError
from threadramp.wire.messages import Change
from threadramp.wire.outcomes import DEFAULT_RETRY_AFTER_S, Reason, Refusal, RefusedError

if TYPE_CHECKING:
    from collections.abc import Callable

    from threadramp.core.chain import ConfigurationChain
    from threadramp.platform.kv import KvClient, KvValue
    from threadramp.wire.messages import Snapshot

WRITE_ATTEMPTS = 8
SWAP_ATTEMPTS = 4


@dataclass(frozen=True)
class Edit:
    """What an operator asks for.

    :param expected: revision at which the resource last changed, 0 for "not there",
        none if the operator does not care
    """

    change_id: str
    kind: str
    name: str
    spec: dict | None
    expected: int | None


@dataclass(frozen=True)
class Draft:
    """A head that is about to be written.

    :param version: of the head in the service that it replaces
    :param forgotten: whether that head lacks changes that are known here
    """

    head: Head
    version: int
    change: Change
    forgotten: bool


class Configuration:
    """This process's chain and its ways to the key-value service.

    :param changed: called after the revision rose
    :param lock: held around the chain, by others who read its log too
    :ivar informed: whether the configuration was learned from anybody since the start
    :ivar regressed: whether the service has forgotten accepted changes and was not confirmed since
    """

    def __init__(
        self,
        chain: ConfigurationChain,
        kv: KvClient,
        changed: Callable[[], None],
        lock: threading.RLock,
    ) -> None:
        self.chain = chain
        self.kv = kv
        self.changed = changed
        self.lock = lock
        self.head = Head()
        self.head_version = ABSENT
        self.informed = False
        self.regressed = False
        self.stale_reads = 0

    def apply(self, changes: tuple[Change, ...], snapshot: Snapshot | None = None) -> None:
        """Take over what a peer sent."""
        with self.lock:
            rose = snapshot is not None and self.chain.restore(snapshot)
            rose = self.chain.apply(changes) or rose
            self.informed = self.informed or rose
        if rose:
            self.changed()

    def take_head(self, held: KvValue) -> None:
        """Take over a head that was read, unless it is older than what is known."""
        head = Head.from_bytes(held.value)
        with self.lock:
            if head.revision < self.chain.revision:
                self.stale_reads += 1
                return
            self.informed = True
            self.head = head
            self.head_version = held.version
            missing = head.snapshot > self.chain.revision
        snapshot = self._read_snapshot(head.snapshot) if missing else None
        self.apply(head.changes, snapshot)

    def watch(self, wait_s: float) -> None:
        """Wait for the head to change and take it over.

        :raises KvUnavailableError: if the service did not answer
        """
        self.take_head(self.kv.watch(HEAD_KEY, self.head_version, wait_s))

    def edit(self, edit: Edit) -> Change:
        """Have a change accepted by one atomic write.

        :returns: the accepted change
        :raises FindingsError: if it is not valid
        :raises RefusedError: if the race was lost, or the outcome is not known
        """
        self._refresh()
        earlier = self.find_change(edit.change_id)
        if earlier is not None:
            return earlier  # the same edit came through another gateway
        for _ in range(WRITE_ATTEMPTS):
            accepted = self._swap(self._draft(edit))
            if accepted is not None:
                return accepted
        raise RefusedError(Refusal.not_run(Reason.OVERLOADED, "others write too often", 1))

    def find_change(self, change_id: str) -> Change | None:
        """Return an accepted change by its id, if it is among the newest."""
        with self.lock:
            return next((item for item in self.chain.log if item.change_id == change_id), None)

    def _refresh(self) -> None:
        try:
            self.take_head(self.kv.get(HEAD_KEY))
        except KvUnavailableError as error:
            raise _service_out() from error

    def _draft(self, edit: Edit) -> Draft:
        """Return the head that would accept an edit, and the version that it replaces.

        The head that was read serves as the base unless something newer came from a sidecar since,
        or it has grown long; then a snapshot of all that is known here is written first.
        """
        with self.lock:
            change = self._checked(edit)
            version = self.head_version
            forgotten = self.head.revision < self.chain.revision
            base = self.head
            is_base = not forgotten and len(base.changes) < MAX_HEAD_CHANGES
            snapshot = None if is_base else self.chain.snapshot()
        if snapshot is not None:
            base = self._write_snapshot(snapshot)
        return Draft(base.with_change(change), version, change, forgotten)

    def _checked(self, edit: Edit) -> Change:
        held = self.chain.resources.get((edit.kind, edit.name))
        current = held.revision if held else 0
        if edit.expected is not None and edit.expected != current:
            message = f"{edit.kind}/{edit.name} is at revision {current}, not {edit.expected}"
            raise RefusedError(Refusal.not_run(Reason.CONFLICT, message))
        revision = self.chain.revision + 1
        wanted = Change(revision, edit.change_id, edit.kind, edit.name, edit.spec)
        return check_change(self.chain, wanted)

    def _write_snapshot(self, snapshot: Snapshot) -> Head:
        """Write a snapshot and return the head that names it."""
        try:
            self.kv.swap(snapshot_key(snapshot.revision), ABSENT, encode_snapshot(snapshot))
        except KvUnavailableError as error:
            raise _service_out() from error
        return Head(snapshot.revision, snapshot.revision, ())

    def _swap(self, draft: Draft) -> Change | None:
        """Write the head; return the change if it was accepted, none to try again.

        After a lost answer the same swap is sent again: it takes effect once or shows what is
        there.
        """
        for _ in range(SWAP_ATTEMPTS):
            try:
                result = self.kv.swap(HEAD_KEY, draft.version, draft.head.to_bytes())
            except KvUnavailableError:
                continue
            if result.written:
                self._accepted(draft, result.current.version)
                return draft.change
            self._lost_race(result.current)
            return self.find_change(draft.change.change_id)
        change_id = draft.change.change_id
        message = f"the write's answer was lost; ask for GET /v1/changes/{change_id}"
        raise RefusedError(Refusal.unknown(Reason.PLATFORM_OUT, message, DEFAULT_RETRY_AFTER_S))

    def _accepted(self, draft: Draft, version: int) -> None:
        with self.lock:
            if self.head_version == draft.version:  # else the watch has brought a newer one
                self.head = draft.head
                self.head_version = version
            # The swap took effect on a head that lacks changes known here: the service forgot them.
            self.regressed = self.regressed or draft.forgotten
        self.apply((draft.change,))

    def _lost_race(self, current: KvValue) -> None:
        """Take over the head that a failed swap showed; it is not an older copy's word."""
        head = Head.from_bytes(current.value)
        if head.revision >= self.chain.revision:
            self.take_head(current)
            return
        self.regressed = True
        self._repair(head, current.version)

    def _repair(self, head: Head, version: int) -> None:
        """Write accepted changes back that the service has forgotten."""
        if not is_prefix(head, self.chain):
            return
        try:
            with self.lock:
                snapshot = self.chain.snapshot()
            repaired = self._write_snapshot(snapshot)
            result = self.kv.swap(HEAD_KEY, version, repaired.to_bytes())
        except (KvUnavailableError, RefusedError):
            return
        with self.lock:
            if result.written:
                self.head = repaired
                self.head_version = result.current.version

    def _read_snapshot(self, revision: int) -> Snapshot | None:
        held = self.kv.get(snapshot_key(revision))
        return decode_snapshot(held.value) if held.value else None


def _service_out() -> RefusedError:
    message = "the key-value service does not answer; the change was not written"
    return RefusedError(Refusal.not_run(Reason.PLATFORM_OUT, message, DEFAULT_RETRY_AFTER_S))


__all__ = ["Configuration", "Edit"]
