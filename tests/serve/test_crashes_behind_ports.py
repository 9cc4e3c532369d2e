"""Requests that crash endpoints behind a reverse proxy that keeps listening, over real processes.

Guards against crashes that a reverse proxy hides: it accepted and reset each connection for the 2 s
for which its endpoint was down, and then reported another start time, while the entry in the store
stayed as it was. Ten endpoints crashed under one request, seven of them more than 3 s after the
third, and the caller got no response until its deadline. Only a port that refuses connections was
taken for a crash, so each reset passed for a broken connection and all gateways kept forwarding the
request. The first test fails without the fix.
"""

from __future__ import annotations

import itertools
import threading
import time

import pytest

from tests.serve.crashing_pool import CrashingPool, crashing_engines, run_crashing_sample
from tests.serve.fleet import PlatformFleet, wait_for
from tests.serve.test_crashes import MAX_CRASHES, MAX_DELAY_S, MAX_FORWARDED, send_request
from threadramp.platform.standins.crashing import FrontProxy, WhileDown

ENDPOINTS = 10
ENGINES = 4
DOWN_S = 2.0  # for which a reverse proxy resets the connections that it accepts
MAX_PROPAGATION_S = 3.0  # from the third crash until all gateways must know
SENDING_S = 8.0
MIN_SERVED_SHARE = 0.9  # of harmless requests, beside the one that crashes endpoints


@pytest.fixture
def reverse_proxy() -> FrontProxy:
    """Return the reverse proxy of each endpoint; tests override it with a parameter."""
    return FrontProxy()


@pytest.fixture
def crashing_fleet(tmp_path, serve, reverse_proxy):
    """Start three gateways and a pool of endpoints behind reverse proxies that keep listening."""
    fleet = PlatformFleet(tmp_path, serve, gateways=3, engines=0)
    fleet.remove("servers/i-c0")
    pool = CrashingPool(fleet, "calls", "c", ENDPOINTS, back_s=DOWN_S, front=reverse_proxy)
    try:
        fleet.start()
        for gateway in fleet.gateways:
            wait_for(
                lambda box=gateway: send_request(box, "/calm").status == 200,
                "harmless requests are served",
            )
        yield fleet, pool
    finally:
        fleet.close()
        pool.close()


class HarmlessCallers:
    """Callers that keep sending requests which crash nothing."""

    def __init__(self, gateways, count: int = 4) -> None:
        self.statuses: list[int] = []
        self.stopped = threading.Event()
        self.threads = [
            threading.Thread(target=self._run, args=(gateways[number % len(gateways)],))
            for number in range(count)
        ]
        for thread in self.threads:
            thread.start()

    def _run(self, gateway) -> None:
        for number in itertools.count():
            if self.stopped.wait(0.05):
                return
            self.statuses.append(send_request(gateway, f"/calm/{number}").status)

    def served_share(self) -> float:
        """Stop the callers and return the share of their requests that was served."""
        self.stopped.set()
        for thread in self.threads:
            thread.join()
        return self.statuses.count(200) / len(self.statuses)


def send_repeatedly(fleet, pool, target: str, interval_s: float) -> float:
    """Send a request repeatedly; return the share of harmless requests served meanwhile."""
    harmless = HarmlessCallers(fleet.gateways)
    until = time.monotonic() + SENDING_S
    callers = []
    for gateway in itertools.cycle(fleet.gateways):
        if time.monotonic() > until:
            break
        callers.append(threading.Thread(target=send_request, args=(gateway, target)))
        callers[-1].start()
        time.sleep(interval_s)
    for one in callers:
        one.join()
    return harmless.served_share()


def assert_refused_in_time(pool, target: str) -> None:
    """Assert that a request was forwarded no more often than allowed after the third crash."""
    crashes = pool.crashes
    assert len(crashes) >= MAX_CRASHES
    assert (
        pool.start_count(target, after=crashes[MAX_CRASHES - 1] + MAX_PROPAGATION_S)
        <= MAX_FORWARDED
    )
    assert len(crashes) <= MAX_CRASHES + MAX_FORWARDED


def test_a_request_that_crashes_endpoints_behind_proxies_is_not_forwarded(crashing_fleet):
    fleet, pool = crashing_fleet
    served = send_repeatedly(fleet, pool, "/crashes", interval_s=0.3)
    assert_refused_in_time(pool, "/crashes")
    assert served >= MIN_SERVED_SHARE


def test_a_request_that_is_repeated_less_often_is_not_forwarded_either(crashing_fleet):
    """Crashed endpoints have restarted under the same instance id before it is repeated."""
    fleet, pool = crashing_fleet
    served = send_repeatedly(fleet, pool, "/crashes", interval_s=1.2)
    assert_refused_in_time(pool, "/crashes")
    assert served >= MIN_SERVED_SHARE


PROXIES = [
    FrontProxy(down, new_ids, lists_births)
    for down in WhileDown
    for new_ids, lists_births in ((False, False), (False, True), (True, False), (True, True))
]
CASES = [(proxy, 0.3) for proxy in PROXIES] + [(FrontProxy(down), 1.2) for down in WhileDown]


@pytest.mark.parametrize(("reverse_proxy", "interval_s"), CASES, ids=str)
def test_whatever_a_proxy_does_and_an_entry_reports(crashing_fleet, reverse_proxy, interval_s):
    """Only a proxy that resets each connection, and a start time in the entry, revealed a crash."""
    fleet, pool = crashing_fleet
    served = send_repeatedly(fleet, pool, "/crashes", interval_s)
    assert_refused_in_time(pool, "/crashes")
    assert served >= MIN_SERVED_SHARE


@pytest.fixture
def engines(tmp_path, serve):
    """Start two gateways and engines behind reverse proxies, each with its sidecar."""
    with crashing_engines(tmp_path, serve, ENGINES, back_s=DOWN_S, front=FrontProxy()) as made:
        yield made


def test_a_sample_that_crashes_engines_behind_proxies_is_delayed(engines):
    """It is still owed, so it runs again every few seconds; a refused one was held for a minute."""
    fleet, pool = engines
    run_crashing_sample(fleet, pool, SENDING_S)
    assert len(pool.crashes) <= MAX_CRASHES + MAX_FORWARDED
    assert time.monotonic() - pool.crashes[-1] <= MAX_DELAY_S


def test_a_scoring_call_that_crashes_endpoints_behind_proxies_is_not_forwarded(
    engines, scoring_pool
):
    fleet, _ = engines
    pool = scoring_pool
    body = fleet.lot("lot1", samples=8).replace(b'"/score/1"', b'"/score/crashes"', 1)
    gateway = fleet.gateways[0]
    assert gateway.call("POST", "/lots/lot1", body=body, X_Attempt_Id="lot1").status == 202
    wait_for(lambda: len(fleet.results(gateway, "lot1")["results"]) == 7, "the others are complete")
    wait_for(lambda: len(pool.crashes) >= MAX_CRASHES, "some endpoints crashed", 10.0)
    time.sleep(SENDING_S)
    assert_refused_in_time(pool, "/score/crashes")


@pytest.fixture
def scoring_pool(engines):
    """Add a pool of endpoints behind reverse proxies that score samples."""
    fleet, _ = engines
    fleet.remove("servers/i-c0")
    pool = CrashingPool(fleet, "calls", "c", ENDPOINTS, back_s=DOWN_S, front=FrontProxy())
    try:
        yield pool
    finally:
        pool.close()
