"""The list of tests that fail for a fault that is known and could not be mended yet."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

LIST = Path(__file__).parents[1] / "KNOWN-RED.txt"
MOST = 3  # the users allow no more


@dataclass(frozen=True)
class KnownRed:
    """One line of the list.

    :param test: as pytest names it, without parameters of its own
    """

    test: str
    cause: str
    issue: str


def known_red(text: str) -> list[KnownRed]:
    """Read the list.

    :raises ValueError: if a line lacks its cause or issue, or there are too many
    """
    rows = []
    for line in text.splitlines():
        if not line.strip() or line.startswith("#"):
            continue
        parts = [part.strip() for part in line.split("|")]
        if len(parts) != 3 or not all(parts):
            raise ValueError(f"a test, its cause and its issue are needed: {line!r}")
        rows.append(KnownRed(*parts))
    if len(rows) > MOST:
        raise ValueError(f"{len(rows)} tests, at most {MOST} may be listed")
    return rows


def listed() -> list[KnownRed]:
    """Return the list of this checkout, empty if there is no file."""
    return known_red(LIST.read_text(encoding="utf-8")) if LIST.is_file() else []


__all__ = ["KnownRed", "known_red", "listed"]
