"""One process at a time orders an engine, over real processes that stand still.

Seen: an engine got an order of its sidecar with a lower number behind an order of a gateway with a
higher one; an engine that looks at no number carries out both. How it came about: the sidecar was
away for longer than a gateway waits before it orders in its place, and was asked by gateways again
as soon as it was listed again; or its order lay in its box's kernel behind a cut. Cause: an order
rested on a proof of any age, "a gateway asked a second ago, so nobody else can hold the right", and
nothing bounded the time from there to the engine. Proof: with the store asked for each order, the
answer good for a second, and unsent bytes dropped by the kernel, both scenarios pass; each failed
every time before, in the record's own words (number 9 of the sidecar after 12 of the gateway).
"""

from __future__ import annotations

import signal
import time

import pytest

from tests.serve.fleet import PlatformFleet, wait_for
from tests.serve.orders import order_violations
from tests.serve.tcp_proxy import TcpProxy, serve_behind_proxy
from threadramp.platform.standins.endpoint import PlatformEngine

STOOD_IN_S = (
    25.0  # 3 s for the lease, 2 s without a sidecar, 5 s of waiting, and the rest of a load
)
LATE_S = 0.6  # what lay somewhere has arrived by then
LOAD_S = 0.2


@pytest.fixture
def ways() -> list[TcpProxy]:
    return []


@pytest.fixture
def fleet(tmp_path, serve, ways):
    """Two gateways and one engine with its sidecar; what goes to the engine can be held up."""
    behind = serve_behind_proxy(serve, ways, lambda one: getattr(one, "instance", "") == "i-e0")
    made = PlatformFleet(tmp_path, behind, gateways=2, engines=1)
    made.engines[0].faults["load_s"] = LOAD_S
    try:
        made.start()
        yield made
    finally:
        made.close()


def has_loaded(engine: PlatformEngine, version: int) -> bool:
    return engine.versions["m"] >= version


def test_a_sidecar_that_stood_still_does_not_order_by_what_it_knew_before(fleet):
    engine, side = fleet.engines[0], fleet.sidecars[0]
    fleet.publish_version(2)
    wait_for(lambda: has_loaded(engine, 2), "the sidecar ordered")
    side.process.send_signal(signal.SIGSTOP)
    fleet.publish_version(3)
    wait_for(lambda: has_loaded(engine, 3), "a gateway ordered in its place", STOOD_IN_S)
    side.process.send_signal(signal.SIGCONT)
    wait_for(lambda: "member/side-0" in fleet.keys("member/"), "it is listed again")
    time.sleep(1.0)  # what lay at it meanwhile has been answered
    fleet.publish_version(4)
    wait_for(lambda: has_loaded(engine, 4), "whoever it is ordered", STOOD_IN_S)
    time.sleep(LATE_S)
    assert order_violations(engine.arrived) == []


def test_an_order_that_lay_behind_a_cut_does_not_come_after_the_next_holders(fleet, ways):
    engine, side = fleet.engines[0], fleet.sidecars[0]
    fleet.publish_version(2)
    wait_for(lambda: has_loaded(engine, 2), "the sidecar ordered")
    ways[0].hold_matching(b"POST /threadramp/order")
    fleet.publish_version(3)
    wait_for(lambda: ways[0].is_holding, "its next order is on its way")
    side.kill()
    fleet.remove("member/side-0")
    wait_for(lambda: has_loaded(engine, 3), "a gateway ordered in its place", STOOD_IN_S)
    ways[0].release()
    time.sleep(LATE_S)
    assert order_violations(engine.arrived) == []
