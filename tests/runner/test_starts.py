"""An engine that starts again, under its id or another one, as its sidecar sees it."""

from __future__ import annotations

import pytest

from tests.runner.test_weights import facts
from threadramp.fleet.clock import Clock
from threadramp.fleet.model import Incarnation, WeightTarget
from threadramp.runner.engine import Engine

LOAD = WeightTarget("m", 2, 10)


@pytest.fixture
def own_engine(engine_address) -> Engine:
    made = Engine(engine_address, "p", "box-1", Clock())
    made.learn(facts(born=1000))
    return made


def test_a_start_that_was_over_may_come_back_under_its_id(own_engine):
    own_engine.read_report()
    own_engine.is_another(Incarnation("i-1", 1000))
    assert not own_engine.is_known
    own_engine.learn(facts(born=2000, endpoints_revision=2))
    assert own_engine.is_known


def test_a_pending_order_ends_with_the_start_that_took_it(own_engine, engine):
    engine.born = 1000
    own_engine.read_report()
    own_engine.ordered = LOAD
    engine.start_again(born=2000)
    own_engine.read_report()
    assert own_engine.ordered is None
    assert own_engine.start == Incarnation("i-1", 2000)


def test_a_count_that_falls_is_a_new_start_also_where_none_tells_its_birth(own_engine, engine):
    engine.orders.append({})
    own_engine.read_report()
    own_engine.ordered = LOAD
    engine.start_again()
    own_engine.read_report()
    assert own_engine.ordered is None


def test_what_runs_goes_on_anew_at_the_next_start(own_engine, engine):
    told = []
    own_engine.on_start = lambda: told.append(own_engine.start)
    engine.born = 1000
    own_engine.read_report()
    assert told == []
    engine.start_again(born=2000)
    own_engine.read_report()
    assert told == [Incarnation("i-1", 2000)]


def test_speed_and_connections_of_the_start_before_are_forgotten(own_engine, engine):
    own_engine.read_report()
    own_engine.add_gap(0.16)
    assert own_engine.report_connections.idle
    own_engine.learn(facts(born=2000, endpoints_revision=2))
    assert own_engine.gap_ms() == 0.0
    assert not own_engine.report_connections.idle


def test_an_older_start_that_is_told_late_changes_nothing(own_engine):
    own_engine.learn(facts(born=2000, endpoints_revision=2))
    own_engine.learn(facts(born=1000, endpoints_revision=3))
    own_engine.learn(facts(born=1000, endpoints_revision=1))
    assert own_engine.start == Incarnation("i-1", 2000)


def test_a_report_of_an_older_start_says_nothing(own_engine, engine):
    own_engine.learn(facts(born=2000, endpoints_revision=2))
    engine.born = 1000
    engine.versions["m"] = 7
    assert not own_engine.read_report()
    assert own_engine.report is None
