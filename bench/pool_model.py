"""A pool of engines, trainers and their lots in virtual time, driven by the real decisions.

Engines have slots, a speed and weights that change by loads; trainers hand in a lot for each step
as soon as its version is named. What goes where, what moves, what is loaded when and which sample
goes first is decided by ``policy/`` and ``core/lot_tracker.py``. Seeded; a day takes about a
second.

Not in it: boxes that fail, the ways between them, the store. Figures of an event, a load and the
lengths are those of the third customer's sheet.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from math import exp
from random import Random
from typing import TYPE_CHECKING

from threadramp.core.lot_tracker import LotRules, LotTracker, Phase, RunOutcome
from threadramp.fleet.fleet_view import Member
from threadramp.lots.model import Lot, Sample
from threadramp.policy.load_schedule import (
    PublishedVersion,
    load_schedule,
    max_concurrent_loads,
    next_load,
)
from threadramp.policy.moves import RunningSample, samples_to_move
from threadramp.policy.sample_length import LengthEstimator
from threadramp.policy.sample_order import SampleOrder, WaitingSample
from threadramp.policy.sample_placement import RunnerView, choose_runner
from threadramp.policy.urgent_loads import engines_for_urgent_load
from threadramp.wire.runner import RunnerStatus

if TYPE_CHECKING:
    from collections.abc import Callable

    from threadramp.policy.load_schedule import LoadSchedule

TICK_S = 0.05
LOOK_EACH = 4  # ticks between two looks of a sidecar at its engine
TURN_EACH = 2  # ticks between two turns of a gateway
LOAD_S = 0.9
SLOTS = 12
GAP_MS = 38.5
TOKENS_AN_EVENT = 52
EVERY_S = 4.0
DUE_S = 7.5
OPEN_LOTS = 2
LONGEST = 187
SPREAD = 0.9  # of the logarithm of a length
TAIL = 0.08  # share of samples that are five times as long
READ_S = 0.4  # from the last listing until the trainer ends a lot: it asks twice a second
DAY_S = 48.0


@dataclass(frozen=True)
class Switches:
    """Which mechanisms are on.

    :param loads: chooses what an engine begins to load now
    :param others_run: whether samples of other models run while one is loaded
    :param order: of all waiting samples, none if each trainer's gateway places its own in turn
    """

    loads: Callable[[Engine, list[PublishedVersion], Pool], PublishedVersion | None]
    others_run: bool = True
    moves: bool = True
    hurry: bool = True
    order: SampleOrder | None = None


@dataclass(frozen=True)
class Spell:
    """For how long an engine is slower, and how much."""

    begins: float
    ends: float
    slower: float


@dataclass
class Engine:
    """One engine and what its sidecar knows."""

    rank: int
    gap_ms: float
    versions: dict[str, int]
    loading: tuple[str, int] | None = None
    left_s: float = 0.0
    hurried: str = ""
    loads: int = 0
    seen: dict[str, tuple[int, float]] = field(default_factory=dict)
    spell: Spell | None = None

    def gap_at(self, now: float) -> float:
        """Return the milliseconds between two events."""
        slow = self.spell is not None and self.spell.begins <= now < self.spell.ends
        return self.gap_ms * (self.spell.slower if slow else 1.0)

    @property
    def name(self) -> str:
        """Return its sidecar's name."""
        return f"s{self.rank:03}"


@dataclass
class Trainer:
    """One trainer: a lot for each step, two at a time, the next version after each.

    :param guess: what it says of the length of every sample, none if it guesses as users do
    """

    model: str
    groups: int
    size: int
    events: float
    train_s: float
    guess: int | None = None
    version: int = 1
    step: int = 0
    lots: list[OpenLot] = field(default_factory=list)
    names_at: list[float] = field(default_factory=list)
    took_s: list[float] = field(default_factory=list)
    waits_s: list[float] = field(default_factory=list)
    behind_s: float = 0.0
    lengths: LengthEstimator = field(default_factory=LengthEstimator)


@dataclass
class OpenLot:
    """A lot, the true lengths of its samples and how far each is."""

    book: LotTracker
    at: float
    lengths: dict[str, int]
    done: dict[str, float] = field(default_factory=dict)
    first_run: dict[str, float] = field(default_factory=dict)


@dataclass(frozen=True)
class DayFigures:
    """What a day came to.

    :param steps: asked, over all trainers
    :param lot_s: mean time of a lot
    :param wait_s: mean time before a lot's longest sample ran first
    :param behind_s: of the trainer that is furthest behind at the end
    :param loads: of weights
    """

    steps: int
    lot_s: float
    wait_s: float
    behind_s: float
    loads: int


