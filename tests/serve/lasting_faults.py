"""The faults of a soak that last for seconds, beside those that come and go.

Each returns what heals it, after a time that is drawn for it. Some concern processes and their
entries, others bytes; a soak goes through rows of both at once. One row begins with a sidecar that
another box replaces, since that takes up most of a short soak.
"""

from __future__ import annotations

import signal
import threading
import time
from contextlib import suppress
from typing import TYPE_CHECKING

from tests.serve.faults import go_on
from threadramp.config.registry import Registry
from threadramp.platform.standins.stuttering import Moment, Second, Stutter

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from tests.serve.fleet import Box
    from tests.serve.partitionable_proxy import PartitionableProxy
    from tests.serve.soak import Soak

RIGHTS = "engine/"
MEMBERS = "member/"
# Shorter than an entry needs to lapse, or longer; the next holder waits for 5 s after 2 s.
LENGTHS_S = ((0.2, 2.5), (2.5, 9.0))
LOOK_S = 0.05
LAPSE_S = 3.0  # after which the entry of a process that stands still goes by itself
AS_NAMED_S = 0.4  # within which a sidecar begins to order what was named
COMES_BACK_SHARE = 0.6  # of entries that were taken away
REPLACED_SHARE = 0.7  # of the choices of a sidecar, while there are replaced ones
STUMBLES = 6
STUMBLE_S = (0.3, 1.3)  # each, and between two of them
STUTTERING_SHARE = 0.5

STANDING: Registry[Callable[[Soak, Random], Callable[[], None]]] = Registry()
REPLACED: Registry[Callable[[Soak, Random], Callable[[], None]]] = Registry()
STUMBLING: Registry[Callable[[Soak, Random], Callable[[], None]]] = Registry()
PASSING: Registry[Callable[[Soak, Random], Callable[[], None]]] = Registry()


def _stand_still(soak: Soak, box: Box) -> Callable[[], None]:
    """Stop a process where it stands, and return what lets it go on."""
    process = box.process
    process.send_signal(signal.SIGSTOP)
    return lambda: go_on(soak, box, process)


@STANDING.register("gateway stands still")
def stop_gateway(soak: Soak, random: Random) -> Callable[[], None]:
    return _stand_still(soak, random.choice(soak.fleet.gateways))


@STANDING.register("sidecar stands still")
def stop_sidecar(soak: Soak, random: Random) -> Callable[[], None]:
    return _stand_still(soak, _some_sidecar(soak, random))


@STANDING.register("sidecar stands still as a version is named")
def stop_as_named(soak: Soak, random: Random) -> Callable[[], None]:
    soak.name_version()
    time.sleep(random.uniform(0.0, AS_NAMED_S))
    return stop_sidecar(soak, random)


@STANDING.register("sidecar stands still and its entry is gone")
def stop_unlisted(soak: Soak, random: Random) -> Callable[[], None]:
    """The entry goes a while later, and is back before the process goes on, or not."""
    box = _some_sidecar(soak, random)
    heal = _stand_still(soak, box)
    soak.stopped.wait(random.uniform(0.0, LAPSE_S))
    write_back = _take_entry(soak, box)
    comes_back = random.random() < COMES_BACK_SHARE

    def goes_on() -> None:
        if comes_back:
            write_back()
        heal()

    return goes_on


@STANDING.register("sidecar stands still until a gateway stands in")
@REPLACED.register("sidecar stands still until a gateway stands in")
def stop_until_replaced(soak: Soak, random: Random) -> Callable[[], None]:
    """It goes on a while after a gateway took its right to order."""
    heal = stop_unlisted(soak, random)
    _wait(soak, lambda: _gateway_holds(soak))
    return heal


@STANDING.register("sidecar stands still until a gateway orders")
@REPLACED.register("sidecar stands still until a gateway orders")
def stop_until_ordered(soak: Soak, random: Random) -> Callable[[], None]:
    """It goes on as soon as a gateway gave an order in its place."""
    before = _orders_of_gateways(soak)
    heal = stop_unlisted(soak, random)
    _wait(soak, lambda: _orders_of_gateways(soak) > before)
    heal()
    return lambda: None


def _wait(soak: Soak, condition: Callable[[], bool]) -> None:
    """Wait for a condition, but not beyond the faults of a soak."""
    while not soak.stopped.wait(LOOK_S) and not condition():
        pass


def _orders_of_gateways(soak: Soak) -> int:
    gateways = {box.name for box in soak.fleet.gateways}
    orders = [order for engine in soak.fleet.engines for order in engine.arrived]
    return sum(order["holder"] in gateways for order in orders)


def _gateway_holds(soak: Soak) -> bool:
    """Return whether a gateway holds the right to order an engine."""
    holders = [_holder(soak, key) for key in soak.fleet.keys(RIGHTS)]
    return any(holder in soak.fleet.gateways for holder in holders)


