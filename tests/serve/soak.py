"""A soak test: lots, reads and calls continue while processes, the network and the store fail.

A seed draws short faults from a registry, one or two at a time, and beside them faults that last
for seconds, some of which bring two faults on one write. Some properties are checked during the
soak (the result at a position never changes, a response belongs to its request), others once all
faults are healed (lots are complete, lots that were refused at every attempt did not run, orders
came from one holder after the other).
"""

from __future__ import annotations

import threading
import time
from collections import defaultdict
from concurrent.futures import ThreadPoolExecutor
from contextlib import suppress
from functools import partial
from random import Random
from typing import TYPE_CHECKING

from urllib3 import HTTPConnectionPool
from urllib3.exceptions import HTTPError

from tests.serve import shifted
from tests.serve.crashing_pool import CrashingPool
from tests.serve.duplicating_proxies import serve_behind_duplicating_proxy
from tests.serve.faults import SHORT_FAULTS
from tests.serve.fleet import CALLS, HOST, PORTS, PlatformFleet, bearer, is_engine
from tests.serve.lasting_faults import (
    DURATIONS_S,
    NETWORK_FAULTS,
    PROCESS_FAULTS,
    REPLACEMENT_FAULTS,
    TAKEOVER_FAULTS,
)
from tests.serve.machine_store import serve_to_machine
from tests.serve.moving_routes import MovingRoutes
from tests.serve.order_watch import OrderWatch
from tests.serve.paired_faults import PAIR_DURATIONS_S, PAIRED_FAULTS
from tests.serve.partitionable_proxy import PartitionableProxy
from tests.serve.response_faults import RESPONSE_DURATIONS_S, RESPONSE_FAULTS
from tests.serve.rotating_keys import STABLE_KEY, RotatingKeys
from tests.serve.soak_checks import EVENTS, SAMPLES, find_violations
from tests.serve.store_interceptor import StoreInterceptor
from tests.serve.tcp_proxy import serve_behind_proxy
from tests.serve.texts import read_stream, stream_errors
from tests.serve.trainer import Attempt, is_refused, submit
from threadramp.platform.standins.crashing import FrontProxy, WhileDown

if TYPE_CHECKING:
    from collections.abc import Callable
    from pathlib import Path

    from tests.serve.fleet import Box
    from threadramp.config.registry import Registry
    from threadramp.platform.standins.framing import FramingFront
    from threadramp.platform.standins.stuttering import Moment, Second
    from threadramp.standins.server import StandIn

EVENT_INTERVAL_S = 0.04
LOT_INTERVAL_S = 0.7
VERSION_INTERVAL_S = 2.0
BURST_INTERVAL_S = 1.5
BURST_CALLS = 16
FIRST_BURST_NUMBER = 1_000_000  # other calls have smaller numbers
BURST_HOLD_S = 0.4  # of each call at the endpoint; a route's latency objective
FAULT_DURATION_S = 1.2
TRAINER_WAITS_S = 6.0
HURRIED_TRAINER_WAITS_S = (1.0, 4.0)  # of the lots that a fault submits
CRASHING_ENDPOINTS = 3  # endpoints for calls, which crash when they get certain requests
# Reverse proxies in front of those endpoints, or none; a seed draws one.
REVERSE_PROXIES = [None, FrontProxy(), *(FrontProxy(down, new_ids=True) for down in WhileDown)]
# Lease times of the boxes; seeds take them in turn. A holder of a lock may not act again within
# this time if another holder acted in between.
MIN_ALTERNATIONS_S = (1.0, 3.0)
MAX_CLOCK_OFFSET_S = 3.0  # of the wall clock of a box, ahead or behind
CLOCK_OFFSET_SHARE = 0.5  # of the boxes
MAX_PAUSE_S = 0.5  # between two lasting faults
STREAMS = "streams.example"
STREAM_INTERVAL_S = 0.2
FINAL_VERSIONS = 2  # published after the faults are healed, so that the holders of locks act
FINAL_VERSION_INTERVAL_S = 1.2
WINDOW_S = 2.0


