"""Orders of a sidecar of the own interface by how old its news is."""

from __future__ import annotations

import pytest

from threadramp.config.settings import SidecarSettings
from threadramp.core.served_versions import REVISION_SHIFT, Order, ReadVersions
from threadramp.core.sidecar import SidecarCore
from threadramp.wire.messages import Change, SyncRequest

ADDRESS = "127.0.0.1:1"
BEGUN = 100.0
STEP_S = 0.1
LONG_S = 60.0
STARTED_MS = 7


@pytest.fixture
def core() -> SidecarCore:
    settings = SidecarSettings("engine-0", ADDRESS, ADDRESS, ADDRESS, "dc")
    made = SidecarCore(settings, "incarnation", STARTED_MS, BEGUN)
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


def beat(core: SidecarCore, at: float) -> None:
    core.handle(SyncRequest("gateway", core.chain.revision), at)


def orders(core: SidecarCore, begun: float, ended: float) -> list[Order]:
    """Look several times a second, as its thread does, at an engine that says nothing."""
    found = []
    at = begun
    while at < ended:
        for action in core.next_engine_actions(at):
            if isinstance(action, ReadVersions):
                core.served_versions.record_versions("boot", {"m": None}, at)
            else:
                found.append(action)
        at += STEP_S
    return found


def test_nothing_is_ordered_by_news_that_is_old(core) -> None:
    """A sidecar that no gateway asks any more, since its engine has another, ordered on."""
    beat(core, BEGUN)
    assert orders(core, BEGUN, BEGUN + 2.0)
    orders(core, BEGUN + 2.0, BEGUN + LONG_S)
    assert orders(core, BEGUN + LONG_S, BEGUN + 2 * LONG_S) == []
    beat(core, BEGUN + 2 * LONG_S)
    assert orders(core, BEGUN + 2 * LONG_S, BEGUN + 2 * LONG_S + 2.0)


def test_whoever_is_outdone_by_a_newer_revision_orders_by_news_from_after_that(core) -> None:
    """It took over the number that it was refused by, and had the engine load the older version."""
    beat(core, BEGUN)
    first = orders(core, BEGUN, BEGUN + 2.0)[0]
    newer = (4 << REVISION_SHIFT) + 1
    core.served_versions.record_order_sent(first, BEGUN + 2.0)
    core.served_versions.record_order_result("m", False, BEGUN + 2.0, newer)
    assert orders(core, BEGUN + 2.0, BEGUN + 5.0) == []
    beat(core, BEGUN + 5.0)
    assert {order.fencing_token for order in orders(core, BEGUN + 5.0, BEGUN + 7.0)} == {newer}


def test_a_number_of_the_same_revision_is_taken_over_at_once(core) -> None:
    """The clock of the box of an earlier process was ahead; its news is no newer."""
    beat(core, BEGUN)
    first = orders(core, BEGUN, BEGUN + 2.0)[0]
    ahead = first.fencing_token + 1000
    core.served_versions.record_order_sent(first, BEGUN + 2.0)
    core.served_versions.record_order_result("m", False, BEGUN + 2.0, ahead)
    assert {order.fencing_token for order in orders(core, BEGUN + 2.0, BEGUN + 4.0)} == {ahead}


def test_what_lay_here_during_a_standstill_is_no_news(core) -> None:
    beat(core, BEGUN)
    woke = BEGUN + LONG_S
    beat(core, woke)
    assert orders(core, woke, woke + 2.0) == []
    beat(core, woke + 2.0)
    assert orders(core, woke + 2.0, woke + 4.0)
