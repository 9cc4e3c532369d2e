"""Open connections to the store deliver nothing, without a reset, while new ones work.

Guards against requests that reach an endpoint more than 2 s after the store recorded that it
drains. All gateways learn of changes by long polls that the store answers on a change, else after
10 s. All of these wait since the same last change; if their connections go dead, none learns of the
next change, and copies from peers can't help. A missing response was taken for "nothing changed".
Without the fix the gateways keep sending for up to 11 s.
"""

from __future__ import annotations

import time

import pytest

from tests.serve.fleet import CALLS, PlatformFleet, wait_for
from tests.serve.tcp_proxy import TcpProxy, proxy_store

CONTACT_S = 3.0  # so long after a disturbance the platform's bounds apply to a box again
DRAIN_S = 2.0  # a draining endpoint must get no new requests after this time
MIN_IDLE_S = 0.95  # renewals use their connection each 0.8 s, watches leave theirs idle for longer


@pytest.fixture
def silenced(tmp_path, serve):
    """Start a fleet whose processes reach the store through proxies that can drop all data."""
    made: list[TcpProxy] = []
    fleet = PlatformFleet(tmp_path, serve)
    try:  # a failed setup must not leave processes behind either
        for box in fleet.boxes:
            made.append(proxy_store(box, fleet.store_address))
        fleet.start()
        for gateway in fleet.gateways:
            wait_for(lambda box=gateway: send_request(box).status == 200, f"{gateway.name} serves")
        yield fleet, made
    finally:
        fleet.close()
        for way in made:
            way.close()


def send_request(gateway, target="/x"):
    return gateway.call("POST", target, host=CALLS, body=b"q", X_Attempt_Id="r1")


def test_a_draining_endpoint_gets_no_requests_though_open_connections_are_dead(silenced):
    fleet, made = silenced
    for way in made:
        way.blackhole()
    dead_since = time.monotonic()
    address = fleet.callee_address
    fleet.register("i-c0", "calls", address, state="draining")
    time.sleep(max(0.0, dead_since + max(CONTACT_S, DRAIN_S) - time.monotonic()))
    ran = len(fleet.callee.runs)
    assert [send_request(gateway).status for gateway in fleet.gateways] == [503, 503]
    assert len(fleet.callee.runs) == ran


def silence_connections(made, rested_s: float = 0.0) -> float:
    """Silence open connections; return when the platform's bounds apply to the boxes again."""
    for way in made:
        way.blackhole(rested_s)
    return time.monotonic() + CONTACT_S


def wait_until(moment: float) -> None:
    time.sleep(max(0.0, moment - time.monotonic()))


def test_an_endpoint_that_is_removed_without_draining_gets_no_requests(silenced):
    """No call is answered for 2 s; this must not count as an outage, after which entries expire."""
    fleet, made = silenced
    bounds_apply_at = silence_connections(made)
    fleet.remove("servers/i-c0")
    wait_until(bounds_apply_at)
    assert [send_request(gateway).status for gateway in fleet.gateways] == [503, 503]


def test_only_the_connections_of_watches_are_dead(silenced):
    """Renewals are still answered, so nothing else reveals the dead connections."""
    fleet, made = silenced
    time.sleep(MIN_IDLE_S)
    bounds_apply_at = silence_connections(made, MIN_IDLE_S)
    fleet.register("i-c0", "calls", fleet.callee_address, state="draining")
    wait_until(bounds_apply_at)
    assert [send_request(gateway).status for gateway in fleet.gateways] == [503, 503]
    assert not any(gateway.lines("store_lost") for gateway in fleet.gateways)


def test_a_new_configuration_is_in_force_in_time(silenced):
    fleet, made = silenced
    bounds_apply_at = silence_connections(made)
    fleet.configure(version=4, pathPrefix="/new/")
    wait_until(bounds_apply_at)
    assert [send_request(gateway, "/x").status for gateway in fleet.gateways] == [404, 404]
    assert [send_request(gateway, "/new/x").status for gateway in fleet.gateways] == [200, 200]


def test_dead_connections_are_logged_as_such_and_not_as_an_outage(silenced):
    fleet, made = silenced
    wait_until(silence_connections(made))
    for box in fleet.gateways:
        assert box.lines("store_connections_suspect")
        assert not box.lines("store_lost")
