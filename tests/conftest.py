"""Fixtures that several packages of tests share."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from threadramp.platform.standins.endpoint import PlatformEngine
from threadramp.platform.standins.store import PlatformStore

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

THREADS = 96  # each waiting watch holds one, also those of processes that were killed


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
    servers = []
    standins = []

    def start(standin, listen: str = "127.0.0.1:0") -> str:
        server = standin.start(listen, THREADS)
        servers.append(server)
        standins.append(standin)
        host, port = server.bind_addr
        return f"{host}:{port}"

    yield start
    for standin in standins:
        standin.faults["outage"] = True  # ends the watches that wait, for which a stop would wait
    for server in servers:
        server.stop()


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
