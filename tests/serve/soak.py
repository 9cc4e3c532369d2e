"""A soak under faults: lots, reads and calls go on while processes, ways and the store fail.

Faults are drawn from a registry by a seed, one or two at a time. What must hold is checked as it is
seen (a position never changes, an answer is one's own) and once all is healed (lots are whole).
"""

from __future__ import annotations

import signal
import threading
import time
from collections import defaultdict
from contextlib import suppress
from random import Random
from typing import TYPE_CHECKING

from urllib3.exceptions import HTTPError

from tests.serve.fleet import CALLS, HOST, PlatformFleet, wait_for
from tests.serve.way import Way
from threadramp.config.registry import Registry

if TYPE_CHECKING:
    from collections.abc import Callable
    from pathlib import Path

EVENTS = 12
GAP_S = 0.04
SAMPLES = 8
LOT_EACH_S = 0.7
VERSION_EACH_S = 3.0
FAULT_EACH_S = 1.2
DEADLINE_MS = "6000"
WHOLE_WITHIN_S = 60.0  # after all is healed; a bound for a busy machine, not a promise
FAULTS: Registry[Callable[[Soak], Callable[[], None]]] = Registry()


class Soak:
    """One soak; ``run`` returns what was broken, empty if nothing was."""

    def __init__(self, folder: Path, serve, seed: int) -> None:
        self.random = Random(seed)
        self.fleet = PlatformFleet(folder, serve, gateways=3, engines=3)
        self.ways = [Way(self.fleet.store_address) for _ in self.fleet.boxes]
        for box, way in zip(self.fleet.boxes, self.ways, strict=True):
            box.settings["provider"]["address"] = way.address
            box.write()
        for engine in self.fleet.engines:
            engine.faults.update(events=EVENTS, gap_s=GAP_S)
        self.version = 1
        self.taken: dict[str, int] = {}
        self.refused: set[str] = set()
        self.seen: dict[str, dict[int, dict]] = defaultdict(dict)
        self.calls_not_run: set[str] = set()
        self.answered = 0
        self.broken: list[str] = []
        self.done: list[str] = []
        self.stopped = threading.Event()

    def run(self, seconds: float) -> list[str]:
        """Let it go on under faults for a while, heal all, and check what must hold."""
        self.fleet.start()
        threads = [
            threading.Thread(target=loop, daemon=True)
            for loop in (self._hand_in_lots, self._read_lots, self._call, self._name_versions)
        ]
        for thread in threads:
            thread.start()
        self._bring_faults(time.monotonic() + seconds)
        self.stopped.set()
        for thread in threads:
            thread.join()
        self._check_whole()
        self._check_not_run()
        return self.broken

    def close(self) -> None:
        """End all processes and ways."""
        self.fleet.close()
        for way in self.ways:
            way.close()

    def _bring_faults(self, until: float) -> None:
        while time.monotonic() < until:
            names = self.random.sample(sorted(FAULTS), self.random.choice((1, 2)))
            self.done += names
            heals = [FAULTS[name](self) for name in names]
            time.sleep(FAULT_EACH_S)
            for heal in heals:
                heal()
            time.sleep(self.random.uniform(0.2, FAULT_EACH_S))

    def _hand_in_lots(self) -> None:
        for number in range(10_000):
            if self.stopped.wait(LOT_EACH_S):
                return
            self._hand_in(f"lot{number}")

    def _hand_in(self, lot: str) -> None:
        """Hand a lot in as a trainer does: at another gateway after anything but 202."""
        least = max(1, self.version - 1)
        statuses = []
        for _ in range(3):
            statuses.append(self._post(lot, least))
            if statuses[-1] == 202:
                self.taken[lot] = least
                return
        if set(statuses) <= {429, 503}:
            self.refused.add(lot)

    def _post(self, lot: str, least: int) -> int:
        gateway = self.random.choice(self.fleet.gateways)
        body = self.fleet.lot(lot, samples=SAMPLES, min_version=least)
        with suppress(HTTPError, OSError):
            return gateway.call(
                "POST", f"/lots/{lot}", body=body, X_Attempt_Id=lot, X_Deadline_Ms=DEADLINE_MS
            ).status
        return 0

    def _read_lots(self) -> None:
        while not self.stopped.wait(0.05):
            if self.taken:
                lot = self.random.choice(list(self.taken))
                self._read(lot, self.random.randrange(SAMPLES))

    def _read(self, lot: str, after: int) -> None:
        gateway = self.random.choice(self.fleet.gateways)
        target = f"/threadramp/lots/{lot}?after={after}"
        with suppress(HTTPError, OSError):
            status = gateway.call("GET", target, host=HOST, timeout_s=3.0).status
            if status not in (200, 503):
                self.broken.append(f"{lot} at {gateway.name}: status {status}")
            page = self.fleet.results(gateway, lot, after=after)
            for place, row in enumerate(page["results"] if page else (), start=after):
                self._note(lot, place, row)

    def _note(self, lot: str, place: int, row: dict) -> None:
        """Compare a position with what it held before."""
        before = self.seen[lot].setdefault(place, row)
        if before != row:
            self.broken.append(f"{lot} position {place}: {before['id']} became {row['id']}")

    def _call(self) -> None:
        for number in range(100_000):
            if self.stopped.wait(0.05):
                return
            name = f"call{number}"
            gateway = self.random.choice(self.fleet.gateways)
            with suppress(HTTPError, OSError):
                answer = gateway.call("POST", "/x", host=CALLS, body=b"q", X_Attempt_Id=name)
                self._note_answer(name, answer.status, answer.data)

    def _note_answer(self, name: str, status: int, data: bytes) -> None:
        if status == 200:
            self.answered += 1
            if data != f"i-c0 answers {name}".encode():
                self.broken.append(f"{name} got {data!r}")
        elif status == 503:
            self.calls_not_run.add(name)

    def _name_versions(self) -> None:
        while not self.stopped.wait(VERSION_EACH_S):
            self.version += 1
            self.fleet.name_version(self.version)

    def _check_whole(self) -> None:
        """All lots that were taken become whole, and the same at each gateway."""
        for lot, least in self.taken.items():
            for gateway in self.fleet.gateways:
                rows = wait_for(
                    lambda box=gateway, name=lot: self._rows(box, name),
                    f"{lot} whole at {gateway.name}, faults: {self.done}",
                    WHOLE_WITHIN_S,
                )
                for place, row in enumerate(rows):
                    self._note(lot, place, row)
            self._check_rows(lot, least, rows)

    def _rows(self, gateway, lot: str) -> list[dict] | None:
        """Return all results of a lot, page by page; none if some are missing yet."""
        rows: list[dict] = []
        while True:
            page = self.fleet.results(gateway, lot, after=len(rows))
            if page is None or not page["results"]:
                return None
            rows += page["results"]
            if len(rows) == page["total"]:
                return rows

    def _check_rows(self, lot: str, least: int, rows: list[dict]) -> None:
        if len({row["id"] for row in rows}) != SAMPLES:
            self.broken.append(f"{lot}: {[row['id'] for row in rows]}")
        for row in rows:
            name = row["id"]
            if row["state"] != "succeeded":
                continue
            if row["text"] != "\n".join(f"{name}-{n}" for n in range(1, EVENTS + 1)):
                self.broken.append(f"{name}: text {row['text']!r}")
            if min(row["versions"]) < least or row["score"] != "sig-" + name.replace("-s", "-r"):
                self.broken.append(f"{name}: versions {row['versions']}, score {row['score']}")

    def _check_not_run(self) -> None:
        """What was refused has not run."""
        ran = {run["id"] for engine in self.fleet.engines for run in engine.runs}
        for lot in self.refused:
            if any(name.startswith(f"{lot}-") for name in ran):
                self.broken.append(f"{lot} was refused and ran")
        called = {run["id"] for run in self.fleet.callee.runs}
        for name in self.calls_not_run & called:
            self.broken.append(f"{name} was refused and ran")


