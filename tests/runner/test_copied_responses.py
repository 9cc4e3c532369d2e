"""A copy of a response behind it on the same connection: what a run of a sample takes of it."""

from __future__ import annotations

from random import Random

import pytest

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
    whole_text,
)
from threadramp.core.lot_tracker import RunOutcome

RESUMED_AFTER = 2

FRAMES = pytest.mark.parametrize("frame", list(Frame), ids=lambda frame: frame.value)
ENDS = pytest.mark.parametrize("resets", [False, True], ids=["closed", "reset"])
STARTS = pytest.mark.parametrize("after", [0, RESUMED_AFTER], ids=["first", "resumed"])


# Guards against a text that is never whole: the second copy was read as events of the text.
@STARTS
@pytest.mark.parametrize("share", [1.0, 0.5, 0.1])
@pytest.mark.parametrize("copied", [Frame.NONE, Frame.CHUNKED], ids=lambda frame: frame.value)
def test_a_copy_behind_a_response_without_a_length_is_not_read(engine_of, copied, share, after):
    def copy(whole: bytes) -> bytes:
        second = response("s", after, copied)
        return second[: int(len(second) * share)]

    cutting = engine_of(lambda number, _: Plan(Frame.NONE, behind=copy))
    table = new_table()
    run = submit(table, "s", after)
    run_to_end(client_of(cutting), table, run)
    assert (run.outcome, run.events) == (RunOutcome.COMPLETE, whole_text("s", run))
    assert cutting.requests == [after, EVENTS, EVENTS]


# Guards against an event of two texts: the copy of a response that ends early was read as its rest.
@STARTS
@FRAMES
@pytest.mark.parametrize("name", ["s", "long"])
@pytest.mark.usefixtures("has_not_crashed")
def test_a_copy_behind_a_cut_response_is_no_part_of_it(engine_of, name, frame, after):
    size = len(response(name, after, frame))
    cut = 0
    cutting = engine_of(
        lambda number, _: (
            Plan(frame, cut=cut, behind=lambda whole: whole) if number == first else Plan(frame)
        )
    )
    engine, table = client_of(cutting), new_table()
    head = response(name, after, frame).index(b"\r\n\r\n") + 4
    for cut in range(head, size, 1 if name == "s" else 7):  # noqa: B007
        first = len(cutting.requests)
        table.runs.clear()
        run = submit(table, name, after)
        run_to_end(engine, table, run)
        check(run, name)


def drawn_plan(random: Random):
    """Return a plan of responses drawn by chance, most of them whole."""

    def plan(number: int, after: int) -> Plan:
        frame = random.choice(list(Frame))
        if random.random() < 0.1:
            return Plan(frame, status=503)
        whole = response("s", after, frame)
        head = whole.index(b"\r\n\r\n") + 4
        if random.random() < 0.4:
            cut = None
        elif frame is Frame.NONE and random.random() < 0.5:
            cut = random.choice(event_ends("s", after)[1:] or [None])
        else:
            cut = random.randrange(head, len(whole) + 1) if len(whole) > head else None
        copy = response("s", random.choice([0, after]), frame)
        part = random.choice([b"", b"", copy, copy[: random.randrange(len(copy))]])
        return Plan(frame, cut, random.random() < 0.3, behind=lambda whole: part)

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
