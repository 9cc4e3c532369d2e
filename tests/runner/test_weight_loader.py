"""Orders to an engine, tested against the stand-in engine."""

from __future__ import annotations

import time

import pytest

from threadramp.fleet.clock import Clock
from threadramp.fleet.model import WeightTarget
from threadramp.policy.load_schedule import LoadSchedule
from threadramp.runner import engine as engine_module
from threadramp.runner.engine import Engine
from threadramp.runner.weight_loader import BUFFERED_ORDER_S, WeightLoader
from threadramp.wire.runner import ANY_MODEL, Facts


class FakeLock:
    """An engine lock that is held under a given token."""

    def __init__(self, number: int = 10):
        self.fencing_token = number
        self.had_previous_holder = False
        self.proven = True

    def verified_token(self) -> int:
        return self.fencing_token

    def is_verified(self) -> bool:
        return self.proven

    def verified_ago_s(self) -> float:
        return 0.0


def facts(version: int = 0, revision: int = 10, instance: str = "i-1", **fields) -> Facts:
    targets = (WeightTarget("m", version, revision),) if version else ()
    return Facts(
        endpoints_revision=fields.pop("endpoints_revision", 1),
        instance=instance,
        slots=12,
        targets_revision=revision,
        targets=targets,
        share=fields.pop("share", LoadSchedule({"m": 0})),
        **fields,
    )


@pytest.fixture
def sidecar_engine(engine_address) -> Engine:
    made = Engine(engine_address, "p", "box-1", Clock())
    made.update_facts(facts())
    return made


def turn_until(weights: WeightLoader, done, timeout_s: float = 5.0) -> None:
    until = time.monotonic() + timeout_s
    while not done():
        assert time.monotonic() < until
        weights.engine.read_report()
        weights.run_once()
        time.sleep(0.01)


def test_a_version_stays_new_while_orders_are_blocked(sidecar_engine, engine):
    """A version was loaded only when the next one was published, 25 s and more later.

    It was published while the runner waited 5 s for the engine lock. After the wait it had been
    known for longer than a version counts as new, and an engine that is only one version behind is
    not brought up to date otherwise.
    """
    lock = FakeLock(number=0)
    weights = WeightLoader(sidecar_engine, Clock(), lock)
    sidecar_engine.update_facts(facts(version=2))
    until = time.monotonic() + LoadSchedule({"m": 0}).freshness_s(1) + 0.5
    turn_until(weights, lambda: time.monotonic() > until)
    lock.fencing_token = 10
    turn_until(weights, lambda: engine.versions["m"] == 2)
    assert len(engine.orders) == 1


def test_the_published_version_is_ordered_once(sidecar_engine, engine):
    weights = WeightLoader(sidecar_engine, Clock(), FakeLock())
    sidecar_engine.update_facts(facts(version=2))
    turn_until(weights, lambda: engine.versions["m"] == 2 and sidecar_engine.pending_order is None)
    for _ in range(5):
        sidecar_engine.read_report()
        weights.run_once()
    (order,) = engine.orders
    assert (order["version"], order["fence"], order["holder"]) == (2, 10, "box-1")
    assert sidecar_engine.is_ready


def test_an_order_without_a_response_is_not_repeated_if_it_was_accepted(sidecar_engine, engine):
    engine.faults["unanswered"] = 1
    weights = WeightLoader(sidecar_engine, Clock(), FakeLock())
    sidecar_engine.update_facts(facts(version=2))
    turn_until(weights, lambda: engine.versions["m"] == 2)
    time.sleep(0.6)  # longer than the pause between two orders
    sidecar_engine.read_report()
    weights.run_once()
    assert len(engine.orders) == 1


def test_orders_of_all_models_are_fenced_by_the_engine_lock(sidecar_engine, engine):
    """Fencing by each model's own revision let a lower token follow a higher one."""
    weights = WeightLoader(sidecar_engine, Clock(), FakeLock(110))
    targets = (WeightTarget("m", 5, 100),)
    share = LoadSchedule({"m": 0})
    sidecar_engine.update_facts(
        Facts(1, "i-1", slots=12, targets_revision=120, targets=targets, share=share)
    )
    turn_until(weights, lambda: engine.orders)
    assert engine.orders[0]["fence"] == 110


def test_no_order_is_sent_without_the_engine_lock(sidecar_engine, engine):
    lock = FakeLock(0)
    sidecar_engine.update_facts(facts(version=2, revision=40))
    weights = WeightLoader(sidecar_engine, Clock(), lock)
    sidecar_engine.read_report()
    weights.run_once()
    assert engine.orders == []
    assert sidecar_engine.is_ready  # samples continue meanwhile
    lock.fencing_token = 50
    turn_until(weights, lambda: engine.orders)
    assert engine.orders[0]["fence"] == 50