class Pool:
    """All of it."""

    def __init__(
        self, engines: list[Engine], trainers: list[Trainer], switches: Switches, seed: int
    ) -> None:
        self.engines = engines
        self.trainers = trainers
        self.switches = switches
        self.random = Random(seed)
        self.offset = self.random.random() * 4  # of the turns by the clock
        self.now = 0.0
        self.moves = 0
        self.views = {one.name: RunnerView(_member(one)) for one in engines}

    def play(self, day_s: float = DAY_S) -> DayFigures:
        """Play a day."""
        for tick in range(int(day_s / TICK_S)):
            self.now = tick * TICK_S
            for trainer in self.trainers:
                self._train(trainer)
            self._load()
            if tick % LOOK_EACH == 0:
                self._order()
            if tick % TURN_EACH == 0:
                if self.switches.order is not None:
                    self._place_in_order(self.switches.order)
                for trainer in self.trainers:
                    self._turn(trainer)
            self._run()
        return self._figures()

    def share(self, engine: Engine) -> LoadSchedule:
        """Return what one engine loads."""
        models = [one.model for one in self.trainers]
        return load_schedule(engine.rank, len(self.engines), models)

    def _figures(self) -> DayFigures:
        took = [seconds for one in self.trainers for seconds in one.took_s]
        waits = [seconds for one in self.trainers for seconds in one.waits_s]
        return DayFigures(
            steps=sum(one.step for one in self.trainers),
            lot_s=sum(took) / max(1, len(took)),
            wait_s=sum(waits) / max(1, len(waits)),
            behind_s=max(one.behind_s for one in self.trainers),
            loads=sum(one.loads for one in self.engines),
        )

    def _train(self, trainer: Trainer) -> None:
        """End lots, name versions, hand in the next lot."""
        for lot in [one for one in trainer.lots if self._is_enough(one)]:
            trainer.lots.remove(lot)
            trainer.took_s.append(self.now + READ_S - lot.at)
            trainer.names_at.append(self.now + READ_S + trainer.train_s)
            lot.book.end()
        for at in [at for at in trainer.names_at if at <= self.now]:
            trainer.names_at.remove(at)
            trainer.version += 1
        due = trainer.step * EVERY_S
        named = trainer.step < OPEN_LOTS or trainer.version >= trainer.step
        if self.now >= due and named and len(trainer.lots) < OPEN_LOTS:
            trainer.behind_s = self.now - due
            trainer.lots.append(self._hand_in(trainer))
            trainer.step += 1

    def _hand_in(self, trainer: Trainer) -> OpenLot:
        samples = []
        lengths = {}
        for group in range(trainer.groups):
            for place_in_group in range(trainer.size):
                name = f"{trainer.model}-{trainer.step}-{group}-{place_in_group}"
                lengths[name] = self._length(trainer.events)
                guess = self._guess(trainer, lengths[name])
                samples.append(Sample(name, "/", (), b"", 9000, str(group), None, guess))
        wanted = int(0.9 * trainer.groups)
        minimum = max(1, trainer.step - 1)
        lot = Lot("lot", "h", "/", trainer.step, trainer.model, minimum, wanted, tuple(samples))
        rules = LotRules(3, False, self.now + DUE_S, self.now + 40)
        return OpenLot(LotTracker(lot, rules, lengths=trainer.lengths), self.now, lengths)

    def _guess(self, trainer: Trainer, length: int) -> int:
        """Return a guess in tokens that is right in the median but often far off."""
        usual = int(length * TOKENS_AN_EVENT * exp(self.random.gauss(0, 0.5)))
        return usual if trainer.guess is None else trainer.guess

    def _length(self, mean: float) -> int:
        long = 5.0 if self.random.random() < TAIL else 1.0
        drawn = mean * long * exp(self.random.gauss(-(SPREAD**2) / 2, SPREAD))
        return max(2, min(LONGEST, int(drawn)))

    def _is_enough(self, lot: OpenLot) -> bool:
        whole = sum(
            all(lot.book.states[name].phase is Phase.STAGED for name in names)
            for names in lot.book.groups.values()
        )
        return whole >= lot.book.lot.wanted_groups

    def _load(self) -> None:
        """Let loads go on; they get longer while many engines load."""
        loading = [one for one in self.engines if one.loading]
        pace = min(1.0, max_concurrent_loads(len(self.engines)) / max(1, len(loading)))
        for engine in loading:
            engine.left_s -= TICK_S * pace
            if engine.left_s <= 0:
                model, version = engine.loading
                engine.versions[model] = version
                engine.loading = None

    def _order(self) -> None:
        """Let sidecars begin to load."""
        for engine in self.engines:
            if engine.loading:
                continue
            named = [self._named(engine, one) for one in self.trainers]
            chosen = self.switches.loads(engine, named, self)
            engine.hurried = ""
            if chosen is not None:
                engine.loading = (chosen.model, chosen.version)
                engine.left_s = LOAD_S
                engine.loads += 1

    def _named(self, engine: Engine, trainer: Trainer) -> PublishedVersion:
        version, since = engine.seen.get(trainer.model, (0, self.now))
        if version != trainer.version:
            since = self.now
            engine.seen[trainer.model] = (trainer.version, since)
        held = engine.versions[trainer.model]
        return PublishedVersion(trainer.model, trainer.version, held, self.now - since)

    def _turn(self, trainer: Trainer) -> None:
        """Let a trainer's gateway place, move and hurry."""
        self._look()
        views = list(self.views.values())
        if self.switches.moves:
            for one in samples_to_move(self._running(trainer), views, self.now):
                self._book(trainer, one.sample).return_to_queue(one.sample, one.runner, self.now)
                self.moves += 1
        for lot in trainer.lots:
            self._place(lot, views)
            if self.switches.hurry and lot.book.waiting(self.now):
                wanted = lot.book.lot
                for view in engines_for_urgent_load(
                    views, wanted.model, wanted.min_version, self.now
                ):
                    self.engines[int(view.member.name[1:])].hurried = wanted.model

    def _place_in_order(self, order: SampleOrder) -> None:
        """Place the waiting samples of all trainers, as if sidecars chose between gateways."""
        self._look()
        views = list(self.views.values())
        waiting = [
            WaitingSample(
                lot,
                state.sample.id,
                state.last_runner,
                lot.book.rules.due,
                lot.book.events_left(state) * GAP_MS / 1000,
            )
            for trainer in self.trainers
            for lot in trainer.lots
            for state in lot.book.waiting(self.now)
        ]
        full: set[str] = set()
        for one in order.sorted(waiting):
            model = one.lot.book.lot.model
            if model not in full and not self._place_one(one.lot, one.sample, views):
                full.add(model)

    def _place(self, lot: OpenLot, views: list[RunnerView]) -> None:
        for state in lot.book.waiting(self.now):
            if not self._place_one(lot, state.sample.id, views):
                return

    def _place_one(self, lot: OpenLot, sample: str, views: list[RunnerView]) -> bool:
        """Place one sample; false if no engine has a free slot for it."""
        wanted = lot.book.lot
        avoid = lot.book.states[sample].last_runner
        view = choose_runner(views, wanted.model, wanted.min_version, "", avoid, self.now)
        if view is None:
            return False
        view.assigned += 1
        lot.book.assign(sample, view.member.name)
        lot.book.accepted(sample, view.member.name, "chain")
        lot.first_run.setdefault(sample, self.now)
        return True

    def _look(self) -> None:
        """Refresh what the gateways see of the engines."""
        taken = dict.fromkeys(self.views, 0)
        for trainer in self.trainers:
            for one in self._running(trainer):
                taken[one.runner] += 1
        for engine in self.engines:
            loading = engine.loading[0] if engine.loading else ""
            ready = self.switches.others_run or not loading
            status = RunnerStatus(
                "1", "i", ready, SLOTS, 0, dict(engine.versions), engine.gap_at(self.now), loading
            )
            view = self.views[engine.name]
            view.status = status
            view.assigned = taken[engine.name]
            view.last_answer_at = self.now

    def _running(self, trainer: Trainer) -> list[RunningSample]:
        return [
            RunningSample(
                str(lot.book.lot.step),
                name,
                trainer.model,
                lot.book.lot.min_version,
                state.runner,
                len(state.events) - state.events_before,
                lot.book.events_left(state),
            )
            for lot in trainer.lots
            for name, state in lot.book.states.items()
            if state.phase is Phase.RUNNING
        ]

    def _book(self, trainer: Trainer, sample: str) -> LotTracker:
        return next(lot.book for lot in trainer.lots if sample in lot.book.states)

    def _run(self) -> None:
        """Let samples go on."""
        for trainer in self.trainers:
            for lot in trainer.lots:
                for name, state in lot.book.states.items():
                    if state.phase is Phase.RUNNING:
                        self._go_on(trainer, lot, name)

    def _go_on(self, trainer: Trainer, lot: OpenLot, name: str) -> None:
        state = lot.book.states[name]
        engine = self.engines[int(state.runner[1:])]
        length = lot.lengths[name]
        before = int(lot.done.get(name, 0.0))
        lot.done[name] = min(
            length, lot.done.get(name, 0.0) + TICK_S * 1000 / engine.gap_at(self.now)
        )
        new = int(lot.done[name]) - before
        version = engine.versions[trainer.model]
        lot.book.add_events(name, state.runner, before, ["x"] * new, [version] * new, "chain")
        if lot.done[name] >= length:
            lot.book.run_ended(name, state.runner, RunOutcome.COMPLETE, self.now)
            if length == max(lot.lengths.values()):
                trainer.waits_s.append(lot.first_run[name] - lot.at)


def turns(engine: Engine, named: list[PublishedVersion], pool: Pool) -> PublishedVersion | None:
    """Choose as the sidecars do."""
    return next_load(named, pool.share(engine), pool.now + pool.offset, 1, engine.hurried)


def blocks(engine: Engine, named: list[PublishedVersion], pool: Pool) -> PublishedVersion | None:
    """Choose as before: engines dealt out in blocks, each loads each version once it is named."""
    place_of = engine.rank * len(named) // len(pool.engines)
    one = sorted(named, key=lambda one: one.model)[place_of]
    delay = engine.rank // max_concurrent_loads(len(pool.engines))
    return one if one.held < one.version and one.age_s >= delay else None


def _member(engine: Engine) -> Member:
    return Member(engine.name, "sidecar", "1", engine.name, "a", engine.name)


__all__ = ["DayFigures", "Engine", "Pool", "Switches", "Trainer", "blocks", "turns"]
