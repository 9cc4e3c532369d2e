"""A lot is run to its end although the store goes down at one of its writes.

Guards against lots that nobody runs any more: a gateway took its own unanswered write for another
gateway's and dropped its lot (review/2).

The outage begins before, amid or after a write of the lot, in one of three ways, and the gateway
that owns the lot may be paused or killed within it. ``OUTAGE_SEEDS`` sets how many outages are
drawn for each kind of write and moment.
"""

from __future__ import annotations

import os
import signal
import threading
import time
from dataclasses import dataclass
from enum import Enum
from itertools import product
from random import Random
from typing import TYPE_CHECKING

import pytest

from tests.serve.fleet import PlatformFleet, wait_for
from tests.serve.machine_store import Fate, serve_to_machine
from tests.serve.trainer import submit
from tests.serving import serving

if TYPE_CHECKING:
    from collections.abc import Iterator

    from tests.serve.machine_store import MachineStore

SEEDS = range(1, 1 + int(os.environ.get("OUTAGE_SEEDS", "1")))
GATEWAYS = 3
SAMPLES = 24
EVENTS, GAP_S = 60, 0.05  # long enough that the text of running samples is saved
WRITTEN_S = 15.0  # within which a lot makes each kind of write
HAND_IN_S = 12.0  # a trainer's time, retries included
CALM_AFTER_S = 3.0  # bound contactMs of the users' deployments
IDLE_S = 5.0  # in steady state, after which waiting samples count as lost
SLOTS = 12
RUN_S = EVENTS * GAP_S * SAMPLES / SLOTS


class Write(Enum):
    """A kind of write of a lot."""

    HEAD = "lot/"
    RESULTS = "lot-chunk/"
    CHECKPOINT = "lot-text/"
    END = ""

    @classmethod
    def of(cls, keys: list[str], ends: bool) -> Write | None:
        """Return what a write of these keys is.

        :param ends: whether the lot has been submitted already, and is to be ended
        """
        by_prefix = {key.split("/")[0] + "/" for key in keys}
        for kind in (cls.RESULTS, cls.CHECKPOINT):
            if kind.value in by_prefix:
                return kind
        if cls.HEAD.value not in by_prefix:
            return None
        return cls.END if ends else cls.HEAD


class Moment(Enum):
    """When the store goes down: before the write is done, before it is answered, or then."""

    BEFORE = Fate.DROP
    AMID = Fate.LOSE
    AFTER = Fate.PASS


@dataclass(frozen=True)
class Outage:
    """One outage of the store.

    :param way: how calls fail: ``reset`` connections, ``silent`` ones, or ``rejected`` with 503
    :param owner: what happens to the gateway that owns the lot: nothing, ``paused`` or ``killed``
    """

    write: Write
    moment: Moment
    way: str
    duration_s: float
    owner: str

    @classmethod
    def draw(cls, write: Write, moment: Moment, seed: int) -> Outage:
        """Return the outage of a seed."""
        random = Random(f"{write.name} {moment.name} {seed}")
        way = random.choice(("reset", "silent", "rejected"))
        owner = random.choice(("", "", "paused", "killed"))
        return cls(write, moment, way, random.choice((0.3, 1.0, 2.0, 4.5, 6.0)), owner)


