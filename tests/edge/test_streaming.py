"""Forwarding of streams to callers, against stand-ins and over real connections."""

from __future__ import annotations

import http.client
import socket
import time
from random import Random

import pytest

from threadramp.edge.connection_pool import ConnectionPool
from threadramp.edge.disconnect_watcher import DisconnectWatcher
from threadramp.edge.forward import Forwarder
from threadramp.edge.job import Ending, Job
from threadramp.edge.server import EdgeServer
from threadramp.edge.streaming import MAX_RETURNS, STALL_TIMEOUT_S, StreamForwarder
from threadramp.fleet.clock import Clock, steady_s
from threadramp.fleet.fleet_view import FleetSnapshot, FleetView
from threadramp.fleet.model import CallerLimits, Endpoint, PoolShare, Route, RouteKind
from threadramp.platform.headers import request_id
from threadramp.platform.standins.endpoint import PlatformEngine
from threadramp.platform.standins.stuttering import Moment, Second, Stutter, StutteringFront
from threadramp.policy.endpoint_choice import EndpointSelector
from threadramp.policy.retries import RetryBudget


class StreamingGateway:
    """One gateway's HTTP server and the engines of one pool behind it."""

    def __init__(self, serve) -> None:
        self.serve = serve
        self.picture = FleetView()
        self.engines: list[PlatformEngine] = []
        self.endpoints: dict[str, Endpoint] = {}
        access = Forwarder(
            self.picture, ConnectionPool(), EndpointSelector(Random(1)), RetryBudget(), Clock()
        )
        self.watcher = DisconnectWatcher()
        self.watcher.start()
        self.streams = StreamForwarder(access, self.watcher)
        self.outcomes = []
        self.route = {"attempts": 3, "resumable": True, "priority": 3}
        self.time_s = 8.0
        self.server = EdgeServer("127.0.0.1:0", self._answer, 8, CallerLimits())
        self.address = self.server.server.bind_addr

    def add(self, **faults) -> PlatformEngine:
        instance = f"i-{len(self.engines)}"
        engine = PlatformEngine({"instance": instance, **faults})
        self.engines.append(engine)
        self.endpoints[instance] = Endpoint(instance, "p", self.serve(engine), "a", 6)
        self.picture.snapshot = FleetSnapshot(endpoints=dict(self.endpoints))
        return engine

    def _answer(self, request) -> None:
        rules = self.route
        route = Route(
            "r", "h", "/", RouteKind.STREAM, (PoolShare("p", 1.0),), self.time_s, 1.0,
            rules["attempts"], rules["priority"], rules["resumable"],
        )  # fmt: skip
        body = request.read_body(1_000_000)
        job = Job(
            request_id(request.headers), request.method, request.target,
            tuple(request.headers.items()), body, route, steady_s() + self.time_s, request.socket,
        )  # fmt: skip
        outcome = self.streams.run(job, request, closes=False)
        self.outcomes.append(outcome)
        if outcome.ending is Ending.NOT_RUN:
            request.respond(503)
        elif outcome.ending is Ending.ANSWERED:
            request.respond(outcome.response.head.status, (), outcome.response.body)
        elif outcome.ending is Ending.CALLER_DISCONNECTED:
            request.close_without_response()
        elif outcome.ending not in (Ending.STREAMED, Ending.CUT):
            request.respond(504)

    def open(self, **headers) -> http.client.HTTPConnection:
        connection = http.client.HTTPConnection(*self.address, timeout=10)
        named = {name.replace("_", "-"): value for name, value in headers.items()}
        head = {"Host": "h", "X-Attempt-Id": "req", "X-Model": "m", **named}
        connection.request("POST", "/a/b", b"prompt", head)
        return connection

    def read(self, **headers) -> tuple[int, bytes, dict[str, str]]:
        response = self.open(**headers).getresponse()
        return response.status, response.read(), dict(response.headers)

    @property
    def runs(self) -> list[dict]:
        return [run for engine in self.engines for run in engine.runs]


@pytest.fixture
def gateway(serve) -> StreamingGateway:
    made = StreamingGateway(serve)
    yield made
    made.server.server.stop()


def events(first: int, last: int, name: str = "req") -> bytes:
    return b"".join(f"id: {n}\ndata: {name}-{n}\n\n".encode() for n in range(first, last + 1))


def test_events_are_relayed_as_they_arrive(gateway):
    gateway.add(events=6, gap_s=0.2)
    started = steady_s()
    response = gateway.open().getresponse()
    assert (response.status, response.headers["X-Server-Stamp"]) == (200, "sig-req")
    assert response.read(len(events(1, 1))) == events(1, 1)
    assert steady_s() - started < 0.8
    assert response.read() == events(2, 6)
    assert gateway.outcomes[0].ending is Ending.STREAMED
    assert 0.1 < gateway.outcomes[0].first_event_s < 0.8


def test_the_connection_is_reused_after_a_stream(gateway):
    gateway.add(events=2)
    connection = gateway.open()
    assert connection.getresponse().read() == events(1, 2)
    head = {"Host": "h", "X-Attempt-Id": "req", "X-Model": "m"}
    connection.request("POST", "/a/b", b"prompt", head)
    assert connection.getresponse().read() == events(1, 2)


