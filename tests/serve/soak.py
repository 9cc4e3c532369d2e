"""A soak under faults: lots, reads and calls go on while processes, ways and the store fail.

Faults are drawn from a registry by a seed, one or two at a time, and others that last for seconds
beside them. What must hold is checked as it is seen (a position never changes, an answer is one's
own) and once all is healed (lots are whole, orders came from one holder after the other).
"""

from __future__ import annotations

import threading
import time
from collections import defaultdict
from contextlib import suppress
from functools import partial
from random import Random
from typing import TYPE_CHECKING

from urllib3.exceptions import HTTPError

from tests.serve import shifted
from tests.serve.crashing_pool import CrashingPool
from tests.serve.faults import FAULTS
from tests.serve.fleet import CALLS, HOST, PlatformFleet, is_engine
from tests.serve.keys_in_turn import STEADY_KEY, OrganisationKeysInTurn
from tests.serve.lasting_faults import LENGTHS_S, PASSING, REPLACED, STANDING, STUMBLING
from tests.serve.order_watch import OrderWatch
from tests.serve.partitionable_proxy import PartitionableProxy
from tests.serve.soak_checks import EVENTS, SAMPLES, broken
from tests.serve.store_gate import StoreGate
from tests.serve.stuttering_fronts import serve_stuttering
from tests.serve.tcp_proxy import proxy_store, serve_behind_proxy
from threadramp.platform.standins.crashing import FrontProxy, WhileDown

if TYPE_CHECKING:
    from collections.abc import Callable
    from pathlib import Path

    from tests.serve.fleet import Box
    from threadramp.config.registry import Registry
    from threadramp.platform.standins.stuttering import Moment, Second, StutteringFront
    from threadramp.standins.server import StandIn

GAP_S = 0.04
LOT_EACH_S = 0.7
VERSION_EACH_S = 2.0
FAULT_EACH_S = 1.2
DEADLINE_MS = "6000"
CRASHING = 3  # endpoints for callers that crash under some requests
# Before those endpoints; a seed draws one of them.
FRONTS = [None, FrontProxy(), *(FrontProxy(down, new_ids=True) for down in WhileDown)]
APART_S = (1.0, 3.0)  # in turns; holders of a right may not act in turns within this time
AHEAD_MOST_S = 3.0  # of a box's time of day, or behind
AHEAD_SHARE = 0.5  # of the boxes
REST_MOST_S = 0.5  # between two faults that last
LAST_VERSIONS = 2  # that are named once all is healed, for who holds a right to act by it
LAST_EACH_S = 1.2
WINDOW_S = 2.0


