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
from threadramp.runner.runs import STALL_TIMEOUT_S, RunTable
from threadramp.runner.sidecar import Sidecar


class DelayedThread:
    """A thread that was created and does not run yet."""

    made: list[DelayedThread] = []

    def __init__(self, target, args=(), **options) -> None:
        self.run = lambda: target(*args)
        DelayedThread.made.append(self)

    def start(self) -> None:
        return


@pytest.fixture
def delayed_threads(monkeypatch) -> list[DelayedThread]:
    monkeypatch.setattr(DelayedThread, "made", [])
    stub = SimpleNamespace(Thread=DelayedThread, Event=threading.Event)
    monkeypatch.setattr(sidecar_module, "threading", stub)
    return DelayedThread.made


@pytest.fixture
def table(clock) -> RunTable:
    made = RunTable(clock.now)
    made.slots = 2
    made.accepting = True
    return made


@pytest.fixture
def running_sidecar(engine_address, table, delayed_threads):
    """A sidecar whose sample threads do not run until a test runs them."""
    engine = Engine(engine_address, "p", "box-1", Clock())
    engine.update_facts(facts())
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


def test_a_delayed_thread_does_nothing_once_its_sample_was_restarted(
    running_sidecar, table, clock, engine, delayed_threads
):
    """A delayed thread read the generation of the restarted run and ran the sample as well.

    The events of two streams were then mixed in one text.
    """
    sample = Sample("a", "/p", (("X-Model", "m"),), b"q", 100, "g", None, 10)
    table.submit((order("a", sample=sample),))
    wait_until(lambda: len(delayed_threads) == 1)
    clock.at += 2 * STALL_TIMEOUT_S
    assert table.restart_stalled() == ["a"]
    wait_until(lambda: len(delayed_threads) == 2)
    first, second = delayed_threads
    first.run()
    assert engine.runs == []
    second.run()
    assert table.runs["a"].events == [f"a-{number}" for number in range(1, 6)]
