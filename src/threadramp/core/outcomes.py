"""The note that a planned stop of a sidecar leaves about its keys."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from threadramp.core.keys import KeyState

if TYPE_CHECKING:
    from threadramp.core.keys import KeyTable

OUTCOMES_PREFIX = "threadramp/outcomes/"
MAX_NOTED_KEYS = 10_000  # keeps the note below the service's limit of a megabyte


class OutcomeRecord(msgspec.Struct, frozen=True):
    """What became of the keys of one incarnation that has stopped.

    :param complete: whether every key that it saw is noted
    """

    complete: bool
    states: dict[str, KeyState]

    @classmethod
    def from_keys(cls, keys: KeyTable) -> OutcomeRecord:
        """Note the newest keys of a table."""
        newest = list(keys.entries.items())[-MAX_NOTED_KEYS:]
        complete = len(newest) == len(keys.entries) and not keys.refused_floor
        return cls(complete, {key: entry.state for key, entry in newest})

    @classmethod
    def from_bytes(cls, value: bytes) -> OutcomeRecord:
        """Decode a note."""
        return msgspec.json.decode(value, type=cls)

    def to_bytes(self) -> bytes:
        """Encode the note."""
        return msgspec.json.encode(self)

    def state(self, key: str) -> KeyState | None:
        """Return what became of a key; a key that a complete note lacks can never run."""
        if key in self.states:
            return self.states[key]
        return KeyState.REFUSED if self.complete else None


def outcomes_key(endpoint: str, incarnation: str) -> str:
    """Return where the note of an incarnation is kept."""
    return f"{OUTCOMES_PREFIX}{endpoint}/{incarnation}"


__all__ = ["OutcomeRecord", "outcomes_key"]
