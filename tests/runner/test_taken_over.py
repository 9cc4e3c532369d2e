"""The look at how long an engine has answered, by the next process of a box that took the right."""

from __future__ import annotations

import time

from tests.runner.test_weights import facts
from tests.stores import MemoryStore
from threadramp.fleet.clock import Clock
from threadramp.runner.engine import Engine
from threadramp.runner.order_right import order_right
from threadramp.runner.weights import ANSWERS_S, Weights

APART_S = 3.0


def test_the_next_process_of_a_box_waits_for_an_engine_as_the_one_before(
    engine, engine_address, clock
):
    """The engine has just come back and may still come to the order of the holder before.

    The process that took the right over waits for that; one that begins behind its wait (a
    restart, or a runner that its gateway gave up and hosts anew) finds the right without a wait,
    holds it for its own from ever on, and orders with the engine's first answer.
    """
    store = MemoryStore()
    for holder in ("side", "front"):
        order_right(store, engine_address, holder, APART_S, clock).verified_token()
    clock.at += 10.0
    front = order_right(store, engine_address, "front", APART_S, clock)
    front.verified_token()
    clock.at += 10.0
    assert front.verified_token()  # its wait is over, it has not ordered yet
    again = order_right(store, engine_address, "front", APART_S, clock)
    mine = Engine(engine_address, "p", "front", Clock())
    mine.learn(facts(version=2))
    weights = Weights(mine, Clock(), again)
    began = time.monotonic()
    while not engine.arrived:
        mine.read_report()
        weights.turn()
        time.sleep(0.02)
        assert time.monotonic() - began < 5.0
    assert time.monotonic() - began >= ANSWERS_S
