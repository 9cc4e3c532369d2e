"""Endpoints that crash, registered in the store as the platform registers them."""

from __future__ import annotations

import time
from contextlib import contextmanager
from typing import TYPE_CHECKING

from tests.serve.fleet import PlatformFleet, wait_for
from threadramp.platform.standins.crashing import CrashingEndpoint

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator
    from pathlib import Path


class CrashingPool:
    """A pool of endpoints that crash, whose store entries follow their restarts.

    :param prefix: of the names of the endpoints
    :param more: arguments for each stand-in
    """

    def __init__(self, fleet: PlatformFleet, pool: str, prefix: str, count: int, **more) -> None:
        self.fleet = fleet
        self.pool = pool
        self.registered: dict[str, str] = {}
        self.endpoints = [
            CrashingEndpoint(f"{prefix}{number}", on_start=self._register, **more)
            for number in range(count)
        ]

    def _register(self, endpoint: CrashingEndpoint) -> None:
        before = self.registered.get(endpoint.name)
        if before == endpoint.instance:  # restarted under the same id: its entry stays as it was
            return
        self.registered[endpoint.name] = endpoint.instance
        lists_start_time = endpoint.front is None or endpoint.front.lists_births
        fields = {"born": endpoint.born} if endpoint.born and lists_start_time else {}
        self.fleet.register(endpoint.instance, self.pool, endpoint.address, **fields)
        if before is not None:
            self.fleet.remove(f"servers/{before}")

    @property
    def crashes(self) -> list[float]:
        """Return the times at which endpoints crashed, in order."""
        return sorted(at for endpoint in self.endpoints for at in endpoint.crashed_at)

    def start_count(self, word: str, after: float = 0.0) -> int:
        """Return how often endpoints started a request after a time.

        :param word: of which the stand-ins recognise the request
        """
        return sum(at > after for endpoint in self.endpoints for at in endpoint.times_begun(word))

    @property
    def ran(self) -> set[str]:
        """Return the ids of the requests that were answered."""
        return {run["id"] for endpoint in self.endpoints for run in endpoint.answered}

    def close(self) -> None:
        for endpoint in self.endpoints:
            endpoint.close()


@contextmanager
def crashing_engines(
    folder: Path, serve: Callable, count: int, **more
) -> Iterator[tuple[PlatformFleet, CrashingPool]]:
    """Start two gateways, and engines that crash, each with a sidecar.

    :param more: arguments for each stand-in
    """
    fleet = PlatformFleet(folder, serve, gateways=2, engines=0)
    pool = CrashingPool(fleet, "engines", "e", count, **more)
    for number, endpoint in enumerate(pool.endpoints):
        fleet.sidecars.append(fleet._box(folder, "sidecar", f"side-{number}", endpoint.address))
    try:
        fleet.start()
        yield fleet, pool
    finally:
        fleet.close()
        pool.close()


def run_crashing_sample(fleet: PlatformFleet, pool: CrashingPool, observe_s: float) -> None:
    """Submit a lot with one sample that crashes engines, and let it run for a while.

    :param observe_s: time to wait after the second crash
    """
    body = fleet.lot("lot1", samples=8).replace(b'"/lots/3"', b'"/lots/crashes"')
    gateway = fleet.gateways[0]
    assert gateway.call("POST", "/lots/lot1", body=body, X_Attempt_Id="lot1").status == 202
    wait_for(
        lambda: len(fleet.results(gateway, "lot1")["results"]) == 7, "results of the other samples"
    )
    wait_for(lambda: len(pool.crashes) >= 2, "two crashes of engines", 10.0)
    time.sleep(observe_s)


__all__ = ["CrashingPool", "crashing_engines", "run_crashing_sample"]
