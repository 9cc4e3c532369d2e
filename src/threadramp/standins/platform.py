"""Stand-ins for the box list and the weight store."""

from __future__ import annotations

import time
from typing import Any, ClassVar

from threadramp.policy.retries import TokenBucket
from threadramp.standins.server import STANDINS, Request, Response, StandIn

DEFAULT_LAG_S = 0.5
DEFAULT_LOADS_PER_S = 50.0


@STANDINS.register("boxes")
class BoxList(StandIn):
    """A list of live and leaving boxes that lags behind reality.

    Switches: ``leaving`` lists the addresses that leave, ``lag_s`` is how late that shows.
    """

    faults: ClassVar[dict[str, Any]] = {"leaving": [], "lag_s": DEFAULT_LAG_S}

    def __init__(self, options: dict[str, Any]) -> None:
        super().__init__(options)
        self.changes: list[tuple[float, list[str]]] = [(float("-inf"), [])]

    def faults_changed(self) -> None:
        """Note when the list changed."""
        self.changes.append((time.monotonic(), list(self.faults["leaving"])))

    def answer(self, request: Request) -> Response:
        """Return the list as it was some time ago."""
        until = time.monotonic() - self.faults["lag_s"]
        leaving = [boxes for since, boxes in self.changes if since <= until][-1]
        return Response.from_value([{"address": box, "state": "leaving"} for box in leaving])


@STANDINS.register("weights")
class WeightStore(StandIn):
    """A rate-limited store of weights."""

    def __init__(self, options: dict[str, Any]) -> None:
        super().__init__(options)
        rate = options.get("loads_per_s", DEFAULT_LOADS_PER_S)
        self.bucket = TokenBucket(rate, rate, time.monotonic())
        self.loads = 0
        self.refused = 0

    def record(self) -> dict[str, int]:
        """Return how many loads there were, and how many were refused."""
        return {"loads": self.loads, "refused": self.refused}

    def answer(self, request: Request) -> Response:
        """Serve a load, within the rate."""
        with self.lock:
            if not self.bucket.take(time.monotonic()):
                self.refused += 1
                return Response(429)
            self.loads += 1
            return Response(200, b"weights")


__all__ = ["BoxList", "WeightStore"]
