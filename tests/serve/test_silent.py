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
from tests.serve.tcp_proxy import TcpProxy, proxy_store

CONTACT_S = 3.0  # after a disturbance of its connections, a box is held to the bounds again
DRAIN_S = 2.0  # a leaving endpoint gets no new work after this
RESTED_S = 0.95  # renewals use their connection each 0.8 s, watches wait for longer


@pytest.fixture
def silenced(tmp_path, serve):
    """A fleet of which all processes reach the store through ways that can go silent."""
    made: list[TcpProxy] = []
    fleet = PlatformFleet(tmp_path, serve)
    try:  # a set-up that fails leaves no process behind either
        for box in fleet.boxes:
            made.append(proxy_store(box, fleet.store_address))
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
        way.blackhole()
    silent_at = time.monotonic()
    address = fleet.callee_address
    fleet.register("i-c0", "calls", address, state="draining")
    time.sleep(max(0.0, silent_at + max(CONTACT_S, DRAIN_S) - time.monotonic()))
    ran = len(fleet.callee.runs)
    assert [ask(gateway).status for gateway in fleet.gateways] == [503, 503]
    assert len(fleet.callee.runs) == ran


def let_go_silent(made, rested_s: float = 0.0) -> float:
    """Silence all ways, and return when the boxes are held to the bounds again."""
    for way in made:
        way.blackhole(rested_s)
    return time.monotonic() + CONTACT_S


def wait_until(moment: float) -> None:
    time.sleep(max(0.0, moment - time.monotonic()))


def test_an_endpoint_that_goes_without_a_word_is_sent_nothing(silenced):
    """No call is answered for 2 s then; that is no outage in which entries lapse."""
    fleet, made = silenced
    bound = let_go_silent(made)
    fleet.remove("servers/i-c0")
    wait_until(bound)
    assert [ask(gateway).status for gateway in fleet.gateways] == [503, 503]


def test_watches_alone_may_be_silent(silenced):
    """Renewals are answered all the while, so that nothing else shows it."""
    fleet, made = silenced
    time.sleep(RESTED_S)
    bound = let_go_silent(made, RESTED_S)
    fleet.register("i-c0", "calls", fleet.callee_address, state="draining")
    wait_until(bound)
    assert [ask(gateway).status for gateway in fleet.gateways] == [503, 503]
    assert not any(gateway.lines("store_lost") for gateway in fleet.gateways)


def test_a_new_configuration_is_in_force_in_time(silenced):
    fleet, made = silenced
    bound = let_go_silent(made)
    fleet.configure(version=4, pathPrefix="/new/")
    wait_until(bound)
    assert [ask(gateway, "/x").status for gateway in fleet.gateways] == [404, 404]
    assert [ask(gateway, "/new/x").status for gateway in fleet.gateways] == [200, 200]


def test_it_is_told_as_silence_and_not_as_an_outage(silenced):
    fleet, made = silenced
    wait_until(let_go_silent(made))
    for box in fleet.gateways:
        assert box.lines("store_connections_suspect")
        assert not box.lines("store_lost")
