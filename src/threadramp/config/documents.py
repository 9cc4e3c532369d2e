"""A TOML document of resources, as ``threadramp apply`` takes it."""

from __future__ import annotations

from typing import Any

from expression import Error, Ok, Result

from threadramp.config.findings import Finding
from threadramp.config.resources import KINDS, Resource, check_references, check_spec, default_spec
from threadramp.config.settings import load_toml

# Declared in this order, so that what a resource names exists before it.
APPLY_ORDER = (
    "data_centre", "pool", "priority", "weights", "trainer", "endpoint", "organisation",
)  # fmt: skip


def check_document(path: str) -> Result[list[Resource], list[Finding]]:
    """Check a file of resources as a whole.

    :returns: the resources in the order in which to apply them, or all findings
    """
    loaded = load_toml(path)
    if loaded.is_error():
        return Error(loaded.error)
    document = loaded.ok
    findings: list[Finding] = []
    typed: dict[tuple[str, str], Any] = {}
    for kind, tables in document.items():
        if kind not in KINDS:
            findings.append(Finding(f"{path}: {kind}", "unknown kind", f"known: {sorted(KINDS)}"))
        elif not isinstance(tables, dict):
            findings.append(Finding(f"{path}: {kind}", f"write it as [{kind}.NAME]"))
        else:
            findings += _check_tables(path, kind, tables, typed)
    if not findings:
        findings = [_at(path, finding) for finding in check_references(typed)]
    if findings:
        return Error(findings)
    return Ok(
        [
            Resource(kind, name, 0, default_spec(spec))
            for wanted in APPLY_ORDER
            for (kind, name), spec in typed.items()
            if kind == wanted
        ]
    )


def _check_tables(
    path: str, kind: str, tables: dict[str, Any], typed: dict[tuple[str, str], Any]
) -> list[Finding]:
    findings = []
    for name, spec in tables.items():
        result = check_spec(kind, name, spec)
        if result.is_error():
            findings += [_at(path, finding) for finding in result.error]
        else:
            typed[kind, name] = result.ok
    return findings


def _at(path: str, finding: Finding) -> Finding:
    return Finding(f"{path}: {finding.place}", finding.problem, finding.hint)


__all__ = ["APPLY_ORDER", "check_document"]
