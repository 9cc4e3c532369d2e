"""A lot whose every attempt was refused never runs, whatever became of its writes.

Guards against lots that ran although each attempt had been answered 503: a write that may have been
done was reported as refused because its repeat, or this gateway's own call, was refused.

Real processes are started, and the check is on what the trainer and the engines see.
``REFUSED_LOTS_SEEDS`` sets how many rounds of drawn pairs of faults are played.
"""

from __future__ import annotations

import os
import signal
import threading
import time
from collections import defaultdict
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field
from enum import Enum, auto
from functools import partial
from itertools import combinations, count, product
from random import Random
from typing import TYPE_CHECKING

import msgspec
import pytest

from tests.serve.fleet import PlatformFleet, wait_for
from tests.serve.machine_store import Fate, serve_to_machine
from tests.serve.trainer import Attempt, attempt, is_refused, submit
from tests.serving import serving
from threadramp.platform.standins.store import encoded

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from tests.serve.fleet import Box
    from tests.serve.machine_store import MachineStore

ROUNDS = range(1, 1 + int(os.environ.get("REFUSED_LOTS_SEEDS", "1")))
PAIRS_PER_ROUND = 6
SAMPLES = 8
STORE_DOWN_S = 4.5
LONG_WAIT_S = 4.0  # a trainer's time
SHORT_WAIT_S = 2.5
PAUSED_S = 2.6  # longer than a gateway waits for a peer's reply
WATCHED_S = 2.5  # after the trouble, if the store has no such lot
SCANNED_S = 22.0  # gateways look for lots without an owner each 10 s
LARGE_BODY_BYTES = 100_000  # of each item, so that the lot is stored in several parts
PARTS_PREFIX = "lot-part/"


class Leg(Enum):
    """A way that a write takes to the store, or its outcome back."""

    KEPT = auto()
    NEW = auto()
    PEER = auto()
    REPLY = auto()


@dataclass
class Script:
    """The fates of the writes of one new lot; those that it does not name are rejected.

    :param own: fates of the writes of gateways, in order
    :param peers: fates of the writes of sidecars, which only relay them
    :param on_peer: by number of a sidecar's write, what is done to that sidecar once its fate is
        sealed
    """

    own: list[Fate] = field(default_factory=list)
    peers: list[Fate] = field(default_factory=list)
    on_peer: dict[int, Callable[[str], None]] = field(default_factory=dict)
    rest: Fate = Fate.REJECT
    relayed: int = 0
    lock: threading.Lock = field(default_factory=threading.Lock)

    def decide(self, machine: str) -> Fate:
        with self.lock:
            row = self.peers if machine.startswith("side-") else self.own
            return row.pop(0) if row else self.rest

    def act(self, machine: str) -> None:
        if not machine.startswith("side-"):
            return
        with self.lock:
            action = self.on_peer.get(self.relayed)
            self.relayed += 1
        if action is not None:
            action(machine)


