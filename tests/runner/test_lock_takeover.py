"""The wait for an engine to respond for a while, by a process that inherits an engine lock."""

from __future__ import annotations

import time

from tests.runner.test_weight_loader import facts
from tests.stores import MemoryStore
from threadramp.fleet.clock import Clock
from threadramp.runner.engine import Engine
from threadramp.runner.engine_lock import make_engine_lock
from threadramp.runner.weight_loader import BUFFERED_ORDER_S, WeightLoader

APART_S = 3.0


def test_the_next_process_of_a_box_waits_for_an_engine_like_the_previous_one(
    engine, engine_address, clock
):
    """The engine has just recovered and may yet process an order of the previous lock holder.

    The process that took the lock over waits for that. A process that starts on the same box after
    that wait (a restart, or a runner that its gateway stopped and hosts again) found the lock
    without a pending wait, treated it as never shared, and sent an order at the engine's first
    response.
    """
    store = MemoryStore()
    for holder in ("sidecar", "gateway"):
        make_engine_lock(store, engine_address, holder, APART_S, clock).verified_token()
    clock.at += 10.0
    gateway = make_engine_lock(store, engine_address, "gateway", APART_S, clock)
    gateway.verified_token()
    clock.at += 10.0
    assert gateway.verified_token()  # its wait is over, it has sent no order yet
    again = make_engine_lock(store, engine_address, "gateway", APART_S, clock)
    own_engine = Engine(engine_address, "p", "gateway", Clock())
    own_engine.update_facts(facts(version=2))
    weights = WeightLoader(own_engine, Clock(), again)
    began = time.monotonic()
    while not engine.arrived:
        own_engine.read_report()
        weights.run_once()
        time.sleep(0.02)
        assert time.monotonic() - began < 5.0
    assert time.monotonic() - began >= BUFFERED_ORDER_S
