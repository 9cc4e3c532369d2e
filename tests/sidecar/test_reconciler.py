"""Orders and read-backs of a sidecar whose news changes, or that stands still, in between."""

from __future__ import annotations

import threading
import time
from typing import TYPE_CHECKING

import msgspec
import pytest
from urllib3.connection import HTTPConnection

from tests.stuttering import LATE, Stutterer, response
from threadramp.config.settings import SidecarSettings
from threadramp.core.served_versions import ModelState
from threadramp.core.sidecar import SidecarCore
from threadramp.sidecar.engine import EngineClient, EngineVersions
from threadramp.sidecar.reconciler import Reconciler
from threadramp.sidecar.state import SidecarState, now
from threadramp.wire.messages import Change, SyncRequest

if TYPE_CHECKING:
    from collections.abc import Callable

    from threadramp.core.served_versions import Order

PATIENCE_S = 10.0
LOOK_S = 0.01
STOOD_STILL_S = 60.0
ADDRESS = "127.0.0.1:1"


class Engine:
    """Takes orders at once.

    :ivar on_order: called while an order is under way
    :ivar on_read: called when the answer to a question has left
    """

    def __init__(self) -> None:
        self.weights: dict[str, int | None] = {"a": 0, "b": 0}
        self.orders: list[tuple[str, int]] = []
        self.reads = 0
        self.on_order: Callable[[], None] = lambda: None
        self.on_read: Callable[[], None] = lambda: None

    def order(self, order: Order, may_send: Callable[[], bool]) -> tuple[bool, int]:
        self.orders.append((order.model, order.version))
        self.on_order()
        self.weights[order.model] = order.version
        return True, 0

    def versions(self) -> EngineVersions:
        self.reads += 1
        answer = EngineVersions("boot", dict(self.weights))
        self.on_read()
        return answer


@pytest.fixture
def state() -> SidecarState:
    settings = SidecarSettings("engine-0", ADDRESS, ADDRESS, ADDRESS, "dc")
    made = SidecarState(SidecarCore(settings, "incarnation", 1, now()))
    made.engine = Engine()
    endpoint = {"pool": "p", "data_centre": "dc", "address": ADDRESS}
    endpoint |= {"sidecar_http": ADDRESS, "sidecar_sync": ADDRESS}
    declare(made, "pool", "p", {"type": "model", "models": ["a", "b"]})
    declare(made, "endpoint", "engine-0", endpoint)
    return made


@pytest.fixture
def start(state):
    made = Reconciler(state)
    yield made.start
    made.stop()


def declare(state: SidecarState, kind: str, name: str, spec: dict) -> None:
    revision = state.core.chain.revision + 1
    with state.lock:
        state.core.chain.apply((Change(revision, f"c{revision}", kind, name, spec),))


def wait_until(done: Callable[[], bool]) -> None:
    until = time.monotonic() + PATIENCE_S
    while not done():
        assert time.monotonic() < until
        time.sleep(LOOK_S)


def test_an_order_that_news_has_overtaken_is_not_sent(state, start) -> None:
    """While one model was loaded the order for the next lay here, and went out all the same."""
    engine = state.engine
    declare(state, "weights", "a", {"version": 1})
    declare(state, "weights", "b", {"version": 1})
    state.core.handle(SyncRequest("gateway", state.core.chain.revision), now())
    engine.on_order = lambda: declare(state, "weights", "b", {"version": 2})
    with state.lock:
        state.core.served_versions.next_read = now() + PATIENCE_S  # both orders are due at once
    start()
    wait_until(lambda: engine.weights == {"a": 1, "b": 2})
    assert engine.orders == [("a", 1), ("b", 2)]


@pytest.mark.parametrize("seen", [True, False])
def test_a_read_back_from_before_a_standstill_verifies_nothing(state, start, seen) -> None:
    """The answer lay here while the process stood still, and the engine began anew meanwhile.

    :param seen: whether the thread that watches the clock has seen it before the answer was taken
    """
    engine = state.engine
    verified: list[dict[str, int]] = []
    answered = threading.Event()

    def stand_still() -> None:
        if engine.reads > 1:
            answered.wait(PATIENCE_S)
            return
        engine.weights = {"a": None, "b": None}
        with state.lock:
            state.core.freeze.last_observed_at -= STOOD_STILL_S
            if seen:
                state.core.observe(now())

    declare(state, "weights", "a", {"version": 0})
    engine.on_read = stand_still
    start()
    wait_until(lambda: engine.reads > 1)
    with state.lock:
        verified.append(state.core.served_versions.verified())
    answered.set()
    assert verified == [{}]


def test_an_order_that_news_overtakes_while_it_connects_is_not_sent(
    state, start, monkeypatch
) -> None:
    """A connection may take its time, and a process may stand still behind its last look."""

    def answer(number: int, request: bytes) -> bytes:
        return response(msgspec.json.encode({"boot": "b", "weights": {"a": None}}))

    engine = Stutterer(answer, LATE)
    state.engine = EngineClient(engine.address)
    connect = HTTPConnection.connect

    def slowly(connection: HTTPConnection) -> None:
        with state.lock:
            ordered = state.core.served_versions.models.get("a", ModelState()).ordered
        if ordered == 1:
            declare(state, "weights", "a", {"version": 2})
        connect(connection)

    monkeypatch.setattr(HTTPConnection, "connect", slowly)
    declare(state, "weights", "a", {"version": 1})
    state.core.handle(SyncRequest("gateway", state.core.chain.revision), now())
    start()
    wait_until(lambda: any(ordered_version(request) == 2 for request in list(engine.requests)))
    engine.close()
    assert not [one for one in engine.requests if ordered_version(one) == 1]


def ordered_version(request: bytes) -> int:
    """Return the version that a request orders, 0 if it is no order."""
    body = request.partition(b"\r\n\r\n")[2]
    return msgspec.json.decode(body)["version"] if body else 0
