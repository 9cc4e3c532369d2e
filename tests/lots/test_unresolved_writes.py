"""Writes to lots whose outcome stays unknown: done unanswered, done later, or never done."""

from __future__ import annotations

import itertools
from types import SimpleNamespace

import pytest

from tests.core.test_lot_tracker import make_book, make_sample
from tests.stores import MemoryStore
from threadramp.fleet.fleet_view import Member
from threadramp.fleet.model import PoolShare, Route, RouteKind
from threadramp.lots.appending import ResultAppender
from threadramp.lots.checkpoints import Checkpoints
from threadramp.lots.head_change import append_change
from threadramp.lots.journal import LotJournal, NotOwnerError
from threadramp.lots.model import LotHead, Result, ResultState
from threadramp.lots.owned import OwnedLot, OwnedLots
from threadramp.lots.owner import LotOwner
from threadramp.lots.unresolved_lots import LATE_WRITE_S, UnresolvedLots
from threadramp.platform.store_model import Committed, StoreRefusedError, StoreUnknownError
from threadramp.report.metrics import Metrics
from threadramp.wire.fleet import Adopt, Done

NAMES = "abcd"
MEMBERS = {name: Member(name, "gateway", "1", f"{name}:1", "a", "") for name in ("g0", "g1", "g2")}
ROUTE = Route(
    "r", "host", "/p/", RouteKind.SAMPLES, (PoolShare("pool", 1.0),), 2.0, 1.0, 3, give_up_s=40.0
)
FAULTS = ("lost", "dropped", "late", "refused")


@pytest.fixture(autouse=True)
def _one_attempt(monkeypatch):
    """Give each write one attempt, and no pause before it is repeated."""
    monkeypatch.setattr("threadramp.lots.journal.RETRY_FOR_S", 0.0)
    monkeypatch.setattr("threadramp.lots.appending.RETRY_PAUSE_S", 0.01)


class FaultyStore(MemoryStore):
    """A store that fails the next writes as planned.

    :ivar plan: for each of the next writes to come: ``lost`` is done without an answer, ``dropped``
        is neither done nor answered, ``late`` is not answered and done by ``end_delay``,
        ``refused`` is answered that nothing was done; ``ok`` is done and answered
    """

    def __init__(self) -> None:
        super().__init__()
        self.plan: list[str] = []
        self.delayed = []

    def transact(self, transaction, repeatable=False):
        fault = self.plan.pop(0) if self.plan else "ok"
        if fault == "refused":
            raise StoreRefusedError("status 503")
        if fault == "late":
            self.delayed.append(transaction)
        if fault in ("late", "dropped"):
            raise StoreUnknownError("no answer")
        answer = super().transact(transaction)
        if fault == "lost":
            raise StoreUnknownError("no answer")
        return answer

    def end_delay(self) -> list[bool]:
        """Do the late writes; return for each whether its condition still held."""
        found = [
            isinstance(super(FaultyStore, self).transact(one), Committed) for one in self.delayed
        ]
        self.delayed.clear()
        return found

    def list(self, prefix, direct_when_shut=False):
        return super().list(prefix)


class LocalPeers:
    """Peers of one gateway, which record what they are asked."""

    def __init__(self, member: Member) -> None:
        self.member = member
        self.asked: list[tuple[str, object]] = []
        self.unresponsive: set[str] = set()

    @property
    def sender_fields(self):
        return (self.member.name, self.member.address)

    def gateways(self):
        return [one for one in MEMBERS.values() if one.name != self.member.name]

    def ask(self, address, ask, timeout_s):
        self.asked.append((address.partition(":")[0], ask))
        return None if address in self.unresponsive else Done()


class Queue:
    """A thread pool whose work is done by ``run``, also what that work submits."""

    def __init__(self) -> None:
        self.work = []

    def submit(self, function, *arguments) -> None:
        self.work.append((function, arguments))

    def run(self) -> None:
        while self.work:
            function, arguments = self.work.pop(0)
            function(*arguments)