class OutageMaker:
    """Takes the store away from all machines at one write, and gives it back.

    :param lot: whose write that is
    """

    def __init__(
        self, fleet: PlatformFleet, stores: list[MachineStore], outage: Outage, lot: str
    ) -> None:
        self.fleet = fleet
        self.stores = stores
        self.outage = outage
        self.lot = lot
        self.armed = outage.write is not Write.END
        self.lock = threading.Lock()
        self.began = threading.Event()
        self.is_over = threading.Event()
        self.owner = fleet.gateways[0]
        for store in stores:
            store.decide = self._decide
            store.on_fate = self._on_fate

    def _decide(self, machine: str, keys: list[str]) -> Fate:
        with self.lock:
            if not self.armed or not self._is_chosen(keys):
                return Fate.PASS
            self.armed = False
        if self.outage.moment is Moment.BEFORE:
            self._begin()
        return self.outage.moment.value

    def _on_fate(self, machine: str, keys: list[str], fate: Fate) -> None:
        with self.lock:
            is_chosen = not self.armed and self._is_chosen(keys)
        if is_chosen and not self.began.is_set():
            if self.outage.moment is Moment.AFTER:
                threading.Timer(0.02, self._begin).start()  # once the response is on its way
            else:
                self._begin()

    def _is_chosen(self, keys: list[str]) -> bool:
        about_lot = any(self.lot in key.split("/") for key in keys)
        return about_lot and Write.of(keys, self.outage.write is Write.END) is self.outage.write

    def _begin(self) -> None:
        if self.began.is_set():
            return
        self.began.set()
        for store in self.stores:
            if self.outage.way == "reset":
                store.proxy.close_port()
            elif self.outage.way == "silent":
                store.proxy.partition(1.0, 1.0, Random(0))
            else:
                store.is_rejected = True
        threading.Thread(target=self._end_in_time, daemon=True).start()

    def _end_in_time(self) -> None:
        time.sleep(self.outage.duration_s / 2)
        if self.outage.owner == "killed":
            self.owner.process.kill()
        elif self.outage.owner == "paused":
            self.owner.process.send_signal(signal.SIGSTOP)
        time.sleep(self.outage.duration_s / 2)
        for store in self.stores:
            store.is_rejected = False
            store.proxy.heal()
            store.proxy.unblock()
            store.proxy.open_port()
        if self.outage.owner == "paused":
            self.owner.process.send_signal(signal.SIGCONT)
        elif self.outage.owner == "killed":
            self.owner.process.wait()
            self.owner.start()
        self.is_over.set()


@pytest.fixture
def outage_fleet(tmp_path) -> Iterator[tuple[PlatformFleet, list[MachineStore]]]:
    with serving() as serve:
        fleet = PlatformFleet(tmp_path, serve, gateways=GATEWAYS)
        for engine in fleet.engines:
            engine.faults.update(events=EVENTS, gap_s=GAP_S)
        stores = [serve_to_machine(box, fleet.store, serve) for box in fleet.boxes]
        try:  # a failed setup must not leave processes behind either
            fleet.start()
            yield fleet, stores
        finally:
            fleet.close()
            for store in stores:
                store.proxy.close()


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize(
    ("write", "moment"), list(product(Write, Moment)), ids=lambda one: one.name.lower()
)
def test_no_sample_idles_after_an_outage_at_a_write_of_its_lot(outage_fleet, write, moment, seed):
    """After the outage each sample runs within the time of steady state that is allowed."""
    fleet, stores = outage_fleet
    outage = Outage.draw(write, moment, seed)
    print(outage)
    maker = OutageMaker(fleet, stores, outage, "lot1")
    attempts = submit(fleet.gateways, "lot1", fleet.lot("lot1", SAMPLES), HAND_IN_S)
    print([(one.gateway, one.status, round(one.took_s, 2)) for one in attempts])
    assert attempts[-1].status == 202
    if write is Write.END:
        end_lot(fleet, maker)
        return
    assert maker.began.wait(WRITTEN_S)
    assert maker.is_over.wait(outage.duration_s + 5.0)
    reader = fleet.gateways[1]
    found: list[dict] = []

    def is_whole() -> bool:
        page = fleet.results(reader, "lot1", after=len(found))
        found.extend(page["results"] if page else ())
        return len(found) == SAMPLES

    wait_for(is_whole, "all samples are listed", CALM_AFTER_S + IDLE_S + RUN_S)
    assert len({row["id"] for row in found}) == SAMPLES
    assert {row["state"] for row in found} == {"succeeded"}


def end_lot(fleet: PlatformFleet, maker: OutageMaker) -> None:
    """End the lot while samples wait; none begins once the end is in force."""
    wait_for(lambda: any(engine.runs for engine in fleet.engines), "samples began")
    with maker.lock:
        maker.armed = True
    answered: list[int] = []

    def is_ended() -> bool:
        gateway = fleet.gateways[len(answered) % len(fleet.gateways)]
        answered.append(0)
        answered[-1] = gateway.call("DELETE", "/threadramp/lots/lot1", timeout_s=4.0).status
        return answered[-1] == 200

    wait_for(is_ended, "the end is acknowledged")
    print(answered)
    assert maker.began.wait(1.0)
    assert maker.is_over.wait(maker.outage.duration_s + 5.0)
    fleet.wait_until_ready()
    wait_for(is_ended, "the end is acknowledged after the outage")
    time.sleep(CALM_AFTER_S)
    begun = [len(engine.runs) for engine in fleet.engines]
    time.sleep(1.0)
    assert [len(engine.runs) for engine in fleet.engines] == begun
