"""Keys that are taken away while gateways are turned away by the store, start, or hear nothing."""

from __future__ import annotations

import threading
import time

import pytest

from tests.serve.fleet import CALLS, PlatformFleet, bearer, wait_for
from tests.serve.tcp_proxy import proxy_store

OLD, NEW, OTHER = "acme-key-0123456789", "acme-next-012345678", "rival-key-987654321"
BEFORE = {"acme": (OLD, NEW), "rival": (OTHER,)}
AFTER = {"acme": (NEW,), "rival": (OTHER,)}
IN_FORCE_S = 3.0  # the platform's bound for a change of the configuration
ASK_EACH_S = 0.1


@pytest.fixture
def make(tmp_path, serve):
    """Returns three gateways that reach the store through ways, and those ways."""
    made = []

    def start(**bounds):
        fleet = PlatformFleet(tmp_path, serve, gateways=3, engines=1)
        fleet.configure(version=4, organisations=BEFORE)
        ways = [proxy_store(gateway, fleet.store_address) for gateway in fleet.gateways]
        for gateway in fleet.gateways:
            gateway.settings["bounds"] |= bounds
            gateway.write()
        made.append((fleet, ways))
        fleet.start()
        for gateway in fleet.gateways:
            wait_for(lambda box=gateway: len(box.lines("member")) >= 4, f"{gateway.name} knows all")
        return fleet, ways

    yield start
    for fleet, ways in made:
        fleet.close()
        for way in ways:
            way.close()


class Asker:
    """Asks a gateway each tenth of a second with each key, and keeps what it said and when."""

    def __init__(self, gateway) -> None:
        self.gateway = gateway
        self.rows: list[tuple[float, str, int]] = []
        self.stopped = threading.Event()
        self.thread = threading.Thread(target=self._run, daemon=True)
        self.thread.start()

    def _run(self) -> None:
        while not self.stopped.wait(ASK_EACH_S):
            for key in (OLD, NEW, OTHER):
                sent = time.monotonic()
                try:
                    status = self.gateway.call(
                        "POST", "/x/", host=CALLS, X_Attempt_Id="a", **bearer(key)
                    ).status
                except Exception:  # it is not there just now
                    status = 0
                self.rows.append((sent, key, status))

    def stop(self) -> None:
        self.stopped.set()
        self.thread.join()

    def statuses(self, key: str, after: float) -> set[int]:
        return {status for sent, one, status in self.rows if one == key and sent > after}


def test_a_key_is_away_everywhere_within_the_bound_also_where_the_store_turns_away(make):
    fleet, ways = make()
    ways[1].block()
    time.sleep(1.0)
    askers = [Asker(gateway) for gateway in fleet.gateways]
    time.sleep(0.5)
    taken_away = time.monotonic()
    fleet.configure(version=5, organisations=AFTER)
    time.sleep(IN_FORCE_S + 1.5)
    for asker in askers:
        asker.stop()
        assert asker.statuses(OLD, taken_away + IN_FORCE_S) == {401}
        assert 401 not in asker.statuses(NEW, 0.0)
        assert 401 not in asker.statuses(OTHER, 0.0)


def test_a_gateway_that_starts_meanwhile_lets_no_old_key_in_and_no_good_one_out(make):
    fleet, ways = make()
    ways[0].block()
    time.sleep(1.0)
    asker = Asker(fleet.gateways[2])
    fleet.gateways[2].kill()
    taken_away = time.monotonic()
    fleet.configure(version=5, organisations=AFTER)
    fleet.gateways[2].start()
    wait_for(lambda: fleet.gateways[2].ready() == 200, "it is back")
    time.sleep(1.0)
    asker.stop()
    assert asker.statuses(OLD, taken_away) <= {0, 401, 503}
    assert asker.statuses(NEW, taken_away) <= {0, 200, 503}
    assert 200 in asker.statuses(NEW, taken_away)


def test_while_the_store_is_silent_for_all_callers_are_served_on(make):
    fleet, ways = make()
    for way in ways:
        way.blackhole()
        way.block()
    askers = [Asker(gateway) for gateway in fleet.gateways]
    time.sleep(6.5)
    for asker in askers:
        asker.stop()
        assert asker.statuses(NEW, 0.0) == {200}
        assert asker.statuses(OLD, 0.0) == {200}


def test_where_keys_must_be_away_everywhere_what_is_old_is_not_trusted(make):
    """The one who is cut off from all refuses, truly and at once; the others know and go on."""
    fleet, ways = make(revokeStrict=True, revokeMs=2500, contactMs=2000)
    askers = [Asker(gateway) for gateway in fleet.gateways]
    time.sleep(3.0)
    for asker in askers:  # calm: nobody is refused, though most hear of the store through peers
        assert asker.statuses(NEW, 0.0) == {200}
    # While a sidecar lives, a gateway reads the store through it and rightly trusts what it shows.
    for sidecar in fleet.sidecars:
        sidecar.kill()
    shut_at = time.monotonic()
    for way in ways:
        way.block()
    time.sleep(4.0)
    for asker in askers:
        asker.stop()
        assert asker.statuses(NEW, shut_at + 2.5) == {503}
        assert asker.statuses("", shut_at) == set()


def test_a_gateway_that_reaches_the_store_through_a_sidecar_alone_serves_on(make):
    """Its own way counts no more than another one: refusing would turn sound callers away."""
    fleet, ways = make(revokeStrict=True, revokeMs=2500, contactMs=2000)
    for way in ways:
        way.block()
    askers = [Asker(gateway) for gateway in fleet.gateways]
    time.sleep(2.0)
    taken_away = time.monotonic()
    fleet.configure(version=5, organisations=AFTER)
    time.sleep(4.0)
    for asker in askers:
        asker.stop()
        assert asker.statuses(NEW, 0.0) == {200}
        assert asker.statuses(OLD, taken_away + 2.5) == {401}
