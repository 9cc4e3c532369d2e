"""The faults of a soak test that bring two faults on one write of a lot.

Each function causes a fault, submits some lots under it, and returns a function that heals it. The
first write of a lot is lost, late or relayed by a process that is suspended; its repeats, and the
writes of other machines, are rejected meanwhile. So a write that may have been done is followed by
certain refusals.
"""

from __future__ import annotations

import signal
import threading
from typing import TYPE_CHECKING

from tests.serve.faults import resume_process
from tests.serve.machine_store import Fate
from threadramp.config.registry import Registry

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from tests.serve.machine_store import MachineStore
    from tests.serve.soak import Soak

PAIR_DURATIONS_S = ((1.0, 2.5), (2.5, 4.5))
LOTS_PER_FAULT = 3
REJECTED_SHARE = 0.8  # of the repeated writes
HEAD_PREFIX = "lot/"

PAIRED_FAULTS: Registry[Callable[[Soak, Random], Callable[[], None]]] = Registry()


class LotWriteFates:
    """Draws the fates of writes of lots while a fault lasts.

    :param first: fate of a lot's first write
    """

    def __init__(self, random: Random, first: Fate) -> None:
        self.random = random
        self.first = first
        self.seen: set[str] = set()
        self.lock = threading.Lock()

    def decide(self, machine: str, keys: list[str]) -> Fate:
        heads = [key for key in keys if key.startswith(HEAD_PREFIX)]
        if not heads:
            return Fate.PASS
        with self.lock:
            if heads[0] not in self.seen:
                self.seen.add(heads[0])
                return self.first
            return Fate.REJECT if self.random.random() < REJECTED_SHARE else Fate.PASS


@PAIRED_FAULTS.register("responses of lot writes lost while machines are turned away")
def lose_responses(soak: Soak, random: Random) -> Callable[[], None]:
    return _disturb_writes(soak, random, Fate.LOSE)


@PAIRED_FAULTS.register("lot writes done late while machines are turned away")
def delay_writes(soak: Soak, random: Random) -> Callable[[], None]:
    return _disturb_writes(soak, random, Fate.LATE)


@PAIRED_FAULTS.register("lot writes lost while machines are turned away")
def drop_writes(soak: Soak, random: Random) -> Callable[[], None]:
    return _disturb_writes(soak, random, Fate.DROP)


@PAIRED_FAULTS.register("relaying sidecar suspended while gateways are turned away")
def suspend_relay(soak: Soak, random: Random) -> Callable[[], None]:
    """Suspend the first sidecar that wrote a lot for a gateway, before it replies."""
    fates = LotWriteFates(random, Fate.PASS)
    heals = [_turn_away(soak.machine_stores[box.name], random) for box in soak.fleet.gateways]
    suspended: list[Callable[[], None]] = []
    lock = threading.Lock()

    def on_fate(machine: str, keys: list[str], fate: Fate) -> None:
        box = next((box for box in soak.fleet.sidecars if box.name == machine), None)
        if box is None or fate is not Fate.PASS or not _is_lot_write(keys):
            return
        with lock:
            if not suspended:
                process = box.process
                process.send_signal(signal.SIGSTOP)
                suspended.append(lambda: resume_process(soak, box, process))

    end = _begin(soak, random, fates.decide, on_fate)

    def heal() -> None:
        end()
        with lock:
            for resume in suspended:
                resume()
        for undo in heals:
            undo()

    return heal


@PAIRED_FAULTS.register("store gone after a lot write")
def stop_store_after_write(soak: Soak, random: Random) -> Callable[[], None]:
    """The next write of a lot is done; before its response is sent, no machine has a way left."""
    heals: list[Callable[[], None]] = []
    lock = threading.Lock()

    def on_fate(machine: str, keys: list[str], fate: Fate) -> None:
        if not _is_lot_write(keys):
            return
        with lock:
            if not heals:
                heals.extend(_close_port(store) for store in soak.machine_stores.values())

    end = _begin(soak, random, lambda machine, keys: Fate.PASS, on_fate)

    def heal() -> None:
        end()
        with lock:
            for undo in heals:
                undo()

    return heal


def _disturb_writes(soak: Soak, random: Random, first: Fate) -> Callable[[], None]:
    """Give first writes of lots a fate while some gateways, perhaps all, are turned away."""
    count = random.randint(1, len(soak.fleet.gateways))
    chosen = random.sample(soak.fleet.gateways, count)
    heals = [_turn_away(soak.machine_stores[box.name], random) for box in chosen]
    end = _begin(soak, random, LotWriteFates(random, first).decide)

    def heal() -> None:
        end()
        for undo in heals:
            undo()

    return heal


def _begin(
    soak: Soak,
    random: Random,
    decide: Callable[[str, list[str]], Fate],
    on_fate: Callable[[str, list[str], Fate], None] | None = None,
) -> Callable[[], None]:
    """Set the fates of writes and submit lots under them; return what ends the fates."""
    ignore = lambda machine, keys, fate: None  # noqa: E731
    for store in soak.machine_stores.values():
        store.decide = decide
        store.on_fate = on_fate or ignore
    soak.submit_at_once(LOTS_PER_FAULT, random)

    def end() -> None:
        for store in soak.machine_stores.values():
            store.decide = lambda machine, keys: Fate.PASS
            store.on_fate = ignore

    return end


def _turn_away(store: MachineStore, random: Random) -> Callable[[], None]:
    """Let the store turn a machine away, in a way drawn for it; return what lets it in again."""
    return random.choice((_reject, _reject, _close_port, _reset, _silence))(store)


def _reject(store: MachineStore) -> Callable[[], None]:
    store.is_rejected = True
    return lambda: setattr(store, "is_rejected", False)


def _close_port(store: MachineStore) -> Callable[[], None]:
    store.proxy.close_port()
    return store.proxy.open_port


def _reset(store: MachineStore) -> Callable[[], None]:
    store.proxy.block()
    return store.proxy.unblock


def _silence(store: MachineStore) -> Callable[[], None]:
    store.proxy.partition(1.0, 1.0, store.proxy.random)
    return store.proxy.heal


def _is_lot_write(keys: list[str]) -> bool:
    return any(key.startswith(HEAD_PREFIX) for key in keys)


__all__ = ["PAIRED_FAULTS", "PAIR_DURATIONS_S"]
