"""Kept connections to endpoints that pass nothing any more, without a reset; new ones work.

Seen: looked for after gateways had believed silent connections to the store. How it came about: a
late repeatable request is sent to a second endpoint, on a connection that was kept as well and is
as silent. Cause: a kept connection was taken for a sound one as long as no end of it was heard.
Proof: without the mend these requests fail at the end of their time.
"""

from __future__ import annotations

import time

import pytest

from tests.edge.test_forward import Fleet
from tests.serve.tcp_proxy import TcpProxy, serve_behind_proxy
from threadramp.edge.job import Ending
from threadramp.fleet.model import RouteKind

TARGET_S = 0.4  # half of it after the first try, the second one goes


class SilentFleet:
    """Endpoints with kept connections that can go silent."""

    def __init__(self, serve) -> None:
        self.ways: list[TcpProxy] = []
        self.fleet = Fleet(serve_behind_proxy(serve, self.ways, lambda standin: True))

    def keep_connections(self) -> None:
        """Let each endpoint have a connection that is kept."""
        while len(self.fleet.connections.idle) < len(self.ways):
            self.run()

    def silence(self) -> None:
        for way in self.ways:
            way.blackhole()

    def run(self, kind=RouteKind.REPEATABLE):
        return self.fleet.run(kind, time_s=2.0, target_s=TARGET_S)


@pytest.fixture
def silent(serve):
    made = SilentFleet(serve)
    yield made
    for way in made.ways:
        way.close()


@pytest.mark.parametrize("endpoints", [1, 2])
def test_a_request_that_is_late_on_a_kept_connection_goes_again_on_a_new_one(silent, endpoints):
    for _ in range(endpoints):
        silent.fleet.add()
    silent.keep_connections()
    silent.silence()
    started = time.monotonic()
    assert silent.run().ending is Ending.ANSWERED
    assert time.monotonic() - started < TARGET_S


def test_what_else_was_kept_there_is_not_used_after_that(silent):
    silent.fleet.add()
    silent.keep_connections()
    silent.silence()
    silent.run()
    opened = silent.fleet.connections.opened
    started = time.monotonic()
    assert silent.run().ending is Ending.ANSWERED
    assert time.monotonic() - started < TARGET_S / 2
    assert silent.fleet.connections.opened == opened  # the one that answered is kept


def test_a_request_that_may_run_once_is_not_sent_again(silent):
    silent.fleet.add()
    silent.keep_connections()
    silent.silence()
    assert silent.run(RouteKind.ONCE).ending is not Ending.ANSWERED
    assert silent.fleet.runs == 1  # that which made the connection