class Gateway:
    """The parts of one gateway that write lots."""

    def __init__(self, name: str, store: FaultyStore, clock) -> None:
        self.store = store
        self.owned = OwnedLots()
        self.journal = LotJournal(store)
        self.peers = LocalPeers(MEMBERS[name])
        self.notified = []
        self.owner = LotOwner(
            self.owned,
            self.journal,
            self.peers,
            clock,
            lambda lot, let_finish: None,
            Checkpoints(self.owned, store, "1"),
            self.notified.append,
        )
        self.appender = ResultAppender(
            self.owned,
            self.owner.writer,
            clock,
            self.owner.release,
            self.owner.apply_end,
            Metrics("test"),
            lambda model: 1,
        )
        self.appender.pool = Queue()

    def own(self) -> OwnedLot:
        """Store a new lot of this gateway."""
        tracker = make_book(*[make_sample(name, "g") for name in NAMES])
        member = self.peers.member
        head = LotHead(
            member.name,
            member.incarnation,
            0.0,
            7.5,
            40.0,
            3,
            False,
            len(NAMES),
            0,
            0,
            0,
            False,
            "",
        )
        lot = OwnedLot(tracker, self.journal.create(tracker.lot, head))
        self.owned.add(lot)
        return lot

    def append(self, lot: OwnedLot, name: str) -> None:
        """Append one result, until the outcome of the write is known."""
        result = Result(name, ResultState.SUCCEEDED, f"text of {name}", (1,), "s")
        with self.owned.lock:
            change = append_change(lot.stored, (result,))
        self.appender.pool.submit(self.appender._append, lot, change)
        self.appender.pool.run()

    def stored_names(self) -> list[str]:
        return [one.sample for one in self.journal.load("lot").results]


@pytest.fixture
def store() -> FaultyStore:
    return FaultyStore()


@pytest.fixture
def gateway(store, clock) -> Gateway:
    return Gateway("g0", store, clock)


def listed(lot: OwnedLot) -> list[str]:
    return [one.sample for one in lot.tracker.listed]


def write(gateway: Gateway, lot: OwnedLot, name: str):
    """Make one attempt at an append and return its change."""
    change = append_change(
        lot.stored, (Result(name, ResultState.SUCCEEDED, f"text of {name}", (1,), "s"),)
    )
    with pytest.raises(StoreUnknownError):
        gateway.owner.writer.write(lot, change)
    return change


@pytest.mark.parametrize("faults", list(itertools.product(FAULTS, repeat=2)), ids="-".join)
def test_an_append_of_unknown_outcome_is_listed_once_by_the_gateway_that_wrote_it(gateway, faults):
    """The write was repeated under another nonce, and its own head taken for a stranger's."""
    lot = gateway.own()
    gateway.store.plan = list(faults)
    result = Result("a", ResultState.SUCCEEDED, "text of a", (1,), "s")
    change = append_change(lot.stored, (result,))
    for fault in faults:
        try:
            gateway.owner.writer.write(lot, change)
        except StoreRefusedError:
            assert fault == "refused"
            assert not lot.unresolved
        except StoreUnknownError:
            assert lot.unresolved
    gateway.owner.writer.write(lot, change)
    assert gateway.store.end_delay().count(True) == 0
    assert not lot.unresolved
    assert listed(lot) == gateway.stored_names() == ["a"]
    gateway.append(lot, "b")
    assert listed(lot) == gateway.stored_names() == ["a", "b"]
    assert gateway.owned.get("lot") is lot


@pytest.mark.parametrize("faults", list(itertools.product(FAULTS, repeat=2)), ids="-".join)
def test_the_appender_repeats_a_write_until_its_outcome_is_known(gateway, faults):
    lot = gateway.own()
    lot.tracker.append_open = True
    gateway.store.plan = list(faults)
    gateway.append(lot, "a")
    gateway.store.end_delay()
    while gateway.stored_names() == []:  # refused, so that it is written anew
        assert not lot.tracker.append_open
        gateway.append(lot, "a")
    assert listed(lot) == gateway.stored_names() == ["a"]
    assert not lot.unresolved
    assert not lot.tracker.append_open


def test_a_write_that_is_refused_after_an_unanswered_attempt_stays_unknown(gateway):
    lot = gateway.own()
    gateway.store.plan = ["lost", "refused"]
    change = write(gateway, lot, "a")
    with pytest.raises(StoreUnknownError):
        gateway.owner.writer.write(lot, change)
    assert change.nonce in lot.unresolved


@pytest.mark.parametrize(("fault", "names"), [("lost", ["a"]), ("dropped", []), ("late", [])])
def test_an_end_after_an_append_of_unknown_outcome_keeps_what_is_stored(gateway, fault, names):
    """The end is written over the append if that was done, else the append never takes effect."""
    lot = gateway.own()
    gateway.store.plan = [fault]
    change = write(gateway, lot, "a")
    assert gateway.owner.end("lot")
    assert not any(gateway.store.end_delay())
    assert listed(lot) == gateway.stored_names() == names
    assert gateway.journal.read_head("lot").head.ended
    assert lot.tracker.ended
    assert gateway.owner.writer.write(lot, change).head.ended  # a repeat in another thread
    assert gateway.stored_names() == names


