"""Samples under which engines crashed, at a lot's gateway, in virtual time and without a network.

Guards against a sample that is still owed and is not sent to any engine: three engines of a burst
of crashes ended while they ran it, and afterwards it waited for a trial run as a refused request of
a caller does, 60 s after its fourth crash, while all engines were up and had free slots.
"""

from __future__ import annotations

import itertools

import pytest

from tests.core.test_lot_tracker import make_book, make_sample
from tests.lots.routed import POOL, routed_view
from threadramp.core.lot_tracker import LotRules, Phase, RunOutcome
from threadramp.edge import crash_guard
from threadramp.edge.crash_guard import CrashGuard
from threadramp.fleet.fleet_view import FleetView, Member
from threadramp.fleet.model import Incarnation
from threadramp.lots.crashing_samples import SampleCrashGuard, sample_fingerprint
from threadramp.lots.dispatcher import SampleDispatcher
from threadramp.lots.model import LotHead, StoredHead
from threadramp.lots.owned import OwnedLot, OwnedLots
from threadramp.platform.headers import caller_of
from threadramp.policy.crash_tracker import CrashTracker, SuspicionLevel
from threadramp.policy.fingerprint import fingerprint
from threadramp.policy.owed_holds import FIRST_ALONE_S
from threadramp.policy.sample_order import DueOrder
from threadramp.policy.sample_placement import RunnerView
from threadramp.wire.fleet import Accepted, Submit, Updates
from threadramp.wire.runner import Facts, RunnerStatus, RunUpdate

HEAD = LotHead("g0", "1", 0.0, 7.5, 40.0, 3, False, 1, 1, 0, 0, False, "")
RUNNERS = ("s0", "s1", "s2", "s3")
STEP_S = 0.1
BURST_GAP_S = 0.4  # between two crashes of a burst
LIMIT_S = 5.0  # in which an owed sample must reach an engine again


class Peers:
    """Sidecars that accept every sample."""

    sender_fields = ("g0", "g0:1")
    data_centre = "a"

    def __init__(self, status) -> None:
        self.fleet_view = routed_view([f"{name}:80" for name in RUNNERS])
        self.status = status

    def facts_for(self, member: Member) -> Facts:
        return Facts()

    def ask(self, address: str, ask, timeout_s: float):
        assert isinstance(ask, Submit)
        return Accepted(self.status(address), {order.sample.id: "L1" for order in ask.orders})


