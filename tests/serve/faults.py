"""The short faults that a soak test draws from.

Each function causes a fault and returns a function that heals it.
"""

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

FIRST_START_TIME = 1_700_000_000_000
SUSPENDED = "T"  # state in /proc/PID/stat of a process stopped by a signal
# Share of engine restarts after which the previous incarnation writes its entry once more.
LATE_WRITE_SHARE = 0.5

SHORT_FAULTS: Registry[Callable[[Soak], Callable[[], None]]] = Registry()


def resume_process(soak: Soak, box: Box, process: subprocess.Popen) -> None:
    """Resume a process, and record when if it was suspended."""
    was_suspended = _is_suspended(process)
    process.send_signal(signal.SIGCONT)
    if was_suspended:
        soak.resumed_at[box.name].append(time.monotonic())


def _is_suspended(process: subprocess.Popen) -> bool:
    with suppress(OSError):
        state = Path(f"/proc/{process.pid}/stat").read_text(encoding="utf-8")
        return state.rpartition(")")[2].split()[0] == SUSPENDED
    return False


def _restart_after_exit(soak: Soak, box: Box) -> Callable[[], None]:
    """Return what waits for a process to exit and restarts it; it may be suspended meanwhile."""
    exiting = box.process

    def heal() -> None:
        resume_process(soak, box, exiting)
        exiting.wait()
        with soak.restart_lock:
            if box.process is exiting:  # another fault may have restarted it already
                box.start()

    return heal


@SHORT_FAULTS.register("gateway killed")
def kill_gateway(soak: Soak) -> Callable[[], None]:
    box = soak.random.choice(soak.fleet.gateways)
    box.process.kill()
    return _restart_after_exit(soak, box)


@SHORT_FAULTS.register("all gateways killed")
def kill_gateways(soak: Soak) -> Callable[[], None]:
    for box in soak.fleet.gateways:
        box.process.kill()
    heals = [_restart_after_exit(soak, box) for box in soak.fleet.gateways]
    return lambda: [heal() for heal in heals]


@SHORT_FAULTS.register("sidecar killed")
def kill_sidecar(soak: Soak) -> Callable[[], None]:
    box = soak.random.choice(soak.fleet.sidecars)
    box.process.kill()
    return _restart_after_exit(soak, box)


@SHORT_FAULTS.register("gateway stopped gracefully")
def stop_gateway(soak: Soak) -> Callable[[], None]:
    box = soak.random.choice(soak.fleet.gateways)
    box.process.send_signal(signal.SIGTERM)
    return _restart_after_exit(soak, box)


@SHORT_FAULTS.register("process suspended")
def suspend_process(soak: Soak) -> Callable[[], None]:
    box = soak.random.choice([*soak.fleet.gateways, *soak.fleet.sidecars])
    box.process.send_signal(signal.SIGSTOP)
    return lambda: resume_process(soak, box, box.process)


@SHORT_FAULTS.register("all killed")
def kill_all(soak: Soak) -> Callable[[], None]:
    for box in soak.fleet.boxes:
        box.process.kill()
    heals = [_restart_after_exit(soak, box) for box in soak.fleet.boxes]
    return lambda: [heal() for heal in heals]


@SHORT_FAULTS.register("store traffic blocked")
def block_store_traffic(soak: Soak) -> Callable[[], None]:
    blocked = soak.random.sample(soak.store_proxies, 3)
    for proxy in blocked:
        proxy.block()
    return lambda: [proxy.unblock() for proxy in blocked]


@SHORT_FAULTS.register("open connections to the store blackholed")
def blackhole_store_connections(soak: Soak) -> Callable[[], None]:
    return _blackhole(soak.store_proxies)


@SHORT_FAULTS.register("open connections to engines blackholed")
def blackhole_engine_connections(soak: Soak) -> Callable[[], None]:
    return _blackhole(soak.engine_proxies)


def _blackhole(proxies: list[TcpProxy]) -> Callable[[], None]:
    """Blackhole the connections open now, for good; there is nothing to heal."""
    for proxy in proxies:
        proxy.blackhole()
    return lambda: None


def _set_store_faults(soak: Soak, **faults: object) -> None:
    soak.fleet.store.faults.update(faults)
    soak.fleet.store.faults_changed()


@SHORT_FAULTS.register("store outage")
def stop_store(soak: Soak) -> Callable[[], None]:
    _set_store_faults(soak, outage=True)
    return lambda: _set_store_faults(soak, outage=False)


@SHORT_FAULTS.register("store throttling")
def throttle_store(soak: Soak) -> Callable[[], None]:
    _set_store_faults(soak, calls_per_s=5)
    return lambda: _set_store_faults(soak, calls_per_s=0)


