"""Read a plain table into a frozen data class and collect every finding on the way."""

from __future__ import annotations

from dataclasses import MISSING, fields
from difflib import get_close_matches
from typing import TYPE_CHECKING, Any, TypeVar, get_type_hints

import msgspec
from expression import Error, Ok

from threadramp.config.findings import Finding

if TYPE_CHECKING:
    from expression import Result

T = TypeVar("T")


def read_table(cls: type[T], table: object, place: str) -> Result[T, list[Finding]]:
    """Build ``cls`` from ``table``.

    :param cls: a frozen data class
    :param table: a decoded TOML or JSON table
    :param place: where the table stands, for the findings
    :returns: the instance, or all findings
    """
    if not isinstance(table, dict):
        return Error([Finding(place, f"expected a table, got {type(table).__name__}")])
    findings = _unknown_keys(cls, table, place)
    hints = get_type_hints(cls)
    values: dict[str, Any] = {}
    for field in fields(cls):  # type: ignore[arg-type]
        if field.name not in table:
            if field.default is MISSING and field.default_factory is MISSING:
                findings.append(Finding(f"{place}.{field.name}", "missing"))
            continue
        try:
            values[field.name] = msgspec.convert(table[field.name], hints[field.name])
        except msgspec.ValidationError as error:
            findings.append(Finding(f"{place}.{field.name}", str(error)))
    if findings:
        return Error(findings)
    return Ok(cls(**values))


def _unknown_keys(cls: type, table: dict[str, Any], place: str) -> list[Finding]:
    known = [field.name for field in fields(cls)]
    findings = []
    for key in table:
        if key in known:
            continue
        near = get_close_matches(str(key), known, n=1)
        hint = f"did you mean {near[0]!r}?" if near else f"known: {', '.join(known)}"
        findings.append(Finding(f"{place}.{key}", "unknown key", hint))
    return findings


__all__ = ["read_table"]
