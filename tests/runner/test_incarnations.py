"""How a sidecar handles an engine that restarts under the same or another id."""

from __future__ import annotations

import pytest

from tests.runner.test_weight_loader import facts
from threadramp.fleet.clock import Clock
from threadramp.fleet.model import Incarnation, WeightTarget
from threadramp.runner.engine import Engine

LOAD = WeightTarget("m", 2, 10)


@pytest.fixture
def own_engine(engine_address) -> Engine:
    made = Engine(engine_address, "p", "box-1", Clock())
    made.update_facts(facts(born=1000))
    return made


def test_a_superseded_engine_is_confirmed_again_after_a_restart_under_its_id(own_engine):
    own_engine.read_report()
    own_engine.mark_superseded(Incarnation("i-1", 1000))
    assert not own_engine.is_confirmed
    own_engine.update_facts(facts(born=2000, endpoints_revision=2))
    assert own_engine.is_confirmed


def test_a_pending_order_ends_with_the_incarnation_that_accepted_it(own_engine, engine):
    engine.born = 1000
    own_engine.read_report()
    own_engine.pending_order = LOAD
    engine.start_again(born=2000)
    own_engine.read_report()
    assert own_engine.pending_order is None
    assert own_engine.incarnation == Incarnation("i-1", 2000)


def test_a_lower_order_count_is_a_new_incarnation_also_without_start_times(own_engine, engine):
    engine.orders.append({})
    own_engine.read_report()
    own_engine.pending_order = LOAD
    engine.start_again()
    own_engine.read_report()
    assert own_engine.pending_order is None


def test_on_new_incarnation_is_called_once_per_restart(own_engine, engine):
    notified = []
    own_engine.on_new_incarnation = lambda: notified.append(own_engine.incarnation)
    engine.born = 1000
    own_engine.read_report()
    assert notified == []
    engine.start_again(born=2000)
    own_engine.read_report()
    assert notified == [Incarnation("i-1", 2000)]


def test_gaps_and_connections_of_the_previous_incarnation_are_dropped(own_engine, engine):
    own_engine.read_report()
    own_engine.add_event_gap(0.16)
    assert own_engine.control_connections.idle
    own_engine.update_facts(facts(born=2000, endpoints_revision=2))
    assert own_engine.median_gap_ms() == 0.0
    assert not own_engine.control_connections.idle


def test_facts_about_an_older_incarnation_are_ignored(own_engine):
    own_engine.update_facts(facts(born=2000, endpoints_revision=2))
    own_engine.update_facts(facts(born=1000, endpoints_revision=3))
    own_engine.update_facts(facts(born=1000, endpoints_revision=1))
    assert own_engine.incarnation == Incarnation("i-1", 2000)


def test_a_report_of_an_older_incarnation_is_ignored(own_engine, engine):
    own_engine.update_facts(facts(born=2000, endpoints_revision=2))
    engine.born = 1000
    engine.versions["m"] = 7
    assert not own_engine.read_report()
    assert own_engine.report is None
