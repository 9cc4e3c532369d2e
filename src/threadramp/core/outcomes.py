"""Record of the outcomes of its keys that a sidecar stores at a planned stop."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from threadramp.core.keys import KeyState

if TYPE_CHECKING:
    from threadramp.core.keys import KeyTable

OUTCOMES_PREFIX = "threadramp/outcomes/"
MAX_RECORDED_KEYS = 10_000  # keeps the record below the key-value service's limit of a megabyte


class OutcomeRecord(msgspec.Struct, frozen=True):
    """States of the keys of one incarnation that has stopped.

    :param complete: whether every key that it saw is recorded
    """

    complete: bool
    states: dict[str, KeyState]

    @classmethod
    def from_keys(cls, keys: KeyTable) -> OutcomeRecord:
        """Return the record of the newest keys of a table."""
        newest = list(keys.entries.items())[-MAX_RECORDED_KEYS:]
        complete = len(newest) == len(keys.entries) and not keys.min_refusal_seen
        return cls(complete, {key: entry.state for key, entry in newest})

    @classmethod
    def from_bytes(cls, value: bytes) -> OutcomeRecord:
        """Decode a record."""
        return msgspec.json.decode(value, type=cls)

    def to_bytes(self) -> bytes:
        """Encode the record."""
        return msgspec.json.encode(self)

    def state(self, key: str) -> KeyState | None:
        """Return the state of a key; a key that is not in a complete record can never run."""
        if key in self.states:
            return self.states[key]
        return KeyState.REFUSED if self.complete else None


def outcomes_key(endpoint: str, incarnation: str) -> str:
    """Return the key under which the record of an incarnation is stored."""
    return f"{OUTCOMES_PREFIX}{endpoint}/{incarnation}"


__all__ = ["OutcomeRecord", "outcomes_key"]
