"""The list of tests that fail because of a known fault that is not fixed yet."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

LIST = Path(__file__).parents[1] / "KNOWN-RED.txt"


@dataclass(frozen=True)
class KnownRed:
    """One line of the list.

    :param test: its node id
    :param cause: command, seed and what was seen
    :param issue: number of the open issue
    """

    test: str
    cause: str
    issue: str


def known_red(text: str) -> list[KnownRed]:
    """Read the list.

    :raises ValueError: if a line lacks its cause or issue, or a test is listed twice
    """
    rows = []
    for line in text.splitlines():
        if not line.strip() or line.startswith("#"):
            continue
        parts = [part.strip() for part in line.split("|")]
        if len(parts) != 3 or not all(parts):
            raise ValueError(f"a test, its cause and its issue are needed: {line!r}")
        if not parts[2].isdigit():
            raise ValueError(f"the issue is not a number: {line!r}")
        if any(row.test == parts[0] for row in rows):
            raise ValueError(f"listed twice: {parts[0]}")
        rows.append(KnownRed(*parts))
    return rows


def listed() -> list[KnownRed]:
    """Return the list of this checkout, empty if there is no file."""
    return known_red(LIST.read_text(encoding="utf-8")) if LIST.is_file() else []


__all__ = ["KnownRed", "known_red", "listed"]