class Soak:
    """One soak test of a fleet; ``run`` returns the violations found."""

    def __init__(self, folder: Path, serve: Callable[[StandIn], str], seed: int) -> None:
        self.seed = seed
        self.random = Random(seed)
        self.engine_proxies: list[PartitionableProxy] = []
        self.duplicating_proxies: list[FramingFront] = []
        serve_duplicating = serve_behind_duplicating_proxy(serve, self.duplicating_proxies, seed)
        serve_proxied = serve_behind_proxy(
            serve_duplicating, self.engine_proxies, is_engine, PartitionableProxy
        )
        self.fleet = PlatformFleet(folder, serve_proxied, gateways=3, engines=3, window_s=WINDOW_S)
        self.fleet.more_routes.append(
            {
                "name": "streams", "hostname": STREAMS, "pathPrefix": "/", "kind": "streaming",
                "timeoutMs": 8000, "targetLatencyMs": 400, "backend": "engines", "maxAttempts": 4,
                "resumable": True,
            }
        )  # fmt: skip
        self.clock_offsets: dict[str, float] = {}
        self.min_alternation_s = MIN_ALTERNATIONS_S[seed % len(MIN_ALTERNATIONS_S)]
        for box in self.fleet.boxes:
            box.settings["bounds"]["leaseTtlMs"] = int(self.min_alternation_s * 1000)
            if self.random.random() < CLOCK_OFFSET_SHARE:
                self._offset_clock(box, folder)
        self.routes = MovingRoutes(self.fleet, serve, seed)
        self.store_interceptor = StoreInterceptor(self.fleet.store)
        self.keys = RotatingKeys(self.fleet)
        for gateway in self.fleet.gateways:
            gateway.key = STABLE_KEY
        self.machine_stores = {
            box.name: serve_to_machine(box, self.fleet.store, serve) for box in self.fleet.boxes
        }
        self.store_proxies = [store.proxy for store in self.machine_stores.values()]
        for engine in (*self.fleet.engines, *self.routes.engines):
            engine.faults.update(events=EVENTS, gap_s=EVENT_INTERVAL_S, marked=True)
        self.resumed_at: dict[str, list[float]] = defaultdict(list)
        self.orders = OrderWatch(
            self.fleet.engines, self.resumed_at.__getitem__, self._healed_at, self.min_alternation_s
        )
        self.duplicates_drawn: list[tuple[Second, Moment]] = []
        self.reverse_proxy = Random(f"front {seed}").choice(REVERSE_PROXIES)
        self.pool = CrashingPool(
            self.fleet, "calls", "c", CRASHING_ENDPOINTS, front=self.reverse_proxy
        )
        self.crashing_targets: set[str] = set()
        self.version = 1
        self.publish_lock = threading.Lock()
        self.restart_lock = threading.Lock()
        self.accepted: dict[str, int] = {}
        self.attempts: dict[str, list[Attempt]] = {}
        self.submissions: list[threading.Thread] = []
        self.kept_connections = {
            box.name: HTTPConnectionPool(box.ip, PORTS["front"], retries=False, maxsize=4)
            for box in self.fleet.gateways
        }
        self.results_seen: dict[str, dict[int, dict]] = defaultdict(dict)
        self.refused_calls: set[str] = set()
        self.answered = 0
        self.whole_streams = 0
        self.violations: list[str] = []
        self.faults_drawn: list[str] = []
        self.stopped = threading.Event()
        self.healed_at = 0.0

    def run(self, seconds: float) -> list[str]:
        """Run under faults for a time, heal them all, and return the violations found."""
        self.fleet.start()
        deadline = time.monotonic() + seconds
        loops = [
            self._submit_lots,
            self._read_lots,
            self._call,
            self._call_in_bursts,
            self._read_streams,
            self._publish_versions,
            lambda: self.keys.rotate_until(self.stopped),
            lambda: self.routes.change_until(self.stopped),
            *self._fault_loops(deadline),
        ]
        threads = [
            threading.Thread(target=self._guarded, args=(loop,), daemon=True) for loop in loops
        ]
        for thread in threads:
            thread.start()
        self.stopped.wait(seconds)
        self.stopped.set()
        for thread in [*threads, *self.submissions]:
            thread.join()
        self.keys.rotate()  # the route of lots is the usual one again
        self.healed_at = time.monotonic()
        self._publish_final_versions()
        found = find_violations(self)  # also adds to self.violations
        return self.violations + found

    def close(self) -> None:
        """End all processes and close all proxies."""
        self.fleet.close()
        self.pool.close()
        for pool in self.kept_connections.values():
            pool.close()
        for proxy in (*self.store_proxies, *self.engine_proxies, *self.duplicating_proxies):
            proxy.close()

    def summary(self) -> str:
        """Return the faults drawn and what was observed, to explain a failure."""
        duplicates = [len(proxy.seconds) for proxy in self.duplicating_proxies]
        arrived = {
            engine.instance: [f"{order['holder']} {order['fence']}" for order in engine.arrived]
            for engine in self.fleet.engines
        }
        return (
            f"faults {self.faults_drawn}, reverse proxy of crashing endpoints {self.reverse_proxy},"
            f" kinds of duplicate responses {self.duplicates_drawn},"
            f" duplicate responses {duplicates},"
            f" orders by holder and fencing token {arrived},"
            f" changes of the route of lots {self.routes.drawn},"
            f" clock offsets {self.clock_offsets}, accepted lots {len(self.accepted)},"
            f" answered calls {self.answered}, whole streams {self.whole_streams},"
            f" attempts {self._statuses()}"
        )

    def _statuses(self) -> dict[str, str]:
        """Return the statuses of all attempts to submit each lot."""
        return {
            lot: " ".join(str(one.status) for one in made) for lot, made in self.attempts.items()
        }

    @property
    def refused_lots(self) -> set[str]:
        """Return the lots of which every attempt promised that nothing runs."""
        return {lot for lot, made in self.attempts.items() if is_refused(made)}

    def publish_version(self) -> None:
        """Publish the next version, and check the orders that arrived so far."""
        with self.publish_lock:
            self.version += 1
            self.fleet.publish_version(self.version)
        self.orders.check()

    def _publish_final_versions(self) -> None:
        for _ in range(FINAL_VERSIONS):
            self.publish_version()
            time.sleep(FINAL_VERSION_INTERVAL_S)

    def _offset_clock(self, box: Box, folder: Path) -> None:
        """Let the wall clock of a box be ahead or behind by a drawn time."""
        self.clock_offsets[box.name] = round(
            self.random.uniform(-MAX_CLOCK_OFFSET_S, MAX_CLOCK_OFFSET_S), 2
        )
        file = folder / f"{box.name}.ahead"
        file.write_text(str(self.clock_offsets[box.name]), encoding="utf-8")
        box.command = [shifted.__file__, str(file)]

    def _healed_at(self, engine: str) -> list[float]:
        """Return when partitions of the proxy before an engine healed."""
        number = [each.instance for each in self.fleet.engines].index(engine)
        return self.engine_proxies[number].healed_at

    def _guarded(self, loop: Callable[[], None]) -> None:
        """Run a loop; an exception in it is a violation, since part of the soak did not run."""
        try:
            loop()
        except Exception as error:
            self.violations.append(f"{loop} failed: {error!r}")

    def _fault_loops(self, deadline: float) -> list[Callable[[], None]]:
        """Return the loops that cause faults; the seed chooses one of three kinds of soak.

        The calm kind lets takeovers complete. One kind has network faults beside the short faults,
        so that gateways seldom lose their state. One kind has all faults at once. The last two also
        have pairs of faults on one write. All have faults in responses.

        The names of the sequences seed their random generators.
        """
        sequences = {
            "calm": TAKEOVER_FAULTS,
            "replaced": REPLACEMENT_FAULTS,
            "standing": PROCESS_FAULTS,
            "bytes": NETWORK_FAULTS,
        }
        lasting = {
            name: partial(self._cause_lasting_faults, name, faults, deadline)
            for name, faults in sequences.items()
        }
        lasting["pairs"] = partial(
            self._cause_lasting_faults, "pairs", PAIRED_FAULTS, deadline, PAIR_DURATIONS_S
        )
        lasting["responses"] = partial(
            self._cause_lasting_faults,
            "responses",
            RESPONSE_FAULTS,
            deadline,
            RESPONSE_DURATIONS_S,
        )
        network_and_short = [lasting["bytes"], partial(self._cause_short_faults, deadline)]
        kinds = (
            [lasting["calm"]],
            [lasting["replaced"], lasting["standing"], lasting["pairs"], *network_and_short],
            [lasting["pairs"], *network_and_short],
        )
        return [*kinds[self.seed % len(kinds)], lasting["responses"]]

    def _cause_short_faults(self, deadline: float) -> None:
        while time.monotonic() < deadline:
            names = self.random.sample(sorted(SHORT_FAULTS), self.random.choice((1, 2)))
            self.faults_drawn += names
            heals = [SHORT_FAULTS[name](self) for name in names]
            time.sleep(FAULT_DURATION_S)
            for heal in heals:
                heal()
            time.sleep(self.random.uniform(0.2, FAULT_DURATION_S))

    def _cause_lasting_faults(
        self,
        sequence: str,
        faults: Registry,
        deadline: float,
        durations_s: tuple[tuple[float, float], ...] = DURATIONS_S,
    ) -> None:
        """Cause lasting faults one after the other, drawn from a registry.

        Replacement faults come first only: process faults follow them.
        """
        random = Random(f"{self.seed} {sequence}")
        while time.monotonic() < deadline:
            name = random.choice(sorted(faults))
            self.faults_drawn.append(name)
            heal = faults[name](self, random)
            duration_s = min(
                random.uniform(*random.choice(durations_s)), deadline - time.monotonic()
            )
            self.stopped.wait(max(0.0, duration_s))
            heal()
            self.stopped.wait(random.uniform(0.0, MAX_PAUSE_S))
            faults = PROCESS_FAULTS if faults is REPLACEMENT_FAULTS else faults

    def _submit_lots(self) -> None:
        for number in range(10_000):
            if self.stopped.wait(LOT_INTERVAL_S):
                return
            self._submit_beside(f"lot{number}", TRAINER_WAITS_S, self.random)

    def submit_at_once(self, count: int, random: Random) -> None:
        """Submit some lots from trainers of which some have little time."""
        for _ in range(count):
            within_s = random.uniform(*HURRIED_TRAINER_WAITS_S)
            self._submit_beside(f"hurried{len(self.submissions)}", within_s, random)

    def _submit_beside(self, lot: str, within_s: float, random: Random) -> None:
        gateways = random.sample(self.fleet.gateways, len(self.fleet.gateways))
        thread = threading.Thread(target=self._submit, args=(lot, within_s, gateways), daemon=True)
        self.submissions.append(thread)
        thread.start()

    def _submit(self, lot: str, within_s: float, gateways: list[Box]) -> None:
        """Submit a lot as a trainer does: retry at another gateway after any status but 202."""
        min_version = max(1, self.version - 1)
        body = self.fleet.lot(lot, samples=SAMPLES, min_version=min_version)
        attempts = submit(gateways, lot, body, within_s)
        self.attempts[lot] = attempts
        if attempts and attempts[-1].status == 202:
            self.accepted[lot] = min_version

    def _read_lots(self) -> None:
        while not self.stopped.wait(0.05):
            if self.accepted:
                lot = self.random.choice(list(self.accepted))
                self._read(lot, self.random.randrange(SAMPLES))

    def _read(self, lot: str, after: int) -> None:
        gateway = self.random.choice(self.fleet.gateways)
        target = f"/threadramp/lots/{lot}?after={after}"
        with suppress(HTTPError, OSError):
            status = gateway.call("GET", target, host=HOST, timeout_s=3.0).status
            if status not in (200, 503):
                self.violations.append(f"{lot}: unexpected status {status} at {gateway.name}")
            page = self.fleet.results(gateway, lot, after=after)
            for position, row in enumerate(page["results"] if page else (), start=after):
                self.record_result(lot, position, row)

    def record_result(self, lot: str, position: int, row: dict) -> None:
        """Record the result at a position; a change of it is a violation."""
        before = self.results_seen[lot].setdefault(position, row)
        if before != row:
            self.violations.append(
                f"{lot} position {position}: result {before['id']} changed to {row['id']}"
            )

    def _call(self) -> None:
        for number in range(100_000):
            if self.stopped.wait(0.05):
                return
            name = f"call{number}"
            gateway = self.random.choice(self.fleet.gateways)
            self._call_one(gateway, name, self.kept_connections[gateway.name])

    def _read_streams(self) -> None:
        """Read streams whose events must be those that engines made, the last one included."""
        random = Random(f"streams {self.seed}")
        for number in range(100_000):
            if self.stopped.wait(STREAM_INTERVAL_S):
                return
            name = f"stream{number}"
            gateway = random.choice(self.fleet.gateways)
            stream = read_stream(gateway, STREAMS, name, f"/stream/{number}", **bearer(gateway.key))
            if stream.status == 200:
                self.whole_streams += stream.is_whole
                self.violations += stream_errors(stream, name, self.fleet.engines, EVENTS)

    def _call_in_bursts(self) -> None:
        """Send more calls at once than a gateway may have open at the slowed endpoint."""
        random = Random(self.seed)  # of its own, so that the faults drawn by a seed stay the same
        for burst in range(100_000):
            if self.stopped.wait(BURST_INTERVAL_S):
                return
            gateway = random.choice(self.fleet.gateways)
            self.fleet.callee.faults["hold_s"] = BURST_HOLD_S
            first = FIRST_BURST_NUMBER + burst * BURST_CALLS
            names = [f"call{number}" for number in range(first, first + BURST_CALLS)]
            with ThreadPoolExecutor(BURST_CALLS) as threads:
                list(threads.map(lambda name, box=gateway: self._call_one(box, name), names))
            self.fleet.callee.faults["hold_s"] = 0.0

    def _call_one(
        self, gateway: Box, name: str, connections: HTTPConnectionPool | None = None
    ) -> None:
        """Send a call and check its response.

        :param connections: kept ones, which are used until the gateway or its process ends them;
            without them the call opens its own
        """
        with suppress(HTTPError, OSError):
            response = gateway.call(
                "POST", "/x", host=CALLS, body=b"q", connections=connections, X_Attempt_Id=name,
                **self.keys.header(name),
            )  # fmt: skip
            self._check_response(name, response.status, response.data)

    def _check_response(self, name: str, status: int, data: bytes) -> None:
        if status == 200:
            self.answered += 1
            instance, _, rest = data.decode(errors="replace").partition(" ")
            if not instance.startswith("i-c") or rest != f"answers {name}":
                self.violations.append(f"{name}: response of another request: {data!r}")
        elif status == 503:
            self.refused_calls.add(name)
        elif status == 401 and self.keys.has_stable_key(name):
            self.violations.append(f"{name}: the stable key was refused")

    def _publish_versions(self) -> None:
        while not self.stopped.wait(VERSION_INTERVAL_S):
            self.publish_version()


__all__ = ["Soak"]
