"""Long requests, whose body is still being sent when the endpoint answers or breaks off.

A failed send on a reused connection counted as "not run" whatever the endpoint had received, and
sending had the 0.3 s for connecting: a request of an unsafe route ran at up to three endpoints.
"""

from __future__ import annotations

import http.client
import socket
import threading
from contextlib import closing
from random import Random

import pytest

from tests.edge.scripted_endpoint import LONG_BODY, Connection, ScriptedEndpoint
from threadramp.edge.connection_pool import ConnectionPool
from threadramp.edge.disconnect_watcher import DisconnectWatcher
from threadramp.edge.forward import Forwarder
from threadramp.edge.job import Ending, Job
from threadramp.edge.server import EdgeServer
from threadramp.edge.streaming import StreamForwarder
from threadramp.fleet.clock import Clock, steady_s
from threadramp.fleet.fleet_view import FleetSnapshot, FleetView
from threadramp.fleet.model import CallerLimits, PoolShare, Route, RouteKind
from threadramp.policy.endpoint_choice import EndpointSelector
from threadramp.policy.retries import RetryBudget

COUNT = 3
NOT_RUN = "X-Not-Executed: 1\r\n"
EVENT = "id: 1\ndata: done\n\n"


class Callers:
    """Sends requests through a forwarder to scripted endpoints."""

    def __init__(self) -> None:
        self.endpoints: list[ScriptedEndpoint] = []
        self.view = FleetView()
        self.connections = ConnectionPool()
        self.forwarder = Forwarder(
            self.view, self.connections, EndpointSelector(Random(1)), RetryBudget(), Clock()
        )
        self.sent = 0

    def start(self, script, count: int = COUNT) -> None:
        for number in range(count):
            self.endpoints.append(ScriptedEndpoint(number, script))
        listed = {one.endpoint.instance: one.endpoint for one in self.endpoints}
        self.view.snapshot = FleetSnapshot(endpoints=listed)

    def call(self, body: bytes, kind=RouteKind.ONCE, time_s=4.0, **more):
        self.sent += 1
        name = f"req-{self.sent}"
        route = Route("r", "h", "/", kind, (PoolShare("p", 1.0),), 8.0, 2.0, 3)
        headers = (("Host", "h"), ("X-Attempt-Id", name))
        until = steady_s() + time_s
        return self.forwarder.run(Job(name, "POST", "/", headers, body, route, until, **more))

    def keep_connections(self) -> None:
        """Send short requests until each endpoint has an idle connection."""
        while len(self.connections.idle) < len(self.endpoints):
            assert self.call(b"short").ending is Ending.ANSWERED
        for one in self.endpoints:
            one.runs.clear()

    @property
    def runs(self) -> int:
        return sum(len(one.runs) for one in self.endpoints)

    def close(self) -> None:
        self.connections.retain_only(set())
        for one in self.endpoints:
            one.close()


@pytest.fixture
def callers():
    built = Callers()
    yield built
    built.close()


def answer_early(connection: Connection) -> None:
    """Answer after the first bytes and read nothing more until the connection ends."""
    connection.begin()
    connection.answer()
    gone.wait(5.0)
    connection.read(connection.left)


def read_slowly(connection: Connection) -> None:
    """Read the body over more than the time to connect, then answer."""
    connection.begin()
    while connection.left:
        connection.read(1_000_000)
        threading.Event().wait(0.06)
    connection.answer()


def reset_midway(connection: Connection) -> None:
    connection.begin()
    connection.read(1_000_000)
    connection.reset()


def reject_early(connection: Connection) -> None:
    connection.answer(503, NOT_RUN)
    gone.wait(5.0)


def answer_and_reset(connection: Connection) -> None:
    connection.begin()
    connection.answer()
    connection.reset()


def say_continue(connection: Connection) -> None:
    """Ask for the body with an interim response, late enough that sending has stopped."""
    connection.begin()
    connection.sock.sendall(b"HTTP/1.1 100 Continue\r\n\r\n")
    threading.Event().wait(0.05)
    connection.read(connection.left)
    connection.answer()


gone = threading.Event()


@pytest.fixture(autouse=True)
def release_scripts():
    gone.clear()
    yield
    gone.set()


@pytest.fixture(params=["reused", "new"])
def connected(request, callers):
    """Returns a function that starts endpoints, with idle connections to them or without."""

    def start(script, count: int = COUNT) -> Callers:
        callers.start(script, count)
        if request.param == "reused":
            callers.keep_connections()
        return callers

    return start


def test_a_response_before_the_whole_body_is_passed_on_and_the_request_runs_once(connected):
    callers = connected(answer_early)
    outcome = callers.call(LONG_BODY)
    assert (outcome.ending, callers.runs) == (Ending.ANSWERED, 1)
    assert outcome.response.body == b"done"


def test_a_connection_with_an_unsent_rest_of_a_body_is_not_reused(connected):
    """Other bytes would arrive where the rest of the body is due."""
    callers = connected(answer_early, 1)
    callers.call(LONG_BODY)
    opened = callers.connections.opened
    assert callers.call(b"short").ending is Ending.ANSWERED
    assert callers.connections.opened == opened + 1
    assert callers.runs == 2


def test_a_body_that_is_read_slowly_has_the_time_of_its_request(connected):
    callers = connected(read_slowly)
    assert callers.call(LONG_BODY).ending is Ending.ANSWERED
    assert callers.runs == 1


