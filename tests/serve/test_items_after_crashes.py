"""Lots after a burst of crashes, over real processes.

Guards against sound work of a lot that is held back after endpoints crashed under it: a sample, or
the scoring call of a sample, was refused as a caller's request is after three crashes, and was not
sent again for 60 s after the fourth although all endpoints were up again.
"""

from __future__ import annotations

import pytest

from tests.serve.crashing_pool import CrashingPool, crashing_engines
from tests.serve.fleet import wait_for

CRASHES = 4  # the first trial run of a refused request was one of them
LIMIT_S = 5.0  # from the end of the crashes until owed work must have run again


@pytest.fixture
def engines(tmp_path, serve):
    """Start two gateways and engines that can be crashed, each with its sidecar."""
    with crashing_engines(tmp_path, serve, 4) as made:
        yield made


def submit_after_burst(fleet, pool: CrashingPool, before: bytes, after: bytes) -> None:
    """Submit a lot, part of which is open at crashing endpoints until the crashes are over."""
    body = fleet.lot("lot1", samples=4).replace(before, after, 1)
    gateway = fleet.gateways[0]
    assert gateway.call("POST", "/lots/lot1", body=body, X_Attempt_Id="lot1").status == 202
    wait_for(lambda: len(pool.crashes) >= CRASHES, "endpoints crashed", 15.0)
    for one in pool.endpoints:
        one.mended = True


def assert_complete(fleet) -> None:
    """Assert that all results of the lot are listed soon."""
    gateway = fleet.gateways[0]

    def is_complete() -> bool:
        page = fleet.results(gateway, "lot1")
        return page is not None and len(page["results"]) == page["total"]

    assert _holds_within(is_complete, LIMIT_S)
    results = fleet.results(gateway, "lot1")["results"]
    assert {result["state"] for result in results} == {"succeeded"}


def _holds_within(condition, limit_s: float) -> bool:
    try:
        return bool(wait_for(condition, "all results", limit_s))
    except AssertionError:
        return False


def test_a_sample_runs_again_once_the_crashes_of_its_engines_are_over(engines):
    fleet, pool = engines
    submit_after_burst(fleet, pool, b'"/lots/3"', b'"/lots/crashes"')
    assert_complete(fleet)


def test_a_scoring_call_is_sent_again_once_the_crashes_of_its_endpoints_are_over(engines):
    fleet, _ = engines
    fleet.remove("servers/i-c0")
    pool = CrashingPool(fleet, "calls", "c", 4)
    try:
        submit_after_burst(fleet, pool, b'"/score/1"', b'"/score/crashes"')
        assert_complete(fleet)
    finally:
        pool.close()
