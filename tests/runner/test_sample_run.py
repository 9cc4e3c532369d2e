"""Which response a sample accepts from an engine that sends duplicates."""

from __future__ import annotations

import pytest

from tests.runner.test_runs import order
from threadramp.core.lot_tracker import RunOutcome
from threadramp.fleet.clock import Clock
from threadramp.lots.model import Sample
from threadramp.platform.standins.stuttering import Moment, Second, Stutter
from threadramp.report.metrics import Metrics
from threadramp.runner import sample_run
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
