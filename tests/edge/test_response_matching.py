"""Endpoints that respond twice: which response a request gets, and which connections are kept."""

from __future__ import annotations

import time
from dataclasses import replace
from random import Random

import pytest

import threadramp.edge.exchange as exchange_module
from threadramp.edge.connection_pool import ConnectionPool
from threadramp.edge.exchange import Exchange, ExchangeError
from threadramp.edge.forward import Forwarder
from threadramp.edge.job import Ending, Job
from threadramp.fleet.clock import Clock, steady_s
from threadramp.fleet.fleet_view import FleetSnapshot, FleetView
from threadramp.fleet.model import Endpoint, PoolShare, Route, RouteKind
from threadramp.platform.standins.endpoint import PlatformEngine
from threadramp.platform.standins.stuttering import (
    IDLE_S,
    OTHER,
    Moment,
    Second,
    Stutter,
    StutteringFront,
)
from threadramp.policy.endpoint_choice import EndpointSelector
from threadramp.policy.retries import RetryBudget
from threadramp.standins.server import Response


@pytest.fixture
def proxy(serve, engine):
    made = StutteringFront(serve(engine))
    yield made
    made.close()


@pytest.fixture
def endpoint(proxy) -> Endpoint:
    return Endpoint("i-1", "p", proxy.address, "a", 6)


@pytest.fixture
def connections() -> ConnectionPool:
    return ConnectionPool()


@pytest.fixture
def forward(connections, endpoint):
    """Forwards a request and returns the outcome."""
    picture = FleetView()
    picture.snapshot = FleetSnapshot(endpoints={"i-1": endpoint})
    forwarder = Forwarder(picture, connections, EndpointSelector(Random(1)), RetryBudget(), Clock())

    def run(request_id: str, kind=RouteKind.REPEATABLE, sent_id=None, more=(), **options):
        route = Route("r", "h", "/", kind, (PoolShare("p", 1.0),), 2.0, 1.0, 3)
        sent_id = request_id if sent_id is None else sent_id
        headers = (("Host", "h"), *more, *((("x-attempt-id", sent_id),) if sent_id else ()))
        job = Job(request_id, "POST", "/x", headers, b"q", route, steady_s() + 2.0, **options)
        return forwarder.run(job)

    return run


def exchange_for(connections: ConnectionPool, endpoint: Endpoint, request_id: str) -> Exchange:
    exchange = connections.acquire(endpoint, steady_s(), 1.0, request_id=request_id)
    exchange.send("POST", "/x", {"Host": "h", "X-Attempt-Id": request_id}, b"q")
    return exchange


@pytest.mark.parametrize("duplicate", list(Second))
@pytest.mark.parametrize("moment", list(Moment))
def test_a_request_gets_its_own_response_or_none(proxy, forward, duplicate, moment):
    """Duplicates without an id, or that split the next response, were taken for the own one."""
    proxy.stutter = Stutter(duplicate, moment)
    for number in range(6):
        outcome = forward(f"r{number}")
        assert outcome.ending in (Ending.ANSWERED, Ending.UNKNOWN)
        if outcome.ending is Ending.ANSWERED:
            assert outcome.response.body == f"i-1 answers r{number}".encode()


def test_a_duplicate_response_is_recognised_by_its_head(proxy, engine, connections, forward):
    """Its body was awaited for up to 2 s although the head already names the id."""
    proxy.stutter = Stutter(Second.CUT, Moment.AFTER_NEXT)
    forward("r1")
    engine.faults["hold_s"] = 1.0  # nothing follows the truncated duplicate meanwhile
    started = steady_s()
    assert forward("r2", RouteKind.ONCE).ending is Ending.UNKNOWN
    assert steady_s() - started < 0.5


@pytest.mark.parametrize("duplicate", [Second.WHOLE, Second.CUT])
def test_bytes_behind_a_response_close_the_connection(proxy, connections, endpoint, duplicate):
    """They were read ahead and discarded, so that the connection looked clean."""
    proxy.stutter = Stutter(duplicate, Moment.AT_ONCE)
    exchange = exchange_for(connections, endpoint, "r1")
    answer = exchange.read(1.0)
    assert answer.body == b"i-1 answers r1"
    connections.release(exchange, answer, steady_s())
    assert not any(connections.idle.values())


def test_bytes_that_are_not_http_raise_an_exchange_error(proxy, connections, endpoint):
    """The library's error was not caught anywhere and reached the caller's thread."""
    proxy.stutter = Stutter(Second.WHOLE, Moment.SPLIT)
    exchange = exchange_for(connections, endpoint, "r1")
    exchange.read(1.0)
    again = Exchange(endpoint, exchange.connection, True)
    again.send("POST", "/x", {"Host": "h", "X-Attempt-Id": "r2"}, b"q")
    with pytest.raises(ExchangeError):
        again.read(1.0)


def test_a_failure_is_not_counted_twice_for_one_response(proxy, engine, forward):
    """A scoring call is retried under its id; the copy of its first failure counted as a second."""
    proxy.stutter = Stutter(Second.WHOLE, Moment.AFTER_NEXT)
    engine.faults["fail"] = 1
    assert forward("r1", retry_errors=False).response.head.status == 500
    assert forward("r1", retry_errors=False).response.head.status == 200


