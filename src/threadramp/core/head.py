"""The head of the configuration chain, as stored in the key-value service.

The head is one small value that is replaced by compare-and-swap and watched. It holds the newest
changes; the earlier ones are part of the snapshot that it names.
"""

from __future__ import annotations

import msgspec

from threadramp.config.findings import Finding, FindingsError
from threadramp.config.resources import check_references, check_spec, default_spec
from threadramp.core.chain import ConfigurationChain
from threadramp.wire.messages import Change, Snapshot

HEAD_KEY = "threadramp/head"
SNAPSHOT_PREFIX = "threadramp/snapshot/"
MAX_HEAD_CHANGES = 64  # before the next change, a longer head is replaced by a snapshot


class Head(msgspec.Struct, frozen=True):
    """The newest changes and the revision of the snapshot before them.

    :param snapshot: revision of that snapshot, 0 if there is none
    """

    revision: int = 0
    snapshot: int = 0
    changes: tuple[Change, ...] = ()

    @classmethod
    def from_bytes(cls, value: bytes) -> Head:
        """Decode a head; an empty value is the head of an empty configuration."""
        return msgspec.json.decode(value, type=Head) if value else cls()

    def to_bytes(self) -> bytes:
        """Encode the head."""
        return msgspec.json.encode(self)

    def find_change(self, change_id: str) -> Change | None:
        """Return the change with an id, none if the head does not hold it."""
        return next((change for change in self.changes if change.change_id == change_id), None)

    def with_change(self, change: Change) -> Head:
        """Return the head with one more change."""
        return Head(change.revision, self.snapshot, (*self.changes, change))


def snapshot_key(revision: int) -> str:
    """Return the key of a snapshot."""
    return f"{SNAPSHOT_PREFIX}{revision}"


def encode_snapshot(snapshot: Snapshot) -> bytes:
    """Encode a snapshot as it is stored in the key-value service."""
    return msgspec.json.encode(snapshot)


def decode_snapshot(value: bytes) -> Snapshot:
    """Decode a snapshot."""
    return msgspec.json.decode(value, type=Snapshot)


def is_prefix(older: Head, chain: ConfigurationChain) -> bool:
    """Return whether ``chain`` contains all changes of ``older``."""
    known = {change.revision: change.change_id for change in chain.log}
    return older.revision <= chain.revision and all(
        known.get(change.revision, change.change_id) == change.change_id for change in older.changes
    )


def check_change(chain: ConfigurationChain, change: Change) -> Change:
    """Check a change against the configuration that it applies to.

    :returns: the change with all defaults filled in
    :raises FindingsError: with all findings
    """
    typed = dict(chain.typed)
    if change.spec is None:
        typed.pop((change.kind, change.name), None)
        checked = change
    else:
        result = check_spec(change.kind, change.name, change.spec)
        if result.is_error():
            raise FindingsError(result.error)
        typed[change.kind, change.name] = result.ok
        checked = msgspec.structs.replace(change, spec=default_spec(result.ok))
    findings = check_references(typed)
    findings += _weights_findings(chain, change)
    if findings:
        raise FindingsError(findings)
    return checked


def _weights_findings(chain: ConfigurationChain, change: Change) -> list[Finding]:
    before = chain.get(change.kind, change.name)
    if change.kind != "weights" or before is None or change.spec is None:
        return []
    version = change.spec.get("version")
    if version >= before.version:
        return []
    place = f"weights/{change.name}.version"
    hint = "publish the old weights under a new version"
    return [Finding(place, f"{version} is below {before.version}", hint)]


__all__ = [
    "HEAD_KEY",
    "Head",
    "MAX_HEAD_CHANGES",
    "check_change",
    "decode_snapshot",
    "encode_snapshot",
    "is_prefix",
    "snapshot_key",
]
