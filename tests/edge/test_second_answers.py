"""Endpoints that answer twice: whose answer a request gets, and which connections are kept."""

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
from threadramp.fleet.model import Endpoint, PoolShare, Route, RouteKind
from threadramp.fleet.picture import Belief, Picture
from threadramp.platform.standins.stuttering import (
    IDLE_S,
    OTHER,
    Moment,
    Second,
    Stutter,
    StutteringFront,
)
from threadramp.policy.endpoint_choice import EndpointChoice
from threadramp.policy.retries import RetryBudget


@pytest.fixture
def front(serve, engine):
    made = StutteringFront(serve(engine))
    yield made
    made.close()


@pytest.fixture
def endpoint(front) -> Endpoint:
    return Endpoint("i-1", "p", front.address, "a", 6)


@pytest.fixture
def connections() -> ConnectionPool:
    return ConnectionPool()


@pytest.fixture
def forward(connections, endpoint):
    """Forwards a request and returns how it ended."""
    picture = Picture()
    picture.belief = Belief(endpoints={"i-1": endpoint})
    forwarder = Forwarder(picture, connections, EndpointChoice(Random(1)), RetryBudget(), Clock())

    def run(ident: str, kind: RouteKind = RouteKind.REPEATABLE, **more):
        route = Route("r", "h", "/", kind, (PoolShare("p", 1.0),), 2.0, 1.0, 3)
        headers = (("Host", "h"), ("x-attempt-id", ident)) if ident else (("Host", "h"),)
        job = Job(ident, "POST", "/x", headers, b"q", route, steady_s() + 2.0, **more)
        return forwarder.run(job)

    return run


def exchange_for(connections: ConnectionPool, endpoint: Endpoint, ident: str) -> Exchange:
    exchange = connections.acquire(endpoint, steady_s(), 1.0, request_id=ident)
    exchange.send("POST", "/x", {"Host": "h", "X-Attempt-Id": ident}, b"q")
    return exchange


@pytest.mark.parametrize("second", list(Second))
@pytest.mark.parametrize("moment", list(Moment))
def test_a_request_gets_its_own_answer_or_none(front, forward, second, moment):
    """A second answer without an id, and one that split the next one, were taken for it."""
    front.stutter = Stutter(second, moment)
    for number in range(6):
        outcome = forward(f"r{number}")
        assert outcome.ending in (Ending.ANSWERED, Ending.UNKNOWN)
        if outcome.ending is Ending.ANSWERED:
            assert outcome.response.body == f"i-1 answers r{number}".encode()


def test_a_second_answer_is_known_by_its_head(front, engine, connections, forward):
    """Its body was waited for, up to 2 s, though the id stands before it."""
    front.stutter = Stutter(Second.CUT, Moment.AFTER_NEXT)
    forward("r1")
    engine.faults["hold_s"] = 1.0  # nothing comes behind the part of it meanwhile
    started = steady_s()
    assert forward("r2", RouteKind.ONCE).ending is Ending.UNKNOWN
    assert steady_s() - started < 0.5


@pytest.mark.parametrize("second", [Second.WHOLE, Second.CUT])
def test_what_came_with_the_end_of_an_answer_ends_the_connection(
    front, connections, endpoint, second
):
    """It was read ahead and dropped, so that the connection looked clean."""
    front.stutter = Stutter(second, Moment.AT_ONCE)
    exchange = exchange_for(connections, endpoint, "r1")
    answer = exchange.read(1.0)
    assert answer.body == b"i-1 answers r1"
    connections.release(exchange, answer, steady_s())
    assert not any(connections.idle.values())


def test_bytes_that_are_no_answer_are_an_exchange_that_failed(front, connections, endpoint):
    """The error of the library passed all that looks for one, up to the caller's thread."""
    front.stutter = Stutter(Second.WHOLE, Moment.SPLIT)
    exchange = exchange_for(connections, endpoint, "r1")
    exchange.read(1.0)
    again = Exchange(endpoint, exchange.connection, True)
    again.send("POST", "/x", {"Host": "h", "X-Attempt-Id": "r2"}, b"q")
    with pytest.raises(ExchangeError):
        again.read(1.0)


def test_a_failure_is_not_counted_twice_for_one_answer(front, engine, forward):
    """A scoring call is repeated under its id; the copy of its first failure was a second one."""
    front.stutter = Stutter(Second.WHOLE, Moment.AFTER_NEXT)
    engine.faults["fail"] = 1
    assert forward("r1", retry_errors=False).response.head.status == 500
    assert forward("r1", retry_errors=False).response.head.status == 200


def told_by(monkeypatch) -> list[tuple[str, dict]]:
    """Return the list that takes what is logged of connections."""
    rows: list[tuple[str, dict]] = []
    log = lambda kind, **fields: rows.append((kind, fields))  # noqa: E731
    monkeypatch.setattr(exchange_module, "log_state", log)
    return rows


def test_what_is_not_its_own_is_told(front, forward, monkeypatch, connections):
    """Nobody could tell from any line that a connection had passed a second answer."""
    counted = []
    connections.count = lambda kind, label: counted.append((kind, label))
    told = told_by(monkeypatch)
    front.stutter = Stutter(Second.WHOLE, Moment.AFTER_NEXT)
    forward("r1")
    forward("r2", RouteKind.ONCE)
    ((kind, fields),) = told
    assert kind == "answer_not_own"
    assert (fields["request"], fields["named"], fields["instance"]) == ("r2", "r1", "i-1")
    assert fields["uses"] == 2
    assert 0.0 < fields["age_s"] < 5.0
    assert counted == [("answer_not_own", "named")]


@pytest.mark.parametrize(
    ("moment", "when"), [(Moment.AT_ONCE, "behind an answer"), (Moment.IDLE, "at rest")]
)
def test_surplus_is_told(front, forward, monkeypatch, connections, moment, when):
    counted = []
    connections.count = lambda kind, label: counted.append((kind, label))
    told = told_by(monkeypatch)
    front.stutter = Stutter(Second.OTHER_ID, moment)
    forward("r1")
    time.sleep(3 * IDLE_S)
    forward("r2")
    kind, fields = told[0]
    assert kind == "surplus"
    assert (fields["request"], fields["named"]) == ("r1", OTHER.decode())
    assert (fields["instance"], fields["uses"], fields["when"]) == ("i-1", 1, when)
    assert counted[0] == ("surplus", when)


def test_an_id_that_was_on_a_connection_takes_another_one(front, forward):
    for _ in range(3):
        forward("r1")
    assert front.opened == 3


def test_other_ids_use_a_connection_again(front, forward):
    for number in range(5):
        forward(f"r{number}")
    assert front.opened == 1


def test_an_endpoint_that_names_no_id_is_asked_on_a_new_connection_each_time(
    engine, front, forward, monkeypatch
):
    """Every second request was counted as one that may have run, without an answer."""
    answer = engine.answer
    unnamed = {"X-Server-Stamp": "s"}
    monkeypatch.setattr(engine, "answer", lambda one: replace(answer(one), headers=unnamed))
    for number in range(4):
        outcome = forward(f"r{number}", RouteKind.ONCE)
        assert outcome.response.body == f"i-1 answers r{number}".encode()
    assert front.opened == 4


def test_a_request_without_an_id_goes_on_a_new_connection(front, forward):
    for _ in range(2):
        assert forward("").ending is Ending.ANSWERED
    assert front.opened == 2
