"""Samples under which engines crashed, at a lot's gateway, in virtual time and without a network.

Guards against a sample that is still owed and is not sent to any engine: three engines of a burst
of crashes ended while they ran it, and afterwards it waited for a trial run as a refused request of
a caller does, 60 s after its fourth crash, while all engines were up and had free slots.
"""

from __future__ import annotations

import pytest

from tests.core.test_lot_tracker import make_book, make_sample
from threadramp.core.lot_tracker import LotRules, Phase, RunOutcome
from threadramp.edge.crash_guard import CrashGuard
from threadramp.fleet.fleet_view import FleetView, Member
from threadramp.fleet.model import Incarnation
from threadramp.lots.crashing_samples import SampleCrashGuard
from threadramp.lots.dispatcher import SampleDispatcher
from threadramp.lots.model import LotHead, StoredHead
from threadramp.lots.owned import OwnedLot, OwnedLots
from threadramp.policy.crash_tracker import CrashTracker
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
        self.fleet_view = FleetView()
        self.status = status
        self.accepts = True

    def facts_for(self, member: Member) -> Facts:
        return Facts()

    def ask(self, address: str, ask, timeout_s: float):
        assert isinstance(ask, Submit)
        taken = {order.sample.id: "L1" for order in ask.orders} if self.accepts else {}
        return Accepted(self.status(address), taken)


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
        self.owned = OwnedLots()
        self.peers = Peers(lambda address: self._status(address.partition(":")[0]))
        self.dispatcher = SampleDispatcher(
            self.owned,
            self.peers,
            clock,
            lambda lot, sample: None,
            SampleCrashGuard(self.guard, self.owned),
            DueOrder(),
        )
        self.dispatcher.views = {
            name: RunnerView(Member(name, "sidecar", "1", f"{name}:1", "a", f"{name}:80"))
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
        return RunnerStatus("1", instance, True, 12, running, {"m": 3}, 38.0)


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