class Soak:
    """One soak; ``run`` returns what was broken, empty if nothing was."""

    def __init__(self, folder: Path, serve: Callable[[StandIn], str], seed: int) -> None:
        self.seed = seed
        self.random = Random(seed)
        self.engine_ways: list[PartitionableProxy] = []
        self.fronts: list[StutteringFront] = []
        stuttering = serve_stuttering(serve, self.fronts, seed)
        behind = serve_behind_proxy(stuttering, self.engine_ways, is_engine, PartitionableProxy)
        self.fleet = PlatformFleet(folder, behind, gateways=3, engines=3, window_s=WINDOW_S)
        self.ahead: dict[str, float] = {}
        self.apart_s = APART_S[seed % len(APART_S)]
        for box in self.fleet.boxes:
            box.settings["bounds"]["leaseTtlMs"] = int(self.apart_s * 1000)
            if self.random.random() < AHEAD_SHARE:
                self._shift(box, folder)
        self.gate = StoreGate(self.fleet.store)
        self.keys = OrganisationKeysInTurn(self.fleet)
        for gateway in self.fleet.gateways:
            gateway.key = STEADY_KEY
        self.ways = [
            proxy_store(box, self.fleet.store_address, PartitionableProxy)
            for box in self.fleet.boxes
        ]
        for engine in self.fleet.engines:
            engine.faults.update(events=EVENTS, gap_s=GAP_S, marked=True)
        self.thawed: dict[str, list[float]] = defaultdict(list)
        self.orders = OrderWatch(
            self.fleet.engines, self.thawed.__getitem__, self._mended, self.apart_s
        )
        self.stuttered: list[tuple[Second, Moment]] = []
        self.front = Random(f"front {seed}").choice(FRONTS)
        self.pool = CrashingPool(self.fleet, "calls", "c", CRASHING, front=self.front)
        self.crashers: set[str] = set()
        self.version = 1
        self.naming = threading.Lock()
        self.restarting = threading.Lock()
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
        until = time.monotonic() + seconds
        loops = [
            self._hand_in_lots,
            self._read_lots,
            self._call,
            self._name_versions,
            lambda: self.keys.turn_until(self.stopped),
            *self._rows_of_faults(until),
        ]
        threads = [
            threading.Thread(target=self._guarded, args=(loop,), daemon=True) for loop in loops
        ]
        for thread in threads:
            thread.start()
        self.stopped.wait(seconds)
        self.stopped.set()
        for thread in threads:
            thread.join()
        self._name_last_versions()
        found = broken(self)  # which notes more of its own
        return self.broken + found

    def close(self) -> None:
        """End all processes and ways."""
        self.fleet.close()
        self.pool.close()
        for way in (*self.ways, *self.engine_ways, *self.fronts):
            way.close()

    def told(self) -> str:
        """Return what was done and seen, for whoever reads a failure."""
        seconds = [len(front.seconds) for front in self.fronts]
        arrived = {
            one.instance: [f"{order['holder']} {order['fence']}" for order in one.arrived]
            for one in self.fleet.engines
        }
        return (
            f"faults {self.done}, crashing behind {self.front}, stuttered {self.stuttered},"
            f" answers given twice {seconds},"
            f" orders {arrived}, ahead by {self.ahead}, lots {len(self.taken)},"
            f" calls {self.answered}"
        )

    def name_version(self) -> None:
        """Name the next version, and look at the orders up to then."""
        with self.naming:
            self.version += 1
            self.fleet.name_version(self.version)
        self.orders.look()

    def _name_last_versions(self) -> None:
        for _ in range(LAST_VERSIONS):
            self.name_version()
            time.sleep(LAST_EACH_S)

    def _shift(self, box: Box, folder: Path) -> None:
        """Let the time of day of a box be ahead or behind by a drawn time."""
        self.ahead[box.name] = round(self.random.uniform(-AHEAD_MOST_S, AHEAD_MOST_S), 2)
        file = folder / f"{box.name}.ahead"
        file.write_text(str(self.ahead[box.name]), encoding="utf-8")
        box.command = [shifted.__file__, str(file)]

    def _mended(self, engine: str) -> list[float]:
        """Return when the way to an engine was mended."""
        number = [one.instance for one in self.fleet.engines].index(engine)
        return self.engine_ways[number].healed_at

    def _guarded(self, loop: Callable[[], None]) -> None:
        """Run a loop; one that ends by an error breaks the soak, whatever was not done then."""
        try:
            loop()
        except Exception as error:
            self.broken.append(f"{loop}: {error!r}")

    def _rows_of_faults(self, until: float) -> list[Callable[[], None]]:
        """Return what brings the faults; soaks of three kinds take turns.

        In a calm one, hand-overs run their course. One has faults of bytes beside the short ones,
        so that gateways seldom lose what they know. One has all at once.
        """
        rows = {"calm": STUMBLING, "replaced": REPLACED, "standing": STANDING, "bytes": PASSING}
        lasting = {
            row: partial(self._bring_lasting_faults, row, faults, until)
            for row, faults in rows.items()
        }
        bytes_and_short = [lasting["bytes"], partial(self._bring_faults, until)]
        kinds = (
            [lasting["calm"]],
            [lasting["replaced"], lasting["standing"], *bytes_and_short],
            bytes_and_short,
        )
        return kinds[self.seed % len(kinds)]

    def _bring_faults(self, until: float) -> None:
        while time.monotonic() < until:
            names = self.random.sample(sorted(FAULTS), self.random.choice((1, 2)))
            self.done += names
            heals = [FAULTS[name](self) for name in names]
            time.sleep(FAULT_EACH_S)
            for heal in heals:
                heal()
            time.sleep(self.random.uniform(0.2, FAULT_EACH_S))

    def _bring_lasting_faults(self, row: str, faults: Registry, until: float) -> None:
        """Bring faults one after the other; a row begins with those that are given."""
        random = Random(f"{self.seed} {row}")
        while time.monotonic() < until:
            name = random.choice(sorted(faults))
            self.done.append(name)
            heal = faults[name](self, random)
            lasts_s = min(random.uniform(*random.choice(LENGTHS_S)), until - time.monotonic())
            self.stopped.wait(max(0.0, lasts_s))
            heal()
            self.stopped.wait(random.uniform(0.0, REST_MOST_S))
            faults = STANDING if faults is REPLACED else faults

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
                self.note(lot, place, row)

    def note(self, lot: str, place: int, row: dict) -> None:
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
            self.name_version()


__all__ = ["Soak"]
