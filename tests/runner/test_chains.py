"""Gateways and sidecars together, with answers lost, late and crossed: texts are never mixed.

Each run of the engine names its events after itself. A text is right if every event is there once,
in order, and if it goes on with another run only where that run was asked to go on.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from random import Random

import pytest

from tests.conftest import FakeClock
from tests.core.test_lot_book import make_book, make_sample
from threadramp.core.lot_book import Phase, RunOutcome
from threadramp.runner.runs import RunTable
from threadramp.wire.runner import RunOrder

SAMPLES = 3
LENGTH = 6
STEPS = 400


@dataclass
class Engine:
    """The runs of one engine, with where each was asked to begin."""

    name: str
    clock: FakeClock
    asked: dict[str, int]
    table: RunTable = None
    runs: list = field(default_factory=list)

    def __post_init__(self):
        self.table = RunTable(self.clock.now)
        self.table.slots = SAMPLES
        self.table.accepting = True

    def start(self) -> None:
        while (run := self.table.next_start()) is not None:
            name = f"{self.name}.{len(self.asked)}"
            self.asked[name] = run.count
            self.runs.append((run, run.life, name))

    def work(self, random: Random) -> None:
        for run, life, name in list(self.runs):
            if run.life != life or not run.is_open:
                self.runs.remove((run, life, name))
            elif run.count == LENGTH:
                self.table.finish(run, life, RunOutcome.WHOLE)
            elif random.random() < 0.05:
                self.table.finish(run, life, random.choice([RunOutcome.CUT, RunOutcome.FAILED]))
            else:
                self.table.add_event(run, life, f"{name}:{run.count + 1}", 1)

    def restart(self) -> None:
        self.runs.clear()
        self.__post_init__()


class Gateway:
    """A lot's owner whose messages may be lost, late or crossed."""

    def __init__(self, name: str, random: Random):
        self.name = name
        self.random = random
        self.book = make_book(*[make_sample(f"s{n}", "g", reward=None) for n in range(SAMPLES)])
        self.book.rules = type(self.book.rules)(99, False, 7.5, 1e9)
        self.late: list = []
        self.chains = 0

    def submit(self, engine: Engine) -> None:
        for state in self.book.waiting(1e9):
            if self.random.random() < 0.5:
                continue
            self.chains += 1
            name = state.sample.id
            order = RunOrder(
                state.sample, "h", 1, False, len(state.events),
                state.lineage if state.events else "", f"{self.name}/{self.chains}", 1.0, 40.0,
            )  # fmt: skip
            self.book.assign(name, engine.name)
            if self.random.random() < 0.1:  # it did not arrive
                self.book.give_back(name, engine.name, 0.0)
                continue
            taken = engine.table.submit((order,))
            if name not in taken or self.random.random() < 0.1:  # refused, or its answer was lost
                self.book.give_back(name, engine.name, 0.0)
            else:
                self.book.accepted(name, engine.name, taken[name])

    def ask(self, engine: Engine) -> None:
        reply = engine.table.collect(self.book.at_runner(engine.name), 0.0, lambda: True)
        self.late.append((engine.name, reply))

    def hear(self) -> None:
        """Take one of the replies that are on their way, not always the first."""
        if not self.late:
            return
        runner, (updates, unknown) = self.late.pop(self.random.randrange(len(self.late)))
        for update in updates:
            added = self.book.add_events(
                update.sample, runner, update.base, update.events, update.versions, update.lineage
            )
            if added and update.outcome:
                self.book.run_ended(update.sample, runner, RunOutcome(update.outcome), 0.0)
            elif not added and update.sample in self.book.at_runner(runner):
                self.book.give_back(update.sample, runner, 0.0)
        for sample in unknown:
            self.book.give_back(sample, runner, 0.0)


def check(events: list[str], asked: dict[str, int]) -> None:
    before = None
    for place, event in enumerate(events):
        run, _, number = event.partition(":")
        assert int(number) == place + 1
        if before is not None and run != before:
            assert asked[run] == place, f"{run} was asked to go on at {asked[run]}: {events}"
        before = run


@pytest.mark.parametrize("seed", range(150))
def test_no_order_of_messages_mixes_texts(seed):
    random = Random(seed)
    clock = FakeClock()
    asked: dict[str, int] = {}
    engines = [Engine(name, clock, asked) for name in ("e1", "e2")]
    gateways = [Gateway(name, random) for name in ("g1", "g2")]
    for _ in range(STEPS):
        clock.at += 0.05
        engine = random.choice(engines)
        gateway = random.choice(gateways)
        act = random.random()
        if act < 0.25:
            gateway.submit(engine)
        elif act < 0.45:
            gateway.ask(engine)
        elif act < 0.65:
            gateway.hear()
        elif act < 0.68:
            gateway.book.lose_runner(engine.name, 0.0)
        elif act < 0.69:
            engine.restart()
        elif act < 0.72:
            engine.table.drop(gateway.book.at_runner(engine.name), let_finish=False)
        else:
            engine.start()
            engine.work(random)
        for one in gateways:
            for state in one.book.states.values():
                check(state.events, asked)
    whole = [
        state
        for gateway in gateways
        for state in gateway.book.states.values()
        if state.phase is Phase.STAGED
    ]
    assert whole, "nothing was finished: the test shows nothing"
    assert all(len(state.events) == LENGTH for state in whole)
