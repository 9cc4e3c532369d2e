"""Stand-in for the platform's store, speaking its published protocol."""

from __future__ import annotations

import base64
import threading
import time
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, ClassVar

from threadramp.policy.retries import TokenBucket
from threadramp.standins.server import STANDINS, Request, Response, StandIn

if TYPE_CHECKING:
    from collections.abc import Callable

LEASE_CHECK_S = 0.2
PAGE = 500  # items of one page
FORGOTTEN = 410


@dataclass(frozen=True)
class Held:
    """A value with its revisions and the lease that it goes with."""

    value: str
    revision: int
    created: int
    lease: int = 0


@dataclass(frozen=True)
class Change:
    """One entry of the history; none as ``held`` means that the key went."""

    key: str
    revision: int
    held: Held | None


@STANDINS.register("kv")
class PlatformStore(StandIn):
    """Items, conditions, leases and watches.

    Switches: ``lose_answers`` loses that many answers of writes that took effect, ``late_writes``
    does that many writes without an answer ``late_s`` later, ``stale`` has reads answered from the
    copy of the moment it was set, ``restore`` puts that copy back, ``forget`` drops the history,
    ``revoke`` takes away the keys of all leases, ``calls_per_s`` refuses calls above that rate (0
    for no limit).
    """

    faults: ClassVar[dict[str, Any]] = {
        "lose_answers": 0,
        "late_writes": 0,
        "late_s": 0.5,
        "stale": False,
        "restore": False,
        "forget": False,
        "revoke": False,
        "calls_per_s": 0,
    }

    def __init__(self, options: dict[str, Any]) -> None:
        super().__init__(options)
        self.data: dict[str, Held] = {}
        self.copy: dict[str, Held] = {}
        self.history: list[Change] = []
        self.forgotten = 0
        self.epoch = 0
        self.leases: dict[int, tuple[float, float]] = {}
        self.granted = 0
        self.revision = 0
        self.changed = threading.Condition(self.lock)
        self.counts = {"reads": 0, "writes": 0, "watches": 0, "leases": 0, "refused": 0}
        self.rate: TokenBucket | None = None
        self.calls_by_name: dict[str, Callable[[Request], Response]] = {
            "kv-key": self._get,
            "kv-range": self._range,
            "kv-watch": self._watch,
            "kv-txn": self._transact,
            "kv-lease": self._grant,
            "kv-keep": self._keep,
            "kv-lease-end": self._end,
        }

    def faults_changed(self) -> None:
        """Carry out the switches that act once, and set the rate."""
        with self.changed:
            self._switch()

    def _switch(self) -> None:
        rate = self.faults["calls_per_s"]
        self.rate = TokenBucket(rate, rate, time.monotonic()) if rate else None
        if self.faults["restore"]:
            self.data = dict(self.copy)
            self.faults["restore"] = False
            self._forget()
        elif not self.faults["stale"]:
            self.copy = dict(self.data)
        if self.faults["forget"]:
            self.faults["forget"] = False
            self._forget()
        if self.faults["revoke"]:
            self.faults["revoke"] = False
            self._drop([key for key, held in self.data.items() if held.lease])

    def record(self) -> dict[str, int]:
        """Return how many calls of each kind there were."""
        return self.counts

    def answer(self, request: Request) -> Response:
        """Answer a call."""
        with self.lock:
            if self.rate is not None and not self.rate.take(time.monotonic()):
                self.counts["refused"] += 1
                return Response(429)
            self._expire()
        call = self.calls_by_name.get(request.path[1] if len(request.path) > 1 else "")
        return Response(400) if call is None else call(request)

    def _get(self, request: Request) -> Response:
        with self.lock:
            self.counts["reads"] += 1
            data = self.copy if self.faults["stale"] else self.data
            held = data.get(request.query["key"])
            if held is None:
                return Response.from_value({"storeRevision": self.revision}, 404)
            row = _row(request.query["key"], held)
            return Response.from_value({**row, "storeRevision": self.revision})

    def _range(self, request: Request) -> Response:
        with self.lock:
            self.counts["reads"] += 1
            after = request.query.get("after", "")
            prefix = request.query.get("pathPrefix", "")
            keys = sorted(key for key in self.data if key.startswith(prefix) and key > after)
            rows = [_row(key, self.data[key]) for key in keys[:PAGE]]
            more = len(keys) > PAGE
            page = {"requests": rows, "truncated": more, "storeRevision": self.revision}
            return Response.from_value(page)

    def _watch(self, request: Request) -> Response:
        deadline = time.monotonic() + float(request.query["waitMs"]) / 1000
        prefix = request.query.get("pathPrefix", "")
        after = int(request.query["after"])
        with self.changed:
            self.counts["watches"] += 1
            epoch = self.epoch
            while True:
                if self.faults["outage"]:
                    return Response(503, b"", {}, cut=True)
                if after < self.forgotten or epoch != self.epoch:
                    return Response(FORGOTTEN)
                found = [
                    change
                    for change in self.history
                    if change.revision > after and change.key.startswith(prefix)
                ]
                left = deadline - time.monotonic()
                if found or left <= 0:
                    rows = [_change_row(change) for change in found]
                    return Response.from_value({"events": rows, "storeRevision": self.revision})
                self.changed.wait(min(LEASE_CHECK_S, left))
                self._expire()

    def _transact(self, request: Request) -> Response:
        asked = request.json()
        if self.use_up("late_writes"):
            threading.Timer(self.faults["late_s"], self._commit, (asked,)).start()
            return Response(200, b"", cut=True)
        answer = self._commit(asked)
        if answer.status == 200 and self.use_up("lose_answers"):
            return Response(200, b"", cut=True)
        return answer

    def _commit(self, asked: dict[str, Any]) -> Response:
        with self.changed:
            self.counts["writes"] += 1
            rows = asked.get("expected", [])
            if any(self._revision_of(row["key"]) != row["rev"] for row in rows):
                held = [(row["key"], self.data.get(row["key"])) for row in rows]
                current = [_row(key, one) for key, one in held if one is not None]
                return Response.from_value({"requests": current}, 412)
            puts = asked.get("puts", [])
            if any(put.get("lease") and put["lease"] not in self.leases for put in puts):
                return Response(404)
            self.revision += 1
            for put in puts:
                self._put(put)
            for key in asked.get("remove", []):
                if self.data.pop(key, None) is not None:
                    self.history.append(Change(key, self.revision, None))
            self.changed.notify_all()
            return Response.from_value({"rev": self.revision})

    def _put(self, put: dict[str, Any]) -> None:
        before = self.data.get(put["key"])
        created = before.created if before is not None else self.revision
        held = Held(put["value"], self.revision, created, put.get("lease", 0))
        self.data[put["key"]] = held
        self.history.append(Change(put["key"], self.revision, held))

    def _grant(self, request: Request) -> Response:
        with self.lock:
            self.counts["leases"] += 1
            ttl_s = request.json()["ttlMs"] / 1000
            self.granted += 1
            lease = self.granted
            self.leases[lease] = (time.monotonic() + ttl_s, ttl_s)
            return Response.from_value({"lease": lease, "ttlMs": ttl_s * 1000})

    def _keep(self, request: Request) -> Response:
        with self.lock:
            lease = int(request.path[2])
            if lease not in self.leases:
                return Response(404)
            ttl_s = self.leases[lease][1]
            self.leases[lease] = (time.monotonic() + ttl_s, ttl_s)
            return Response.from_value({"ttlMs": ttl_s * 1000})

    def _end(self, request: Request) -> Response:
        with self.lock:
            lease = int(request.path[2])
            if lease in self.leases:
                self.leases[lease] = (0.0, 0.0)
            self._expire()
            return Response.from_value({})

    def _expire(self) -> None:
        now = time.monotonic()
        lapsed = {lease for lease, (until, _) in self.leases.items() if until < now}
        self._drop([key for key, held in self.data.items() if held.lease in lapsed])
        for lease in lapsed:
            del self.leases[lease]

    def _drop(self, keys: list[str]) -> None:
        if not keys:
            return
        self.revision += 1
        for key in keys:
            del self.data[key]
            self.history.append(Change(key, self.revision, None))
        self.changed.notify_all()

    def _forget(self) -> None:
        self.history.clear()
        self.forgotten = self.revision
        self.epoch += 1
        self.changed.notify_all()

    def _revision_of(self, key: str) -> int:
        held = self.data.get(key)
        return held.revision if held is not None else 0


def _row(key: str, held: Held) -> dict[str, Any]:
    return {
        "key": key,
        "value": held.value,
        "rev": held.revision,
        "createdRev": held.created,
        "lease": held.lease,
    }


def _change_row(change: Change) -> dict[str, Any]:
    if change.held is None:
        return {"key": change.key, "rev": change.revision, "deleted": True}
    return _row(change.key, change.held)


def encoded(value: bytes) -> str:
    """Return a value as the protocol carries it."""
    return base64.b64encode(value).decode()


__all__ = ["PlatformStore", "encoded"]
