"""Idle connections to endpoints that become unresponsive without a reset, while new ones work.

A hedged attempt used another idle connection, which was just as unresponsive, because an idle
connection counted as healthy until it was seen closed. The requests then failed at their deadline.
The same fault had occurred with connections to the store before.
"""

from __future__ import annotations

import time

import pytest

from tests.edge.test_forward import EndpointPool
from tests.serve.tcp_proxy import TcpProxy, serve_behind_proxy
from threadramp.edge.job import Ending
from threadramp.fleet.model import RouteKind

TARGET_S = 0.4  # the hedged attempt is sent after half of it


class UnresponsiveEndpoints:
    """Endpoints whose idle connections can become unresponsive."""

    def __init__(self, serve) -> None:
        self.links: list[TcpProxy] = []
        self.pool = EndpointPool(serve_behind_proxy(serve, self.links, lambda standin: True))

    def keep_connections(self) -> None:
        """Send requests until each endpoint has an idle connection."""
        while len(self.pool.connections.idle) < len(self.links):
            self.run()

    def make_unresponsive(self) -> None:
        for link in self.links:
            link.blackhole()

    def run(self, kind=RouteKind.REPEATABLE):
        return self.pool.run(kind, time_s=2.0, target_s=TARGET_S)


@pytest.fixture
def endpoints(serve):
    made = UnresponsiveEndpoints(serve)
    yield made
    for link in made.links:
        link.close()


@pytest.mark.parametrize("count", [1, 2])
def test_a_slow_request_on_a_reused_connection_is_hedged_on_a_new_one(endpoints, count):
    for _ in range(count):
        endpoints.pool.add()
    endpoints.keep_connections()
    endpoints.make_unresponsive()
    started = time.monotonic()
    assert endpoints.run().ending is Ending.ANSWERED
    assert time.monotonic() - started < TARGET_S


def test_other_idle_connections_there_are_not_used_afterwards(endpoints):
    endpoints.pool.add()
    endpoints.keep_connections()
    endpoints.make_unresponsive()
    endpoints.run()
    opened = endpoints.pool.connections.opened
    started = time.monotonic()
    assert endpoints.run().ending is Ending.ANSWERED
    assert time.monotonic() - started < TARGET_S / 2
    assert endpoints.pool.connections.opened == opened  # reuses the connection that responded


def test_a_request_that_may_run_once_is_not_sent_again(endpoints):
    endpoints.pool.add()
    endpoints.keep_connections()
    endpoints.make_unresponsive()
    assert endpoints.run(RouteKind.ONCE).ending is not Ending.ANSWERED
    assert endpoints.pool.runs == 1  # the one that opened the connection
