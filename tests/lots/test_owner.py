"""The owner of a lot when gateways come and go."""

from __future__ import annotations

from types import SimpleNamespace

import msgspec
import pytest

from tests.stores import MemoryStore
from threadramp.core.lot_tracker import Phase, RunOutcome
from threadramp.fleet.fleet_view import Member
from threadramp.fleet.model import PoolShare, Route, RouteKind
from threadramp.lots.audit import (
    SCANNERS,
    is_scan_due,
    periodic_scanners,
    scanners_for,
    successor_of,
)
from threadramp.lots.checkpoints import TEXT_PREFIX, Checkpoints
from threadramp.lots.journal import LotJournal
from threadramp.lots.model import (
    Lot,
    LotHead,
    ResultState,
    Sample,
    SavedText,
    StoredHead,
    StoredLot,
    encode,
)
from threadramp.lots.owned import OwnedLots
from threadramp.lots.owner import LotOwner
from threadramp.lots.text_inputs import TextInputs
from threadramp.platform.store_model import Put, Transaction
from threadramp.serve.peer_requests import PeerRequestHandler
from threadramp.wire.fleet import Adopt, Ask, Done, decode_ask


def stored(owner: str, lot_id: str = "lot") -> StoredHead:
    head = LotHead(owner, "old", 0.0, 7.5, 40.0, 3, False, 1, 1, 0, 0, False, "")
    return StoredHead(lot_id, head, 1)


def live(*names: str) -> dict[str, Member]:
    return {name: Member(name, "gateway", "new", f"{name}:1", "a", "") for name in names}


def test_a_lot_goes_to_the_next_process_on_its_owners_box():
    assert successor_of(stored("g1"), live("g0", "g1", "g2")) == "g1"


def test_all_gateways_agree_on_the_successor_of_a_lot_whose_owner_left():
    successors = {
        successor_of(stored("gone"), live(*names)) for names in (["g0", "g1"], ["g1", "g0"])
    }
    assert len(successors) == 1


def test_the_lots_of_a_gateway_that_left_are_spread():
    successors = {
        successor_of(stored("gone", f"lot{n}"), live("g0", "g1", "g2")) for n in range(30)
    }
    assert successors == {"g0", "g1", "g2"}


def test_lots_are_scanned_when_a_gateway_left_not_when_one_is_new():
    one, other, again = ("g1", "a"), ("g2", "a"), ("g2", "b")
    assert not is_scan_due(frozenset(), frozenset({one}), "g1")
    assert not is_scan_due(frozenset({one}), frozenset({one, other}), "g1")
    assert is_scan_due(frozenset({one, other}), frozenset({one}), "g1")
    assert is_scan_due(frozenset({one, other}), frozenset({one, again}), "g1")


def test_few_gateways_scan_for_the_lots_of_one_that_left_and_succeed_it():
    names = [f"g{n}" for n in range(58)]
    before = frozenset((name, "a") for name in [*names, "gone"])
    after = frozenset((name, "a") for name in names)
    scanning = {name for name in names if is_scan_due(before, after, name)}
    assert scanning == set(scanners_for("gone", names))
    assert len(scanning) == SCANNERS
    successors = {successor_of(stored("gone", f"lot{n}"), live(*names)) for n in range(200)}
    assert successors == scanning


def test_the_next_gateways_scan_if_a_gateway_leaves_with_its_successor():
    names = [f"g{n}" for n in range(58)]
    first = scanners_for("gone", names)[0]
    remaining = [name for name in names if name != first]
    before = frozenset((name, "a") for name in [*names, "gone"])
    after = frozenset((name, "a") for name in remaining)
    for name in scanners_for("gone", remaining):
        assert is_scan_due(before, after, name)


def test_the_number_of_periodic_scanners_does_not_grow_with_the_fleet():
    assert periodic_scanners(["g1", "g0"]) == periodic_scanners(["g0", "g1"])
    assert len(periodic_scanners([f"g{n}" for n in range(350)])) == 6


GIVE_UP_S = 40.0