class Pool:
    """One gateway with lots, and four engines that crash when a test says so.

    :param tracker: crash records of the gateway
    :param claims: whether the gateway may make a trial run of a refused request
    """

    def __init__(self, clock, tracker: CrashTracker | None = None, claims: bool = True) -> None:
        clock.at = max(clock.at, 100.0)
        self.clock = clock
        self.tracker = tracker or CrashTracker()
        self.guard = CrashGuard(self.tracker, clock, FleetView(), lambda key, trial: claims)
        self.starts = dict.fromkeys(RUNNERS, 0)
        self.crash_times: list[float] = []
        self.full: set[str] = set()
        self.gaps_ms: dict[str, float] = {}
        self.owned = OwnedLots()
        self.peers = Peers(lambda address: self._status(address.partition(":")[0]))
        self.dispatcher = SampleDispatcher(
            self.owned,
            self.peers,
            clock,
            lambda lot, sample: None,
            SampleCrashGuard(self.guard, self.owned),
            DueOrder(),
            config_apply_s=2.0,
        )
        self.dispatcher.views = {
            name: RunnerView(
                Member(name, "sidecar", "1", f"{name}:1", "a", f"{name}:80"), pool=POOL
            )
            for name in RUNNERS
        }
        self.dispatcher.eligible = frozenset(RUNNERS)

    def add_lot(self, name: str = "lot", samples: tuple[str, ...] = ("a",)) -> OwnedLot:
        made = OwnedLot(
            make_book(*(make_sample(one, "g", reward=None) for one in samples)),
            StoredHead(name, HEAD, 1),
        )
        made.tracker.rules = LotRules(3, one_version=False, due=1e6, give_up_at=1e6)
        self.owned.add(made)
        return made

    def send(self) -> None:
        """Let all sidecars answer, and send what may be sent."""
        for name, view in self.dispatcher.views.items():
            self.dispatcher.updates.record_status(view, self._status(name))
        self.dispatcher._send_waiting()

    def send_until_running(self, lot: OwnedLot, sample: str = "a", limit_s: float = 120.0) -> float:
        """Return the seconds until a sample is at an engine, ``limit_s`` if it is not by then."""
        begun = self.clock.at
        while self.clock.at < begun + limit_s:
            self.send()
            if lot.tracker.states[sample].phase is Phase.RUNNING:
                return self.clock.at - begun
            self.clock.at += STEP_S
        return limit_s

    def end_run(self, lot: OwnedLot, outcome: RunOutcome, sample: str = "a") -> None:
        """Report the end of a sample's run; a crashed engine starts again at once."""
        name = lot.tracker.states[sample].runner
        start = Incarnation(f"i-{name}-{self.starts[name]}", 1)
        update = RunUpdate(sample, 0, ("x",), (3,), "L1", outcome.value, start)
        view = self.dispatcher.views[name]
        if outcome is RunOutcome.CRASHED:
            self.starts[name] += 1
            self.crash_times.append(self.clock.at)
        reply = Updates(self._status(name), (update,), ())
        self.dispatcher.updates.apply_updates(view, self.owned.open(), reply)

    def crash_in_burst(self, lot: OwnedLot, count: int, sample: str = "a") -> None:
        """Crash engines while they run a sample, shortly one after the other."""
        for _ in range(count):
            assert self.send_until_running(lot, sample) < LIMIT_S
            self.clock.at += BURST_GAP_S
            self.end_run(lot, RunOutcome.CRASHED, sample)

    def _status(self, name: str) -> RunnerStatus:
        running = sum(
            state.phase is Phase.RUNNING and state.runner == name
            for lot in self.owned.open()
            for state in lot.tracker.states.values()
        )
        instance = f"i-{name}-{self.starts[name]}"
        taken = 12 if name in self.full else running
        gap_ms = self.gaps_ms.get(name, 38.0)
        return RunnerStatus("1", instance, True, 12, taken, {"m": 3}, gap_ms)


@pytest.mark.parametrize("claims", [True, False])
@pytest.mark.parametrize("crashes", [3, 4, 5, 8])
def test_a_sample_under_which_engines_crashed_runs_again_once_they_are_calm(clock, crashes, claims):
    """It stayed refused for 60 s, or for good if the store did not let a trial run be claimed."""
    pool = Pool(clock, claims=claims)
    lot = pool.add_lot()
    pool.crash_in_burst(lot, crashes)
    assert pool.send_until_running(lot) < LIMIT_S
    pool.end_run(lot, RunOutcome.COMPLETE)
    assert lot.tracker.states["a"].phase is Phase.STAGED


def test_a_sample_that_crashes_every_engine_stays_owed_and_crashes_one_at_a_time(clock):
    """Without a delay it would take all engines down; with a refusal it would be lost."""
    pool = Pool(clock)
    lot = pool.add_lot()
    begun = clock.at
    waits = []
    while clock.at < begun + 60.0:
        waits.append(pool.send_until_running(lot))
        clock.at += STEP_S
        pool.end_run(lot, RunOutcome.CRASHED)
    gaps = [after - before for before, after in itertools.pairwise(pool.crash_times)]
    assert max(waits) < LIMIT_S
    assert all(gap >= 1.0 for gap in gaps[2:])
    assert all(gap >= 3.0 for gap in gaps[4:])


def call_fingerprint(lot: OwnedLot) -> bytes:
    """Return the fingerprint of a call that is like the first sample of a lot."""
    sample = lot.tracker.states["a"].sample
    host = lot.tracker.lot.host
    return fingerprint(host, "POST", sample.path, caller_of(sample.headers), sample.body)


def test_a_sample_is_not_delayed_by_crashes_of_a_call_that_is_like_it(clock):
    pool = Pool(clock)
    lot = pool.add_lot()
    for number in range(4):
        pool.guard.record_crash("call", call_fingerprint(lot), Incarnation(f"c-{number}"))
    assert pool.send_until_running(lot) == 0.0


