"""The faults of a soak test that last for seconds and run beside the short ones.

Each function causes a fault and returns a function that heals it, which the soak calls after a
drawn time. Some faults affect processes and their entries in the store, others network traffic; a
soak runs sequences of both kinds in parallel. One sequence starts with a sidecar that another box
replaces, because a replacement takes up most of a short soak.
"""

from __future__ import annotations

import signal
import threading
import time
from contextlib import suppress
from typing import TYPE_CHECKING

from tests.serve.faults import resume_process
from threadramp.config.registry import Registry
from threadramp.platform.standins.stuttering import Moment, Second, Stutter

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from tests.serve.fleet import Box
    from tests.serve.partitionable_proxy import PartitionableProxy
    from tests.serve.soak import Soak

LOCKS_PREFIX = "engine/"
MEMBERS_PREFIX = "member/"
# Shorter or longer than an entry takes to expire. It expires after 2 s, and the next holder of its
# lock then waits for another 5 s.
DURATIONS_S = ((0.2, 2.5), (2.5, 9.0))
POLL_S = 0.05
EXPIRY_S = 3.0  # after this time the entry of a suspended process expires by itself
ORDER_DELAY_S = 0.4  # a sidecar starts to order a published version within this time
RESTORED_SHARE = 0.6  # of the removed entries
# Share of the choices of a sidecar that take a replaced one, while there are any.
REPLACED_SHARE = 0.7
SUSPENSIONS = 6
SUSPENSION_S = (0.3, 1.3)  # of each suspension, and of the pause after it
DUPLICATE_SHARE = 0.5  # of the responses that are sent twice

PROCESS_FAULTS: Registry[Callable[[Soak, Random], Callable[[], None]]] = Registry()
REPLACEMENT_FAULTS: Registry[Callable[[Soak, Random], Callable[[], None]]] = Registry()
TAKEOVER_FAULTS: Registry[Callable[[Soak, Random], Callable[[], None]]] = Registry()
NETWORK_FAULTS: Registry[Callable[[Soak, Random], Callable[[], None]]] = Registry()


def _suspend(soak: Soak, box: Box) -> Callable[[], None]:
    """Suspend a process with SIGSTOP and return what resumes it."""
    process = box.process
    process.send_signal(signal.SIGSTOP)
    return lambda: resume_process(soak, box, process)


@PROCESS_FAULTS.register("gateway suspended")
def suspend_gateway(soak: Soak, random: Random) -> Callable[[], None]:
    return _suspend(soak, random.choice(soak.fleet.gateways))


@PROCESS_FAULTS.register("sidecar suspended")
def suspend_sidecar(soak: Soak, random: Random) -> Callable[[], None]:
    return _suspend(soak, _choose_sidecar(soak, random))


@PROCESS_FAULTS.register("sidecar suspended as a version is published")
def suspend_during_order(soak: Soak, random: Random) -> Callable[[], None]:
    soak.publish_version()
    time.sleep(random.uniform(0.0, ORDER_DELAY_S))
    return suspend_sidecar(soak, random)


@PROCESS_FAULTS.register("sidecar suspended and its entry removed")
def suspend_without_entry(soak: Soak, random: Random) -> Callable[[], None]:
    """Remove its entry some time later; it may be restored just before the process resumes."""
    box = _choose_sidecar(soak, random)
    heal = _suspend(soak, box)
    soak.stopped.wait(random.uniform(0.0, EXPIRY_S))
    restore_entry = _remove_entry(soak, box)
    is_restored = random.random() < RESTORED_SHARE

    def resume() -> None:
        if is_restored:
            restore_entry()
        heal()

    return resume


@PROCESS_FAULTS.register("sidecar suspended until a gateway takes over")
@REPLACEMENT_FAULTS.register("sidecar suspended until a gateway takes over")
def suspend_until_replaced(soak: Soak, random: Random) -> Callable[[], None]:
    """Resume it some time after a gateway has taken over its engine lock."""
    heal = suspend_without_entry(soak, random)
    _wait(soak, lambda: _gateway_holds_lock(soak))
    return heal


@PROCESS_FAULTS.register("sidecar suspended until a gateway orders")
@REPLACEMENT_FAULTS.register("sidecar suspended until a gateway orders")
def suspend_until_ordered(soak: Soak, random: Random) -> Callable[[], None]:
    """Resume it as soon as a gateway has given an order in its place."""
    before = _gateway_orders(soak)
    heal = suspend_without_entry(soak, random)
    _wait(soak, lambda: _gateway_orders(soak) > before)
    heal()
    return lambda: None


def _wait(soak: Soak, condition: Callable[[], bool]) -> None:
    """Wait for a condition, at most until the soak ends its faults."""
    while not soak.stopped.wait(POLL_S) and not condition():
        pass


def _gateway_orders(soak: Soak) -> int:
    gateways = {box.name for box in soak.fleet.gateways}
    orders = [order for engine in soak.fleet.engines for order in engine.arrived]
    return sum(order["holder"] in gateways for order in orders)


def _gateway_holds_lock(soak: Soak) -> bool:
    """Return whether a gateway holds the lock of an engine."""
    holders = [_holder(soak, key) for key in soak.fleet.keys(LOCKS_PREFIX)]
    return any(holder in soak.fleet.gateways for holder in holders)


