"""Gateways and sidecars exchange lost, delayed and reordered messages; texts are never mixed.

Each run at an engine puts its own name into its events. A text is correct if it has every event
once and in order, and if it continues with another run only at the event after which that run was
asked to resume.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from random import Random

import pytest

from tests.conftest import FakeClock
from tests.core.test_lot_tracker import make_book, make_sample
from threadramp.core.lot_tracker import Phase, RunOutcome
from threadramp.runner.runs import RunTable
from threadramp.wire.runner import RunOrder

SAMPLES = 3
LENGTH = 6
STEPS = 400


@dataclass
class Engine:
    """The runs of one engine.

    :param resumed_at: number of events after which each run was asked to resume, by run
    """

    name: str
    clock: FakeClock
    resumed_at: dict[str, int]
    table: RunTable = None
    runs: list = field(default_factory=list)

    def __post_init__(self):
        self.table = RunTable(self.clock.now)
        self.table.slots = SAMPLES
        self.table.accepting = True

    def start(self) -> None:
        while (run := self.table.next_start()) is not None:
            name = f"{self.name}.{len(self.resumed_at)}"
            self.resumed_at[name] = run.event_count
            self.runs.append((run, run.generation, name))

    def produce(self, random: Random) -> None:
        for run, generation, name in list(self.runs):
            if run.generation != generation or not run.is_open:
                self.runs.remove((run, generation, name))
            elif run.event_count == LENGTH:
                self.table.finish(run, generation, RunOutcome.COMPLETE)
            elif random.random() < 0.05:
                self.table.finish(
                    run, generation, random.choice([RunOutcome.CUT, RunOutcome.FAILED])
                )
            else:
                self.table.add_event(run, generation, f"{name}:{run.event_count + 1}", 1)

    def restart(self) -> None:
        self.runs.clear()
        self.__post_init__()


class Gateway:
    """The owner of a lot; its messages may be lost, delayed or reordered."""

    def __init__(self, name: str, random: Random):
        self.name = name
        self.random = random
        self.book = make_book(*[make_sample(f"s{n}", "g", reward=None) for n in range(SAMPLES)])
        self.book.rules = type(self.book.rules)(99, False, 7.5, 1e9)
        self.in_flight: list = []
        self.lineages = 0

    def submit(self, engine: Engine) -> None:
        for state in self.book.waiting(1e9):
            if self.random.random() < 0.5:
                continue
            self.lineages += 1
            name = state.sample.id
            order = RunOrder(
                state.sample, "h", 1, False, len(state.events),
                state.lineage if state.events else "", f"{self.name}/{self.lineages}", 1.0, 40.0,
            )  # fmt: skip
            self.book.assign(name, engine.name)
            if self.random.random() < 0.1:  # the request was lost
                self.book.return_to_queue(name, engine.name, 0.0)
                continue
            taken = engine.table.submit((order,))
            if name not in taken or self.random.random() < 0.1:  # refused, or the reply was lost
                self.book.return_to_queue(name, engine.name, 0.0)
            else:
                self.book.accepted(name, engine.name, taken[name])

    def poll(self, engine: Engine) -> None:
        reply = engine.table.collect(self.book.event_counts_at(engine.name), 0.0, lambda: True)
        self.in_flight.append((engine.name, reply))

    def receive(self) -> None:
        """Process one of the replies in flight, in random order."""
        if not self.in_flight:
            return
        runner, (updates, unknown) = self.in_flight.pop(self.random.randrange(len(self.in_flight)))
        for update in updates:
            added = self.book.add_events(
                update.sample, runner, update.base, update.events, update.versions, update.lineage
            )
            if added and update.outcome:
                self.book.run_ended(update.sample, runner, RunOutcome(update.outcome), 0.0)
            elif not added and update.sample in self.book.event_counts_at(runner):
                self.book.return_to_queue(update.sample, runner, 0.0)
        for sample in unknown:
            self.book.return_to_queue(sample, runner, 0.0)


def check_text(events: list[str], resumed_at: dict[str, int]) -> None:
    before = None
    for index, event in enumerate(events):
        run, _, number = event.partition(":")
        assert int(number) == index + 1
        if before is not None and run != before:
            assert (
                resumed_at[run] == index
            ), f"{run} was asked to resume at {resumed_at[run]}: {events}"
        before = run


@pytest.mark.parametrize("seed", range(150))
def test_no_order_of_messages_mixes_texts(seed):
    random = Random(seed)
    clock = FakeClock()
    resumed_at: dict[str, int] = {}
    engines = [Engine(name, clock, resumed_at) for name in ("e1", "e2")]
    gateways = [Gateway(name, random) for name in ("g1", "g2")]
    for _ in range(STEPS):
        clock.at += 0.05
        engine = random.choice(engines)
        gateway = random.choice(gateways)
        action = random.random()
        if action < 0.25:
            gateway.submit(engine)
        elif action < 0.45:
            gateway.poll(engine)
        elif action < 0.65:
            gateway.receive()
        elif action < 0.68:
            gateway.book.lose_runner(engine.name, 0.0)
        elif action < 0.69:
            engine.restart()
        elif action < 0.72:
            engine.table.drop(gateway.book.event_counts_at(engine.name), let_finish=False)
        else:
            engine.start()
            engine.produce(random)
        for one in gateways:
            for state in one.book.states.values():
                check_text(state.events, resumed_at)
    finished = [
        state
        for gateway in gateways
        for state in gateway.book.states.values()
        if state.phase is Phase.STAGED
    ]
    assert finished, "no sample was finished, so nothing was checked"
    assert all(len(state.events) == LENGTH for state in finished)
