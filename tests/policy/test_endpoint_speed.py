"""How long work and waiting take at an endpoint."""

from __future__ import annotations

from random import Random

import pytest

from threadramp.platform.headers import EndpointLoad
from threadramp.policy.endpoint_speed import EndpointTimes, WorkTime

USUAL_S = 0.04


def test_an_endpoint_without_reports_has_only_the_own_requests_ahead():
    times = EndpointTimes()
    assert times.ahead(3, 6, USUAL_S, 5.0) == 3.0
    assert times.wait_s(3, 6, USUAL_S, 5.0) == 0.0


def test_requests_that_wait_there_delay_a_request():
    times = EndpointTimes()
    times.record_load(EndpointLoad(6, 6, 6), 5.0)
    assert times.wait_s(0, 6, USUAL_S, 5.0) == pytest.approx(7 / 6 * USUAL_S)


def test_own_requests_since_the_report_are_added():
    """Several requests were sent to the endpoint that looked free until its next answer."""
    times = EndpointTimes()
    times.record_load(EndpointLoad(5, 0, 6), 5.0)
    times.sent_since = 3
    assert times.wait_s(3, 6, USUAL_S, 5.0) == pytest.approx(3 / 6 * USUAL_S)


def test_a_report_is_worked_off_with_time():
    """A gateway without open requests would never send again."""
    times = EndpointTimes()
    times.record_load(EndpointLoad(6, 24, 6), 5.0)
    assert times.wait_s(0, 6, USUAL_S, 9.0) == 0.0


def test_the_reported_slowdown_fades():
    times = EndpointTimes()
    times.record_load(EndpointLoad(1, 0, 6, 250), 5.0)
    assert times.work_s(USUAL_S, 5.0) == pytest.approx(2.5 * USUAL_S)
    assert times.work_s(USUAL_S, 8.0) == pytest.approx(USUAL_S, rel=0.01)


def test_the_factor_follows_a_permanent_difference_and_not_single_answers():
    times = EndpointTimes()
    times.record_work(10 * USUAL_S, USUAL_S)
    assert times.factor < 1.2
    random = Random(3)
    for _ in range(500):
        times.record_work(USUAL_S * 2 * random.uniform(0.5, 1.5), USUAL_S)
    assert times.factor == pytest.approx(2.0, rel=0.15)


def test_the_usual_time_is_learned_from_the_first_answers():
    work = WorkTime()
    for _ in range(20):
        work.record(0.2)
    assert work.usual_s == pytest.approx(0.2, rel=0.2)


def test_answers_that_waited_do_not_raise_the_usual_time_much():
    """The time of work seemed to grow with the load, so callers were refused with slots free."""
    work = WorkTime()
    random = Random(2)
    for _ in range(500):
        work.record(USUAL_S * random.uniform(0.6, 1.4) * (3.0 if random.random() < 0.25 else 1.0))
    assert work.usual_s == pytest.approx(USUAL_S, rel=0.25)
