"""Ids of lots and samples scoped by organisation, so that those of two organisations never collide.

The stored id of an organisation's lot or sample begins with a tag of the organisation. A caller
with another organisation's key therefore names a different lot, which does not exist, at every
gateway and after any change of owner. Equal ids of two organisations are two lots and share no
text.
"""

from __future__ import annotations

from hashlib import sha256
from urllib.parse import quote

SEPARATOR = "|"  # percent-encoded in tags, refused in ids that callers choose
MAX_TAG_LENGTH = 48  # characters; a key in the store has 200 bytes for tag, id and prefix


def scoped_id(organisation: str | None, original_id: str) -> str:
    """Return the id under which a lot or a sample is stored.

    :param organisation: its owner, empty or None if it has none
    :param original_id: the id that the caller chose
    """
    if not organisation:
        return original_id
    return f"{_tag(organisation)}{SEPARATOR}{original_id}"


def unscoped_id(scoped: str) -> str:
    """Return the id that the caller chose."""
    return scoped.rpartition(SEPARATOR)[2]


def is_valid_id(original_id: str) -> bool:
    """Return whether an id that a caller chose can be scoped without ambiguity."""
    return SEPARATOR not in original_id


def _tag(organisation: str) -> str:
    """Return a tag for an organisation; no two organisations have the same one."""
    quoted = quote(organisation, safe="")
    if len(quoted) <= MAX_TAG_LENGTH:
        return quoted
    return "#" + sha256(organisation.encode()).hexdigest()[:32]  # percent-encoding leaves no #


__all__ = ["is_valid_id", "scoped_id", "unscoped_id"]
