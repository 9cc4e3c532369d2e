"""Stand-in for the platform's key-value service."""

from __future__ import annotations

import threading
import time
import uuid
from dataclasses import dataclass
from typing import Any, ClassVar

from threadramp.platform.kv import VERSION_HEADER
from threadramp.policy.retries import TokenBucket
from threadramp.standins.server import STANDINS, Request, Response, StandIn

LEASE_CHECK_S = 0.2


@dataclass(frozen=True)
class Held:
    """A value with its version and the lease that it goes with."""

    value: bytes
    version: int
    lease: str = ""


@STANDINS.register("kv")
class KeyValueService(StandIn):
    """Compare-and-swap, leases and watches.

    Switches: ``lose_answers`` loses that many answers after the write took effect, ``stale`` has
    reads answered from the copy of the moment it was set, ``restore`` puts that copy back,
    ``calls_per_s`` refuses calls above that rate (0 for no limit).
    """

    faults: ClassVar[dict[str, Any]] = {
        "lose_answers": 0,
        "stale": False,
        "restore": False,
        "calls_per_s": 0,
    }

    def __init__(self, options: dict[str, Any]) -> None:
        super().__init__(options)
        self.data: dict[str, Held] = {}
        self.copy: dict[str, Held] = {}
        self.leases: dict[str, float] = {}
        self.versions = 0
        self.changed = threading.Condition(self.lock)
        self.counts = {"reads": 0, "writes": 0, "watches": 0, "leases": 0, "refused": 0}
        self.rate: TokenBucket | None = None

    def faults_changed(self) -> None:
        """Keep or put back a copy, and set the rate."""
        rate = self.faults["calls_per_s"]
        self.rate = TokenBucket(rate, rate, time.monotonic()) if rate else None
        if self.faults["restore"]:
            self.data = dict(self.copy)
            self.faults["restore"] = False
            self.changed.notify_all()
        elif not self.faults["stale"]:
            self.copy = dict(self.data)

    def record(self) -> dict[str, int]:
        """Return how many calls of each kind there were."""
        return self.counts

    def answer(self, request: Request) -> Response:
        """Answer a call."""
        with self.lock:
            if self.rate is not None and not self.rate.take(time.monotonic()):
                self.counts["refused"] += 1
                return Response(429)
        if request.path[:1] == ("leases",):
            return self._grant(float(request.query["ttl"]))
        key = "/".join(request.path[1:])
        if request.method == "PUT":
            return self._swap(key, request)
        if "after" in request.query:
            return self._watch(key, int(request.query["after"]), float(request.query["wait"]))
        with self.lock:
            self.counts["reads"] += 1
            return _held((self.copy if self.faults["stale"] else self.data).get(key))

    def _grant(self, ttl_s: float) -> Response:
        with self.lock:
            self.counts["leases"] += 1
            lease = uuid.uuid4().hex
            self.leases[lease] = time.monotonic() + ttl_s
            return Response(200, lease.encode())

    def _swap(self, key: str, request: Request) -> Response:
        with self.changed:
            self._expire()
            self.counts["writes"] += 1
            held = self.data.get(key)
            if int(request.query["expect"]) != (held.version if held else 0):
                return _held(held, 409)
            self.versions += 1
            held = Held(request.body, self.versions, request.query.get("lease", ""))
            self.data[key] = held
            self.changed.notify_all()
        if self.use_up("lose_answers"):
            return Response(200, b"", cut=True)
        return _held(Held(b"", held.version))

    def _watch(self, key: str, after: int, wait_s: float) -> Response:
        deadline = time.monotonic() + wait_s
        with self.changed:
            self.counts["watches"] += 1
            while time.monotonic() < deadline:
                held = self.data.get(key)
                if (held.version if held else 0) != after or self.faults["outage"]:
                    break
                self.changed.wait(min(LEASE_CHECK_S, max(0.0, deadline - time.monotonic())))
            if self.faults["outage"]:
                return Response(503, b"", cut=True)
            return _held(self.data.get(key))

    def _expire(self) -> None:
        now = time.monotonic()
        lapsed = {lease for lease, until in self.leases.items() if until < now}
        for key in [key for key, held in self.data.items() if held.lease in lapsed]:
            del self.data[key]


def _held(held: Held | None, status: int = 200) -> Response:
    if held is None:
        return Response(404 if status == 200 else status, b"", {VERSION_HEADER: "0"})
    return Response(status, held.value, {VERSION_HEADER: str(held.version)})


__all__ = ["KeyValueService"]
