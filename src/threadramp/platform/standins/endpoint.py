"""Stand-in for an endpoint on the users' platform: an engine, or a plain service."""

from __future__ import annotations

import threading
import time
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, ClassVar

from threadramp.standins.server import STANDINS, Request, Response, StandIn

if TYPE_CHECKING:
    from collections.abc import Iterator

SIGNATURE = "X-Server-Stamp"
NOT_RUN = {"X-Not-Executed": "1"}


class CutOffError(Exception):
    """Ends a stream before its end."""


@dataclass(frozen=True)
class MadeEvent:
    """One event of a sample, as it was made.

    :param line: its text
    :param run: which run of the endpoint made it
    :param after: the event after which that run was asked to go on
    :param version: of the weights, as it was told
    """

    number: int
    line: str
    run: str
    after: int
    version: int


@STANDINS.register("platform_engine")
class PlatformEngine(StandIn):
    """Streams samples, takes orders, answers plain requests.

    Options: ``instance``, ``models`` (names), ``events`` of a sample and ``gap_s`` between them,
    ``born`` (Unix milliseconds, told in reports if it is not 0).
    Switches that count: ``reject`` says "not run", ``fail`` answers 500, ``impossible`` 422,
    ``cut`` breaks streams off after three events, ``other_id`` answers as if to another request,
    ``unanswered`` carries orders out without an answer. ``load_s`` is the time of a load,
    ``hold_s`` delays plain answers. An order with mode ``truncate`` breaks off the streams of its
    model. While ``marked`` is set, each line names the run that made it,
    and ``made`` keeps what was made.
    """

    faults: ClassVar[dict[str, Any]] = {
        "reject": 0,
        "fail": 0,
        "impossible": 0,
        "cut": 0,
        "other_id": 0,
        "unanswered": 0,
        "load_s": 0.05,
        "hold_s": 0.0,
        "gap_s": 0.01,
        "events": 5,
        "marked": False,
    }

    def __init__(self, options: dict[str, Any]) -> None:
        super().__init__(options)
        self.instance = options.get("instance", "i-1")
        self.born = options.get("born", 0)
        self.versions = dict.fromkeys(options.get("models", ["m"]), 1)
        self.orders: list[dict[str, Any]] = []  # those that it took
        self.arrived: list[dict[str, Any]] = []  # all, in the order of their arrival
        self.made: dict[str, list[MadeEvent]] = {}
        self.busy_until = 0.0
        self.runs: list[dict[str, Any]] = []
        self.running = 0
        self.state = "ready"
        self.starts = 0
        self.truncations: dict[str, int] = {}  # orders by model that broke streams off
        self.orders_before = 0

    def start_again(self, born: int = 0) -> None:
        """Start again under the same id: nothing of before is known, and streams break off."""
        with self.lock:
            self.born = born
            self.starts += 1
            self.orders_before += len(self.orders)
            self.busy_until = 0.0
            self.running = 0

    @property
    def count(self) -> int:
        """Return the orders that this start took."""
        return len(self.orders) - self.orders_before

    def record(self) -> dict[str, Any]:
        """Return the runs and orders that this endpoint saw."""
        return {
            "runs": self.runs,
            "orders": self.orders,
            "arrived": self.arrived,
            "versions": self.versions,
        }

    def answer(self, request: Request) -> Response:
        """Answer a request."""
        if request.path == ("threadramp", "report"):
            return self._report()
        if request.path == ("threadramp", "order"):
            return self._arrived(request)
        if self._is_for_another(request):
            return Response(421, b"", {"X-Instance-Id": self.instance})
        return self._work(request)

    def _is_for_another(self, request: Request) -> bool:
        return request.headers.get("x-expect-instance", self.instance) != self.instance

    def _arrived(self, request: Request) -> Response:
        """Note an order whatever is answered: engines that look at no number act on each."""
        with self.lock:
            row = request.json() | {"at": time.monotonic(), "instance": self.instance}
            self.arrived.append(row)
            if self._is_for_another(request):
                answer = Response(421, b"", {"X-Instance-Id": self.instance})
            else:
                answer = self._order(request)
            row["status"] = answer.status
            return answer

    def _report(self) -> Response:
        rows = [{"name": name, "version": now} for name, now in self.versions.items()]
        return Response.from_value(
            {
                "models": rows,
                "busy": time.monotonic() < self.busy_until,
                "seq": self.count,
                "running": self.running,
                "state": self.state,
                **({"born": self.born} if self.born else {}),
            }
        )

    def _order(self, request: Request) -> Response:
        order = request.json()
        with self.lock:
            if order.get("expected", self.count) != self.count:
                return Response(409)
            self.orders.append(order)
            if order.get("mode") == "truncate":
                model = order["model"]
                self.truncations[model] = self.truncations.get(model, 0) + 1
            self.busy_until = time.monotonic() + self.faults["load_s"]
            threading.Timer(self.faults["load_s"], self._loaded, (order, self.starts)).start()
        if self.use_up("unanswered"):
            return Response(202, b"", {}, cut=True)
        return Response(202)

    def _loaded(self, order: dict[str, Any], start: int) -> None:
        if start == self.starts:
            self.versions[order["model"]] = order["version"]

    def _work(self, request: Request) -> Response:
        name = request.headers.get("x-attempt-id", "")
        own = {"X-Attempt-Id": name} if name else {}
        loading = "x-model" in request.headers and time.monotonic() < self.busy_until
        if loading or self.use_up("reject"):
            return Response(503, b"", NOT_RUN | own)
        after = int(request.headers.get("last-event-id", 0))
        with self.lock:
            run = {"id": name, "after": after, "target": "/".join(request.path)}
            self.runs.append(run | _told(request))
            mark = f"{self.instance}.{self.starts}.{len(self.runs)}"
        if self.use_up("fail"):
            return Response(500, b"", own)
        if self.use_up("impossible"):
            return Response(422, b"", own)
        told = "of another request" if self.use_up("other_id") else name
        head = {"X-Attempt-Id": told} if told else {}
        head[SIGNATURE] = f"sig-{name}"
        if "x-model" in request.headers:
            model = request.headers["x-model"]
            version = self.versions[model]
            head |= {"Content-Type": "text/event-stream", "X-Weight-Versions": str(version)}
            return Response(200, self._events(name, model, after, mark, version), head)
        time.sleep(self.faults["hold_s"])
        return Response(200, f"{self.instance} answers {name}".encode(), head)

    def _breaks(self, model: str) -> tuple[int, int]:
        """Return what changes when the streams of a model break off."""
        return self.starts, self.truncations.get(model, 0)

    def _events(
        self, name: str, model: str, after: int, mark: str, version: int
    ) -> Iterator[bytes]:
        cut = self.use_up("cut")
        begun = self._breaks(model)
        self.running += 1
        try:
            for number in range(after + 1, self.faults["events"] + 1):
                time.sleep(self.faults["gap_s"])
                if self._breaks(model) != begun:
                    raise CutOffError
                lines = []
                if self.versions[model] != version:
                    version = self.versions[model]
                    lines.append(f"x-weight-versions: {version}")
                text = f"{name}-{number}"
                if self.faults["marked"]:
                    text += f" {mark}"
                    made = MadeEvent(number, text, mark, after, version)
                    self.made.setdefault(name, []).append(made)
                lines += [f"id: {number}", f"data: {text}"]
                yield ("\n".join(lines) + "\n\n").encode()
                if cut and number >= after + 3:
                    raise CutOffError
        finally:
            self.running = max(0, self.running - 1)


def _told(request: Request) -> dict[str, Any]:
    """Return what a request says of its rank and its caller, and all of its headers."""
    return {
        "rank": request.headers.get("x-request-priority", ""),
        "tenant": request.headers.get("x-tenant"),
        "headers": dict(request.headers),
        "at": time.time(),
    }


__all__ = ["CutOffError", "MadeEvent", "PlatformEngine"]
