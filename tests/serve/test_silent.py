"""Open connections of processes to the store go silent without a reset, while new ones work.

Seen: requests reached endpoints more than 2 s after the store had taken that they leave. How it
came about: all gateways hear of changes by calls that the store answers when there is one, else
after 10 s. All of them wait since the same last change; once their connections are silent none
hears of the next, and copies from peers cannot help. Cause: that no answer came was taken for
"nothing changed". Proof: without the mend the gateways go on sending for up to 11 s.
"""

from __future__ import annotations

import time

import pytest

from tests.serve.fleet import CALLS, PlatformFleet, wait_for
from tests.serve.way import Way, put_before

CONTACT_S = 3.0  # after a disturbance of its connections, a box is held to the bounds again
DRAIN_S = 2.0  # a leaving endpoint gets no new work after this


@pytest.fixture
def silenced(tmp_path, serve):
    """A fleet of which all processes reach the store through ways that can go silent."""
    made: list[Way] = []
    fleet = PlatformFleet(tmp_path, serve)
    try:  # a set-up that fails leaves no process behind either
        for box in fleet.boxes:
            made.append(put_before(box, fleet.store_address))
        fleet.start()
        for gateway in fleet.gateways:
            wait_for(lambda box=gateway: ask(box).status == 200, f"{gateway.name} serves")
        yield fleet, made
    finally:
        fleet.close()
        for way in made:
            way.close()


def ask(gateway, target="/x"):
    return gateway.call("POST", target, host=CALLS, body=b"q", X_Attempt_Id="r1")


def test_an_endpoint_that_leaves_is_sent_nothing_though_open_connections_are_silent(silenced):
    fleet, made = silenced
    for way in made:
        way.silence()
    silent_at = time.monotonic()
    address = fleet.callee_address
    fleet.register("i-c0", "calls", address, state="draining")
    time.sleep(max(0.0, silent_at + max(CONTACT_S, DRAIN_S) - time.monotonic()))
    ran = len(fleet.callee.runs)
    assert [ask(gateway).status for gateway in fleet.gateways] == [503, 503]
    assert len(fleet.callee.runs) == ran
