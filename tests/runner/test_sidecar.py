"""How a sidecar starts samples."""

from __future__ import annotations

import threading
import time
from types import SimpleNamespace

import pytest

import threadramp.runner.sidecar as sidecar_module
from tests.runner.test_runs import order
from tests.runner.test_weight_loader import facts
from threadramp.fleet.clock import Clock
from threadramp.lots.model import Sample
from threadramp.report.metrics import Metrics
from threadramp.runner.engine import Engine
from threadramp.runner.runs import QUIET_S, RunTable
from threadramp.runner.sidecar import Sidecar


class LateThread:
    """A thread that was made and does not run yet."""

    made: list[LateThread] = []

    def __init__(self, target, args=(), **how) -> None:
        self.run = lambda: target(*args)
        LateThread.made.append(self)

    def start(self) -> None:
        return


@pytest.fixture
def late_threads(monkeypatch) -> list[LateThread]:
    monkeypatch.setattr(LateThread, "made", [])
    stub = SimpleNamespace(Thread=LateThread, Event=threading.Event)
    monkeypatch.setattr(sidecar_module, "threading", stub)
    return LateThread.made


@pytest.fixture
def table(clock) -> RunTable:
    made = RunTable(clock.now)
    made.slots = 2
    made.accepting = True
    return made


@pytest.fixture
def starting(engine_address, table, late_threads):
    """A sidecar that starts samples in threads which stand still."""
    engine = Engine(engine_address, "p", "box-1", Clock())
    engine.learn(facts())
    sidecar = Sidecar(None, engine, None, table, None, Clock(), Metrics("t"))
    loop = threading.Thread(target=sidecar._start_loop, daemon=True)
    loop.start()
    yield sidecar
    sidecar.stopped.set()
    loop.join()


def wait_until(done, timeout_s: float = 5.0) -> None:
    until = time.monotonic() + timeout_s
    while not done():
        assert time.monotonic() < until
        time.sleep(0.01)


def test_a_thread_that_stood_still_brings_nothing_once_its_sample_was_begun_anew(
    starting, table, clock, engine, late_threads
):
    """It took itself for the one that was started last, so two streams made one text.

    Found by reading. Proof: without the mend the first thread runs the sample as well.
    """
    sample = Sample("a", "/p", (("X-Model", "m"),), b"q", 100, "g", None, 10)
    table.submit((order("a", sample=sample),))
    wait_until(lambda: len(late_threads) == 1)
    clock.at += 2 * QUIET_S
    assert table.begin_anew() == ["a"]
    wait_until(lambda: len(late_threads) == 2)
    first, second = late_threads
    first.run()
    assert engine.runs == []
    second.run()
    assert table.runs["a"].events == [f"a-{number}" for number in range(1, 6)]