class ShiftedClock:
    """The clock of a box whose time of day is off.

    :param ahead: seconds by which it is ahead
    """

    def __init__(self, clock, ahead: float) -> None:
        self.clock = clock
        self.ahead = ahead

    def now(self) -> float:
        return self.clock.now()

    def time_of_day(self) -> float:
        return self.clock.time_of_day() + self.ahead


def owner_at(box: str, store: MemoryStore, clock) -> LotOwner:
    member = Member(box, "gateway", f"{box}-start", "10.0.0.1:1", "a", "")
    owned = OwnedLots()
    return LotOwner(
        owned,
        LotJournal(store),
        SimpleNamespace(member=member),
        clock,
        lambda lot, let_finish: None,
        Checkpoints(owned, store, member.incarnation),
        lambda stored: None,
    )


@pytest.mark.parametrize(("first_ahead", "successor_ahead"), [(-3.0, 3.0), (0.0, 3.0), (3.0, -3.0)])
def test_a_takeover_gives_up_no_sample_early_despite_clock_skew(
    clock, first_ahead, successor_ahead
):
    """The submission time is from the clock of one box and compared with that of another."""
    store = MemoryStore()
    first = owner_at("g1", store, ShiftedClock(clock, first_ahead))
    successor = owner_at("g2", store, ShiftedClock(clock, successor_ahead))
    sample = Sample("a", "/p", (), b"prompt", 1, "g", None, 0)
    lot = Lot("lot", "host", "/p/", 0, "m", 1, 1, (sample,))
    shares = (PoolShare("pool", 1.0),)
    route = Route("r", "host", "/p/", RouteKind.SAMPLES, shares, 2.0, 1.0, 3, give_up_s=GIVE_UP_S)
    submitted_at = clock.at
    first.submit(lot, route, retry_for_s=1.0)
    clock.at += 5.0
    successor.take_over(successor.journal.read_head("lot"))
    taken = successor.owned.get("lot").tracker
    assert taken.rules.give_up_at > submitted_at + GIVE_UP_S
    assert taken.rules.give_up_at < submitted_at + GIVE_UP_S + 15.0  # nor long after


def saved_text(owner: LotOwner, sample: Sample, lot: Lot) -> Put:
    inputs = TextInputs.of(lot, sample).digest
    record = SavedText("a", 0, ("one", "two"), (1, 1), "L1", inputs)
    return Put(f"{TEXT_PREFIX}lot/{owner.checkpoints.incarnation}/0000", encode((record,)))


# Guards against a takeover that continues the text of an earlier lot with the same ids.
@pytest.mark.parametrize(("body", "events"), [(b"prompt", ["one", "two"]), (b"another", [])])
def test_a_takeover_resumes_saved_text_of_its_request_only(clock, body, events):
    store = MemoryStore()
    first = owner_at("g1", store, clock)
    successor = owner_at("g2", store, clock)
    sample = Sample("a", "/p", (), b"prompt", 1, "g", None, 0)
    lot = Lot("lot", "host", "/p/", 0, "m", 1, 1, (sample,))
    shares = (PoolShare("pool", 1.0),)
    route = Route("r", "host", "/p/", RouteKind.SAMPLES, shares, 2.0, 1.0, 3, give_up_s=GIVE_UP_S)
    first.submit(lot, route, retry_for_s=1.0)
    generated_for = msgspec.structs.replace(sample, body=body)
    store.transact(Transaction(puts=(saved_text(first, generated_for, lot),)), repeatable=True)
    successor.take_over(successor.journal.read_head("lot"))
    assert successor.owned.get("lot").tracker.states["a"].events == events


