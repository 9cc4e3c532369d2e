"""Stand-in for a model engine.

Each token of its text names the version that produced it and the prompt (``t3v7p1f2e`` is the
fourth token, by version 7, of the prompt with that tag), so a label can be checked against
the text.
"""

from __future__ import annotations

import os
import threading
import time
import uuid
from collections import OrderedDict, deque
from heapq import heappop, heappush
from random import Random
from typing import TYPE_CHECKING, Any, ClassVar

import msgspec
from urllib3.exceptions import HTTPError

from threadramp.standins.server import STANDINS, Request, Response, StandIn
from threadramp.wire.response_limits import (
    BoundedPool,
    bounded_pool_manager,
    ends_with_connection,
)
from threadramp.wire.seal import digest

if TYPE_CHECKING:
    from collections.abc import Iterator

DEFAULT_TOKEN_S = 0.002
DEFAULT_PREFILL_S = 0.02
DEFAULT_CACHE = 64
LOADS_KEPT = 4096
BATCH_SLOWDOWN = 0.02  # a token takes this much longer for each other request in the batch
LENGTH_SIGMA = 0.9
LENGTH_MEDIAN = 0.2  # of the most that was asked for
STREAM_HEADERS = {"Content-Type": "text/event-stream"}


@STANDINS.register("engine")
class ModelEngine(StandIn):
    """Streams chat completions and takes load orders.

    Switches: ``names_versions`` off leaves the version out of each piece, ``ignore_fence`` obeys
    old orders, ``swap_fails`` has that many swaps fail partway, ``swap_s`` is a swap's time,
    ``late_orders`` has that many orders obeyed only after ``late_s``, ``cross`` and ``truncate``
    spoil that many streams, ``batch`` bounds how many run at once (0 for no bound; the lowest
    priority number goes first), ``load_lag_s`` is how old the load report is, ``set_weights`` puts
    weights in place as a restart with old ones does, ``crash`` ends the process.
    """

    faults: ClassVar[dict[str, Any]] = {
        "names_versions": True,
        "ignore_fence": False,
        "swap_fails": 0,
        "swap_s": 0.02,
        "late_orders": 0,
        "late_s": 3.0,
        "cross": 0,
        "truncate": 0,
        "set_weights": None,
        "crash": False,
        "token_s": DEFAULT_TOKEN_S,
        "batch": 0,
        "load_lag_s": 0.5,
    }

    def __init__(self, options: dict[str, Any]) -> None:
        super().__init__(options)
        self.boot = uuid.uuid4().hex[:8]
        self.weights: dict[str, int | None] = {}
        self.fence = 0
        self.running = 0
        self.loads: deque[tuple[float, int]] = deque([(float("-inf"), 0)], maxlen=LOADS_KEPT)
        self.waiting: list[tuple[int, int]] = []
        self.arrivals = 0
        self.room = threading.Condition(self.lock)
        self.cache: OrderedDict[str, None] = OrderedDict()
        self.counts = {"runs": 0, "tokens": 0, "cache_hits": 0, "orders": 0, "old_orders": 0}
        self.store = options.get("weight_store", "")
        self.http = bounded_pool_manager(BoundedPool, retries=False)

    def faults_changed(self) -> None:
        """Carry out the switches that act at once."""
        if self.faults["crash"]:
            os._exit(1)
        if self.faults["set_weights"] is not None:
            self.weights = dict(self.faults["set_weights"])
            self.faults["set_weights"] = None
            self.boot = uuid.uuid4().hex[:8]

    def record(self) -> dict[str, Any]:
        """Return the counts and what is served."""
        return {**self.counts, "weights": self.weights, "running": self.running}

    def answer(self, request: Request) -> Response:
        """Answer a call."""
        if request.path == ("v1", "weights"):
            return Response.from_value({"boot": self.boot, "weights": self.weights})
        if request.path == ("v1", "load"):
            return Response.from_value({"running": self._reported_load()})
        if request.path == ("v1", "orders", "load"):
            return self._order(request.json())
        if request.path == ("v1", "chat", "completions"):
            body = request.json()
            with self.lock:
                self.counts["runs"] += 1
            request_id = request.headers.get("x-request-id", uuid.uuid4().hex)
            return Response(200, self._stream(body, request_id), STREAM_HEADERS)
        return Response(404)

    def _order(self, order: dict[str, Any]) -> Response:
        self.counts["orders"] += 1
        if self.use_up("late_orders"):
            time.sleep(self.faults["late_s"])
        with self.lock:
            if order["fence"] < self.fence:
                self.counts["old_orders"] += 1
                if not self.faults["ignore_fence"]:
                    return Response.from_value({"fence": self.fence}, 409)
            self.fence = max(self.fence, order["fence"])
        if not self._load_weights(order):
            return Response.from_value({"error": "weight store"}, 503)
        if self.use_up("swap_fails"):
            self.weights[order["model"]] = None
            return Response.from_value({"error": "swap failed partway"}, 500)
        time.sleep(self.faults["swap_s"])
        self.weights[order["model"]] = order["version"]
        return Response.from_value({"version": order["version"]})

    def _load_weights(self, order: dict[str, Any]) -> bool:
        if not self.store:
            return True
        url = f"{self.store}/weights/{order['model']}/{order['version']}"
        try:
            response = self.http.request("GET", url, timeout=10)
        except HTTPError:
            return False
        return response.status == 200 and not ends_with_connection(response)

    def _stream(self, body: dict[str, Any], request_id: str) -> Iterator[bytes]:
        prompt = "\n".join(message["content"] for message in body["messages"])
        model = body["model"]
        tag = prompt_tag(prompt)
        length = _length(body.get("seed", 0), body["max_tokens"])
        done = body.get("resume_text", "").count(" ")
        cut_at = done + (length - done) // 2 if self.use_up("truncate") else length
        shown_id = f"other-{request_id}" if self.use_up("cross") else request_id
        self._enter(body.get("priority", 0))
        try:
            self._prefill(prompt)
            for number in range(done, cut_at):
                time.sleep(self.faults["token_s"] * (1 + BATCH_SLOWDOWN * (self.running - 1)))
                yield self._event(shown_id, number, self.weights.get(model), tag)
            if cut_at == length:
                yield b"data: [DONE]\n\n"
        finally:
            self._note_running(-1)

    def _enter(self, priority: int) -> None:
        """Wait for room in the batch, the lowest priority number and then the earliest first."""
        with self.room:
            self.arrivals += 1
            place = (priority, self.arrivals)
            heappush(self.waiting, place)
            while self.waiting[0] != place or 0 < self.faults["batch"] <= self.running:
                self.room.wait()
            heappop(self.waiting)
            self._note_running(1)

    def _note_running(self, change: int) -> None:
        with self.room:
            self.running += change
            self.loads.append((time.monotonic(), self.running))
            self.room.notify_all()

    def _reported_load(self) -> int:
        """Return the load as it was some time ago."""
        until = time.monotonic() - self.faults["load_lag_s"]
        with self.lock:
            older = [running for since, running in self.loads if since <= until]
            return older[-1] if older else self.loads[0][1]

    def _prefill(self, prompt: str) -> None:
        with self.lock:
            hit = prompt in self.cache
            self.cache[prompt] = None
            self.cache.move_to_end(prompt)
            self.counts["cache_hits"] += hit
            while len(self.cache) > self.options.get("cache", DEFAULT_CACHE):
                self.cache.popitem(last=False)
        if not hit:
            time.sleep(self.options.get("prefill_s", DEFAULT_PREFILL_S))

    def _event(self, request_id: str, number: int, version: int | None, tag: str) -> bytes:
        self.counts["tokens"] += 1
        text = f"t{number}v{version}p{tag} "
        event: dict[str, Any] = {"id": request_id, "choices": [{"delta": {"content": text}}]}
        if self.faults["names_versions"]:
            event["weight_version"] = version
        return b"data: " + msgspec.json.encode(event) + b"\n\n"


def prompt_tag(prompt: str) -> str:
    """Return the tag by which a token names its prompt."""
    return digest(prompt.encode())[:4]


def _length(seed: int, max_tokens: int) -> int:
    """Return a long-tailed length; the same seed always gives the same."""
    drawn = Random(seed).lognormvariate(0.0, LENGTH_SIGMA) * LENGTH_MEDIAN * max_tokens
    return max(1, min(max_tokens, int(drawn)))


__all__ = ["ModelEngine", "prompt_tag"]
