"""Only one process at a time sends orders to an engine, over real processes that are suspended.

Guards against an order of a sidecar that arrives with a lower fencing token after an order of a
gateway with a higher one (9 after 12); an engine that ignores fencing tokens carries out both. The
sidecar was suspended for longer than a gateway waits before it takes over, and was polled by
gateways again as soon as it was listed again; or its order was delayed in the kernel of its box by
a network partition. An order relied on a verification of the lock of any age ("a gateway polled a
second ago, so no other process can hold the lock"), and nothing bounded the time until the order
reached the engine. Now the store verifies the lock for each order, a verification is valid for 1 s,
and the kernel drops unsent bytes. Without these changes both tests failed every time.
"""

from __future__ import annotations

import signal
import time

import pytest

from tests.serve.fleet import PlatformFleet, wait_for
from tests.serve.orders import order_violations
from tests.serve.tcp_proxy import TcpProxy, serve_behind_proxy
from threadramp.platform.standins.endpoint import PlatformEngine

TAKEOVER_S = 25.0  # 3 s for the lease, 2 s without a sidecar, 5 s of waiting, rest: a load
DELIVERY_S = 0.6  # in which delayed orders arrive
LOAD_S = 0.2


@pytest.fixture
def ways() -> list[TcpProxy]:
    return []


@pytest.fixture
def fleet(tmp_path, serve, ways):
    """Start two gateways and one engine with its sidecar; orders to the engine can be delayed."""
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


def test_a_sidecar_that_was_suspended_does_not_order_with_its_old_lock(fleet):
    engine, side = fleet.engines[0], fleet.sidecars[0]
    fleet.publish_version(2)
    wait_for(lambda: has_loaded(engine, 2), "the sidecar ordered")
    side.process.send_signal(signal.SIGSTOP)
    fleet.publish_version(3)
    wait_for(lambda: has_loaded(engine, 3), "a gateway ordered in its place", TAKEOVER_S)
    side.process.send_signal(signal.SIGCONT)
    wait_for(lambda: "member/side-0" in fleet.keys("member/"), "it is listed again")
    time.sleep(1.0)  # it has handled the requests that arrived while it was suspended
    fleet.publish_version(4)
    wait_for(lambda: has_loaded(engine, 4), "either process ordered", TAKEOVER_S)
    time.sleep(DELIVERY_S)
    assert order_violations(engine.arrived) == []


def test_an_order_delayed_by_a_partition_does_not_arrive_after_one_of_the_next_holder(fleet, ways):
    engine, side = fleet.engines[0], fleet.sidecars[0]
    fleet.publish_version(2)
    wait_for(lambda: has_loaded(engine, 2), "the sidecar ordered")
    ways[0].hold_matching(b"POST /threadramp/order")
    fleet.publish_version(3)
    wait_for(lambda: ways[0].is_holding, "its next order is on its way")
    side.kill()
    fleet.remove("member/side-0")
    wait_for(lambda: has_loaded(engine, 3), "a gateway ordered in its place", TAKEOVER_S)
    ways[0].release()
    time.sleep(DELIVERY_S)
    assert order_violations(engine.arrived) == []
