"""An engine that answers twice, as its sidecar asks for reports and gives orders."""

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


def is_sample(target: str, ident: str) -> bool:
    return bool(ident)


def is_report(target: str, ident: str) -> bool:
    return target.endswith("/report")


def run_sample(own_engine: Engine) -> None:
    """Run a sample at the engine and keep its connection."""
    exchange = own_engine.connections.acquire(own_engine.endpoint(), Clock().now(), 1.0)
    exchange.send("POST", "/p", SAMPLE, b"q")
    own_engine.keep(exchange, exchange.read(1.0))


def test_a_second_answer_of_a_sample_is_no_report(front, own_engine):
    """The engine counted as lost for a report."""
    front.stutter = Stutter(Second.WHOLE, Moment.AFTER_NEXT, concerns=is_sample)
    run_sample(own_engine)
    assert own_engine.read_report()


@pytest.mark.parametrize("second", list(Second))
@pytest.mark.parametrize("moment", list(Moment))
def test_an_engine_that_tells_twice_is_not_lost(front, own_engine, second, moment):
    front.stutter = Stutter(second, moment, concerns=is_report)
    assert [own_engine.read_report() for _ in range(6)] == [True] * 6


def test_a_second_answer_of_a_sample_does_not_say_that_a_version_is_held(front, own_engine):
    """It was taken for the answer to the order that the engine holds the version already."""
    front.stutter = Stutter(Second.WHOLE, Moment.AFTER_NEXT, concerns=is_sample)
    run_sample(own_engine)
    assert own_engine.order(LOAD, 1, 0, lambda: True) is OrderOutcome.TAKEN


@pytest.mark.parametrize("moment", list(Moment))
def test_a_second_report_is_not_taken_for_the_answer_to_an_order(front, own_engine, moment):
    front.stutter = Stutter(Second.WHOLE, moment, concerns=is_report)
    own_engine.read_report()
    own_engine.read_report()
    assert own_engine.order(LOAD, 1, 0, lambda: True) is OrderOutcome.TAKEN


def answer_once(engine, older) -> None:
    """Let an engine answer once as it did before."""
    now = engine.answer

    def answer(request):
        engine.answer = now
        return older

    engine.answer = answer


def answer_late(engine, times: int, after: int = 0) -> None:
    """Let an engine stand still before its next answers for longer than a report may take.

    :param times: the number of the last one that is late
    :param after: the number of those before that are in time
    """
    now = engine.answer
    left = iter(range(times))

    def answer(request):
        if next(left, -1) >= after:
            time.sleep(REPORT_TIMEOUT_S + 0.1)
        return now(request)

    engine.answer = answer


def test_one_pause_does_not_make_an_engine_lost(engine, own_engine):
    """A box that stood still for some tenths of a second got no samples until the next report."""
    assert own_engine.read_report()
    own_engine.forget_connections()
    answer_late(engine, 1)
    assert own_engine.read_report()


def test_one_pause_after_a_mixed_answer_does_not_make_an_engine_lost(front, engine, own_engine):
    """The question after a duplicate amid the report was the only one that a pause could meet."""
    front.stutter = Stutter(Second.WHOLE, Moment.AMID, concerns=is_report)
    assert own_engine.read_report()
    answer_late(engine, 2, after=1)
    assert own_engine.read_report()


@pytest.mark.parametrize("is_kept", [True, False])
def test_an_engine_that_stays_silent_is_lost_after_two_questions(
    front, engine, own_engine, is_kept
):
    """To ask once more must not hide that nothing answers."""
    assert own_engine.read_report()
    if not is_kept:
        own_engine.forget_connections()
    answer_late(engine, 9)
    opened = front.opened
    assert not own_engine.read_report()
    assert own_engine.report is None
    assert front.opened - opened == (1 if is_kept else 2)


def test_an_engine_that_is_lost_is_asked_once_a_turn(front, engine, own_engine):
    """Asked twice each time, one that comes back would be seen later."""
    answer_late(engine, 9)
    assert not own_engine.read_report()
    opened = front.opened
    assert not own_engine.read_report()
    assert front.opened - opened == 1


@pytest.fixture
def older_report(engine, own_engine):
    """What the engine said of itself before it took an order and changed its version."""
    own_engine.read_report()
    older = engine.answer(Request("GET", ("threadramp", "report"), {}, {}, b""))
    engine.orders.append({})
    engine.versions["m"] = 2
    own_engine.read_report()
    return older


def test_an_older_report_that_comes_again_is_no_new_start(engine, own_engine, older_report):
    """Its lower count was taken for a start of which nothing of before is known."""
    starts = []
    own_engine.on_start = lambda: starts.append(own_engine.start)
    answer_once(engine, older_report)
    assert own_engine.read_report()
    assert (own_engine.report.orders, own_engine.report.versions) == (1, {"m": 2})
    assert starts == []


def test_what_falls_on_a_new_connection_too_is_believed(front, engine, own_engine, older_report):
    engine.versions["m"] = 1
    own_engine.read_report()
    assert front.opened == 2
    assert own_engine.report.versions == {"m": 1}


def test_reports_use_one_connection_and_each_order_another(front, own_engine):
    for _ in range(5):
        own_engine.read_report()
    assert front.opened == 1
    own_engine.order(LOAD, 1, 0, lambda: True)
    own_engine.read_report()
    assert front.opened == 2


def test_samples_do_not_take_the_connection_of_reports(front, own_engine):
    own_engine.read_report()
    run_sample(own_engine)
    assert front.opened == 2
