"""Open connections of sidecars to their engines go silent without a reset, while new ones work.

Seen: looked for after gateways had believed silent connections to the store. How it came about: a
running sample whose connection goes silent stands still for 5 s, and then goes on at whatever
engine the gateway chooses, while the one before cannot hear that its connection was closed and
still works on it. Cause: that no event came was taken for a pause of the engine. Proof: without the
mend no sample is begun anew within 2 s.
"""

from __future__ import annotations

import time

import pytest

from tests.serve.fleet import PlatformFleet, is_engine, wait_for
from tests.serve.tcp_proxy import TcpProxy, serve_behind_proxy

GONE_ON_S = 2.0  # within which each sample is begun anew; a box is held to its bounds after 3 s
SAMPLES = 8


@pytest.fixture
def behind_ways(tmp_path, serve):
    """A fleet whose engines are reached through ways that can go silent."""
    made: list[TcpProxy] = []

    fleet = PlatformFleet(tmp_path, serve_behind_proxy(serve, made, is_engine))
    try:  # a set-up that fails leaves no process behind either
        fleet.start()
        yield fleet, made
    finally:
        fleet.close()
        for way in made:
            way.close()


def begin_lot(fleet) -> None:
    """Hand a lot in and wait until all its samples have events."""
    for engine in fleet.engines:
        engine.faults.update(events=80, gap_s=0.04)
    assert fleet.hand_in(fleet.gateways[0], "lot1", samples=SAMPLES) == 202
    wait_for(lambda: len(runs(fleet)) >= SAMPLES, "all samples began")
    time.sleep(0.5)


def runs(fleet) -> list[dict]:
    return [run for engine in fleet.engines for run in list(engine.runs) if run["id"][:4] == "lot1"]


def test_samples_on_silent_connections_go_on_at_once_where_they_are(behind_ways):
    fleet, made = behind_ways
    begin_lot(fleet)
    before = {engine.instance: sorted(run["id"] for run in engine.runs) for engine in fleet.engines}
    for way in made:
        way.blackhole()
    time.sleep(GONE_ON_S)
    for engine in fleet.engines:
        again = [run for run in engine.runs if run["after"]]
        assert sorted(run["id"] for run in again) == before[engine.instance]
    assert len(fleet.whole(fleet.gateways[0], "lot1")) == SAMPLES


def test_an_engine_counts_as_reachable_all_the_while(behind_ways):
    """Each silent connection that was kept cost a report, and the engine was not ready."""
    fleet, made = behind_ways
    begin_lot(fleet)
    fleet.whole(fleet.gateways[0], "lot1")
    for way in made:
        way.blackhole()
    time.sleep(GONE_ON_S)
    for sidecar in fleet.sidecars:
        assert not sidecar.lines("engine_lost")
        assert sidecar.lines("engine_connections_suspect")