class Machines:
    """A fleet in which each machine has its own way to the store."""

    def __init__(self, fleet: PlatformFleet, stores: dict[str, MachineStore]) -> None:
        self.fleet = fleet
        self.stores = stores
        self.scripts: dict[str, Script] = {}
        self.on_head: Callable[[str], None] = lambda lot: None
        self.writers: dict[str, set[str]] = defaultdict(set)  # machines that wrote a lot's head
        self.killed: list[Box] = []
        self.paused: list[Box] = []
        self.timers: list[threading.Timer] = []
        for store in stores.values():
            store.decide = self._decide
            store.on_fate = self._on_fate

    def _decide(self, machine: str, keys: list[str]) -> Fate:
        script = self.scripts.get(_lot_of(keys))
        return Fate.PASS if script is None else script.decide(machine)

    def _on_fate(self, machine: str, keys: list[str], fate: Fate) -> None:
        script = self.scripts.get(_lot_of(keys))
        if script is not None:
            script.act(machine)
        if f"lot/{_lot_of(keys)}" in keys and fate is Fate.PASS:
            self.writers[_lot_of(keys)].add(machine)
            self.on_head(_lot_of(keys))

    def box(self, name: str) -> Box:
        return next(box for box in self.fleet.boxes if box.name == name)

    def pause(self, machine: str) -> None:
        """Pause a process; it wakes up after its callers have given up."""
        box = self.box(machine)
        box.process.send_signal(signal.SIGSTOP)
        self.paused.append(box)
        timer = threading.Timer(PAUSED_S, box.process.send_signal, (signal.SIGCONT,))
        self.timers.append(timer)
        timer.start()

    def kill(self, machine: str) -> None:
        box = self.box(machine)
        box.process.kill()
        self.killed.append(box)

    def close_ports(self) -> None:
        for store in self.stores.values():
            store.proxy.close_port()

    def heal(self) -> None:
        """End all trouble; every process reaches the store again."""
        self.scripts.clear()
        self.on_head = lambda lot: None
        for store in self.stores.values():
            store.is_rejected = False
            store.proxy.heal()
            store.proxy.unblock()
            store.proxy.open_port()
        for timer in self.timers:
            timer.join()
        self.timers.clear()
        self.paused.clear()
        for box in self.killed:
            box.process.wait()
            box.start()
        self.killed.clear()

    def wait_until_calm(self, name: str) -> None:
        """Wait until every gateway writes a lot itself, so that it has a kept connection."""
        self.fleet.wait_until_ready()
        for gateway in self.fleet.gateways:
            lots = (f"calm-{name}-{gateway.name}-{number}" for number in count())
            wait_for(
                lambda box=gateway, lots=lots: self._writes(box, next(lots)),
                f"{gateway.name} writes a lot",
            )

    def _writes(self, gateway: Box, lot: str) -> bool:
        """Submit a lot; return whether this gateway wrote it without a peer."""
        return self.fleet.hand_in(gateway, lot) == 202 and gateway.name in self.writers[lot]

    def runs_of(self, lot: str) -> list[str]:
        """Return the ids of the items and reward calls of a lot that ran."""
        ran = [run["id"] for engine in self.fleet.engines for run in list(engine.runs)]
        ran += [run["id"] for run in list(self.fleet.callee.runs)]
        return [name for name in ran if name.startswith((f"{lot}-s", f"{lot}-r"))]

    def ran_though_refused(self, attempts: dict[str, list[Attempt]]) -> dict[str, str]:
        """Watch the engines once all trouble is over; return the refused lots that ran."""
        refused = [lot for lot, made in attempts.items() if is_refused(made)]
        watched_from = time.monotonic()

        def is_decided() -> bool:
            waiting = [lot for lot in refused if not self.runs_of(lot)]
            is_stored = any(self.fleet.keys(f"lot/{lot}") for lot in waiting)
            since_s = time.monotonic() - watched_from
            return not waiting or since_s > (SCANNED_S if is_stored else WATCHED_S)

        wait_for(is_decided, "time to watch is over", SCANNED_S + WATCHED_S)
        return {
            lot: f"{len(self.runs_of(lot))} runs after statuses {[a.status for a in attempts[lot]]}"
            for lot in refused
            if self.runs_of(lot)
        }


def _lot_of(keys: list[str]) -> str:
    """Return the lot that a write is about, empty if it is about none."""
    key = next((key for key in keys if key.startswith(("lot/", PARTS_PREFIX))), "")
    return key.split("/")[1] if key else ""


@pytest.fixture(scope="module")
def shared(tmp_path_factory) -> Iterator[Machines]:
    with serving() as serve:
        fleet = PlatformFleet(tmp_path_factory.mktemp("fleet"), serve)
        stores = {box.name: serve_to_machine(box, fleet.store, serve) for box in fleet.boxes}
        try:  # a failed setup must not leave processes behind either
            fleet.start()
            yield Machines(fleet, stores)
        finally:
            fleet.close()
            for store in stores.values():
                store.proxy.close()


@pytest.fixture
def machines(shared, request) -> Iterator[Machines]:
    shared.wait_until_calm(f"{time.monotonic():.2f}")
    yield shared
    shared.heal()


def in_parallel(calls: dict[str, Callable]) -> dict[str, list[Attempt]]:
    with ThreadPoolExecutor(len(calls)) as threads:
        running = {name: threads.submit(call) for name, call in calls.items()}
        return {name: one.result() for name, one in running.items()}


def print_attempts(attempts: dict[str, list[Attempt]]) -> None:
    for lot, made in attempts.items():
        print(lot, *(f"{one.gateway} {one.status} in {one.took_s:.2f} s" for one in made), sep=", ")


