"""Fixtures for crowds of clients; each test of this package runs alone."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING

import pytest

from tests.serve.fleet import PlatformFleet

if TYPE_CHECKING:
    from collections.abc import Iterator

HERE = Path(__file__).parent
MEMORY_MB = 128
MAX_FDS = 400
LIMITS = {
    "maxBodyBytes": 4_000_000,
    # Longer than a test, so that no client is closed for its silence while the test looks.
    "headerTimeoutMs": 120_000,
    "idleTimeoutMs": 120_000,
}


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Mark the tests of this package, so that they can be run apart from parallel workers."""
    for item in items:
        if HERE in item.path.parents:
            item.add_marker(pytest.mark.crowd)


@pytest.fixture
def fleet(tmp_path, serve) -> Iterator[PlatformFleet]:
    """One gateway with little memory and few descriptors, and one sidecar."""
    made = PlatformFleet(tmp_path, serve, gateways=1, engines=1)
    try:
        for box in made.boxes:
            box.settings["limits"] = {"memoryMb": MEMORY_MB, "maxFds": MAX_FDS}
            box.write()
        made.configure(limits=LIMITS)
        made.start()
        yield made
    finally:
        made.close()