def capture_log(monkeypatch) -> list[tuple[str, dict]]:
    """Return a list that collects what is logged about connections."""
    rows: list[tuple[str, dict]] = []
    log = lambda kind, **fields: rows.append((kind, fields))  # noqa: E731
    monkeypatch.setattr(exchange_module, "log_state", log)
    return rows


def test_a_response_to_another_request_is_logged_and_counted(
    proxy, forward, monkeypatch, connections
):
    """No log line showed that a connection had delivered a duplicate response."""
    counted = []
    connections.count = lambda kind, label: counted.append((kind, label))
    logged = capture_log(monkeypatch)
    proxy.stutter = Stutter(Second.WHOLE, Moment.AFTER_NEXT)
    forward("r1")
    forward("r2", RouteKind.ONCE)
    ((kind, fields),) = logged
    assert kind == "answer_not_own"
    assert (fields["request"], fields["named"], fields["instance"]) == ("r2", "r1", "i-1")
    assert fields["uses"] == 2
    assert 0.0 < fields["age_s"] < 5.0
    assert counted == [("answer_not_own", "named")]


@pytest.mark.parametrize(
    ("moment", "when"), [(Moment.AT_ONCE, "behind an answer"), (Moment.IDLE, "at rest")]
)
def test_surplus_bytes_are_logged_and_counted(
    proxy, forward, monkeypatch, connections, moment, when
):
    counted = []
    connections.count = lambda kind, label: counted.append((kind, label))
    logged = capture_log(monkeypatch)
    proxy.stutter = Stutter(Second.OTHER_ID, moment)
    forward("r1")
    time.sleep(3 * IDLE_S)
    forward("r2")
    kind, fields = logged[0]
    assert kind == "surplus"
    assert (fields["request"], fields["named"]) == ("r1", OTHER.decode())
    assert (fields["instance"], fields["uses"], fields["when"]) == ("i-1", 1, when)
    assert counted[0] == ("surplus", when)


def test_a_repeated_id_takes_another_connection(proxy, forward):
    for _ in range(3):
        forward("r1")
    assert proxy.opened == 3


def test_different_ids_reuse_a_connection(proxy, forward):
    for number in range(5):
        forward(f"r{number}")
    assert proxy.opened == 1


def test_an_endpoint_that_names_no_id_gets_a_new_connection_each_time(
    engine, proxy, forward, monkeypatch
):
    """Every second request got no response and was counted as possibly run."""
    answer = engine.answer
    unnamed = {"X-Server-Stamp": "s"}
    monkeypatch.setattr(engine, "answer", lambda one: replace(answer(one), headers=unnamed))
    for number in range(4):
        outcome = forward(f"r{number}", RouteKind.ONCE)
        assert outcome.response.body == f"i-1 answers r{number}".encode()
    assert proxy.opened == 4


def test_a_request_without_an_id_goes_on_a_new_connection(proxy, forward):
    for _ in range(2):
        assert forward("").ending is Ending.ANSWERED
    assert proxy.opened == 2


@pytest.mark.parametrize("kind", [RouteKind.ONCE, RouteKind.REPEATABLE])
def test_a_request_whose_sent_headers_name_no_id_goes_on_a_new_connection(proxy, forward, kind):
    """Its unnamed response was refused on a pooled connection, so it ended ``unknown``."""
    for number in range(4):
        outcome = forward(f"r{number}", kind, sent_id="")
        assert outcome.ending is Ending.ANSWERED
    assert proxy.opened == 4


@pytest.mark.parametrize("connection", ["X-Attempt-Id", "keep-alive, x-attempt-id", "close"])
def test_the_id_of_a_request_reaches_the_endpoint_whatever_its_connection_header_lists(
    proxy, engine, forward, connection
):
    """A caller that listed the id there got 502, after its request had run."""
    for number in range(4):
        outcome = forward(f"r{number}", RouteKind.ONCE, more=(("Connection", connection),))
        assert outcome.response.head.request_id == f"r{number}"
    assert [run["id"] for run in engine.runs] == ["r0", "r1", "r2", "r3"]
    assert proxy.opened == 1


def test_a_second_attempt_after_an_unnamed_response_goes_on_a_new_connection(
    serve, connections, monkeypatch
):
    """A request ran at each endpoint and ended ``unknown`` where error pages named no id."""
    engines = [PlatformEngine({"instance": f"i-{number}"}) for number in range(3)]
    endpoints = {one.instance: Endpoint(one.instance, "p", serve(one), "a", 6) for one in engines}
    picture = FleetView()
    picture.snapshot = FleetSnapshot(endpoints=endpoints)
    forwarder = Forwarder(picture, connections, EndpointSelector(Random(1)), RetryBudget(), Clock())
    route = Route("r", "h", "/", RouteKind.REPEATABLE, (PoolShare("p", 1.0),), 2.0, 1.0, 3)

    def run(request_id: str):
        headers = (("Host", "h"), ("X-Attempt-Id", request_id))
        return forwarder.run(Job(request_id, "GET", "/x", headers, b"", route, steady_s() + 2.0))

    for number in range(60):
        run(f"fill-{number}")
    assert len(connections.idle) == 3
    for one in engines:
        monkeypatch.setattr(one, "answer", lambda request: Response(404, b"no such page"))
    outcome = run("r1")
    assert (outcome.ending, outcome.response.body) == (Ending.ANSWERED, b"no such page")
    assert connections.opened == 4
