"""Which response a sample accepts from an engine that sends duplicates."""

from __future__ import annotations

import threading

import msgspec
import pytest

from tests.edge.scripted_endpoint import LONG_BODY, Connection, ScriptedEndpoint
from tests.runner.test_runs import order
from tests.runner.test_weight_loader import facts
from threadramp.core.lot_tracker import RunOutcome
from threadramp.fleet.clock import Clock
from threadramp.lots.model import Sample
from threadramp.platform.standins.stuttering import Moment, Second, Stutter
from threadramp.report.metrics import Metrics
from threadramp.runner import sample_run
from threadramp.runner.engine import Engine
from threadramp.runner.runs import RunTable
from threadramp.runner.sample_run import SampleRun

FINISHED = (RunOutcome.COMPLETE, RunOutcome.CUT)


@pytest.fixture
def table() -> RunTable:
    made = RunTable(Clock().now)
    made.slots = 1
    made.accepting = True
    return made


@pytest.fixture
def run_one(own_engine, table, monkeypatch):
    # The result must not depend on how fast the stand-in answers.
    monkeypatch.setattr(sample_run, "HEAD_TIMEOUT_S", 1.0)

    def run(name: str):
        sample = Sample(name, "/p", (("X-Model", "m"),), b"q", 100, "g", None, 10)
        table.submit((order(name, sample=sample),))
        started = table.next_start()
        SampleRun(own_engine, table, started, Clock(), Metrics("t")).execute()
        return started

    return run


def own_text(name: str) -> list[str]:
    return [f"{name}-{number}" for number in range(1, 6)]


@pytest.mark.parametrize("second", list(Second))
@pytest.mark.parametrize("moment", list(Moment))
def test_a_sample_accepts_its_own_text_or_none(proxy, run_one, second, moment):
    """A duplicate that arrived after the next sample was sent was taken for its text."""
    proxy.stutter = Stutter(second, moment)
    assert run_one("a").events == own_text("a")
    for name in "bcd":
        run = run_one(name)
        assert run.outcome in FINISHED
        assert run.events == own_text(name)[: len(run.events)]
        assert run.outcome is RunOutcome.CUT or run.events == own_text(name)


def test_a_resubmitted_sample_does_not_accept_its_previous_text(proxy, table, run_one):
    """The duplicate has the right request id, but may be of an older weight version."""
    proxy.stutter = Stutter(Second.WHOLE, Moment.AFTER_NEXT)
    run_one("a")
    table.runs.clear()
    run_one("a")
    assert proxy.opened == 2


def test_samples_reuse_a_connection(proxy, run_one):
    for name in "abc":
        assert run_one(name).outcome is RunOutcome.COMPLETE
    assert proxy.opened == 1


def stream_one(connection: Connection) -> None:
    connection.answer(200, "Content-Type: text/event-stream\r\n", "id: 1\ndata: one\n\n")


def read_slowly(connection: Connection) -> None:
    """Read the body over more than the time to connect, then answer."""
    connection.begin()
    while connection.left:
        connection.read(1_000_000)
        threading.Event().wait(0.06)
    stream_one(connection)


def answer_early(connection: Connection) -> None:
    connection.begin()
    stream_one(connection)
    threading.Event().wait(1.0)
    connection.read(connection.left)


@pytest.mark.parametrize("script", [read_slowly, answer_early])
def test_a_sample_with_a_long_body_runs_once_and_keeps_its_text(table, monkeypatch, script):
    """Sending had the time to connect, and a text that came before the whole body was lost."""
    monkeypatch.setattr(sample_run, "HEAD_TIMEOUT_S", 1.0)
    made = ScriptedEndpoint(0, script)
    engine = Engine(made.endpoint.address, "p", "box-1", Clock())
    engine.update_facts(facts())
    sample = Sample("long", "/p", (("X-Model", "m"),), LONG_BODY, 100, "g", None, 10)
    table.submit((order("long", sample=sample),))
    run = table.next_start()
    SampleRun(engine, table, run, Clock(), Metrics("t")).execute()
    made.close()
    assert (run.outcome, run.events) == (RunOutcome.COMPLETE, ["one"])
    assert made.runs == ["long"]


# Guards against a queued sample that runs at an engine of another pool, which reuses the address.
def test_a_sample_is_not_sent_to_an_engine_of_another_pool(engine, own_engine, table):
    own_engine.update_facts(msgspec.structs.replace(facts(), endpoints_revision=99, pool="others"))
    sample = Sample("a", "/p", (("X-Model", "m"),), b"q", 100, "g", None, 10)
    table.submit((order("a", sample=sample, pool="engines"),))
    started = table.next_start()
    SampleRun(own_engine, table, started, Clock(), Metrics("t")).execute()
    assert engine.runs == []
    assert started.is_open
    assert not started.started
