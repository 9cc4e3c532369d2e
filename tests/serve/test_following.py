"""Two gateways of a data centre watch the store, the others follow them; over real processes."""

from __future__ import annotations

import time

import pytest

from tests.serve.fleet import CALLS, PlatformFleet, wait_for
from threadramp.fleet.watcher import watch_wait_s

GATEWAYS = 4
SHORT_WATCHES = 2  # prefixes whose watches have a short timeout, for each watcher
CONTACT_S = 3.0  # the platform's usual bound, from which that timeout is derived
MAX_CONFIGURATION_DELAY_S = 2.0  # the platform's bound


@pytest.fixture
def followed(tmp_path, serve):
    fleet = PlatformFleet(tmp_path, serve, gateways=GATEWAYS, engines=1)
    try:  # a failed setup must not leave processes behind either
        fleet.start()
        wait_for(lambda: len(followers(fleet)) == GATEWAYS - 2, "two gateways follow", 15.0)
        yield fleet
    finally:
        fleet.close()


def followers(fleet) -> list:
    return [box for box in fleet.gateways if box.lines("follows")]


def send_request(gateway, target):
    return gateway.call("POST", target, host=CALLS, body=b"q", X_Attempt_Id="r1")


def change_routes(fleet, gateways, version: int, within_s: float) -> None:
    prefix = f"/v{version}/"
    fleet.configure(version=version, pathPrefix=prefix)
    deadline = time.monotonic() + within_s
    for gateway in gateways:
        wait_for(
            lambda box=gateway: send_request(box, f"{prefix}x").status == 200,
            f"version {version} at {gateway.name}",
            deadline - time.monotonic(),
        )


def test_a_change_wakes_only_the_watches_of_two_gateways(followed):
    """A change wakes two watches, and two time out; more time out if the test takes longer.

    At a load of 30 on eight cores five watches were counted: a fixed bound would depend on how long
    the test takes, not on what a change wakes.
    """
    before = followed.store.counts["watches"]
    started_at = time.monotonic()
    change_routes(followed, followed.gateways, 4, MAX_CONFIGURATION_DELAY_S)
    time.sleep(0.3)
    timed_out = 2 * SHORT_WATCHES * int((time.monotonic() - started_at) / watch_wait_s(CONTACT_S))
    assert followed.store.counts["watches"] - before <= 4 + timed_out


def test_followers_take_over_if_both_watchers_are_killed(followed):
    remaining = followers(followed)
    for gateway in followed.gateways:
        if gateway not in remaining:
            gateway.kill()
    change_routes(followed, remaining, 4, MAX_CONFIGURATION_DELAY_S)
    wait_for(
        lambda: all(box.lines("watches_itself") for box in remaining), "both watch the store", 5.0
    )


def test_a_lot_is_served_by_followers(followed):
    first, second = followers(followed)
    assert followed.hand_in(first, "lot1") == 202
    assert len(followed.whole(second, "lot1")) == 6
