"""Orders of a sidecar to an engine with our own interface, by the age of its configuration."""

from __future__ import annotations

import pytest

from threadramp.config.settings import SidecarSettings
from threadramp.core.served_versions import REVISION_SHIFT, Order, ReadVersions
from threadramp.core.sidecar import SidecarCore
from threadramp.wire.messages import Change, SyncRequest

ADDRESS = "127.0.0.1:1"
STARTED_AT = 100.0
STEP_S = 0.1
LONG_S = 60.0
STARTED_MS = 7


@pytest.fixture
def core() -> SidecarCore:
    settings = SidecarSettings("engine-0", ADDRESS, ADDRESS, ADDRESS, "dc")
    made = SidecarCore(settings, "incarnation", STARTED_MS, STARTED_AT)
    endpoint = {"pool": "p", "data_centre": "dc", "address": ADDRESS}
    endpoint |= {"sidecar_http": ADDRESS, "sidecar_sync": ADDRESS}
    made.chain.apply(
        (
            Change(1, "c1", "pool", "p", {"type": "model", "models": ["m"]}),
            Change(2, "c2", "endpoint", "engine-0", endpoint),
            Change(3, "c3", "weights", "m", {"version": 1}),
        )
    )
    return made


def heartbeat(core: SidecarCore, at: float) -> None:
    core.handle(SyncRequest("gateway", core.chain.revision), at)


def orders(core: SidecarCore, started: float, ended: float) -> list[Order]:
    """Return the orders to an engine that reports no version, checked at the rate of the thread."""
    found = []
    at = started
    while at < ended:
        for action in core.next_engine_actions(at):
            if isinstance(action, ReadVersions):
                core.served_versions.record_versions("boot", {"m": None}, at)
            else:
                found.append(action)
        at += STEP_S
    return found


def test_nothing_is_ordered_without_a_recent_heartbeat(core) -> None:
    """A sidecar without gateways, whose engine has another sidecar, went on sending orders."""
    heartbeat(core, STARTED_AT)
    assert orders(core, STARTED_AT, STARTED_AT + 2.0)
    orders(core, STARTED_AT + 2.0, STARTED_AT + LONG_S)
    assert orders(core, STARTED_AT + LONG_S, STARTED_AT + 2 * LONG_S) == []
    heartbeat(core, STARTED_AT + 2 * LONG_S)
    assert orders(core, STARTED_AT + 2 * LONG_S, STARTED_AT + 2 * LONG_S + 2.0)


def test_after_an_order_of_a_newer_revision_nothing_is_ordered_before_the_next_heartbeat(
    core,
) -> None:
    """The sidecar adopted the newer fencing token and had the engine load the older version."""
    heartbeat(core, STARTED_AT)
    first = orders(core, STARTED_AT, STARTED_AT + 2.0)[0]
    newer = (4 << REVISION_SHIFT) + 1
    core.served_versions.record_order_sent(first, STARTED_AT + 2.0)
    core.served_versions.record_order_result("m", False, STARTED_AT + 2.0, newer)
    assert orders(core, STARTED_AT + 2.0, STARTED_AT + 5.0) == []
    heartbeat(core, STARTED_AT + 5.0)
    assert {order.fencing_token for order in orders(core, STARTED_AT + 5.0, STARTED_AT + 7.0)} == {
        newer
    }


def test_a_fencing_token_of_the_same_revision_is_adopted_at_once(core) -> None:
    """An earlier process on a box whose clock was ahead had no newer configuration."""
    heartbeat(core, STARTED_AT)
    first = orders(core, STARTED_AT, STARTED_AT + 2.0)[0]
    ahead = first.fencing_token + 1000
    core.served_versions.record_order_sent(first, STARTED_AT + 2.0)
    core.served_versions.record_order_result("m", False, STARTED_AT + 2.0, ahead)
    assert {order.fencing_token for order in orders(core, STARTED_AT + 2.0, STARTED_AT + 4.0)} == {
        ahead
    }


def test_a_heartbeat_that_was_received_before_a_freeze_does_not_count(core) -> None:
    heartbeat(core, STARTED_AT)
    woke = STARTED_AT + LONG_S
    heartbeat(core, woke)
    assert orders(core, woke, woke + 2.0) == []
    heartbeat(core, woke + 2.0)
    assert orders(core, woke + 2.0, woke + 4.0)