class GatewayChain:
    """Gateways that stop one after the other, each handing its lots over to the next.

    The messages go through their encoding, with each last field removed that a process of the
    version before does not send.

    :param removed_fields: number of those fields
    """

    def __init__(self, store: MemoryStore, clock, removed_fields: int = 0) -> None:
        self.store = store
        self.clock = clock
        self.removed_fields = removed_fields
        self.count = 0
        self.owner = self._next_owner()

    def hand_over(self) -> None:
        """Stop the gateway that owns the lots."""
        leaving, self.owner = self.owner, self._next_owner()
        leaving.peers.gateways = lambda: [self.owner.peers.member]
        leaving.peers.sender_fields = (leaving.peers.member.name, "10.0.0.1:1")
        leaving.peers.ask = self._ask
        leaving.stopped.set()  # hand over without a pause
        leaving.hand_over()

    def run(self, outcome: RunOutcome) -> bool:
        """Let an engine end a run of the sample; false if the sample needs no run."""
        tracker = self.owner.owned.get("lot").tracker
        if not tracker.waiting(self.clock.now()):
            return False
        tracker.assign("a", "s0")
        tracker.accepted("a", "s0", "L1")
        tracker.run_ended("a", "s0", outcome, self.clock.now())
        return True

    def _next_owner(self) -> LotOwner:
        self.count += 1
        return owner_at(f"g{self.count}", self.store, self.clock)

    def _ask(self, address: str, ask: Adopt, timeout_s: float) -> Done:
        fields = msgspec.msgpack.decode(msgspec.msgpack.encode(ask))
        kept_fields = fields[: len(fields) - self.removed_fields]
        received = decode_ask(msgspec.msgpack.encode(kept_fields))
        return PeerRequestHandler._adopt(SimpleNamespace(owner=self.owner), received)


# Guards against gateways of two versions that do not understand each other during a release.
def test_a_lot_from_a_gateway_of_the_version_before_is_taken_over(clock):
    chain = chain_with_a_lot(clock, removed_fields=1)
    chain.run(RunOutcome.FAILED)
    chain.hand_over()
    assert chain.owner.owned.get("lot").tracker.states["a"].failures == 0
    assert chain.run(RunOutcome.FAILED)


class AdoptBefore(Ask, frozen=True, tag="Adopt"):
    """The message as the version before knew it."""

    kept: StoredLot


def test_a_gateway_of_the_version_before_reads_the_message_of_a_hand_over():
    lot = Lot("lot", "host", "/p/", 0, "m", 1, 1, ())
    kept = StoredLot(stored("g1"), lot, ())
    sent = msgspec.msgpack.encode(Adopt("g0", "g0:1", kept, {"a": 2}))
    assert msgspec.msgpack.decode(sent, type=AdoptBefore).kept == kept


def chain_with_a_lot(clock, removed_fields: int = 0) -> GatewayChain:
    chain = GatewayChain(MemoryStore(), clock, removed_fields)
    sample = Sample("a", "/p", (), b"prompt", 1, "g", None, 0)
    lot = Lot("lot", "host", "/p/", 0, "m", 1, 1, (sample,))
    shares = (PoolShare("pool", 1.0),)
    route = Route("r", "host", "/p/", RouteKind.SAMPLES, shares, 2.0, 1.0, 3, give_up_s=GIVE_UP_S)
    chain.owner.submit(lot, route, retry_for_s=1.0)
    return chain


# Guards against a failing sample that every hand-over of its lot gives all its attempts again.
@pytest.mark.parametrize(
    ("outcome", "runs_before", "allowed_runs"),
    [(RunOutcome.FAILED, 2, 3), (RunOutcome.IMPOSSIBLE, 1, 1)],
)
def test_hand_overs_give_a_failing_sample_no_further_attempts(
    clock, outcome, runs_before, allowed_runs
):
    chain = chain_with_a_lot(clock)
    runs = 0
    for _ in range(5):
        runs += sum(chain.run(outcome) for _ in range(runs_before))
        chain.hand_over()
    while chain.run(outcome):
        runs += 1
    assert runs == allowed_runs
    (result,) = chain.owner.owned.get("lot").tracker.next_chunk(clock.now())
    assert result.state is ResultState.DEAD


def test_a_hand_over_counts_failed_runs_but_no_interrupted_ones(clock):
    chain = chain_with_a_lot(clock)
    chain.run(RunOutcome.CUT)
    chain.hand_over()
    assert chain.run(RunOutcome.FAILED)
    chain.hand_over()
    state = chain.owner.owned.get("lot").tracker.states["a"]
    assert state.phase is Phase.WAITING
    assert chain.run(RunOutcome.FAILED)
    assert chain.run(RunOutcome.FAILED)
    assert not chain.run(RunOutcome.FAILED)