def test_an_interrupted_stream_is_resumed_elsewhere_after_its_last_event(gateway):
    gateway.add(events=8, cut=1)
    gateway.add(events=8, cut=1)
    status, body, headers = gateway.read()
    assert (status, body) == (200, events(1, 8))
    assert headers["X-Server-Stamp"] == "sig-req"
    assert [run["after"] for run in sorted(gateway.runs, key=lambda run: run["after"])][:2] == [
        0,
        3,
    ]


def test_a_stream_that_may_not_be_resumed_is_cut(gateway):
    gateway.route["resumable"] = False
    gateway.add(events=8, cut=1)
    gateway.add(events=8)
    gateway.engines[1].faults["reject"] = 99
    response = gateway.open().getresponse()
    with pytest.raises(http.client.IncompleteRead) as failure:
        response.read()
    assert failure.value.partial == events(1, 3)
    assert len(gateway.runs) == 1
    assert gateway.outcomes[0].ending is Ending.CUT


def test_no_more_endpoints_than_allowed_run_a_stream(gateway):
    gateway.route["attempts"] = 2
    for _ in range(3):
        gateway.add(events=20, cut=9)
    with pytest.raises(http.client.IncompleteRead):
        gateway.open().getresponse().read()
    assert sum(bool(engine.runs) for engine in gateway.engines) == 2
    assert len(gateway.runs) == 2 + MAX_RETURNS


def test_a_stream_returns_to_an_endpoint_where_it_was_interrupted_if_there_is_no_other(gateway):
    gateway.add(events=8, cut=1)
    assert gateway.read()[1] == events(1, 8)
    assert [run["after"] for run in gateway.runs] == [0, 3]


def test_a_stalled_endpoint_is_replaced_by_another(gateway):
    gateway.add(events=3, gap_s=0.02)
    gateway.add(events=3, gap_s=STALL_TIMEOUT_S * 3)
    started = steady_s()
    for _ in range(3):
        assert gateway.read()[1] == events(1, 3)
    assert steady_s() - started < STALL_TIMEOUT_S * 5


def test_a_rejected_stream_was_not_run_and_is_refused(gateway):
    gateway.add(reject=99)
    status, _, _ = gateway.read()
    assert status == 503
    assert gateway.runs == []


def test_an_error_of_every_endpoint_is_the_response(gateway):
    gateway.add(fail=9)
    assert gateway.read()[0] == 500


def test_an_impossible_request_gets_status_422(gateway):
    gateway.add(impossible=9)
    assert gateway.read()[0] == 422


def test_a_response_to_another_request_is_not_passed_on(gateway):
    gateway.add(other_id=1)
    gateway.add(other_id=1)
    status, body, _ = gateway.read()
    assert status == 504 or body == events(1, 5)


@pytest.fixture
def stuttering(gateway, serve):
    """The proxy in front of the gateway's only engine."""
    fronts = []

    def behind_front(standin) -> str:
        fronts.append(StutteringFront(serve(standin)))
        return fronts[0].address

    gateway.serve = behind_front
    gateway.add(events=4)
    yield fronts[0]
    fronts[0].close()


@pytest.mark.parametrize("duplicate", list(Second))
@pytest.mark.parametrize("moment", list(Moment))
@pytest.mark.parametrize("resumable", [True, False])
def test_every_event_is_of_the_callers_own_stream(
    gateway, stuttering, duplicate, moment, resumable
):
    gateway.route["resumable"] = resumable
    stuttering.stutter = Stutter(duplicate, moment)
    for name in ("a", "b", "c", "d"):
        response = gateway.open(X_Attempt_Id=name).getresponse()
        try:
            body, is_whole = response.read(), True
        except http.client.IncompleteRead as error:
            body, is_whole = error.partial, False
        if response.status == 200:
            assert events(1, 4, name).startswith(body)
            assert not is_whole or body == events(1, 4, name)


def test_a_connection_to_an_endpoint_is_reused_after_a_stream(gateway, stuttering):
    for name in ("a", "b", "c"):
        assert gateway.read(X_Attempt_Id=name)[1] == events(1, 4, name)
    assert stuttering.opened == 1


def test_work_for_a_disconnected_caller_is_cancelled(gateway):
    engine = gateway.add(events=400, gap_s=0.05)
    connection = gateway.open()
    response = connection.getresponse()
    response.read(len(events(1, 1)))
    response.close()
    connection.sock.shutdown(socket.SHUT_RDWR)
    connection.close()
    until = steady_s() + 2.0
    while engine.running and steady_s() < until:
        time.sleep(0.02)
    assert engine.running == 0
    assert len(engine.runs) == 1


def test_a_stream_in_progress_is_cut_at_its_deadline(gateway):
    gateway.time_s = 0.6
    gateway.add(events=100, gap_s=0.1)
    started = steady_s()
    with pytest.raises(http.client.IncompleteRead):
        gateway.open().getresponse().read()
    assert steady_s() - started < 1.2


def test_a_caller_resumes_after_its_last_event(gateway):
    engine = gateway.add(events=6)
    assert gateway.read(Last_Event_Id="4")[1] == events(5, 6)
    assert engine.runs[0]["after"] == 4


def test_the_priority_of_the_route_is_passed_on(gateway):
    engine = gateway.add(events=1)
    gateway.read(X_Request_Priority="0")
    assert engine.runs[0]["rank"] == "3"