def test_a_request_that_was_reset_midway_may_have_run(connected):
    callers = connected(reset_midway)
    assert callers.call(LONG_BODY).ending is Ending.UNKNOWN
    assert callers.runs == 1


def test_a_response_before_a_reset_is_passed_on(connected):
    callers = connected(answer_and_reset)
    assert callers.call(LONG_BODY).ending is Ending.ANSWERED
    assert callers.runs == 1


def test_an_early_rejection_is_tried_elsewhere(callers):
    callers.start(reject_early, 2)
    callers.keep_connections()
    callers.endpoints[1].script = answer_early
    for _ in range(3):
        assert callers.call(LONG_BODY).ending is Ending.ANSWERED
    assert len(callers.endpoints[1].runs) == 3
    assert not callers.endpoints[0].runs


def test_sending_goes_on_after_an_interim_response(connected):
    callers = connected(say_continue)
    assert callers.call(LONG_BODY).ending is Ending.ANSWERED
    assert callers.runs == 1


def test_a_request_that_nobody_reads_ends_at_its_deadline(connected):
    callers = connected(lambda connection: gone.wait(5.0))
    started = steady_s()
    ending = callers.call(LONG_BODY, time_s=0.8).ending
    assert ending is Ending.TIMED_OUT
    assert 0.5 < steady_s() - started < 2.0


def test_a_repeatable_request_that_nobody_reads_is_hedged(callers):
    callers.start(lambda connection: gone.wait(5.0), 2)
    callers.keep_connections()
    callers.endpoints[1].script = answer_early
    for _ in range(3):
        assert callers.call(LONG_BODY, RouteKind.REPEATABLE).ending is Ending.ANSWERED


def test_a_caller_that_disconnects_while_its_body_is_sent_ends_the_request(connected):
    callers = connected(lambda connection: connection.begin() or gone.wait(5.0))
    ours, theirs = socket.socketpair()

    def disconnect() -> None:
        while not callers.runs:
            threading.Event().wait(0.01)
        theirs.close()

    with ours:
        threading.Thread(target=disconnect, daemon=True).start()
        started = steady_s()
        outcome = callers.call(LONG_BODY, caller_socket=ours)
        assert outcome.ending is Ending.CALLER_DISCONNECTED
        assert steady_s() - started < 2.0  # its deadline comes after 4 s
    assert callers.runs == 1


def stream_early(connection: Connection) -> None:
    """Send a complete event stream after the first bytes of the body."""
    connection.begin()
    connection.answer(200, "Content-Type: text/event-stream\r\n", EVENT)
    gone.wait(5.0)


def stream_after_slow_read(connection: Connection) -> None:
    connection.begin()
    while connection.left:
        connection.read(1_000_000)
        threading.Event().wait(0.06)
    connection.answer(200, "Content-Type: text/event-stream\r\n", EVENT)


class StreamCallers(Callers):
    """Sends streams through a gateway's HTTP server; its routes may not resume them."""

    def __init__(self) -> None:
        super().__init__()
        watcher = DisconnectWatcher()
        watcher.start()
        self.streams = StreamForwarder(self.forwarder, watcher)
        self.outcomes = []
        self.server = EdgeServer("127.0.0.1:0", self._answer, 4, CallerLimits(20_000, 20_000_000))

    def _answer(self, request) -> None:
        name = request.headers["X-Attempt-Id"]
        route = Route("r", "h", "/", RouteKind.STREAM, (PoolShare("p", 1.0),), 4.0, 1.0, 3)
        headers = tuple(request.headers.items())
        body = request.read_body(20_000_000)
        until = steady_s() + 4.0
        job = Job(name, "POST", "/", headers, body, route, until, request.socket)
        outcome = self.streams.run(job, request, closes=False)
        self.outcomes.append(outcome.ending)
        if outcome.ending is Ending.ANSWERED:
            request.respond(outcome.response.head.status)
        elif outcome.ending not in (Ending.STREAMED, Ending.CUT):
            request.respond(503 if outcome.ending is Ending.NOT_RUN else 502)

    def stream(self, body: bytes) -> tuple[int, bytes]:
        connection = http.client.HTTPConnection(*self.server.server.bind_addr, timeout=10)
        with closing(connection):
            connection.request("POST", "/", body, {"Host": "h", "X-Attempt-Id": "a"})
            response = connection.getresponse()
            return response.status, response.read()

    def close(self) -> None:
        super().close()
        self.server.server.stop()


@pytest.fixture
def streams():
    built = StreamCallers()
    yield built
    gone.set()
    built.close()


@pytest.mark.parametrize("script", [stream_early, stream_after_slow_read])
@pytest.mark.parametrize("reused", [True, False])
def test_a_stream_with_a_long_body_is_relayed_and_runs_once(streams, script, reused):
    streams.start(script)
    if reused:
        streams.keep_connections()
    assert streams.stream(LONG_BODY) == (200, EVENT.encode())
    assert streams.runs == 1


@pytest.mark.parametrize("reused", [True, False])
def test_a_stream_whose_body_was_cut_midway_may_have_run(streams, reused):
    streams.start(reset_midway)
    if reused:
        streams.keep_connections()
    assert streams.stream(LONG_BODY)[0] == 502
    assert (streams.runs, streams.outcomes) == (1, [Ending.UNKNOWN])
