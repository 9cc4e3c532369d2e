"""Organisations and their keys, as one version of the configuration names them.

Keys are kept as digests alone: what this module holds tells nobody a key. A version that changes
one organisation takes over all others as they were decoded before, by the digests of their rows.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from hashlib import sha256
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

KeyDigest = bytes
RowDigest = bytes


def digest(secret: bytes) -> bytes:
    """Return what stands for a key, or for a row of the configuration that holds keys."""
    return sha256(secret).digest()


@dataclass(frozen=True)
class Organisation:
    """Who may call.

    :param keys: digests of the keys that it holds
    :param priority: of its requests, 0 is the most urgent; none if the route's counts
    """

    name: str
    keys: tuple[KeyDigest, ...] = ()
    priority: int | None = None


@dataclass(frozen=True)
class FaultyRow:
    """A row of the configuration that names no organisation.

    :param place: in the list, such as ``[3]``
    """

    place: str
    reason: str


Row = Organisation | FaultyRow


@dataclass(frozen=True)
class Organisations:
    """All organisations of one version, found by the digest of a key.

    What contradicts itself is nobody's: a key that two organisations hold, and all keys of a name
    that stands twice. So nobody is ever taken for somebody else.

    :param rows: as they were decoded, by the digest of each row
    :param by_key: the organisation that alone holds a key
    :param by_name: those whose name stands once
    :param faults: what is wrong, without any key
    """

    rows: dict[RowDigest, Row] = field(default_factory=dict)
    by_key: dict[KeyDigest, Organisation] = field(default_factory=dict)
    by_name: dict[str, Organisation] = field(default_factory=dict)
    faults: tuple[str, ...] = ()

    @classmethod
    def from_rows(
        cls, rows: Iterable[tuple[RowDigest, Row]], before: Organisations | None = None
    ) -> Organisations:
        """Return the organisations of a version.

        :param before: of the version before; where neither has a fault only what differs is gone
            through (``bench.slopes``: one key of 100,000 changed)
        """
        table = list(rows)
        by_digest = dict(table)
        if before is not None and not before.faults and len(by_digest) == len(table):
            changed = before._changed(by_digest)
            if changed is not None:
                return changed
        return cls._from_scratch(by_digest, [row for _, row in table])

    def holder(self, key: bytes) -> Organisation | None:
        """Return the organisation that holds a key, none if nobody does."""
        return self.by_key.get(digest(key))

    def _changed(self, rows: Mapping[RowDigest, Row]) -> Organisations | None:
        """Return these with other rows; none if those bring a fault."""
        by_key = dict(self.by_key)
        by_name = dict(self.by_name)
        for gone in self.rows.keys() - rows.keys():
            organisation = self.rows[gone]
            del by_name[organisation.name]
            for key in organisation.keys:
                del by_key[key]
        for new in rows.keys() - self.rows.keys():
            organisation = rows[new]
            if isinstance(organisation, FaultyRow) or organisation.name in by_name:
                return None
            by_name[organisation.name] = organisation
            for key in organisation.keys:
                if by_key.setdefault(key, organisation) is not organisation:
                    return None
        return Organisations(dict(rows), by_key, by_name)

    @classmethod
    def _from_scratch(cls, by_digest: dict[RowDigest, Row], rows: list[Row]) -> Organisations:
        faults = [f"{row.place}: {row.reason}" for row in rows if isinstance(row, FaultyRow)]
        sound = [row for row in rows if isinstance(row, Organisation)]
        counts = Counter(row.name for row in sound)
        faults += [f"{name} stands twice" for name, count in counts.items() if count > 1]
        by_name = {row.name: row for row in sound if counts[row.name] == 1}
        by_key, shared = _holders(sound)
        faults += [f"{name} holds a key that another one holds too" for name in sorted(shared)]
        alone = {key: row for key, row in by_key.items() if row.name in by_name}
        return cls(by_digest, alone, by_name, tuple(faults))


def _holders(rows: Iterable[Organisation]) -> tuple[dict[KeyDigest, Organisation], set[str]]:
    """Return who alone holds each key, and the names of those that share one."""
    holders: dict[KeyDigest, list[Organisation]] = {}
    for row in rows:
        for key in row.keys:
            holders.setdefault(key, []).append(row)
    alone = {key: row[0] for key, row in holders.items() if len({one.name for one in row}) == 1}
    shared = {one.name for key, row in holders.items() if key not in alone for one in row}
    return alone, shared


__all__ = ["FaultyRow", "Organisation", "Organisations", "Row", "digest"]
