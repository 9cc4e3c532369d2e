"""Open connections of sidecars to engines deliver nothing, without a reset, while new ones work.

This was looked for after gateways had trusted dead connections to the store. A running sample whose
connection goes dead stalls for 5 s and is then resumed at any engine that the gateway selects,
while the previous engine can't learn that its connection was closed and keeps working on the
sample. Missing events were taken for a pause of the engine. Without the fix no sample is restarted
within 2 s.
"""

from __future__ import annotations

import time

import pytest

from tests.serve.fleet import PlatformFleet, is_engine, wait_for
from tests.serve.tcp_proxy import TcpProxy, serve_behind_proxy

RESUME_S = 2.0  # in which each sample is resumed; the platform's bounds apply after 3 s
SAMPLES = 8


@pytest.fixture
def behind_ways(tmp_path, serve):
    """Start a fleet whose engines are reached through proxies that can drop all data."""
    made: list[TcpProxy] = []

    fleet = PlatformFleet(tmp_path, serve_behind_proxy(serve, made, is_engine))
    try:  # a failed setup must not leave processes behind either
        fleet.start()
        yield fleet, made
    finally:
        fleet.close()
        for way in made:
            way.close()


def begin_lot(fleet) -> None:
    """Submit a lot and wait until all its samples have events."""
    for engine in fleet.engines:
        engine.faults.update(events=80, gap_s=0.04)
    assert fleet.hand_in(fleet.gateways[0], "lot1", samples=SAMPLES) == 202
    wait_for(lambda: len(runs(fleet)) >= SAMPLES, "all samples began")
    time.sleep(0.5)


def runs(fleet) -> list[dict]:
    return [run for engine in fleet.engines for run in list(engine.runs) if run["id"][:4] == "lot1"]


def test_samples_on_dead_connections_are_resumed_in_time_at_the_same_engine(behind_ways):
    fleet, made = behind_ways
    begin_lot(fleet)
    before = {engine.instance: sorted(run["id"] for run in engine.runs) for engine in fleet.engines}
    for way in made:
        way.blackhole()
    time.sleep(RESUME_S)
    for engine in fleet.engines:
        again = [run for run in engine.runs if run["after"]]
        assert sorted(run["id"] for run in again) == before[engine.instance]
    assert len(fleet.whole(fleet.gateways[0], "lot1")) == SAMPLES


def test_an_engine_stays_reachable_meanwhile(behind_ways):
    """Each dead pooled connection used to fail one report, and the engine counted as not ready."""
    fleet, made = behind_ways
    begin_lot(fleet)
    fleet.whole(fleet.gateways[0], "lot1")
    for way in made:
        way.blackhole()
    time.sleep(RESUME_S)
    for sidecar in fleet.sidecars:
        assert not sidecar.lines("engine_lost")
        assert sidecar.lines("engine_connections_suspect")
