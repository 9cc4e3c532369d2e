"""An engine crashes and restarts under the same id without any state, over real processes.

The users described this case as possible; no run had shown it. A sidecar bound its knowledge of an
engine to the id alone. A pending order outlived the incarnation that had accepted it, so for 4 s no
version was loaded and no sample of that model was admitted; an incarnation that had refused a
request because it was addressed to another one was never used again; and during a network partition
samples waited for events of the previous incarnation. If an incarnation is identified by its id
alone, the tests of the load, the report, the late write and the other writers fail; the remaining
ones cover behaviour that broken connections already revealed.
"""

from __future__ import annotations

import time

import pytest

from tests.serve.fleet import PlatformFleet, is_engine, wait_for
from tests.serve.tcp_proxy import TcpProxy, serve_behind_proxy

SAMPLES = 8
RECOVERY_S = 2.5  # a report each 0.2 s, a change of the entry, and a round of dispatching
START_TIME_MS = 1_700_000_000_000


@pytest.fixture
def behind_ways(tmp_path, serve):
    """Start a fleet with one engine that is reached through a proxy which can be partitioned."""
    made: list[TcpProxy] = []
    fleet = PlatformFleet(tmp_path, serve_behind_proxy(serve, made, is_engine), engines=1)
    (engine,) = fleet.engines
    engine.born = START_TIME_MS
    fleet.register(engine.instance, "engines", made[0].address, born=START_TIME_MS)
    try:
        fleet.start()
        yield fleet, made[0]
    finally:
        fleet.close()
        for way in made:
            way.close()


def begin_lot(fleet, events: int = 60) -> None:
    fleet.engines[0].faults.update(events=events, gap_s=0.05)
    assert fleet.hand_in(fleet.gateways[0], "lot1", samples=SAMPLES) == 202
    wait_for(lambda: fleet.engines[0].runs, "a sample began")


def restart_engine(fleet, way, is_registered: bool = True) -> None:
    (engine,) = fleet.engines
    engine.start_again(START_TIME_MS + 1)
    if is_registered:
        fleet.register(engine.instance, "engines", way.address, born=START_TIME_MS + 1)


def test_a_restart_during_samples(behind_ways):
    fleet, way = behind_ways
    begin_lot(fleet)
    time.sleep(0.5)
    restart_engine(fleet, way)
    before = len(fleet.engines[0].runs)
    wait_for(lambda: len(fleet.engines[0].runs) > before, "samples are resumed", RECOVERY_S)
    assert len(fleet.whole(fleet.gateways[0], "lot1")) == SAMPLES


def test_a_restart_during_a_load(behind_ways):
    """The order is lost with the incarnation that accepted it; the next one is sent at once."""
    fleet, way = behind_ways
    (engine,) = fleet.engines
    engine.faults["load_s"] = 3.0
    fleet.publish_version(2)
    wait_for(lambda: engine.orders, "a load is ordered")
    engine.faults["load_s"] = 0.1
    restart_engine(fleet, way)
    wait_for(lambda: engine.versions["m"] == 2, "the version is loaded", RECOVERY_S)
    assert engine.orders[-1]["expected"] == 0


def test_a_restart_during_a_partition(behind_ways):
    """It restarts while its connections deliver nothing; nobody learns that streams have ended."""
    fleet, way = behind_ways
    begin_lot(fleet)
    time.sleep(0.5)
    way.blackhole()
    restart_engine(fleet, way)
    before = len(fleet.engines[0].runs)
    wait_for(lambda: len(fleet.engines[0].runs) > before, "samples are resumed", RECOVERY_S)
    assert len(fleet.whole(fleet.gateways[0], "lot1")) == SAMPLES


def test_a_restart_that_only_the_report_shows(behind_ways):
    fleet, way = behind_ways
    begin_lot(fleet)
    restart_engine(fleet, way, is_registered=False)
    sidecar = fleet.sidecars[0]
    wait_for(
        lambda: [row for row in sidecar.lines("engine_start") if row["born"] == START_TIME_MS + 1],
        "the sidecar knows of the restart",
        RECOVERY_S,
    )
    assert len(fleet.whole(fleet.gateways[0], "lot1")) == SAMPLES


def test_a_late_write_of_an_older_incarnation_is_ignored(behind_ways):
    fleet, way = behind_ways
    (engine,) = fleet.engines
    restart_engine(fleet, way)
    fleet.register(engine.instance, "engines", way.address, born=START_TIME_MS, state="draining")
    time.sleep(1.0)
    assert fleet.hand_in(fleet.gateways[0], "lot1", samples=SAMPLES) == 202
    assert len(fleet.whole(fleet.gateways[0], "lot1")) == SAMPLES


def test_invalid_entries_of_other_writers_change_nothing(behind_ways):
    """Each of these entries once replaced the real engine at its address, or was sent samples."""
    fleet, way = behind_ways
    fleet.register("x-1", "engines", way.address, state="fine")
    fleet.register("x-2", "nobody", way.address)
    fleet.register("x-3", "engines", way.address, slots="6")
    fleet.put("servers/x-4", b"\xff{")
    time.sleep(1.0)
    assert fleet.hand_in(fleet.gateways[0], "lot1", samples=SAMPLES) == 202
    assert len(fleet.whole(fleet.gateways[0], "lot1")) == SAMPLES
    for gateway in fleet.gateways:
        unreadable = [row["key"] for row in gateway.lines("endpoint_unreadable")]
        assert sorted(unreadable) == ["servers/x-1", "servers/x-3", "servers/x-4"]
        assert (
            'threadramp_events_total{kind="unreadable",label="endpoint"} 4.0' in gateway.metrics()
        )
