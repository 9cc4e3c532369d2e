"""Names of lots and samples as they are kept: those of one organisation never meet another's.

An organisation's lots and samples stand under names that begin with its own. So whoever asks with
another one's key names another lot, which is not there, at every gateway and after any change of
owner, and the same ids of two organisations are two lots and share no text.
"""

from __future__ import annotations

from hashlib import sha256
from urllib.parse import quote

SEPARATOR = "|"  # quoted in what stands before it, and refused in ids that callers choose
TAG_MOST = 48  # characters; a key of the store has 200 bytes for the name, an id and a prefix


def scoped_id(organisation: str | None, given: str) -> str:
    """Return the name under which a lot or a sample is kept.

    :param organisation: whose it is, empty or none if nobody's in particular
    :param given: the id that the caller chose
    """
    if not organisation:
        return given
    return f"{_tag(organisation)}{SEPARATOR}{given}"


def unscoped_id(scoped: str) -> str:
    """Return the id that the caller chose."""
    return scoped.rpartition(SEPARATOR)[2]


def is_valid_id(given: str) -> bool:
    """Return whether an id that a caller chose can be kept apart from those of others."""
    return SEPARATOR not in given


def _tag(organisation: str) -> str:
    """Return what stands for an organisation; no two have the same."""
    quoted = quote(organisation, safe="")
    if len(quoted) <= TAG_MOST:
        return quoted
    return "#" + sha256(organisation.encode()).hexdigest()[:32]  # quoting leaves no such sign


__all__ = ["unscoped_id", "is_valid_id", "scoped_id"]
