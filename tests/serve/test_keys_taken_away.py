"""Keys are revoked while gateways can't reach the store, start, or get no response from it."""

from __future__ import annotations

import threading
import time

import pytest

from tests.serve.fleet import CALLS, PlatformFleet, bearer, wait_for
from tests.serve.tcp_proxy import proxy_store

OLD, NEW, OTHER = "acme-key-0123456789", "acme-next-012345678", "rival-key-987654321"
BEFORE = {"acme": (OLD, NEW), "rival": (OTHER,)}
AFTER = {"acme": (NEW,), "rival": (OTHER,)}
MAX_CONFIGURATION_DELAY_S = 3.0  # the platform's bound
REQUEST_INTERVAL_S = 0.1


@pytest.fixture
def make(tmp_path, serve):
    """Return a function that starts three gateways behind proxies to the store; it returns both."""
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
            wait_for(
                lambda box=gateway: len(box.lines("member")) >= 4,
                f"{gateway.name} knows all members",
            )
        return fleet, ways

    yield start
    for fleet, ways in made:
        fleet.close()
        for way in ways:
            way.close()


class KeyProbe:
    """Sends a request with each key to a gateway each 0.1 s and records statuses and times."""

    def __init__(self, gateway) -> None:
        self.gateway = gateway
        self.rows: list[tuple[float, str, int]] = []
        self.stopped = threading.Event()
        self.thread = threading.Thread(target=self._run, daemon=True)
        self.thread.start()

    def _run(self) -> None:
        while not self.stopped.wait(REQUEST_INTERVAL_S):
            for key in (OLD, NEW, OTHER):
                sent = time.monotonic()
                try:
                    status = self.gateway.call(
                        "POST", "/x/", host=CALLS, X_Attempt_Id="a", **bearer(key)
                    ).status
                except Exception:  # the gateway isn't running
                    status = 0
                self.rows.append((sent, key, status))

    def stop(self) -> None:
        self.stopped.set()
        self.thread.join()

    def statuses(self, key: str, after: float) -> set[int]:
        return {status for sent, one, status in self.rows if one == key and sent > after}


def test_a_key_is_revoked_everywhere_in_time_also_if_a_gateway_cannot_reach_the_store(make):
    fleet, ways = make()
    ways[1].block()
    time.sleep(1.0)
    probes = [KeyProbe(gateway) for gateway in fleet.gateways]
    time.sleep(0.5)
    revoked_at = time.monotonic()
    fleet.configure(version=5, organisations=AFTER)
    time.sleep(MAX_CONFIGURATION_DELAY_S + 1.5)
    for probe in probes:
        probe.stop()
        assert probe.statuses(OLD, revoked_at + MAX_CONFIGURATION_DELAY_S) == {401}
        assert 401 not in probe.statuses(NEW, 0.0)
        assert 401 not in probe.statuses(OTHER, 0.0)


def test_a_gateway_that_starts_meanwhile_accepts_no_revoked_key_and_refuses_no_valid_one(make):
    fleet, ways = make()
    ways[0].block()
    time.sleep(1.0)
    probe = KeyProbe(fleet.gateways[2])
    fleet.gateways[2].kill()
    revoked_at = time.monotonic()
    fleet.configure(version=5, organisations=AFTER)
    fleet.gateways[2].start()
    wait_for(lambda: fleet.gateways[2].ready() == 200, "the gateway is ready again")
    time.sleep(1.0)
    probe.stop()
    assert probe.statuses(OLD, revoked_at) <= {0, 401, 503}
    assert probe.statuses(NEW, revoked_at) <= {0, 200, 503}
    assert 200 in probe.statuses(NEW, revoked_at)


def test_callers_stay_served_while_the_store_is_unresponsive_for_all(make):
    fleet, ways = make()
    for way in ways:
        way.blackhole()
        way.block()
    probes = [KeyProbe(gateway) for gateway in fleet.gateways]
    time.sleep(6.5)
    for probe in probes:
        probe.stop()
        assert probe.statuses(NEW, 0.0) == {200}
        assert probe.statuses(OLD, 0.0) == {200}


def test_with_strict_revocation_an_old_configuration_is_not_trusted(make):
    """A gateway cut off from all sources refuses at once with 503; informed ones keep serving."""
    fleet, ways = make(revokeStrict=True, revokeMs=2500, contactMs=2000)
    probes = [KeyProbe(gateway) for gateway in fleet.gateways]
    time.sleep(3.0)
    for probe in probes:  # before the fault nobody is refused, though most gateways follow peers
        assert probe.statuses(NEW, 0.0) == {200}
    # While a sidecar runs, gateways read the store through it and rightly trust what they read.
    for sidecar in fleet.sidecars:
        sidecar.kill()
    shut_at = time.monotonic()
    for way in ways:
        way.block()
    time.sleep(4.0)
    for probe in probes:
        probe.stop()
        assert probe.statuses(NEW, shut_at + 2.5) == {503}
        assert probe.statuses("", shut_at) == set()


def test_a_gateway_that_reaches_the_store_only_through_a_sidecar_keeps_serving(make):
    """A relayed path counts as much as its own; refusing would reject valid callers."""
    fleet, ways = make(revokeStrict=True, revokeMs=2500, contactMs=2000)
    for way in ways:
        way.block()
    probes = [KeyProbe(gateway) for gateway in fleet.gateways]
    time.sleep(2.0)
    revoked_at = time.monotonic()
    fleet.configure(version=5, organisations=AFTER)
    time.sleep(4.0)
    for probe in probes:
        probe.stop()
        assert probe.statuses(NEW, 0.0) == {200}
        assert probe.statuses(OLD, revoked_at + 2.5) == {401}
