"""The platform's names stay inside its adapter, and the adapter decides nothing."""

from __future__ import annotations

import ast
import re
from pathlib import Path

import pytest

PACKAGE = Path(__file__).parents[2] / "src" / "threadramp"
ADAPTER = PACKAGE / "platform"
NAMES = re.compile(
    r"X-Attempt-Id|X-Deadline-Ms|X-Server-Stamp|X-Expect-Instance|X-Not-Executed|X-Instance-Load"
    r"|X-Weight-Versions|Last-Event-Id|X-Length-Hint|X-Wait-Ms|kv-(?:key|range|watch|txn|lease|keep)"
    r"|minVersion|scoringEndpoint|pathPrefix|runTargetMs|queueTtlS|trafficSplit|storeRevision"
    r"|THREADRAMP_NODE_FILE|op/version|op/config|servers/",
    re.IGNORECASE,
)
OWN = {("wire/headers.py", "X-Deadline-Ms")}  # the own interface had a header of that name before
DECIDING = ("policy", "core", "lots.own", "edge", "runner", "gateway", "sidecar", "serve")
OUTSIDE = [path for path in sorted(PACKAGE.rglob("*.py")) if ADAPTER not in path.parents]


@pytest.mark.parametrize("path", OUTSIDE, ids=lambda path: str(path.relative_to(PACKAGE)))
def test_no_name_of_the_platform_stands_outside_its_adapter(path):
    found = NAMES.findall(path.read_text(encoding="utf-8"))
    place = str(path.relative_to(PACKAGE))
    assert [name for name in found if (place, name) not in OWN] == []


@pytest.mark.parametrize("path", sorted(ADAPTER.glob("*.py")), ids=lambda path: path.name)
def test_the_adapter_imports_nothing_that_decides(path):
    tree = ast.parse(path.read_text(encoding="utf-8"))
    modules = {node.module or "" for node in ast.walk(tree) if isinstance(node, ast.ImportFrom)}
    bad = [
        name
        for name in modules
        if any(name.startswith(f"threadramp.{package}") for package in DECIDING)
    ]
    assert bad == []
