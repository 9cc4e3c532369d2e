"""How long connections to endpoints are kept."""

from __future__ import annotations

import pytest

from threadramp.edge.connections import IDLE_MOST_S, IDLE_S, Answer, Connections
from threadramp.fleet.model import Endpoint
from threadramp.platform.headers import AnswerHead, read_answer


def answer(*headers: tuple[str, str]) -> Answer:
    return Answer(read_answer(200, dict(headers)), "", headers, b"")


@pytest.fixture
def endpoint(serve, engine) -> Endpoint:
    return Endpoint("i-1", "p", serve(engine), "a")


def kept_for(endpoint: Endpoint, given: Answer, rest_s: float) -> bool:
    """Return whether a connection that rested for a while is used again."""
    connections = Connections()
    exchange = connections.open(endpoint, 0.0, 1.0)
    connections.keep(exchange, given, 0.0)
    again = connections.open(endpoint, rest_s, 1.0)
    again.close()
    return again.reused


@pytest.mark.parametrize(
    ("named", "rest_s", "used"),
    [("timeout=10", 8.9, True), ("timeout=10", 9.1, False), ("timeout=1", 0.1, False)],
)
def test_an_endpoint_that_names_its_time_is_believed(endpoint, named, rest_s, used):
    """Ten seconds were named and three used: most connections of a calm day were opened anew."""
    assert kept_for(endpoint, answer(("Keep-Alive", named)), rest_s) is used


@pytest.mark.parametrize(("rest_s", "used"), [(IDLE_S - 0.1, True), (IDLE_S + 0.1, False)])
def test_without_a_named_time_it_is_short(endpoint, rest_s, used):
    assert kept_for(endpoint, answer(), rest_s) is used


def test_a_very_long_time_is_not_used_up(endpoint):
    assert not kept_for(endpoint, answer(("Keep-Alive", "timeout=600")), IDLE_MOST_S + 0.1)


def test_an_endpoint_that_leaves_keeps_no_connection(endpoint):
    given = answer(("Keep-Alive", "timeout=10"), ("Connection", "close"))
    assert isinstance(given.head, AnswerHead)
    assert not kept_for(endpoint, given, 0.1)
