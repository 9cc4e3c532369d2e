"""Any order of what may happen to one sample leads to the text that its engines generated.

Each run at an engine puts its own name into its events. A listed text has every event once and in
order up to the engine's last one, and continues with another run only at the event after which that
run was asked to resume.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from random import Random
from types import SimpleNamespace

import pytest

from tests.conftest import FakeClock
from tests.core.test_lot_tracker import make_book, make_sample
from threadramp.core.lot_tracker import LotTracker, Phase, RunOutcome
from threadramp.lots.checkpoints import join_records
from threadramp.lots.model import Result, SavedText
from threadramp.lots.partial_texts import PartialTexts
from threadramp.runner.runs import RunTable
from threadramp.wire.runner import RunOrder, RunUpdate

NAME = "a"
LENGTH = 6
STEPS = 1_500
SEEDS = 300
RUNNERS = ("s1", "s2")
NEVER_BREAKS = SimpleNamespace(random=lambda: 1.0)
BREAKS = (RunOutcome.CUT, RunOutcome.CRASHED, RunOutcome.FAILED)


class Sidecar:
    """A sidecar with an engine that names each of its runs.

    :param resumed_at: the number of events after which each run was asked to resume
    """

    def __init__(self, name: str, clock: FakeClock, resumed_at: dict[str, int]) -> None:
        self.name = name
        self.clock = clock
        self.resumed_at = resumed_at
        self.restart()

    def restart(self) -> None:
        self.table = RunTable(self.clock.now)
        self.table.slots = 1
        self.table.accepting = True
        self.running = None

    def work(self, random: Random) -> None:
        """Start the waiting run, or let the running one make an event, end or break."""
        if (run := self.table.next_start()) is not None:
            name = f"{self.name}.{len(self.resumed_at)}"
            self.resumed_at[name] = run.event_count
            self.running = (run, run.generation, name)
        if self.running is None:
            return
        run, generation, name = self.running
        if run.generation != generation or not run.is_open:
            self.running = None
        elif run.event_count == LENGTH:
            self.table.finish(run, generation, RunOutcome.COMPLETE)
        elif random.random() < 0.05:
            self.table.finish(run, generation, random.choice(BREAKS))
        else:
            self.table.add_event(run, generation, f"{name}:{run.event_count + 1}", 1)


@dataclass
class Submission:
    """An order on its way to a sidecar, or its answer on the way back.

    :param taken: what the sidecar answered, none if the order has not arrived there
    :param is_open: whether the gateway still waits for the answer
    """

    runner: str
    order: RunOrder
    assignment: int
    taken: dict[str, str] | None = None
    is_open: bool = True


@dataclass
class Gateway:
    """A gateway that owns a lot with the sample, or still believes that it does."""

    name: str
    random: Random
    sidecars: dict[str, Sidecar]
    tracker: LotTracker
    submissions: list[Submission] = field(default_factory=list)
    replies: list[tuple[str, list[RunUpdate], list[str]]] = field(default_factory=list)
    saved: list[SavedText] = field(default_factory=list)
    kept: PartialTexts = field(default_factory=PartialTexts)

    def assign(self, runner: str) -> None:
        for state in self.tracker.waiting(1e9):
            order = RunOrder(
                sample=state.sample,
                host="h",
                min_version=1,
                one_version=False,
                after=len(state.events),
                lineage=state.lineage if state.events else "",
                new_lineage=f"{self.random.getrandbits(48):x}",
                due=1.0,
                give_up_in_s=40.0,
            )
            assignment = self.tracker.assign(NAME, runner)
            self.submissions.append(Submission(runner, order, assignment))

    def deliver(self) -> None:
        """Move one order on: to its sidecar, back from it, or let the gateway stop waiting."""
        if not self.submissions:
            return
        one = self.random.choice(self.submissions)
        gives_up = self.random.random() < 0.2
        if one.is_open and gives_up:
            one.is_open = False
            self.tracker.return_to_queue(NAME, one.runner, 0.0, one.assignment)
        elif one.taken is None:
            one.taken = self.sidecars[one.runner].table.submit((one.order,))
        else:
            self.submissions.remove(one)
            if one.is_open and NAME in one.taken:
                self.tracker.accepted(NAME, one.runner, one.taken[NAME], one.assignment)
            elif one.is_open:
                self.tracker.return_to_queue(NAME, one.runner, 0.0, one.assignment)

    def poll(self) -> None:
        """Let a sidecar answer; the answer may come late, twice or never."""
        runner = self.random.choice(RUNNERS)
        have = self.tracker.event_counts_at(runner)
        table = self.sidecars[runner].table
        if self.random.random() < 0.15:
            table.drop(have, let_finish=self.random.random() < 0.5)
        updates, unknown = table.collect(have, 0.0, lambda: (True, "", 0))
        self.replies += [(runner, updates, unknown)] * self.random.choice((0, 1, 1, 1, 2))

    def receive(self) -> None:
        if not self.replies:
            return
        runner, updates, unknown = self.replies.pop(self.random.randrange(len(self.replies)))
        for one in updates:
            added = self.tracker.add_events(
                one.sample, runner, one.base, one.events, one.versions, one.lineage
            )
            if added and one.outcome:
                event_count = one.base + len(one.events)
                outcome = RunOutcome(one.outcome)
                self.tracker.run_ended(one.sample, runner, outcome, 0.0, event_count)
            elif not added and NAME in self.tracker.event_counts_at(runner):
                self.tracker.return_to_queue(NAME, runner, 0.0)
        for sample in unknown:
            self.tracker.return_to_queue(sample, runner, 0.0)

    def lose_runner(self) -> None:
        """Count a sidecar as lost, perhaps just before it answers and gets the sample again."""
        runner = self.random.choice(RUNNERS)
        self.tracker.lose_runner(runner, 0.0)
        if self.random.random() < 0.7:
            self.assign(runner)

    def save(self) -> None:
        """Write a checkpoint of the new events, as far as earlier ones are known to be written."""
        state = self.tracker.states[NAME]
        written = join_records(self.saved)
        base = len(written[0].events) if written and self.random.random() < 0.5 else 0
        if not state.is_open or len(state.events) <= base:
            return
        if base and tuple(state.events[:base]) != written[0].events:
            base = 0
        record = SavedText(
            NAME, base, tuple(state.events[base:]), tuple(state.versions[base:]), state.lineage
        )
        self.saved.append(record)

    def begin_next_lot(self) -> None:
        """End the lot; the sample comes back in another one."""
        self.kept.add(self.tracker)
        self.tracker.end()
        for runner, sidecar in self.sidecars.items():
            sidecar.table.drop(self.tracker.event_counts_at(runner), let_finish=True)
        if self.random.random() < 0.5:
            self.receive()  # an answer that was being processed when the lot ended
        self.start_lot()
        self.kept.apply_to(self.tracker)
        self.tracker.complete_prefilled(0.0)

    def take_over(self, records: list[SavedText]) -> None:
        """Continue from the records of another owner, some of which may be missing."""
        found = [one for one in records if self.random.random() < 0.8]
        self.start_lot()
        for text in join_records(found):
            self.tracker.prefill(NAME, text.events, text.versions, text.lineage)

    def start_lot(self) -> None:
        self.tracker = one_sample()
        self.submissions.clear()  # their threads belong to the tracker of the earlier lot
        self.saved = []


def one_sample() -> LotTracker:
    made = make_book(make_sample(NAME, "g", reward=None))
    made.rules = type(made.rules)(10**6, one_version=False, due=7.5, give_up_at=1e9)
    return made


def check_text(events: list[str], resumed_at: dict[str, int]) -> None:
    before = None
    for index, event in enumerate(events):
        run, _, number = event.partition(":")
        assert int(number) == index + 1, events
        if run != before:
            assert resumed_at[run] == index, f"{run} resumed after {resumed_at[run]}: {events}"
        before = run


def play(seed: int) -> list[Result]:
    """Return the results of a random interleaving, after a check of every text in it."""
    random = Random(seed)
    clock = FakeClock()
    resumed_at: dict[str, int] = {}
    sidecars = {name: Sidecar(name, clock, resumed_at) for name in RUNNERS}
    gateways = [Gateway(name, random, sidecars, one_sample()) for name in ("g1", "g2")]
    results = []
    for _ in range(STEPS):
        clock.at += 0.02
        gateway, other = random.sample(gateways, 2)
        action = random.random()
        if action < 0.08:
            gateway.assign(random.choice(RUNNERS))
        elif action < 0.22:
            gateway.deliver()
        elif action < 0.38:
            gateway.poll()
        elif action < 0.54:
            gateway.receive()
        elif action < 0.57:
            gateway.save()
        elif action < 0.61:
            gateway.lose_runner()
        elif action < 0.62:
            random.choice(list(sidecars.values())).restart()
        elif action < 0.63:
            gateway.begin_next_lot()
        elif action < 0.64:
            gateway.take_over(other.saved)
        else:
            random.choice(list(sidecars.values())).work(random)
        for one in gateways:
            state = one.tracker.states[NAME]
            assert len(state.events) == len(state.versions)
            check_text(state.events, resumed_at)
            if state.phase is Phase.STAGED:
                results.append(state.result)
                assert len(state.result.text.split("\n")) == LENGTH
                check_text(state.result.text.split("\n"), resumed_at)
                one.start_lot()
    return results


# Guards against a listed text that lacks events, has some twice or joins two runs.
@pytest.mark.parametrize("first", range(0, SEEDS, 50))
def test_any_interleaving_lists_whole_texts(first):
    results = [result for seed in range(first, first + 50) for result in play(seed)]
    assert len(results) > 50, "too few results, so little was checked"


# Guards against a text of two runs that resume after the same event: the first order's answer came
# when the sample was assigned again, and the second order arrived after its events.
def test_two_answers_to_orders_for_one_sidecar_do_not_join_their_runs():
    clock = FakeClock()
    resumed_at: dict[str, int] = {}
    sidecar = Sidecar("s1", clock, resumed_at)
    gateway = Gateway("g1", Random(1), {"s1": sidecar}, one_sample())

    def answer(one: Submission) -> None:
        gateway.tracker.accepted(NAME, "s1", one.taken[NAME], one.assignment)

    def run_and_collect(steps: int) -> None:
        for _ in range(steps):
            sidecar.work(NEVER_BREAKS)
        have = gateway.tracker.event_counts_at("s1")
        gateway.replies = [("s1", *sidecar.table.collect(have, 0.0, lambda: (True, "", 0)))]
        gateway.receive()

    gateway.assign("s1")
    (before,) = gateway.submissions
    before.taken = sidecar.table.submit((before.order,))
    answer(before)
    run_and_collect(2)
    gateway.tracker.lose_runner("s1", 0.0)
    sidecar.restart()
    gateway.assign("s1")
    gateway.tracker.lose_runner("s1", 0.0)
    gateway.assign("s1")
    _, first, second = gateway.submissions
    first.taken = sidecar.table.submit((first.order,))
    answer(first)
    run_and_collect(3)
    second.taken = sidecar.table.submit((second.order,))
    answer(second)
    run_and_collect(LENGTH + 1)
    state = gateway.tracker.states[NAME]
    assert state.phase is Phase.STAGED
    check_text(state.events, resumed_at)
