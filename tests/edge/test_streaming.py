"""Streams on their way from endpoints to callers, against stand-ins and over real connections."""

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
from threadramp.edge.streaming import GO_BACK_MOST, SILENT_S, StreamForwarder
from threadramp.fleet.clock import Clock, steady_s
from threadramp.fleet.model import CallerLimits, Endpoint, PoolShare, Route, RouteKind
from threadramp.fleet.picture import Belief, Picture
from threadramp.platform.headers import request_id
from threadramp.platform.standins.endpoint import PlatformEngine
from threadramp.platform.standins.stuttering import Moment, Second, Stutter, StutteringFront
from threadramp.policy.endpoint_choice import EndpointChoice
from threadramp.policy.retries import RetryBudget


class World:
    """Engines of one pool behind one gateway's HTTP server."""

    def __init__(self, serve) -> None:
        self.serve = serve
        self.picture = Picture()
        self.engines: list[PlatformEngine] = []
        self.endpoints: dict[str, Endpoint] = {}
        access = Forwarder(
            self.picture, ConnectionPool(), EndpointChoice(Random(1)), RetryBudget(), Clock()
        )
        self.watch = DisconnectWatcher()
        self.watch.start()
        self.streams = StreamForwarder(access, self.watch)
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
        self.picture.belief = Belief(endpoints=dict(self.endpoints))
        return engine

    def _answer(self, request) -> None:
        rules = self.route
        route = Route(
            "r", "h", "/", RouteKind.STREAM, (PoolShare("p", 1.0),), self.time_s, 1.0,
            rules["attempts"], rules["priority"], rules["resumable"],
        )  # fmt: skip
        body = request.body(1_000_000)
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
        elif outcome.ending is Ending.CALLER_GONE:
            request.drop()
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
def world(serve) -> World:
    made = World(serve)
    yield made
    made.server.server.stop()


def events(first: int, last: int, name: str = "req") -> bytes:
    return b"".join(f"id: {n}\ndata: {name}-{n}\n\n".encode() for n in range(first, last + 1))


def test_events_are_passed_on_as_they_come(world):
    world.add(events=6, gap_s=0.2)
    started = steady_s()
    response = world.open().getresponse()
    assert (response.status, response.headers["X-Server-Stamp"]) == (200, "sig-req")
    assert response.read(len(events(1, 1))) == events(1, 1)
    assert steady_s() - started < 0.8
    assert response.read() == events(2, 6)
    assert world.outcomes[0].ending is Ending.STREAMED
    assert 0.1 < world.outcomes[0].first_event_s < 0.8


def test_the_connection_serves_on_behind_a_stream(world):
    world.add(events=2)
    connection = world.open()
    assert connection.getresponse().read() == events(1, 2)
    head = {"Host": "h", "X-Attempt-Id": "req", "X-Model": "m"}
    connection.request("POST", "/a/b", b"prompt", head)
    assert connection.getresponse().read() == events(1, 2)


def test_a_stream_that_breaks_goes_on_elsewhere_behind_its_last_event(world):
    world.add(events=8, cut=1)
    world.add(events=8, cut=1)
    status, body, headers = world.read()
    assert (status, body) == (200, events(1, 8))
    assert headers["X-Server-Stamp"] == "sig-req"
    assert [run["after"] for run in sorted(world.runs, key=lambda run: run["after"])][:2] == [0, 3]


def test_a_stream_that_may_not_be_resumed_is_cut(world):
    world.route["resumable"] = False
    world.add(events=8, cut=1)
    world.add(events=8)
    world.engines[1].faults["reject"] = 99
    response = world.open().getresponse()
    with pytest.raises(http.client.IncompleteRead) as failure:
        response.read()
    assert failure.value.partial == events(1, 3)
    assert len(world.runs) == 1
    assert world.outcomes[0].ending is Ending.CUT


def test_no_more_endpoints_than_allowed_run_a_stream(world):
    world.route["attempts"] = 2
    for _ in range(3):
        world.add(events=20, cut=9)
    with pytest.raises(http.client.IncompleteRead):
        world.open().getresponse().read()
    assert sum(bool(engine.runs) for engine in world.engines) == 2
    assert len(world.runs) == 2 + GO_BACK_MOST


def test_a_stream_goes_back_to_an_endpoint_where_it_broke_off_if_there_is_no_other(world):
    world.add(events=8, cut=1)
    assert world.read()[1] == events(1, 8)
    assert [run["after"] for run in world.runs] == [0, 3]


def test_a_silent_endpoint_is_left_for_another(world):
    world.add(events=3, gap_s=0.02)
    world.add(events=3, gap_s=SILENT_S * 3)
    started = steady_s()
    for _ in range(3):
        assert world.read()[1] == events(1, 3)
    assert steady_s() - started < SILENT_S * 5


def test_a_rejected_stream_was_not_run_and_the_caller_is_told(world):
    world.add(reject=99)
    status, _, _ = world.read()
    assert status == 503
    assert world.runs == []


def test_a_failure_of_every_endpoint_is_the_answer(world):
    world.add(fail=9)
    assert world.read()[0] == 500


def test_an_impossible_request_is_told_so(world):
    world.add(impossible=9)
    assert world.read()[0] == 422


def test_an_answer_to_another_request_is_not_passed_on(world):
    world.add(other_id=1)
    world.add(other_id=1)
    status, body, _ = world.read()
    assert status == 504 or body == events(1, 5)


@pytest.fixture
def stuttering(world, serve):
    """The front of the one engine of a world."""
    fronts = []

    def behind_front(standin) -> str:
        fronts.append(StutteringFront(serve(standin)))
        return fronts[0].address

    world.serve = behind_front
    world.add(events=4)
    yield fronts[0]
    fronts[0].close()


@pytest.mark.parametrize("second", list(Second))
@pytest.mark.parametrize("moment", list(Moment))
@pytest.mark.parametrize("resumable", [True, False])
def test_every_event_is_of_the_callers_own_stream(world, stuttering, second, moment, resumable):
    world.route["resumable"] = resumable
    stuttering.stutter = Stutter(second, moment)
    for name in ("a", "b", "c", "d"):
        response = world.open(X_Attempt_Id=name).getresponse()
        try:
            body, is_whole = response.read(), True
        except http.client.IncompleteRead as error:
            body, is_whole = error.partial, False
        if response.status == 200:
            assert events(1, 4, name).startswith(body)
            assert not is_whole or body == events(1, 4, name)


def test_a_connection_to_an_endpoint_is_used_again_behind_a_stream(world, stuttering):
    for name in ("a", "b", "c"):
        assert world.read(X_Attempt_Id=name)[1] == events(1, 4, name)
    assert stuttering.opened == 1


def test_work_for_a_caller_that_left_is_ended(world):
    engine = world.add(events=400, gap_s=0.05)
    connection = world.open()
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


def test_time_is_kept_and_a_stream_in_progress_is_cut_then(world):
    world.time_s = 0.6
    world.add(events=100, gap_s=0.1)
    started = steady_s()
    with pytest.raises(http.client.IncompleteRead):
        world.open().getresponse().read()
    assert steady_s() - started < 1.2


def test_a_caller_goes_on_behind_the_event_that_it_has(world):
    engine = world.add(events=6)
    assert world.read(Last_Event_Id="4")[1] == events(5, 6)
    assert engine.runs[0]["after"] == 4


def test_the_rank_of_the_route_goes_along(world):
    engine = world.add(events=1)
    world.read(X_Request_Priority="0")
    assert engine.runs[0]["rank"] == "3"
