"""Reports and orders of an engine that sends duplicate responses or pauses."""

from __future__ import annotations

import time

import pytest

from threadramp.fleet.clock import Clock
from threadramp.fleet.model import WeightTarget
from threadramp.platform.engine import OrderOutcome
from threadramp.platform.standins.stuttering import Moment, Second, Stutter
from threadramp.runner.engine import REPORT_TIMEOUT_S, Engine
from threadramp.standins.server import Request

LOAD = WeightTarget("m", 2, 10)
SAMPLE = {"Host": "h", "X-Attempt-Id": "s1", "X-Model": "m"}


def is_sample(target: str, request_id: str) -> bool:
    return bool(request_id)


def is_report(target: str, request_id: str) -> bool:
    return target.endswith("/report")


def run_sample(own_engine: Engine) -> None:
    """Run a sample at the engine and return its connection to the pool."""
    exchange = own_engine.connections.acquire(own_engine.endpoint(), Clock().now(), 1.0)
    exchange.send("POST", "/p", SAMPLE, b"q")
    own_engine.release_connection(exchange, exchange.read(1.0))


def test_a_duplicate_response_to_a_sample_is_no_report(proxy, own_engine):
    """The duplicate was read as the report, and the engine was taken for lost."""
    proxy.stutter = Stutter(Second.WHOLE, Moment.AFTER_NEXT, concerns=is_sample)
    run_sample(own_engine)
    assert own_engine.read_report()


@pytest.mark.parametrize("second", list(Second))
@pytest.mark.parametrize("moment", list(Moment))
def test_an_engine_that_sends_duplicate_reports_is_not_lost(proxy, own_engine, second, moment):
    proxy.stutter = Stutter(second, moment, concerns=is_report)
    assert [own_engine.read_report() for _ in range(6)] == [True] * 6


def test_a_duplicate_response_to_a_sample_does_not_answer_an_order(proxy, own_engine):
    """It was read as the response to the order: the engine holds the version already."""
    proxy.stutter = Stutter(Second.WHOLE, Moment.AFTER_NEXT, concerns=is_sample)
    run_sample(own_engine)
    assert own_engine.send_order(LOAD, 1, 0, lambda: True) is OrderOutcome.TAKEN


@pytest.mark.parametrize("moment", list(Moment))
def test_a_duplicate_report_does_not_answer_an_order(proxy, own_engine, moment):
    proxy.stutter = Stutter(Second.WHOLE, moment, concerns=is_report)
    own_engine.read_report()
    own_engine.read_report()
    assert own_engine.send_order(LOAD, 1, 0, lambda: True) is OrderOutcome.TAKEN


def answer_once(engine, older) -> None:
    """Let an engine repeat an older response once."""
    normal_answer = engine.answer

    def answer(request):
        engine.answer = normal_answer
        return older

    engine.answer = answer


def answer_late(engine, times: int, after: int = 0) -> None:
    """Let an engine pause before its next responses for longer than the report timeout.

    :param times: number of next responses up to the last late one
    :param after: number of those that are still in time
    """
    normal_answer = engine.answer
    responses = iter(range(times))

    def answer(request):
        if next(responses, -1) >= after:
            time.sleep(REPORT_TIMEOUT_S + 0.1)
        return normal_answer(request)

    engine.answer = answer


def test_one_pause_does_not_make_an_engine_lost(engine, own_engine):
    """A box that paused for some tenths of a second got no samples until the next report."""
    assert own_engine.read_report()
    own_engine.close_idle_connections()
    answer_late(engine, 1)
    assert own_engine.read_report()


def test_one_pause_after_a_mixed_response_does_not_make_an_engine_lost(proxy, engine, own_engine):
    """The retry after a duplicate within the report was not repeated if a pause delayed it."""
    proxy.stutter = Stutter(Second.WHOLE, Moment.AMID, concerns=is_report)
    assert own_engine.read_report()
    answer_late(engine, 2, after=1)
    assert own_engine.read_report()


@pytest.mark.parametrize("is_reused", [True, False])
def test_an_engine_that_stays_unresponsive_is_lost_after_two_requests(
    proxy, engine, own_engine, is_reused
):
    """The retry must not hide that nothing answers."""
    assert own_engine.read_report()
    if not is_reused:
        own_engine.close_idle_connections()
    answer_late(engine, 9)
    opened = proxy.opened
    assert not own_engine.read_report()
    assert own_engine.report is None
    assert proxy.opened - opened == (1 if is_reused else 2)


def test_a_lost_engine_is_requested_once_per_pass(proxy, engine, own_engine):
    """With two requests in each pass, its recovery would be detected later."""
    answer_late(engine, 9)
    assert not own_engine.read_report()
    opened = proxy.opened
    assert not own_engine.read_report()
    assert proxy.opened - opened == 1


@pytest.fixture
def older_report(engine, own_engine):
    """The engine's report from before it accepted an order and changed its version."""
    own_engine.read_report()
    older = engine.answer(Request("GET", ("threadramp", "report"), {}, {}, b""))
    engine.orders.append({})
    engine.versions["m"] = 2
    own_engine.read_report()
    return older


def test_a_duplicate_of_an_older_report_is_no_new_incarnation(engine, own_engine, older_report):
    """Its lower order count was taken for a restart, and the engine's state was dropped."""
    incarnations = []
    own_engine.on_new_incarnation = lambda: incarnations.append(own_engine.incarnation)
    answer_once(engine, older_report)
    assert own_engine.read_report()
    assert (own_engine.report.orders, own_engine.report.versions) == (1, {"m": 2})
    assert incarnations == []


def test_a_report_that_regresses_on_a_new_connection_too_is_accepted(
    proxy, engine, own_engine, older_report
):
    engine.versions["m"] = 1
    own_engine.read_report()
    assert proxy.opened == 2
    assert own_engine.report.versions == {"m": 1}


def test_reports_use_one_connection_and_each_order_another(proxy, own_engine):
    for _ in range(5):
        own_engine.read_report()
    assert proxy.opened == 1
    own_engine.send_order(LOAD, 1, 0, lambda: True)
    own_engine.read_report()
    assert proxy.opened == 2


def test_samples_do_not_take_the_connection_of_reports(proxy, own_engine):
    own_engine.read_report()
    run_sample(own_engine)
    assert proxy.opened == 2
