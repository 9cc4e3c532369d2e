"""Serves stand-ins for as long as a test, or all tests of a module, need them."""

from __future__ import annotations

from concurrent.futures import ThreadPoolExecutor
from contextlib import contextmanager
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

THREADS = 96  # each waiting watch holds one, also those of processes that were killed


@contextmanager
def serving() -> Iterator[Callable]:
    """Yield what starts stand-ins on free ports; all of them end with the context."""
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
    with ThreadPoolExecutor() as threads:  # each waits for its connections to end
        for server in servers:
            threads.submit(server.stop)


__all__ = ["serving"]
