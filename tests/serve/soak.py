"""A soak under faults: lots, reads and calls go on while processes, ways and the store fail.

Faults are drawn from a registry by a seed, one or two at a time. What must hold is checked as it is
seen (a position never changes, an answer is one's own) and once all is healed (lots are whole).
"""

from __future__ import annotations

import threading
import time
from collections import defaultdict
from contextlib import suppress
from random import Random
from typing import TYPE_CHECKING

from urllib3.exceptions import HTTPError

from tests.serve.crashing_pool import CrashingPool
from tests.serve.faults import FAULTS
from tests.serve.fleet import CALLS, HOST, PlatformFleet, is_engine, wait_for
from tests.serve.keys_in_turn import STEADY_KEY, OrganisationKeysInTurn
from tests.serve.way import put_before, serve_behind

if TYPE_CHECKING:
    from collections.abc import Callable
    from pathlib import Path

    from tests.serve.fleet import Box
    from tests.serve.way import Way
    from threadramp.standins.server import StandIn

EVENTS = 12
GAP_S = 0.04
SAMPLES = 8
LOT_EACH_S = 0.7
VERSION_EACH_S = 3.0
FAULT_EACH_S = 1.2
DEADLINE_MS = "6000"
CRASHING = 3  # endpoints for callers that crash under some requests
UNDER_ONE = 3  # endpoints that may end before a request is known
MORE_MOST = 3  # and after that, for trials
FORGETFUL = {"all killed", "gateway killed", "gateway stopped as planned", "process frozen"}
WINDOW_S = 2.0
APART_S = 3.0  # holders of the duties may not take turns within this time
WHOLE_WITHIN_S = 60.0  # after all is healed; a bound for a busy machine, not a promise


class Soak:
    """One soak; ``run`` returns what was broken, empty if nothing was."""

    def __init__(self, folder: Path, serve: Callable[[StandIn], str], seed: int) -> None:
        self.random = Random(seed)
        self.engine_ways: list[Way] = []
        behind = serve_behind(serve, self.engine_ways, is_engine)
        self.fleet = PlatformFleet(folder, behind, gateways=3, engines=3, window_s=WINDOW_S)
        self.keys = OrganisationKeysInTurn(self.fleet)
        for gateway in self.fleet.gateways:
            gateway.key = STEADY_KEY
        self.ways = [put_before(box, self.fleet.store_address) for box in self.fleet.boxes]
        for engine in self.fleet.engines:
            engine.faults.update(events=EVENTS, gap_s=GAP_S)
        self.pool = CrashingPool(self.fleet, "calls", "c", CRASHING)
        self.crashers: set[str] = set()
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
            for loop in (
                self._hand_in_lots,
                self._read_lots,
                self._call,
                self._name_versions,
                lambda: self.keys.turn_until(self.stopped),
            )
        ]
        for thread in threads:
            thread.start()
        self._bring_faults(time.monotonic() + seconds)
        self.stopped.set()
        for thread in threads:
            thread.join()
        self._check_whole()
        self._check_not_run()
        self._check_orders()
        self._check_crashers()
        self.broken += self.keys.broken()
        self.broken += self.fleet.cloud.broken(APART_S)
        return self.broken

    def _check_orders(self) -> None:
        """Look whether numbers of orders fell, or two holders shared one."""
        for engine in self.fleet.engines:
            orders = [(order["fence"], order["holder"]) for order in engine.orders]
            numbers = [number for number, _ in orders]
            if numbers != sorted(numbers) or len({n for n, _ in set(orders)}) != len(set(orders)):
                self.broken.append(f"{engine.instance}: orders {orders}")

    def _check_crashers(self) -> None:
        """Look whether requests that crash endpoints were sent on, unless what is known was lost.

        Gateways that end while the store takes nothing take what they knew with them.
        """
        if FORGETFUL & set(self.done):
            return
        for target in self.crashers:
            begun = self.pool.begun(target)
            if begun > UNDER_ONE + MORE_MOST:
                self.broken.append(f"{target}: begun {begun} times, faults {self.done}")

    def close(self) -> None:
        """End all processes and ways."""
        self.fleet.close()
        self.pool.close()
        for way in (*self.ways, *self.engine_ways):
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
                answer = gateway.call(
                    "POST", "/x", host=CALLS, body=b"q", X_Attempt_Id=name, **self.keys.header(name)
                )
                self._note_answer(name, answer.status, answer.data)

    def _note_answer(self, name: str, status: int, data: bytes) -> None:
        if status == 200:
            self.answered += 1
            instance, _, rest = data.decode(errors="replace").partition(" ")
            if not instance.startswith("i-c") or rest != f"answers {name}":
                self.broken.append(f"{name} got {data!r}")
        elif status == 503:
            self.calls_not_run.add(name)
        elif status == 401 and self.keys.is_steady(name):
            self.broken.append(f"{name}: a key that always held was refused")

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

    def _rows(self, gateway: Box, lot: str) -> list[dict] | None:
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
        called = {run["id"] for run in self.fleet.callee.runs} | self.pool.ran
        for name in self.calls_not_run & called:
            self.broken.append(f"{name} was refused and ran")


__all__ = ["Soak"]
