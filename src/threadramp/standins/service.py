"""Stand-in for a plain service; it counts the runs of each id, the proof of at-most-once."""

from __future__ import annotations

import os
import threading
import time
from collections import Counter
from typing import Any, ClassVar

from threadramp.standins.server import STANDINS, Request, Response, StandIn


@STANDINS.register("service")
class PlainService(StandIn):
    """Runs a request and answers with its id.

    Switches: ``work_s`` is a run's time, ``cross`` and ``truncate`` spoil that many answers,
    ``fail`` has that many runs answered with an error after they ran, a request whose path holds
    ``crash_under`` ends the process.
    """

    faults: ClassVar[dict[str, Any]] = {
        "work_s": 0.01,
        "cross": 0,
        "truncate": 0,
        "fail": 0,
        "crash_under": "",
    }

    def __init__(self, options: dict[str, Any]) -> None:
        super().__init__(options)
        self.runs: Counter[str] = Counter()
        self.running = 0
        self.ran = threading.Event()

    def record(self) -> dict[str, Any]:
        """Return how often each id ran."""
        return {"runs": dict(self.runs), "running": self.running}

    def answer(self, request: Request) -> Response:
        """Run a request."""
        ident = request.json().get("id", "") if request.body else "/".join(request.path)
        with self.lock:
            self.runs[ident] += 1
            self.running += 1
            serial = sum(self.runs.values())
        try:
            time.sleep(self.faults["work_s"])
        finally:
            with self.lock:
                self.running -= 1
        if self.faults["crash_under"] and self.faults["crash_under"] in request.path:
            os._exit(1)
        if self.use_up("fail"):
            return Response.from_value({"error": "failed after the run"}, 500)
        request_id = request.headers.get("x-request-id", "")
        crossed = self.use_up("cross")
        if crossed:
            ident = request_id = "another"
        value = {"id": ident, "serial": serial, "path": "/" + "/".join(request.path)}
        response = Response.from_value(value, X_Request_Id=request_id)
        if not crossed and self.use_up("truncate"):
            return Response(200, response.body, response.headers, cut=True)
        return response


__all__ = ["PlainService"]