@PROCESS_FAULTS.register("holder suspended after it verified its lock")
def suspend_after_verification(soak: Soak, random: Random) -> Callable[[], None]:
    """Suspend the first box that verifies an engine lock of its own, before it gets the response.

    When it resumes, it acts on a verification that may no longer be true.
    """
    suspended: list[Callable[[], None]] = []
    lock = threading.Lock()

    def on_read(key: str, value: bytes) -> None:
        if not key.startswith(LOCKS_PREFIX):
            return
        holder = _holder(soak, key)
        with lock:
            if holder is not None and not suspended:
                suspended.append(_suspend(soak, holder))

    soak.store_interceptor.read_callbacks.append(on_read)

    def heal() -> None:
        soak.store_interceptor.read_callbacks.remove(on_read)
        with lock:
            for resume in suspended:
                resume()

    return heal


@PROCESS_FAULTS.register("gateways start without the member list")
def start_without_members(soak: Soak, random: Random) -> Callable[[], None]:
    """Gateways that know the endpoints but no members take over engines with no visible sidecar."""
    soak.store_interceptor.refused_prefixes.append(MEMBERS_PREFIX)
    for box in random.sample(soak.fleet.gateways, random.randint(1, len(soak.fleet.gateways))):
        with soak.restart_lock:
            box.kill()
            box.start()
    return lambda: soak.store_interceptor.refused_prefixes.remove(MEMBERS_PREFIX)


@REPLACEMENT_FAULTS.register("gateways take over from suspended sidecars")
@TAKEOVER_FAULTS.register("gateways take over from suspended sidecars")
def take_over_from_sidecars(soak: Soak, random: Random) -> Callable[[], None]:
    """Gateways take over locks of running sidecars, which are suspended briefly, one at a time."""
    heal = start_without_members(soak, random)
    members_known = False
    for _ in range(SUSPENSIONS):
        resume = suspend_during_order(soak, random)
        soak.stopped.wait(random.uniform(*SUSPENSION_S))
        resume()
        if not members_known and _gateway_holds_lock(soak):
            members_known = True
            heal()
        soak.stopped.wait(random.uniform(*SUSPENSION_S))
    return (lambda: None) if members_known else heal


def _choose_sidecar(soak: Soak, random: Random) -> Box:
    """Return a random sidecar, preferably one whose engine lock a gateway holds."""
    replaced = [
        box
        for box in soak.fleet.sidecars
        if _holder(soak, LOCKS_PREFIX + box.settings["app"]) in soak.fleet.gateways
    ]
    prefer_replaced = replaced and random.random() < REPLACED_SHARE
    return random.choice(replaced if prefer_replaced else soak.fleet.sidecars)


def _holder(soak: Soak, key: str) -> Box | None:
    """Return the box that holds a lock according to the store."""
    with suppress(KeyError):  # no box holds it
        value = soak.fleet.value(key)
        return next((box for box in soak.fleet.boxes if box.name.encode() in value), None)
    return None


@PROCESS_FAULTS.register("entries of sidecars expire and come back")
def expire_entries(soak: Soak, random: Random) -> Callable[[], None]:
    """Remove entries repeatedly, each for less than the interval between two polls of a gateway."""
    healed = threading.Event()

    def expire() -> None:
        while not healed.wait(random.uniform(0.1, 1.0)):
            restore_entry = _remove_entry(soak, random.choice(soak.fleet.sidecars))
            time.sleep(random.uniform(0.02, 0.45))
            if random.random() < RESTORED_SHARE:
                restore_entry()

    thread = threading.Thread(target=expire, daemon=True)
    thread.start()

    def heal() -> None:
        healed.set()
        thread.join()

    return heal


def _remove_entry(soak: Soak, box: Box) -> Callable[[], None]:
    """Remove a member entry; return what restores it unless it has been written meanwhile."""
    store = soak.fleet.store
    key = MEMBERS_PREFIX + box.name
    with store.changed:
        held = store.data.get(key)
        if held is None:
            return lambda: None
        store._commit({"remove": [key]})
    row = {"key": key, "value": held.value, "lease": held.lease}
    return lambda: store._commit({"expected": [{"key": key, "rev": 0}], "puts": [row]})


@NETWORK_FAULTS.register("engine traffic partitioned")
def partition_engine_traffic(soak: Soak, random: Random) -> Callable[[], None]:
    return _partition(random, soak.engine_proxies)


@NETWORK_FAULTS.register("store traffic partitioned")
def partition_store_traffic(soak: Soak, random: Random) -> Callable[[], None]:
    return _partition(random, soak.store_proxies)


@NETWORK_FAULTS.register("all traffic partitioned")
def partition_all_traffic(soak: Soak, random: Random) -> Callable[[], None]:
    return _partition(random, [*soak.engine_proxies, *soak.store_proxies])


def _partition(random: Random, proxies: list[PartitionableProxy]) -> Callable[[], None]:
    """Partition some proxies, on all connections or on some; new connections may work."""
    partitioned = random.sample(proxies, random.randint(1, len(proxies)))
    share = random.choice((0.5, 1.0))
    new_share = random.choice((0.0, 0.5, 1.0))
    for proxy in partitioned:
        proxy.partition(share, new_share, random)
    return lambda: [proxy.heal() for proxy in partitioned]


@NETWORK_FAULTS.register("stuttering endpoints (duplicate responses)")
def send_duplicate_responses(soak: Soak, random: Random) -> Callable[[], None]:
    """Let each endpoint send duplicate responses, of a kind and at a moment drawn for it."""
    for proxy in soak.duplicating_proxies:
        second = random.choice(list(Second))
        moment = random.choice(list(Moment))
        proxy.stutter = Stutter(second, moment, DUPLICATE_SHARE)
        soak.duplicates_drawn.append((second, moment))

    def heal() -> None:
        for proxy in soak.duplicating_proxies:
            proxy.stutter = None

    return heal


__all__ = [
    "DURATIONS_S",
    "NETWORK_FAULTS",
    "PROCESS_FAULTS",
    "REPLACEMENT_FAULTS",
    "TAKEOVER_FAULTS",
]
