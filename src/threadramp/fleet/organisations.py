"""Organisations and their keys, as declared in one version of the configuration.

Only digests of keys are kept, so no key can leak from this module. A version that changes one
organisation reuses the decoded rows of all others, which are identified by their digests.
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
    """Return the digest of a key, or of a configuration row that contains keys."""
    return sha256(secret).digest()


@dataclass(frozen=True)
class Organisation:
    """An organisation that may call.

    :param keys: digests of its keys
    :param priority: of its requests, 0 is the most urgent; none for the route's priority
    """

    name: str
    keys: tuple[KeyDigest, ...] = ()
    priority: int | None = None


@dataclass(frozen=True)
class FaultyRow:
    """A row of the configuration that is no valid organisation.

    :param place: its index in the list, such as ``[3]``
    """

    place: str
    reason: str


Row = Organisation | FaultyRow


@dataclass(frozen=True)
class Organisations:
    """All organisations of one version, looked up by the digest of a key.

    Ambiguous keys belong to no organisation: a key of two organisations, and all keys of a name
    that is declared twice. So no caller is ever taken for another one.

    :param rows: decoded rows by their digests
    :param by_key: the only organisation that holds a key, by key digest
    :param by_name: organisations whose name is declared once
    :param faults: descriptions of what is wrong, without any key
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

        :param before: organisations of the previous version; if neither version has faults, only
            the differences are processed (``bench.slopes``: one key of 100,000 changed)
        """
        table = list(rows)
        by_digest = dict(table)
        if before is not None and not before.faults and len(by_digest) == len(table):
            changed = before._updated(by_digest)
            if changed is not None:
                return changed
        return cls._rebuilt(by_digest, [row for _, row in table])

    def holder(self, key: bytes) -> Organisation | None:
        """Return the organisation that holds a key, none if there is none."""
        return self.by_key.get(digest(key))

    def _updated(self, rows: Mapping[RowDigest, Row]) -> Organisations | None:
        """Return the organisations updated to the given rows; none if these have a fault."""
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
    def _rebuilt(cls, by_digest: dict[RowDigest, Row], rows: list[Row]) -> Organisations:
        faults = [f"{row.place}: {row.reason}" for row in rows if isinstance(row, FaultyRow)]
        valid = [row for row in rows if isinstance(row, Organisation)]
        counts = Counter(row.name for row in valid)
        faults += [f"{name} stands twice" for name, count in counts.items() if count > 1]
        by_name = {row.name: row for row in valid if counts[row.name] == 1}
        by_key, shared = _holders(valid)
        faults += [f"{name} holds a key that another one holds too" for name in sorted(shared)]
        alone = {key: row for key, row in by_key.items() if row.name in by_name}
        return cls(by_digest, alone, by_name, tuple(faults))


def _holders(rows: Iterable[Organisation]) -> tuple[dict[KeyDigest, Organisation], set[str]]:
    """Return the only holder of each key, and the names of organisations that share a key."""
    holders: dict[KeyDigest, list[Organisation]] = {}
    for row in rows:
        for key in row.keys:
            holders.setdefault(key, []).append(row)
    alone = {key: row[0] for key, row in holders.items() if len({one.name for one in row}) == 1}
    shared = {one.name for key, row in holders.items() if key not in alone for one in row}
    return alone, shared


__all__ = ["FaultyRow", "Organisation", "Organisations", "Row", "digest"]