@pytest.mark.parametrize("fault", ["lost", "dropped", "late"])
def test_an_end_of_unknown_outcome_is_written_until_it_is_known(gateway, clock, fault):
    """It was told as refused, and the items of the lot ran on."""
    lot = gateway.own()
    gateway.store.plan = [fault]
    with pytest.raises(StoreUnknownError):
        gateway.owner.end("lot")
    gateway.store.end_delay()
    assert "lot" in gateway.owner.unresolved_ends
    gateway.owner.unresolved_ends.run_once()
    assert "lot" not in gateway.owner.unresolved_ends
    assert gateway.journal.read_head("lot").head.ended
    assert lot.tracker.ended


@pytest.mark.parametrize("fault", ["lost", "dropped"])
def test_an_end_of_unknown_outcome_is_notified_to_the_gateway_that_runs_the_lot(
    gateway, store, clock, fault
):
    Gateway("g1", store, clock).own()
    store.plan = [fault]
    with pytest.raises(StoreUnknownError):
        gateway.owner.end("lot")
    gateway.owner.unresolved_ends.run_once()
    assert [one.head.ended for one in gateway.notified] == [True]


def test_an_end_that_was_refused_is_not_written_later(gateway):
    gateway.own()
    gateway.store.plan = ["refused"]
    with pytest.raises(StoreRefusedError):
        gateway.owner.end("lot")
    assert "lot" not in gateway.owner.unresolved_ends


def test_an_end_whose_lot_could_not_be_read_was_not_sent(gateway, store, clock):
    Gateway("g1", store, clock).own()

    def get(key):
        raise StoreUnknownError("no answer")

    store.get = get
    with pytest.raises(StoreRefusedError):
        gateway.owner.end("lot")


def test_an_append_after_an_end_of_unknown_outcome_learns_of_the_end(gateway):
    lot = gateway.own()
    gateway.store.plan = ["lost"]
    with pytest.raises(StoreUnknownError):
        gateway.owner.end("lot")
    gateway.append(lot, "a")
    assert lot.tracker.ended
    assert gateway.stored_names() == []
    assert gateway.owned.get("lot") is lot


def test_an_end_by_another_gateway_over_an_unanswered_append_loses_no_result(gateway, store, clock):
    lot = gateway.own()
    store.plan = ["lost"]
    change = write(gateway, lot, "a")
    assert Gateway("g1", store, clock).owner.end("lot")
    gateway.appender._append(lot, change)
    assert lot.tracker.ended
    assert listed(lot) == gateway.stored_names() == ["a"]


def test_a_notice_of_an_end_over_an_unanswered_append_leaves_reading_to_the_store(
    gateway, store, clock
):
    lot = gateway.own()
    store.plan = ["lost"]
    write(gateway, lot, "a")
    other = Gateway("g1", store, clock)
    other.owner.end("lot")
    assert gateway.owner.apply_end(other.notified[0])
    assert lot.tracker.ended
    assert gateway.owned.get("lot") is None


def test_a_lot_that_another_gateway_took_over_is_released_despite_an_unresolved_append(
    gateway, store, clock
):
    lot = gateway.own()
    store.plan = ["dropped"]
    change = write(gateway, lot, "a")
    other = Gateway("g1", store, clock)
    other.owner.take_over(other.journal.read_head("lot"))
    with pytest.raises(NotOwnerError):
        gateway.owner.writer.write(lot, change)
    gateway.appender._append(lot, change)
    assert gateway.owned.get("lot") is None
    assert other.stored_names() == []


@pytest.mark.parametrize("fault", ["lost", "dropped", "late"])
def test_a_hand_over_of_unknown_outcome_reaches_the_gateway_that_the_head_names(gateway, fault):
    """The head named a gateway that was not told, and the lot lay there."""
    lot = gateway.own()
    gateway.store.plan = [fault]
    assert gateway.owner._transfer_to(lot, MEMBERS["g1"])
    assert gateway.peers.asked == []
    gateway.store.end_delay()
    for successor in ("g2", "g2", "g1"):
        if gateway.owned.get("lot") is not None:
            gateway.owner._transfer_to(lot, MEMBERS[successor])
    ((told, ask),) = gateway.peers.asked
    assert isinstance(ask, Adopt)
    assert gateway.journal.read_head("lot").head.owner == told == ask.kept.stored.head.owner
    assert gateway.owned.get("lot") is None


