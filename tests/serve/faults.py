"""The faults that a soak draws from; each returns what heals it."""

from __future__ import annotations

import signal
import threading
import time
from contextlib import suppress
from pathlib import Path
from typing import TYPE_CHECKING

import msgspec
from urllib3.exceptions import HTTPError

from tests.serve.fleet import CALLS
from threadramp.config.registry import Registry

if TYPE_CHECKING:
    import subprocess
    from collections.abc import Callable

    from tests.serve.fleet import Box
    from tests.serve.soak import Soak
    from tests.serve.tcp_proxy import TcpProxy

FIRST_BIRTH = 1_700_000_000_000
STOPPED = "T"  # the state of a process that stands still
LATE_SHARE = 0.5  # of restarts after which the start before writes its entry once more

FAULTS: Registry[Callable[[Soak], Callable[[], None]]] = Registry()


def go_on(soak: Soak, box: Box, process: subprocess.Popen) -> None:
    """Let a process go on that may stand still, and note when if it did."""
    stood_still = _stands_still(process)
    process.send_signal(signal.SIGCONT)
    if stood_still:
        soak.thawed[box.name].append(time.monotonic())


def _stands_still(process: subprocess.Popen) -> bool:
    with suppress(OSError):
        state = Path(f"/proc/{process.pid}/stat").read_text(encoding="utf-8")
        return state.rpartition(")")[2].split()[0] == STOPPED
    return False


def _restarted(soak: Soak, box: Box) -> Callable[[], None]:
    """Return what starts a process again once it has ended; it may be frozen meanwhile."""
    ended = box.process

    def heal() -> None:
        go_on(soak, box, ended)
        ended.wait()
        with soak.restarting:
            if box.process is ended:  # two faults may have ended it
                box.start()

    return heal


@FAULTS.register("gateway killed")
def kill_gateway(soak: Soak) -> Callable[[], None]:
    box = soak.random.choice(soak.fleet.gateways)
    box.process.kill()
    return _restarted(soak, box)


@FAULTS.register("all gateways killed")
def kill_gateways(soak: Soak) -> Callable[[], None]:
    for box in soak.fleet.gateways:
        box.process.kill()
    heals = [_restarted(soak, box) for box in soak.fleet.gateways]
    return lambda: [heal() for heal in heals]


@FAULTS.register("sidecar killed")
def kill_sidecar(soak: Soak) -> Callable[[], None]:
    box = soak.random.choice(soak.fleet.sidecars)
    box.process.kill()
    return _restarted(soak, box)


@FAULTS.register("gateway stopped as planned")
def stop_gateway(soak: Soak) -> Callable[[], None]:
    box = soak.random.choice(soak.fleet.gateways)
    box.process.send_signal(signal.SIGTERM)
    return _restarted(soak, box)


@FAULTS.register("process frozen")
def freeze(soak: Soak) -> Callable[[], None]:
    box = soak.random.choice([*soak.fleet.gateways, *soak.fleet.sidecars])
    box.process.send_signal(signal.SIGSTOP)
    return lambda: go_on(soak, box, box.process)


@FAULTS.register("all killed")
def kill_all(soak: Soak) -> Callable[[], None]:
    for box in soak.fleet.boxes:
        box.process.kill()
    heals = [_restarted(soak, box) for box in soak.fleet.boxes]
    return lambda: [heal() for heal in heals]


@FAULTS.register("ways to the store shut")
def shut_ways(soak: Soak) -> Callable[[], None]:
    shut = soak.random.sample(soak.ways, 3)
    for way in shut:
        way.block()
    return lambda: [way.unblock() for way in shut]


@FAULTS.register("open connections to the store silent")
def silence_ways(soak: Soak) -> Callable[[], None]:
    return _silence(soak.ways)


@FAULTS.register("open connections to engines silent")
def silence_engine_ways(soak: Soak) -> Callable[[], None]:
    return _silence(soak.engine_ways)


def _silence(ways: list[TcpProxy]) -> Callable[[], None]:
    """Let what is open now pass nothing for good; there is nothing to heal."""
    for way in ways:
        way.blackhole()
    return lambda: None


def _switch(soak: Soak, **faults: object) -> None:
    soak.fleet.store.faults.update(faults)
    soak.fleet.store.faults_changed()


@FAULTS.register("store away")
def store_away(soak: Soak) -> Callable[[], None]:
    _switch(soak, outage=True)
    return lambda: _switch(soak, outage=False)