def _restarted(box) -> Callable[[], None]:
    """Return what starts a process again once it has ended; it may be frozen meanwhile."""
    ended = box.process

    def heal() -> None:
        ended.send_signal(signal.SIGCONT)
        ended.wait()
        if box.process is ended:  # two faults may have ended it
            box.start()

    return heal


@FAULTS.register("gateway killed")
def kill_gateway(soak: Soak) -> Callable[[], None]:
    box = soak.random.choice(soak.fleet.gateways)
    box.process.kill()
    return _restarted(box)


@FAULTS.register("sidecar killed")
def kill_sidecar(soak: Soak) -> Callable[[], None]:
    box = soak.random.choice(soak.fleet.sidecars)
    box.process.kill()
    return _restarted(box)


@FAULTS.register("gateway stopped as planned")
def stop_gateway(soak: Soak) -> Callable[[], None]:
    box = soak.random.choice(soak.fleet.gateways)
    box.process.send_signal(signal.SIGTERM)
    return _restarted(box)


@FAULTS.register("process frozen")
def freeze(soak: Soak) -> Callable[[], None]:
    box = soak.random.choice([*soak.fleet.gateways, *soak.fleet.sidecars])
    box.process.send_signal(signal.SIGSTOP)
    return lambda: box.process.send_signal(signal.SIGCONT)


@FAULTS.register("all killed")
def kill_all(soak: Soak) -> Callable[[], None]:
    for box in soak.fleet.boxes:
        box.process.kill()
    heals = [_restarted(box) for box in soak.fleet.boxes]
    return lambda: [heal() for heal in heals]


@FAULTS.register("ways to the store shut")
def shut_ways(soak: Soak) -> Callable[[], None]:
    shut = soak.random.sample(soak.ways, 3)
    for way in shut:
        way.shut()
    return lambda: [way.open() for way in shut]


def _switch(soak: Soak, **faults) -> None:
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


__all__ = ["FAULTS", "Soak"]