def test_a_call_keeps_its_own_verdict_whatever_a_sample_does_that_is_like_it(clock):
    """A call was refused for crashes of a sample, and cleared by its success."""
    pool = Pool(clock)
    lot = pool.add_lot()
    call = call_fingerprint(lot)
    pool.crash_in_burst(lot, 4)
    assert pool.guard.assess(lambda: call).level is SuspicionLevel.NONE
    for number in range(3):
        pool.guard.record_crash("call", call, Incarnation(f"c-{number}"))
    pool.send_until_running(lot)
    pool.end_run(lot, RunOutcome.COMPLETE)
    assert pool.guard.assess(lambda: call).level is SuspicionLevel.REFUSED


def test_the_next_owner_of_a_lot_delays_a_sample_as_the_last_one_did(clock):
    before = Pool(clock)
    before.crash_in_burst(before.add_lot(), 4)
    tracker = CrashTracker()
    tracker.merge(before.tracker.records_to_persist(), clock.time_of_day())
    after = Pool(clock, tracker)
    assert 1.0 < after.send_until_running(after.add_lot()) < LIMIT_S


@pytest.mark.parametrize("ahead_s", [60.0, -60.0])
def test_a_wrong_time_of_day_does_not_prolong_a_delay(clock, ahead_s, monkeypatch):
    """The crash is dated by a gateway whose clock is ahead, or the own clock is set back."""
    before = Pool(clock)
    before.crash_in_burst(before.add_lot(), 5)
    records = before.tracker.records_to_persist()
    right = clock.time_of_day
    monkeypatch.setattr(clock, "time_of_day", lambda: right() - ahead_s)
    tracker = CrashTracker()
    tracker.merge(records, clock.time_of_day())
    after = Pool(clock, tracker)
    assert after.send_until_running(after.add_lot()) < LIMIT_S


def test_of_several_samples_with_one_body_the_first_goes_alone(clock):
    """All copies of a sample that crashes engines would crash one engine each after a delay."""
    pool = Pool(clock)
    lot = pool.add_lot()
    pool.crash_in_burst(lot, 3)
    copies = pool.add_lot("other-lot")  # the same sample in the lot of another step
    pool.send_until_running(lot)
    assert copies.tracker.states["a"].phase is Phase.WAITING
    assert pool.send_until_running(copies) <= FIRST_ALONE_S + STEP_S


def test_an_isolated_sample_shares_an_engine_if_no_other_has_room(clock):
    """It waited while the only engines with room ran another suspect."""
    pool = Pool(clock)
    lot = pool.add_lot(samples=("a", "b"))
    for name in "ab":
        key = sample_fingerprint(lot.tracker.lot, lot.tracker.states[name].sample)
        for number in range(2):
            pool.tracker.record_crash(
                key, Incarnation(f"{name}-{number}"), clock.time_of_day(), owed=True
            )
    pool.full = {"s1", "s2", "s3"}
    lot.tracker.postpone("b", clock.at + STEP_S)
    for _ in range(2):
        pool.send()
        clock.at += STEP_S
    assert {state.runner for state in lot.tracker.states.values()} == {"s0"}


def test_each_delay_is_logged_once_with_the_crashes_and_its_end(clock, monkeypatch):
    lines = []
    monkeypatch.setattr(
        crash_guard, "log_state", lambda name, **fields: lines.append((name, fields))
    )
    pool = Pool(clock)
    lot = pool.add_lot()
    pool.crash_in_burst(lot, 5)
    pool.send_until_running(lot)
    held = [fields for name, fields in lines if name == "held_after_crashes"]
    assert [(line["request"], line["crashes"]) for line in held] == [("a", 3), ("a", 4), ("a", 5)]
    for line, crashed_at in zip(held, pool.crash_times[2:], strict=True):
        assert line["until"] > line["held_s"] > 0.0
        assert line["until"] - 1_700_000_000.0 - crashed_at <= 3.1


def test_suspects_that_are_sent_together_go_to_different_engines(clock):
    """Suspects were sent to the fastest engine together, and its crash counted for all of them."""
    pool = Pool(clock)
    pool.gaps_ms["s0"] = 20.0
    lot = pool.add_lot(samples=("a", "b", "c"))
    for name in "abc":
        key = sample_fingerprint(lot.tracker.lot, lot.tracker.states[name].sample)
        for number in range(2):
            start = Incarnation(f"i-{number}")
            pool.tracker.record_crash(key, start, clock.time_of_day(), owed=True)
    pool.send()
    assert len({state.runner for state in lot.tracker.states.values()}) == 3