def test_an_engine_that_restarted_gets_no_orders_for_its_previous_incarnation(
    sidecar_engine, engine
):
    weights = WeightLoader(sidecar_engine, Clock(), FakeLock())
    engine.instance = "i-2"
    sidecar_engine.update_facts(facts(version=2))
    sidecar_engine.read_report()
    weights.run_once()
    assert engine.orders == []
    assert not sidecar_engine.is_ready
    sidecar_engine.update_facts(facts(version=2, instance="i-2", endpoints_revision=2))
    turn_until(weights, lambda: engine.orders)


def test_an_engine_waits_for_its_turn(sidecar_engine, engine, clock):
    weights = WeightLoader(sidecar_engine, clock, FakeLock())
    now = int(clock.time_of_day() + 0.5) % 4
    sidecar_engine.update_facts(
        facts(version=2, share=LoadSchedule({"m": 0}, turn=(now + 2) % 4, turns=4))
    )
    sidecar_engine.read_report()
    weights.run_once()
    clock.at += 1.5
    weights.run_once()
    assert engine.orders == []
    clock.at += 0.6
    weights.run_once()
    assert len(engine.orders) == 1


def test_an_urgent_load_does_not_wait_for_the_turn(sidecar_engine, engine, clock):
    weights = WeightLoader(sidecar_engine, clock, FakeLock())
    now = int(clock.time_of_day() + 0.5) % 4
    sidecar_engine.update_facts(
        facts(version=3, share=LoadSchedule({"m": 0}, turn=(now + 2) % 4, turns=4))
    )
    sidecar_engine.read_report()
    weights.request_urgent_load("m")
    weights.run_once()
    assert len(engine.orders) == 1


def test_only_the_loaded_model_is_reported_as_loading(sidecar_engine, engine, monkeypatch):
    # The order is answered while the load is in progress, however slow the stand-in is.
    monkeypatch.setattr(engine_module, "ORDER_TIMEOUT_S", 2.0)
    engine.faults["load_s"] = 5.0
    weights = WeightLoader(sidecar_engine, Clock(), FakeLock())
    sidecar_engine.update_facts(facts(version=2))
    turn_until(weights, lambda: engine.orders)
    assert sidecar_engine.is_ready
    assert sidecar_engine.loading_model == "m"


def test_an_order_of_an_earlier_process_may_concern_any_model(sidecar_engine, engine):
    sidecar_engine.send_order(WeightTarget("m", 2, 10), 10, 0, lambda: True)
    assert sidecar_engine.read_report()
    assert sidecar_engine.loading_model == ANY_MODEL


def test_older_facts_change_nothing(sidecar_engine):
    sidecar_engine.update_facts(facts(instance="i-9", endpoints_revision=9))
    sidecar_engine.update_facts(facts(instance="i-1", endpoints_revision=8))
    assert sidecar_engine.facts.instance == "i-9"


def test_an_engine_that_reports_that_it_is_leaving_accepts_no_samples(sidecar_engine, engine):
    """Gateways may have no current list of endpoints; the engine's own report is current."""
    assert sidecar_engine.read_report()
    assert sidecar_engine.is_ready
    engine.state = "draining"
    assert sidecar_engine.read_report()
    assert not sidecar_engine.is_ready


def test_an_order_is_not_sent_if_its_verification_expires_before_the_send(sidecar_engine, engine):
    """A process may be suspended at any point between the verification and the send."""
    lock = FakeLock()
    lock.proven = False
    sidecar_engine.update_facts(facts(version=2))
    weights = WeightLoader(sidecar_engine, Clock(), lock)
    until = time.monotonic() + 1.2
    turn_until(weights, lambda: time.monotonic() > until)
    assert engine.arrived == []
    lock.proven = True
    turn_until(weights, lambda: engine.versions["m"] == 2)


def test_a_shared_lock_sends_no_order_until_the_engine_has_answered_for_a_while(
    sidecar_engine, engine
):
    """A suspended engine may process the previous holder's order only when it resumes."""
    lock = FakeLock()
    lock.had_previous_holder = True
    sidecar_engine.update_facts(facts(version=2))
    weights = WeightLoader(sidecar_engine, Clock(), lock)
    began = time.monotonic()
    turn_until(weights, lambda: engine.arrived)
    assert time.monotonic() - began >= BUFFERED_ORDER_S


def test_an_order_uses_a_new_connection(sidecar_engine, engine):
    weights = WeightLoader(sidecar_engine, Clock(), FakeLock())
    sidecar_engine.update_facts(facts(version=2))
    sidecar_engine.read_report()
    pool = sidecar_engine.control_connections
    opened = pool.opened
    weights.run_once()
    assert len(engine.arrived) == 1
    assert pool.opened == opened + 1
    assert sum(len(row) for row in pool.idle.values()) == 1  # that of the report
    assert not sidecar_engine.connections.idle
