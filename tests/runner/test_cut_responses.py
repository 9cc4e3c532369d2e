"""An engine's response that ends early: which runs of samples may then count as complete."""

from __future__ import annotations

from random import Random

import pytest
from msgspec.structs import replace

from tests.runner.cutting_engine import (
    EVENTS,
    Frame,
    Plan,
    check,
    client_of,
    event_ends,
    new_table,
    response,
    run_to_end,
    submit,
    text_of,
    whole_text,
)
from threadramp.core.lot_tracker import RunOutcome
from threadramp.fleet.clock import Clock
from threadramp.report.metrics import Metrics
from threadramp.runner import sample_run
from threadramp.runner.sample_run import SampleRun

RESUMED_AFTER = 2

FRAMES = pytest.mark.parametrize("frame", list(Frame), ids=lambda frame: frame.value)
ENDS = pytest.mark.parametrize("resets", [False, True], ids=["closed", "reset"])
STARTS = pytest.mark.parametrize("after", [0, RESUMED_AFTER], ids=["first", "resumed"])


# Guards against a text that is listed without its last events: a close was taken for its end.
@STARTS
@ENDS
@FRAMES
@pytest.mark.usefixtures("has_not_crashed")
def test_a_response_that_ends_early_completes_no_text(engine_of, frame, resets, after):
    """Each byte of the first response is its last one once; the responses after it are whole."""
    size = len(response("s", after, frame))
    cut = 0

    def plan(number: int, asked_after: int) -> Plan:
        is_first = asked_after == after and number == first
        return Plan(frame, cut=cut, resets=resets) if is_first else Plan(frame)

    cutting = engine_of(plan)
    engine, table = client_of(cutting), new_table()
    for cut in range(size):  # noqa: B007
        first = len(cutting.requests)
        table.runs.clear()
        run = submit(table, "s", after)
        run_to_end(engine, table, run)
        check(run, "s")


# Guards against the same where each response of an engine ends at the same event.
@STARTS
@ENDS
@pytest.mark.parametrize("sent", [1, 2, 3])
@pytest.mark.usefixtures("has_not_crashed")
def test_responses_that_all_end_early_add_up_to_the_whole_text(engine_of, sent, resets, after):
    """The end of each has to be confirmed; a reset cuts the run, which is resumed elsewhere."""

    def plan(number: int, asked_after: int) -> Plan:
        ends = event_ends("s", asked_after)
        return Plan(Frame.NONE, cut=ends[min(sent, len(ends) - 1)], resets=resets)

    cutting = engine_of(plan)
    table = new_table()
    run = submit(table, "s", after)
    run_to_end(client_of(cutting), table, run)
    check(run, "s")
    assert run.outcome is (RunOutcome.CUT if resets else RunOutcome.COMPLETE)
    assert not resets or run.event_count == after + min(sent, EVENTS - after)


@STARTS
@FRAMES
@pytest.mark.parametrize("confirming", list(Frame), ids=lambda frame: frame.value)
def test_a_whole_text_is_complete_and_made_once(engine_of, frame, confirming, after):
    """Only a response without a length costs one more request, or two where none has a length."""
    cutting = engine_of(lambda number, _: Plan(confirming if number else frame))
    table = new_table()
    run = submit(table, "s", after)
    run_to_end(client_of(cutting), table, run)
    assert (run.outcome, run.events) == (RunOutcome.COMPLETE, whole_text("s", run))
    more = 0 if frame.is_framed else 1 if confirming.is_framed else 2
    assert cutting.requests == [after] + [EVENTS] * more
    assert cutting.connections == 1 + more
    assert cutting.made == dict.fromkeys(range(after + 1, EVENTS + 1), 1)


def drawn_plan(random: Random):
    """Return a plan of responses drawn by chance."""

    def plan(number: int, after: int) -> Plan:
        frame = random.choice(list(Frame))
        if random.random() < 0.1:
            return Plan(frame, status=503)
        if random.random() < 0.4:
            return Plan(frame)
        if frame is Frame.NONE and random.random() < 0.5:
            return Plan(frame, random.choice(event_ends("s", after)[1:] or [None]))
        whole = response("s", after, frame)
        cut = random.randrange(whole.index(b"\r\n\r\n") + 4, len(whole) + 1)
        return Plan(frame, cut, random.random() < 0.3)

    return plan


# Guards against any of these in a row, with the run put back in between.
@pytest.mark.parametrize("seed", range(8))
@pytest.mark.usefixtures("has_not_crashed")
def test_no_series_of_responses_completes_a_part_of_a_text(engine_of, seed):
    random = Random(seed)
    cutting = engine_of(drawn_plan(random))
    engine, table = client_of(cutting), new_table()
    outcomes = set()
    for _ in range(60):
        table.runs.clear()
        run = submit(table, "s", random.choice([0, 1, RESUMED_AFTER, EVENTS]))
        run_to_end(engine, table, run)
        check(run, "s")
        outcomes.add(run.outcome)
    assert RunOutcome.COMPLETE in outcomes


def start(engine, table, run) -> None:
    assert table.next_start() is run
    SampleRun(engine, table, run, Clock(), Metrics("t")).execute()


def ends_without_length(number: int, after: int) -> Plan:
    return Plan(Frame.NONE)


