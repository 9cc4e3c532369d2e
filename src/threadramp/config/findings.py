"""Findings: what is wrong with a document, each with its place."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class Finding:
    """One problem at one place of a document.

    :param place: where, as ``file: table.key`` or ``kind/name.field``
    :param problem: what is wrong there
    :param hint: what to do about it; empty if there is nothing to add
    """

    place: str
    problem: str
    hint: str = ""

    def __str__(self) -> str:
        """Return the finding as one line."""
        tail = f" ({self.hint})" if self.hint else ""
        return f"{self.place}: {self.problem}{tail}"


class FindingsError(Exception):
    """Raised where a document with findings can not be used.

    :param findings: all that were collected, in the document's order
    """

    def __init__(self, findings: list[Finding]) -> None:
        self.findings = findings
        super().__init__("\n".join(str(finding) for finding in findings))


__all__ = ["Finding", "FindingsError"]
