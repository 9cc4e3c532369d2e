"""The configuration as a chain of changes whose revision never decreases."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING, Any

from threadramp.config.resources import KINDS, Resource, check_spec
from threadramp.wire.messages import Change, Snapshot, SnapshotEntry

if TYPE_CHECKING:
    from collections.abc import Iterable

LOG_LENGTH = 512  # changes kept for peers that are behind; peers further behind get a snapshot


class ConfigurationChain:
    """One process's copy of the configuration.

    :ivar revision: revision of the newest applied change, 0 at the start
    :ivar resources: resources by kind and name
    :ivar typed: typed specifications by kind and name
    :ivar kinds: typed specifications by kind, then name; each inner table is replaced as a whole,
        so that another thread may read it without a lock
    :ivar log: the newest changes, oldest first
    """

    def __init__(self) -> None:
        self.revision = 0
        self.resources: dict[tuple[str, str], Resource] = {}
        self.typed: dict[tuple[str, str], Any] = {}
        self.kinds: dict[str, dict[str, Any]] = {}
        self.log: deque[Change] = deque(maxlen=LOG_LENGTH)

    def apply(self, changes: Iterable[Change]) -> bool:
        """Apply the changes that follow the current revision, and skip all others.

        :returns: whether the revision rose
        """
        before = self.revision
        for change in changes:
            if change.revision == self.revision + 1:
                self._apply_change(change)
        return self.revision > before

    def restore(self, snapshot: Snapshot) -> bool:
        """Replace the configuration by a snapshot if the snapshot is newer.

        :returns: whether the revision rose
        """
        if snapshot.revision <= self.revision:
            return False
        self.resources.clear()
        self.typed.clear()
        self.kinds = {}
        self.log.clear()
        for entry in snapshot.entries:
            self._put(Resource(entry.kind, entry.name, entry.revision, entry.spec))
        self.revision = snapshot.revision
        return True

    def since(self, revision: int) -> tuple[Change, ...] | None:
        """Return the changes after ``revision``, or none if the log lacks some of them."""
        if revision >= self.revision:
            return ()
        if not self.log or self.log[0].revision > revision + 1:
            return None
        return tuple(change for change in self.log if change.revision > revision)

    def update_for(self, revision: int) -> tuple[tuple[Change, ...], Snapshot | None]:
        """Return what a peer at ``revision`` lacks: changes, or a snapshot if the log is short."""
        changes = self.since(revision)
        if changes is not None:
            return changes, None
        return (), self.snapshot()

    def snapshot(self) -> Snapshot:
        """Return the complete configuration."""
        entries = tuple(
            SnapshotEntry(item.kind, item.name, item.revision, item.spec)
            for _, item in sorted(self.resources.items())
        )
        return Snapshot(self.revision, entries)

    def of_kind(self, kind: str) -> dict[str, Any]:
        """Return the typed specifications of one kind by name; callers must not modify them."""
        return self.kinds.get(kind, {})

    def get(self, kind: str, name: str) -> Any | None:
        """Return one typed specification, or none."""
        return self.typed.get((kind, name))

    def _apply_change(self, change: Change) -> None:
        key = (change.kind, change.name)
        if change.spec is None:
            self.resources.pop(key, None)
            self.typed.pop(key, None)
            others = self.kinds.get(change.kind, {})
            self.kinds[change.kind] = {
                name: spec for name, spec in others.items() if name != change.name
            }
        else:
            self._put(Resource(change.kind, change.name, change.revision, change.spec))
        self.revision = change.revision
        self.log.append(change)

    def _put(self, resource: Resource) -> None:
        key = (resource.kind, resource.name)
        self.resources[key] = resource
        if resource.kind in KINDS:  # a kind of a later release is stored and passed on untyped
            result = check_spec(resource.kind, resource.name, resource.spec)
            if result.is_ok():
                self.typed[key] = result.ok
                others = self.kinds.get(resource.kind, {})
                self.kinds[resource.kind] = {**others, resource.name: result.ok}


__all__ = ["ConfigurationChain", "LOG_LENGTH"]
