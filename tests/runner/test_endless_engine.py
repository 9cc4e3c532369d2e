"""A sidecar whose engine sends bytes without end."""

from __future__ import annotations

import pytest

from tests.endless import EVENTS, HEADS, SOME, assert_was_stopped, result_within
from tests.runner.test_runs import order
from tests.runner.test_weight_loader import facts
from threadramp.core.lot_tracker import RunOutcome
from threadramp.fleet.clock import Clock
from threadramp.fleet.model import WeightTarget
from threadramp.lots.model import Sample
from threadramp.platform.engine import OrderOutcome
from threadramp.platform.standins.endless import EndlessServer
from threadramp.report.metrics import Metrics
from threadramp.runner import sample_run
from threadramp.runner.engine import Engine
from threadramp.runner.runs import RunTable
from threadramp.runner.sample_run import SampleRun


@pytest.fixture
def engine_of(monkeypatch):
    """Make the client of an engine that sends bytes without end."""
    monkeypatch.setattr("threadramp.runner.engine.REPORT_TIMEOUT_S", 0.1)
    monkeypatch.setattr("threadramp.runner.engine.ORDER_TIMEOUT_S", 0.1)
    servers = []

    def make(*args) -> tuple[EndlessServer, Engine]:
        servers.append(EndlessServer(*args))
        engine = Engine(servers[-1].address, "p", "box-1", Clock())
        engine.update_facts(facts())
        return servers[-1], engine

    yield make
    for server in servers:
        server.close()


def run_sample(engine: Engine):
    table = RunTable(Clock().now)
    table.slots = 1
    table.accepting = True
    sample = Sample("req", "/p", (("X-Model", "m"),), b"q", 100, "g", None, 10)
    table.submit((order("req", sample=sample),))
    started = table.next_start()
    SampleRun(engine, table, started, Clock(), Metrics("t")).execute()
    return started


@pytest.mark.parametrize("slow", [False, True], ids=["fast", "slow"])
@pytest.mark.parametrize("kind", HEADS)
def test_a_sample_is_cut_if_the_head_never_ends(engine_of, kind, slow):
    server, engine = engine_of(kind, slow)
    run = result_within(sample_run.HEAD_TIMEOUT_S, lambda: run_sample(engine))
    assert (run.outcome, run.events) == (RunOutcome.CUT, [])
    assert_was_stopped(server)


@pytest.mark.parametrize("slow", [False, True], ids=["fast", "slow"])
@pytest.mark.parametrize("kind", EVENTS)
def test_a_sample_is_cut_behind_its_last_whole_event(engine_of, monkeypatch, kind, slow):
    """Slow bytes held its slot as long as they came; fast ones filled the sidecar's memory."""
    monkeypatch.setattr(sample_run, "STREAM_IDLE_TIMEOUT_S", 0.3)
    server, engine = engine_of(kind, slow, 2)
    run = result_within(0.3, lambda: run_sample(engine))
    assert (run.outcome, run.events) == (RunOutcome.CUT, ["req-1", "req-2"])
    assert_was_stopped(server)


@pytest.mark.parametrize("slow", [False, True], ids=["fast", "slow"])
@pytest.mark.parametrize("kind", SOME)
def test_a_report_without_end_counts_as_no_report(engine_of, kind, slow):
    """The loop that asks for reports gives the orders as well."""
    server, engine = engine_of(kind, slow)
    assert not result_within(0.4, engine.read_report)
    assert_was_stopped(server)


@pytest.mark.parametrize("slow", [False, True], ids=["fast", "slow"])
@pytest.mark.parametrize("kind", SOME)
def test_the_outcome_of_an_order_is_unknown(engine_of, kind, slow):
    server, engine = engine_of(kind, slow)
    target = WeightTarget("m", 2, 1)
    outcome = result_within(0.2, lambda: engine.send_order(target, 1, 0, lambda: True))
    assert outcome is OrderOutcome.UNKNOWN
    assert_was_stopped(server)