def test_a_hand_over_after_an_append_of_unknown_outcome_passes_the_results_on(gateway):
    lot = gateway.own()
    gateway.store.plan = ["lost"]
    write(gateway, lot, "a")
    while gateway.owned.get("lot") is not None:
        gateway.owner._transfer_to(lot, MEMBERS["g1"])
    ((_, ask),) = gateway.peers.asked
    assert [one.sample for one in ask.kept.results] == gateway.stored_names() == ["a"]


@pytest.mark.parametrize("fault", ["lost", "late"])
def test_a_take_over_of_unknown_outcome_is_completed(gateway, store, clock, fault):
    Gateway("g1", store, clock).own()
    orphan = gateway.journal.read_head("lot")
    store.plan = [fault]
    with pytest.raises(StoreUnknownError):
        gateway.owner.take_over(orphan)
    store.end_delay()
    gateway.owner.take_over(orphan)
    assert gateway.owned.get("lot") is not None


@pytest.mark.parametrize("fault", ["lost", "late"])
def test_a_lot_whose_creation_ended_unknown_is_run_once_it_is_found(gateway, clock, fault):
    lot = make_book(*[make_sample(name, "g") for name in NAMES]).lot
    gateway.store.plan = [fault]
    with pytest.raises(StoreUnknownError):
        gateway.owner.submit(lot, ROUTE, 0.0)
    gateway.owner.unresolved_owners.run_once()
    clock.at += 3.0
    gateway.store.end_delay()
    gateway.owner.unresolved_owners.run_once()
    assert gateway.owned.get("lot") is not None
    assert "lot" not in gateway.owner.unresolved_owners


def test_a_lot_whose_creation_ended_unknown_runs_once_if_it_was_created_elsewhere(
    gateway, store, clock
):
    lot = make_book(*[make_sample(name, "g") for name in NAMES]).lot
    store.plan = ["late"]
    with pytest.raises(StoreUnknownError):
        gateway.owner.submit(lot, ROUTE, 0.0)
    other = Gateway("g1", store, clock)
    other.owner.submit(lot, ROUTE, 0.0)
    assert not any(store.end_delay())
    gateway.owner.unresolved_owners.run_once()
    assert gateway.owned.get("lot") is None
    assert "lot" not in gateway.owner.unresolved_owners


def test_a_lot_that_names_an_earlier_process_of_the_box_is_taken_up_when_reported(
    gateway, store, clock
):
    member = MEMBERS["g0"]
    lot = gateway.own()
    gateway.owned.remove("lot")
    gateway.journal.update(lot.stored, incarnation="0")
    gateway.owner.take_up_if_named("lot")
    gateway.owner.unresolved_owners.run_once()
    assert gateway.owned.get("lot").stored.head.incarnation == member.incarnation


def test_a_report_about_a_lot_of_another_gateway_changes_nothing(gateway, store, clock):
    Gateway("g1", store, clock).own()
    gateway.owner.take_up_if_named("lot")
    gateway.owner.unresolved_owners.run_once()
    assert gateway.owned.get("lot") is None
    assert "lot" not in gateway.owner.unresolved_owners
    assert gateway.journal.read_head("lot").head.owner == "g1"


def test_an_unresolved_lot_is_checked_with_increasing_pauses_and_given_up(clock):
    checks = []
    lots = UnresolvedLots("test", lambda lot_id: checks.append(clock.at), clock)
    lots.add("lot")
    for _ in range(int(2 * LATE_WRITE_S / 0.1)):
        lots.run_once()
        clock.at += 0.1
    assert "lot" not in lots
    assert len(checks) <= 15
    assert checks[-1] - checks[0] >= LATE_WRITE_S
    assert max(later - one for one, later in itertools.pairwise(checks)) <= 2.2


def test_a_store_that_does_not_answer_does_not_end_the_checks(clock):
    answers = SimpleNamespace(is_away=True)

    def check(lot_id):
        if answers.is_away:
            raise StoreRefusedError("away")
        return True

    lots = UnresolvedLots("test", check, clock)
    lots.add("lot")
    for _ in range(25):
        lots.run_once()
        clock.at += 1.0
    assert "lot" in lots
    answers.is_away = False
    clock.at += 3.0
    lots.run_once()
    assert "lot" not in lots
