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
    head_of,
    is_prefix,
    snapshot_key,
)
from threadramp.platform.kv import ABSENT, KvUnavailableError
from threadramp.wire.messages import Change
from threadramp.wire.outcomes import DEFAULT_RETRY_AFTER_S, Reason, Refusal, RefusedError

if TYPE_CHECKING:
    from collections.abc import Callable

    from threadramp.core.chain import Chain
    from threadramp.platform.kv import KvClient, KvValue
    from threadramp.wire.messages import Snapshot

WRITE_ATTEMPTS = 8
UNKNOWN_READS = 3


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


class Configuration:
    """This process's chain and its ways to the key-value service.

    :param changed: called after the revision rose
    :ivar informed: whether the configuration was learned from anybody since the start
    :ivar regressed: whether the service has forgotten accepted changes and was not confirmed since
    """

    def __init__(self, chain: Chain, kv: KvClient, changed: Callable[[], None]) -> None:
        self.chain = chain
        self.kv = kv
        self.changed = changed
        self.lock = threading.RLock()
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
            change = self._prepare(edit)
            head = self._room_for_change().with_change(change)
            accepted = self._swap(head, change)
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
            message = "the key-value service does not answer; the change was not written"
            raise RefusedError(
                Refusal.not_run(Reason.PLATFORM_OUT, message, DEFAULT_RETRY_AFTER_S)
            ) from error

    def _prepare(self, edit: Edit) -> Change:
        with self.lock:
            held = self.chain.resources.get((edit.kind, edit.name))
            current = held.revision if held else 0
            if edit.expected is not None and edit.expected != current:
                message = f"{edit.kind}/{edit.name} is at revision {current}, not {edit.expected}"
                raise RefusedError(Refusal.not_run(Reason.CONFLICT, message))
            revision = self.chain.revision + 1
            wanted = Change(revision, edit.change_id, edit.kind, edit.name, edit.spec)
            return check_change(self.chain, wanted)

    def _room_for_change(self) -> Head:
        with self.lock:
            head = head_of(self.chain, self.head.snapshot)
            if len(head.changes) < MAX_HEAD_CHANGES:
                return head
            snapshot = self.chain.snapshot()
        try:
            self.kv.swap(snapshot_key(snapshot.revision), ABSENT, encode_snapshot(snapshot))
        except KvUnavailableError:
            return head  # a longer head does no harm; the next writer cuts it
        return Head(snapshot.revision, snapshot.revision, ())

    def _swap(self, head: Head, change: Change) -> Change | None:
        """Write the head; return the change if it was accepted, none to try again."""
        try:
            result = self.kv.swap(HEAD_KEY, self.head_version, head.to_bytes())
        except KvUnavailableError:
            return self._settle(change)
        if result.written:
            with self.lock:
                self.head = head
                self.head_version = result.current.version
            self.apply((change,))
            return change
        self._lost_race(result.current)
        return self.find_change(change.change_id)

    def _settle(self, change: Change) -> Change | None:
        """Find out by further swaps whether a write whose answer was lost took effect.

        A swap of the same expected version either takes effect once or shows what is there.
        """
        for _ in range(UNKNOWN_READS):
            try:
                probe = self.kv.swap(HEAD_KEY, self.head_version, self._probe(change))
            except KvUnavailableError:
                continue
            if probe.written:
                with self.lock:
                    self.head = Head.from_bytes(probe.current.value)
                    self.head_version = probe.current.version
                self.apply((change,))
                return change
            self._lost_race(probe.current)
            return self.find_change(change.change_id)
        message = f"the write's answer was lost; ask for GET /v1/changes/{change.change_id}"
        raise RefusedError(Refusal.unknown(Reason.PLATFORM_OUT, message, DEFAULT_RETRY_AFTER_S))

    def _probe(self, change: Change) -> bytes:
        return self._room_for_change().with_change(change).to_bytes()

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
        with self.lock:
            if not is_prefix(head, self.chain):
                return
            snapshot = self.chain.snapshot()
        try:
            self.kv.swap(snapshot_key(snapshot.revision), ABSENT, encode_snapshot(snapshot))
            repaired = Head(snapshot.revision, snapshot.revision, ())
            result = self.kv.swap(HEAD_KEY, version, repaired.to_bytes())
        except KvUnavailableError:
            return
        with self.lock:
            if result.written:
                self.head = repaired
                self.head_version = result.current.version

    def _read_snapshot(self, revision: int) -> Snapshot | None:
        held = self.kv.get(snapshot_key(revision))
        return decode_snapshot(held.value) if held.value else None


__all__ = ["Configuration", "Edit"]
