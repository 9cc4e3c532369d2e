"""Statuses that promise that a request has not run, sent by an endpoint that does not promise it.

Callers repeat a request that may run once after 408, 421, 429 and 503. An endpoint, or a proxy in
front of one, may send them for a request that ran; only its own header says that it did not.
"""

from __future__ import annotations

import pytest

from tests.edge.scripted_endpoint import FIRST_BYTES, Connection
from tests.edge.test_long_bodies import Callers, StreamCallers
from threadramp.edge.job import Ending
from threadramp.fleet.model import RouteKind

BODY = b"x" * (FIRST_BYTES + 1)
STATUSES = (408, 429, 503)


def run_and_answer(status: int):
    def script(connection: Connection) -> None:
        connection.begin()
        connection.read(connection.left)
        connection.answer(status)

    return script


@pytest.fixture
def callers():
    built = Callers()
    yield built
    built.close()


@pytest.fixture
def streams():
    built = StreamCallers()
    yield built
    built.close()


@pytest.mark.parametrize("status", STATUSES)
def test_a_status_without_the_promise_is_not_passed_on(callers, status):
    callers.start(run_and_answer(status))
    outcome = callers.call(BODY)
    assert (outcome.ending, outcome.response, callers.runs) == (Ending.UNKNOWN, None, 1)


@pytest.mark.parametrize("status", STATUSES)
def test_a_stream_is_not_answered_with_a_promise_that_its_endpoint_did_not_give(streams, status):
    streams.start(run_and_answer(status))
    assert streams.stream(BODY)[0] == 502
    assert streams.runs == 1


@pytest.mark.parametrize("status", STATUSES)
def test_a_repeatable_request_is_tried_elsewhere(callers, status):
    callers.start(run_and_answer(status))
    callers.endpoints[0].script = run_and_answer(200)
    for _ in range(3):
        outcome = callers.call(BODY, RouteKind.REPEATABLE)
        assert (outcome.ending, outcome.response.head.status) == (Ending.ANSWERED, 200)


@pytest.mark.parametrize("status", (404, 500))
def test_other_failures_are_passed_on(callers, status):
    callers.start(run_and_answer(status))
    assert callers.call(BODY).response.head.status == status
    assert callers.runs == 1