def large_lot(fleet: PlatformFleet, lot: str) -> bytes:
    table = msgspec.json.decode(fleet.lot(lot, SAMPLES))
    for row in table["requests"]:
        row["body"] = encoded(os.urandom(LARGE_BODY_BYTES))
    return msgspec.json.encode(table)


def hand_in(
    machines: Machines, lot: str, first: int = 0, within_s: float = LONG_WAIT_S, **options
) -> Callable[[], list[Attempt]]:
    """Return what hands a lot in.

    :param first: number of the gateway that is tried first
    """
    gateways = machines.fleet.gateways
    body = machines.fleet.lot(lot, SAMPLES)
    return partial(submit, gateways[first:] + gateways[:first], lot, body, within_s, **options)


def test_lots_written_as_the_store_went_down_do_not_run_if_refused(machines):
    """The store writes the heads, resets its connections and refuses new ones for some seconds.

    One lot comes in chunks; one comes to a second gateway as well while the first still retries.
    """
    lots = ("plain", "chunked", "twice")
    written = threading.Barrier(len(lots))

    def go_down(lot: str) -> None:
        if lot in lots:
            written.wait(LONG_WAIT_S)
            machines.close_ports()

    def hand_in_elsewhere() -> list[Attempt]:
        while not written.broken and all(machines.fleet.keys(f"lot/{lot}") == [] for lot in lots):
            time.sleep(0.01)
        return hand_in(machines, "twice", first=1, within_s=LONG_WAIT_S - 0.5)()

    machines.on_head = go_down
    up_again = threading.Timer(STORE_DOWN_S, machines.heal)
    up_again.start()
    attempts = in_parallel(
        {
            "plain": hand_in(machines, "plain"),
            "chunked": hand_in(machines, "chunked", is_chunked=True),
            "twice": hand_in(machines, "twice"),
            "elsewhere": hand_in_elsewhere,
        }
    )
    attempts["twice"] += attempts.pop("elsewhere")
    up_again.join()
    print_attempts(attempts)
    assert machines.ran_though_refused(attempts) == {}


@pytest.mark.parametrize("ways", [("rejected", "refused"), ("reset", "silent")], ids="-".join)
def test_lots_written_by_peers_of_gateways_that_are_turned_away_do_not_run_if_refused(
    machines, ways
):
    """The gateways have no way to the store, and its response to their peer is lost or late.

    Of one lot, which is stored in parts, a peer writes the first part alone.
    """
    fates = {"lost": Fate.LOSE, "late": Fate.LATE, "dropped": Fate.DROP}
    calls = {}
    for (number, way), (name, fate) in product(enumerate(ways), fates.items()):
        lot = f"{way}-{name}"
        machines.scripts[lot] = Script(peers=[fate])
        calls[lot] = hand_in(machines, lot, first=number, within_s=SHORT_WAIT_S)
    large = f"{ways[0]}-large"
    machines.scripts[large] = Script(peers=[Fate.PASS])
    body = large_lot(machines.fleet, large)
    calls[large] = partial(submit, machines.fleet.gateways, large, body, SHORT_WAIT_S)
    for gateway, way in zip(machines.fleet.gateways, ways, strict=True):
        turn_away(machines.stores[gateway.name], way)
    attempts = in_parallel(calls)
    print_attempts(attempts)
    assert machines.fleet.keys(f"{PARTS_PREFIX}{large}/")
    machines.heal()
    assert machines.ran_though_refused(attempts) == {}


def turn_away(store: MachineStore, way: str) -> None:
    """Let the store turn one machine away, with a status, a refused connection or otherwise."""
    if way == "rejected":
        store.is_rejected = True
    elif way == "refused":
        store.proxy.close_port()
    elif way == "reset":
        store.proxy.block()
    else:
        store.proxy.partition(1.0, 1.0, Random(0))


def test_a_lot_whose_peer_wrote_it_and_was_paused_does_not_run_if_refused(machines):
    """The store rejects the gateways; a sidecar writes for one and is paused before it replies."""
    for gateway in machines.fleet.gateways:
        machines.stores[gateway.name].is_rejected = True
    script = Script(peers=[Fate.PASS], on_peer={0: machines.pause})
    machines.scripts["paused"] = script
    attempts = {"paused": hand_in(machines, "paused", within_s=PAUSED_S + 0.2)()}
    print_attempts(attempts)
    assert machines.paused
    machines.heal()
    assert machines.ran_though_refused(attempts) == {}


