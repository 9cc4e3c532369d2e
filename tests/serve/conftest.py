"""Fixture: a fleet of real processes for each test."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from tests.serve.fleet import PlatformFleet

if TYPE_CHECKING:
    from collections.abc import Iterator


@pytest.fixture
def fleet(tmp_path, serve) -> Iterator[PlatformFleet]:
    made = PlatformFleet(tmp_path, serve)
    try:  # a failed setup must not leave processes behind either
        made.start()
        yield made
    finally:
        made.close()