@STANDING.register("holder stands still behind its proof")
def stop_behind_proof(soak: Soak, random: Random) -> Callable[[], None]:
    """Whoever reads that it holds a right to order is stopped before the answer reaches it."""
    stopped: list[Callable[[], None]] = []
    lock = threading.Lock()

    def read(key: str, answer: bytes) -> None:
        if not key.startswith(RIGHTS):
            return
        holder = _holder(soak, key)
        with lock:
            if holder is not None and not stopped:
                stopped.append(_stand_still(soak, holder))

    soak.gate.readers.append(read)

    def heal() -> None:
        soak.gate.readers.remove(read)
        with lock:
            for goes_on in stopped:
                goes_on()

    return heal


@STANDING.register("gateways begin without the list of members")
def begin_without_members(soak: Soak, random: Random) -> Callable[[], None]:
    """They hear of endpoints and take over what seems to have nobody."""
    soak.gate.refused.append(MEMBERS)
    for box in random.sample(soak.fleet.gateways, random.randint(1, len(soak.fleet.gateways))):
        with soak.restarting:
            box.kill()
            box.start()
    return lambda: soak.gate.refused.remove(MEMBERS)


@REPLACED.register("gateways stand in for sidecars that stumble")
@STUMBLING.register("gateways stand in for sidecars that stumble")
def stand_in(soak: Soak, random: Random) -> Callable[[], None]:
    """Gateways take rights of sidecars that live; these stand still for a moment, in turns."""
    heal = begin_without_members(soak, random)
    known = False
    for _ in range(STUMBLES):
        goes_on = stop_as_named(soak, random)
        soak.stopped.wait(random.uniform(*STUMBLE_S))
        goes_on()
        if not known and _gateway_holds(soak):
            known = True
            heal()
        soak.stopped.wait(random.uniform(*STUMBLE_S))
    return (lambda: None) if known else heal


def _some_sidecar(soak: Soak, random: Random) -> Box:
    """Return a sidecar, rather one whose engine a gateway has the right to order."""
    replaced = [
        box
        for box in soak.fleet.sidecars
        if _holder(soak, RIGHTS + box.settings["app"]) in soak.fleet.gateways
    ]
    rather = replaced and random.random() < REPLACED_SHARE
    return random.choice(replaced if rather else soak.fleet.sidecars)


def _holder(soak: Soak, key: str) -> Box | None:
    """Return who holds a right by what the store has."""
    with suppress(KeyError):  # nobody does
        value = soak.fleet.value(key)
        return next((box for box in soak.fleet.boxes if box.name.encode() in value), None)
    return None


@STANDING.register("entries of sidecars lapse and come back")
def entries_lapse(soak: Soak, random: Random) -> Callable[[], None]:
    """Again and again, each for less than the pause between two questions of a gateway."""
    healed = threading.Event()

    def lapse() -> None:
        while not healed.wait(random.uniform(0.1, 1.0)):
            write_back = _take_entry(soak, random.choice(soak.fleet.sidecars))
            time.sleep(random.uniform(0.02, 0.45))
            if random.random() < COMES_BACK_SHARE:
                write_back()

    thread = threading.Thread(target=lapse, daemon=True)
    thread.start()

    def heal() -> None:
        healed.set()
        thread.join()

    return heal


def _take_entry(soak: Soak, box: Box) -> Callable[[], None]:
    """Take a member out of the list and return what writes it back, if nobody else has."""
    store = soak.fleet.store
    key = MEMBERS + box.name
    with store.changed:
        held = store.data.get(key)
        if held is None:
            return lambda: None
        store._commit({"remove": [key]})
    row = {"key": key, "value": held.value, "lease": held.lease}
    return lambda: store._commit({"expected": [{"key": key, "rev": 0}], "puts": [row]})


@PASSING.register("bytes to engines lie in a cut")
def cut_engine_ways(soak: Soak, random: Random) -> Callable[[], None]:
    return _cut(random, soak.engine_ways)


@PASSING.register("bytes to the store lie in a cut")
def cut_store_ways(soak: Soak, random: Random) -> Callable[[], None]:
    return _cut(random, soak.ways)


@PASSING.register("bytes to all lie in a cut")
def cut_all_ways(soak: Soak, random: Random) -> Callable[[], None]:
    return _cut(random, [*soak.engine_ways, *soak.ways])


def _cut(random: Random, ways: list[PartitionableProxy]) -> Callable[[], None]:
    """Cut some ways, on all connections or on some; new ones may work."""
    cut = random.sample(ways, random.randint(1, len(ways)))
    share = random.choice((0.5, 1.0))
    share_of_new = random.choice((0.0, 0.5, 1.0))
    for way in cut:
        way.partition(share, share_of_new, random)
    return lambda: [way.heal() for way in cut]


@PASSING.register("endpoints stutter")
def stutter(soak: Soak, random: Random) -> Callable[[], None]:
    """Each endpoint in a way of its own."""
    for front in soak.fronts:
        second = random.choice(list(Second))
        moment = random.choice(list(Moment))
        front.stutter = Stutter(second, moment, STUTTERING_SHARE)
        soak.stuttered.append((second, moment))

    def heal() -> None:
        for front in soak.fronts:
            front.stutter = None

    return heal


__all__ = ["LENGTHS_S", "PASSING", "REPLACED", "STANDING", "STUMBLING"]