DIRECT_LEGS = (Leg.KEPT, Leg.NEW, Leg.PEER)
DIRECT_FATES = (Fate.LOSE, Fate.DROP, Fate.LATE, Fate.REJECT, Fate.REFUSE)
REPLY_FATES = (Fate.LOSE, Fate.DROP, Fate.LATE)
Pair = dict[Leg, Fate]


def all_pairs() -> tuple[list[Pair], list[Pair]]:
    """Return the pairs of faults on two legs: without and with a peer whose reply is disturbed."""
    direct = [
        {one: fate, other: another}
        for one, other in combinations(DIRECT_LEGS, 2)
        for fate, another in product(DIRECT_FATES, repeat=2)
    ]
    with_reply = [
        {leg: fate, Leg.REPLY: reply}
        for leg, fate, reply in product(DIRECT_LEGS, DIRECT_FATES, REPLY_FATES)
    ]
    for number, pairs in enumerate((direct, with_reply)):
        Random(number).shuffle(pairs)
    return direct, with_reply


def pairs_of_round(number: int) -> list[Pair]:
    """Return the pairs that one round plays at once, one of them with a peer's reply."""
    direct, with_reply = all_pairs()
    first = (number - 1) * PAIRS_PER_ROUND
    drawn = [direct[place % len(direct)] for place in range(first, first + PAIRS_PER_ROUND)]
    return [*drawn, with_reply[(number - 1) % len(with_reply)]]


def script_of(pair: Pair, machines: Machines) -> Script:
    """Return the script of a pair; where it names no fault a write is rejected."""
    script = Script(own=[pair.get(leg, Fate.REJECT) for leg in (Leg.KEPT, Leg.NEW)])
    if Leg.PEER in pair:
        script.peers.append(pair[Leg.PEER])
    if Leg.REPLY in pair:
        reply = pair[Leg.REPLY]
        disturb = machines.pause if reply is Fate.LATE else machines.kill
        script.on_peer[len(script.peers)] = disturb
        script.peers.append(Fate.DROP if reply is Fate.DROP else Fate.PASS)
    return script


@pytest.mark.parametrize("number", ROUNDS)
def test_lots_with_two_faults_on_a_write_do_not_run_if_refused(machines, number):
    calls = {}
    pairs = pairs_of_round(number)
    for place, pair in enumerate(pairs):
        lot = f"round{number}-{place}"
        machines.scripts[lot] = script_of(pair, machines)
        first = place % len(machines.fleet.gateways)
        calls[lot] = hand_in(machines, lot, first, SHORT_WAIT_S)
    attempts = in_parallel(calls)
    for place, pair in enumerate(pairs):
        named = {leg.name: fate.name for leg, fate in pair.items()}
        print(named, [made.status for made in attempts[f"round{number}-{place}"]])
    machines.heal()
    assert machines.ran_though_refused(attempts) == {}


def test_a_store_that_refuses_every_call_makes_a_503_and_not_a_504(machines):
    """The trainer may submit the lot elsewhere without risk only after a promise.

    The store rejects the calls of half of the machines and refuses connections of the others.
    """
    ways = ("rejected", "refused")
    losses = {box.name: len(box.lines("store_lost")) for box in machines.fleet.gateways}
    for store in machines.stores.values():
        turn_away(store, ways[store.machine in ("front-1", "side-1")])
    for gateway in machines.fleet.gateways:
        wait_for(
            lambda box=gateway: len(box.lines("store_lost")) > losses[box.name],
            f"{gateway.name} has lost the store",
        )
    body = machines.fleet.lot("plainly", SAMPLES)
    calls = {
        gateway.name: partial(attempt, gateway, "plainly", body, LONG_WAIT_S)
        for gateway in machines.fleet.gateways
    }
    attempts = {name: [made] for name, made in in_parallel(calls).items()}
    print_attempts(attempts)
    for (made,) in attempts.values():
        assert made.status == 503
        assert made.retry_after_s > 0
        assert made.took_s < LONG_WAIT_S / 2