STOPS = {
    "its lot has ended": lambda table, run: table.drop({"s": 0}, let_finish=True),
    "the engine or the sidecar is leaving": lambda table, run: setattr(table, "accepting", False),
    "its gateway no longer polls": lambda table, run: setattr(run, "last_polled_at", 0.0),
}


# Guards against requests of ended lots (UNASKED) and to engines that take no new ones (DRAIN).
@pytest.mark.parametrize("stop", STOPS.values(), ids=STOPS)
def test_the_end_is_not_confirmed_once_the_run_may_not_be_sent(engine_of, stop):
    cutting = engine_of(ends_without_length)
    table = new_table()
    run = submit(table, "s")
    cutting.before_end = lambda number: stop(table, run)
    start(client_of(cutting), table, run)
    assert (run.outcome, run.events) == (RunOutcome.CUT, text_of("s"))
    assert cutting.requests == [0]


def test_a_run_that_was_cut_meanwhile_is_not_sent_again(engine_of):
    cutting = engine_of(ends_without_length)
    table = new_table()
    run = submit(table, "s")
    cutting.before_end = lambda number: table.cut_all()
    start(client_of(cutting), table, run)
    assert run.outcome is RunOutcome.CUT
    assert cutting.requests == [0]


WAITS = {
    "it is routed elsewhere": lambda engine, table: setattr(table, "configuration_revision", 2),
    "a cold engine has no room": lambda engine, table: setattr(
        engine.send_limit, "confirm", lambda taken_at, now: False
    ),
}


@pytest.mark.parametrize("wait", WAITS.values(), ids=WAITS)
def test_the_confirming_request_waits_as_any_request_does(engine_of, wait):
    cutting = engine_of(ends_without_length)
    engine, table = client_of(cutting), new_table()
    run = submit(table, "s")
    run.routed_at = 1
    cutting.before_end = lambda number: wait(engine, table)
    start(engine, table, run)
    assert (run.is_open, run.started, run.events) == (True, False, text_of("s"))
    assert cutting.requests == [0]


def test_a_confirming_request_that_is_rejected_is_sent_again(engine_of):
    """While the engine loads weights, say; the ends before it count on."""
    cutting = engine_of(lambda number, _: Plan(Frame.NONE, status=503 if number in (1, 3) else 200))
    table = new_table()
    run = submit(table, "s")
    run_to_end(client_of(cutting), table, run)
    assert (run.outcome, run.events) == (RunOutcome.COMPLETE, text_of("s"))
    assert cutting.requests == [0, EVENTS, EVENTS, EVENTS, EVENTS]


# Guards against a text that counts as whole since the kernel closed the killed engine's connection.
def test_an_engine_that_ends_behind_an_event_has_crashed(engine_of):
    cutting = engine_of(lambda number, _: Plan(Frame.NONE, cut=event_ends("s", 0)[2]))
    table = new_table()
    run = submit(table, "s")
    cutting.before_end = lambda number: cutting.close()
    start(client_of(cutting), table, run)
    assert (run.outcome, run.events) == (RunOutcome.CRASHED, text_of("s")[:2])


def test_an_engine_that_ends_behind_its_head_completes_no_text(engine_of):
    """One crash or cut right behind a head is no confirmation."""
    ends = event_ends("s", 2)
    cutting = engine_of(lambda number, after: Plan(Frame.NONE, cut=ends[0] if number < 2 else None))
    table = new_table()
    run = submit(table, "s", 2)
    run_to_end(client_of(cutting), table, run)
    assert (run.outcome, run.events) == (RunOutcome.COMPLETE, text_of("s")[2:])
    assert cutting.requests == [2, 2, 2, 4, 4]


# Guards against a text that ends since another run's connection was shut down: a cancelled run had
# returned its connection, and the next sample was already using it.
@FRAMES
def test_a_run_that_returned_its_connection_does_not_cancel_the_next_one(engine_of, frame):
    cancels = []
    half = event_ends("long", 0)[1] if frame is Frame.NONE else 200

    def plan(number: int, after: int) -> Plan:
        cancels.append(first.cancel)
        if number != 1:
            return Plan(Frame.CHUNKED)
        return Plan(frame, half, amid=cancels[0], behind=lambda whole: whole[half:])

    cutting = engine_of(plan)
    engine, table = client_of(cutting), new_table()
    first = submit(table, "a")
    start(engine, table, first)
    second = submit(table, "long")
    start(engine, table, second)
    assert (first.outcome, second.outcome) == (RunOutcome.COMPLETE, RunOutcome.COMPLETE)
    assert second.events == text_of("long")
    assert cutting.connections == (1 if frame.is_framed else 2)


# Guards against a text that ends early since its engine stops working at the deadline it was given.
def test_a_text_that_ends_after_the_engines_deadline_is_not_complete(engine_of, monkeypatch):
    monkeypatch.setattr(sample_run, "MIN_TIME_LEFT_S", 0.0)
    cutting = engine_of(lambda number, after: Plan(Frame.CHUNKED))
    table = new_table()
    run = submit(table, "s")
    run.order = replace(run.order, give_up_in_s=0.0)
    run_to_end(client_of(cutting), table, run)
    assert run.outcome is RunOutcome.CUT
