"""What a gateway reports about the limits of a pool and the speed of its endpoints."""

from __future__ import annotations

from random import Random

from threadramp.edge.attempt_loop import EndpointAccess
from threadramp.edge.call_queue import CallQueues
from threadramp.edge.connection_pool import ConnectionPool
from threadramp.fleet.fleet_view import FleetSnapshot, FleetView
from threadramp.fleet.model import Endpoint
from threadramp.lots.owned import OwnedLots
from threadramp.platform.headers import EndpointLoad
from threadramp.policy.call_admission import Call
from threadramp.policy.endpoint_choice import EndpointSelector
from threadramp.policy.retries import RetryBudget
from threadramp.report.gateway_inspector import GatewayInspector

ONE = Endpoint("i-1", "p", "10.0.0.1:80", "a", 6)


def new_inspector(clock, limit: str) -> GatewayInspector:
    view = FleetView()
    view.snapshot = FleetSnapshot(endpoints={"i-1": ONE})
    choice = EndpointSelector(Random(1))
    queues = CallQueues(limit, {}, view, choice, clock) if limit else None
    access = EndpointAccess(
        view, ConnectionPool(), choice, RetryBudget(), clock, call_queues=queues
    )
    return GatewayInspector(view, None, access, OwnedLots(), clock)


def facts(inspector: GatewayInspector) -> dict[str, str]:
    return {fact.what: fact.value for fact in inspector.pool("p")}


def test_a_pool_shows_its_queue_and_the_speed_of_its_endpoints(clock):
    inspector = new_inspector(clock, "adaptive")
    queue = inspector.access.call_queues._queue("p")
    queue.admission.offer(Call(1, 2, "org", 1.0, clock.now(), 0.2, clock.now() + 2.0), clock.now())
    choice = inspector.access.choice
    choice.record_success(ONE, EndpointLoad(6, 4, 6, 250), clock.now(), 0.04)
    clock.at += 0.03
    found = facts(inspector)
    assert found["limit"] == "adaptive"
    assert found["waiting with priority 2"] == "1, the oldest for 30 ms"
    assert found["load"] == "6 running, 4 waiting"
    assert found["work takes"] == "250% of usual"


def test_a_pool_without_limits_says_so(clock):
    assert "not limited" in facts(new_inspector(clock, ""))["calls"]