@SHORT_FAULTS.register("committed writes without response")
def lose_write_responses(soak: Soak) -> Callable[[], None]:
    _set_store_faults(soak, lose_answers=6)
    return lambda: _set_store_faults(soak, lose_answers=0)


@SHORT_FAULTS.register("writes delayed")
def delay_writes(soak: Soak) -> Callable[[], None]:
    _set_store_faults(soak, late_writes=4, late_s=1.0)
    return lambda: _set_store_faults(soak, late_writes=0)


@SHORT_FAULTS.register("history discarded")
def discard_history(soak: Soak) -> Callable[[], None]:
    _set_store_faults(soak, forget=True)
    return lambda: None


@SHORT_FAULTS.register("leases revoked")
def revoke_leases(soak: Soak) -> Callable[[], None]:
    _set_store_faults(soak, revoke=True)
    return lambda: None


@SHORT_FAULTS.register("engine cuts streams and refuses requests")
def break_engine_responses(soak: Soak) -> Callable[[], None]:
    engine = soak.random.choice(soak.fleet.engines)
    engine.faults.update(cut=3, reject=5, other_id=1)
    return lambda: engine.faults.update(cut=0, reject=0, other_id=0)


@SHORT_FAULTS.register("orders unanswered")
def leave_orders_unanswered(soak: Soak) -> Callable[[], None]:
    for engine in soak.fleet.engines:
        engine.faults.update(unanswered=1)
    return lambda: None


@SHORT_FAULTS.register("all sidecars killed")
def kill_sidecars(soak: Soak) -> Callable[[], None]:
    for box in soak.fleet.sidecars:
        box.process.kill()
    heals = [_restart_after_exit(soak, box) for box in soak.fleet.sidecars]
    return lambda: [heal() for heal in heals]


@SHORT_FAULTS.register("engine restarts under its id")
def restart_engine(soak: Soak) -> Callable[[], None]:
    engine = soak.random.choice(soak.fleet.engines)
    key = f"servers/{engine.instance}"
    entry = msgspec.json.decode(soak.fleet.value(key))
    born = engine.born + 1 if engine.born else FIRST_START_TIME
    engine.start_again(born)
    soak.fleet.put(key, entry | {"born": born})
    if soak.random.random() < LATE_WRITE_SHARE:
        soak.fleet.put(key, entry)
        return lambda: soak.fleet.put(key, entry | {"born": born})
    return lambda: None


@SHORT_FAULTS.register("endpoint crashes")
def crash_endpoint(soak: Soak) -> Callable[[], None]:
    soak.random.choice(soak.pool.endpoints).crash()
    return lambda: None


@SHORT_FAULTS.register("request that crashes endpoints")
def send_crashing_request(soak: Soak) -> Callable[[], None]:
    """Repeat one of two crashing requests at random gateways until the fault is healed."""
    target = f"/crashes/{soak.random.randrange(2)}"
    soak.crashing_targets.add(target)
    healed = threading.Event()
    gateways = [soak.random.choice(soak.fleet.gateways) for _ in range(20)]

    def repeat_request() -> None:
        for gateway in gateways:
            if healed.wait(0.1):
                return
            with suppress(HTTPError, OSError):
                gateway.call("POST", target, host=CALLS, body=b"q", X_Attempt_Id="crasher")

    thread = threading.Thread(target=repeat_request, daemon=True)
    thread.start()

    def heal() -> None:
        healed.set()
        thread.join()

    return heal


@SHORT_FAULTS.register("entries with invalid fields")
def register_invalid_entries(soak: Soak) -> Callable[[], None]:
    for number, engine in enumerate(soak.fleet.engines):
        entry = msgspec.json.decode(soak.fleet.value(f"servers/{engine.instance}"))
        invalid = soak.random.choice(({"state": "fine"}, {"slots": "6"}, {"backend": "nobody"}))
        soak.fleet.put(f"servers/x-{number}", entry | invalid)
    return lambda: [soak.fleet.remove(f"servers/x-{n}") for n in range(len(soak.fleet.engines))]


@SHORT_FAULTS.register("duty calls rejected and lost")
def reject_and_lose_duty_calls(soak: Soak) -> Callable[[], None]:
    soak.fleet.cloud.faults.update(turn_away=2, lose=2)
    return lambda: None


@SHORT_FAULTS.register("duty calls unanswered")
def delay_duty_calls(soak: Soak) -> Callable[[], None]:
    soak.fleet.cloud.faults["hold_s"] = 4.0
    return lambda: soak.fleet.cloud.faults.update(hold_s=0.0)


__all__ = ["SHORT_FAULTS", "resume_process"]
