"""Fixtures that several packages of tests share."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest
from tools.known_red import listed

from tests.serving import serving
from threadramp.platform.standins.endpoint import PlatformEngine
from threadramp.platform.standins.store import PlatformStore

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Let the tests that are known to fail fail without failing the run."""
    known = {row.test: row for row in listed()}
    for item in items:
        row = known.get(item.nodeid)
        if row is not None:
            reason = f"KNOWN-RED: {row.cause}"
            item.add_marker(pytest.mark.xfail(reason=reason, raises=AssertionError, strict=False))


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    """Print the tests that are known to fail, and how they ended this time."""
    ended = {
        report.nodeid: kind
        for kind in ("xfailed", "xpassed")
        for report in terminalreporter.getreports(kind)
    }
    for row in listed():
        outcome = ended.get(row.test, "not run")
        terminalreporter.write_line(f"KNOWN-RED ({outcome}): {row.test}: {row.cause}")


class FakeClock:
    """A clock that tests set."""

    def __init__(self) -> None:
        self.at = 100.0

    def now(self) -> float:
        return self.at

    def time_of_day(self) -> float:
        return 1_700_000_000.0 + self.at


@pytest.fixture
def clock() -> FakeClock:
    return FakeClock()


@pytest.fixture
def serve() -> Iterator[Callable]:
    """Starts stand-ins on free ports; all of them end with the test."""
    with serving() as start:
        yield start


@pytest.fixture
def platform_store() -> PlatformStore:
    return PlatformStore({})


@pytest.fixture
def store_address(serve, platform_store) -> str:
    return serve(platform_store)


@pytest.fixture
def engine() -> PlatformEngine:
    return PlatformEngine({})


@pytest.fixture
def engine_address(serve, engine) -> str:
    return serve(engine)