@FAULTS.register("store turns calls away")
def store_full(soak: Soak) -> Callable[[], None]:
    _switch(soak, calls_per_s=5)
    return lambda: _switch(soak, calls_per_s=0)


@FAULTS.register("answers of the store lost")
def lose_answers(soak: Soak) -> Callable[[], None]:
    _switch(soak, lose_answers=6)
    return lambda: _switch(soak, lose_answers=0)


@FAULTS.register("writes done late")
def late_writes(soak: Soak) -> Callable[[], None]:
    _switch(soak, late_writes=4, late_s=1.0)
    return lambda: _switch(soak, late_writes=0)


@FAULTS.register("history forgotten")
def forget(soak: Soak) -> Callable[[], None]:
    _switch(soak, forget=True)
    return lambda: None


@FAULTS.register("leases revoked")
def revoke(soak: Soak) -> Callable[[], None]:
    _switch(soak, revoke=True)
    return lambda: None


@FAULTS.register("engine cuts and refuses")
def spoil_engine(soak: Soak) -> Callable[[], None]:
    engine = soak.random.choice(soak.fleet.engines)
    engine.faults.update(cut=3, reject=5, other_id=1)
    return lambda: engine.faults.update(cut=0, reject=0, other_id=0)


@FAULTS.register("orders unanswered")
def lose_orders(soak: Soak) -> Callable[[], None]:
    for engine in soak.fleet.engines:
        engine.faults.update(unanswered=1)
    return lambda: None


@FAULTS.register("all sidecars killed")
def kill_sidecars(soak: Soak) -> Callable[[], None]:
    for box in soak.fleet.sidecars:
        box.process.kill()
    heals = [_restarted(soak, box) for box in soak.fleet.sidecars]
    return lambda: [heal() for heal in heals]


@FAULTS.register("engine starts again under its id")
def start_engine_again(soak: Soak) -> Callable[[], None]:
    engine = soak.random.choice(soak.fleet.engines)
    key = f"servers/{engine.instance}"
    entry = msgspec.json.decode(soak.fleet.value(key))
    born = engine.born + 1 if engine.born else FIRST_BIRTH
    engine.start_again(born)
    soak.fleet.put(key, entry | {"born": born})
    if soak.random.random() < LATE_SHARE:  # the start before writes once more
        soak.fleet.put(key, entry)
        return lambda: soak.fleet.put(key, entry | {"born": born})
    return lambda: None


@FAULTS.register("endpoint crashes by itself")
def crash_endpoint(soak: Soak) -> Callable[[], None]:
    soak.random.choice(soak.pool.endpoints).crash()
    return lambda: None


@FAULTS.register("request that crashes endpoints")
def send_crasher(soak: Soak) -> Callable[[], None]:
    """It comes again and again, at any gateway, until it is healed; one of two is an old one."""
    target = f"/crashes/{soak.random.randrange(2)}"
    soak.crashers.add(target)
    healed = threading.Event()
    gateways = [soak.random.choice(soak.fleet.gateways) for _ in range(20)]

    def come_again() -> None:
        for gateway in gateways:
            if healed.wait(0.1):
                return
            with suppress(HTTPError, OSError):
                gateway.call("POST", target, host=CALLS, body=b"q", X_Attempt_Id="crasher")

    thread = threading.Thread(target=come_again, daemon=True)
    thread.start()

    def heal() -> None:
        healed.set()
        thread.join()

    return heal


@FAULTS.register("entries of other writers")
def list_foreign(soak: Soak) -> Callable[[], None]:
    for number, engine in enumerate(soak.fleet.engines):
        entry = msgspec.json.decode(soak.fleet.value(f"servers/{engine.instance}"))
        spoiled = soak.random.choice(({"state": "fine"}, {"slots": "6"}, {"backend": "nobody"}))
        soak.fleet.put(f"servers/x-{number}", entry | spoiled)
    return lambda: [soak.fleet.remove(f"servers/x-{n}") for n in range(len(soak.fleet.engines))]


@FAULTS.register("calls of duties turned away and lost")
def misbehaving_cloud(soak: Soak) -> Callable[[], None]:
    soak.fleet.cloud.faults.update(turn_away=2, lose=2)
    return lambda: None


@FAULTS.register("calls of duties unanswered")
def silent_cloud(soak: Soak) -> Callable[[], None]:
    soak.fleet.cloud.faults["hold_s"] = 4.0
    return lambda: soak.fleet.cloud.faults.update(hold_s=0.0)


__all__ = ["FAULTS", "go_on"]
