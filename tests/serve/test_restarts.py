"""An engine crashes and starts again under its id, knowing nothing of before, over real processes.

Seen: told by the users as possible, no run showed it. How it came about: a sidecar bound what it
knew of its engine to the id alone. Cause: a pending order outlasted the start that had taken it, so
that for 4 s nothing was loaded and no sample of that model was let in; a start that had refused a
request as another one was never used again; behind a cut, samples waited for the events of before.
Proof: where a start is its id alone, the scenarios of the load, of the report, of the late write
and of the other writers fail; the others hold what connections showed before.
"""

from __future__ import annotations

import time

import pytest

from tests.serve.fleet import PlatformFleet, is_engine, wait_for
from tests.serve.tcp_proxy import TcpProxy, serve_behind_proxy

SAMPLES = 8
SOON_S = 2.5  # a report each 0.2 s, a change of the list, and a round of samples
BORN = 1_700_000_000_000


@pytest.fixture
def behind_ways(tmp_path, serve):
    """A fleet of one engine, which is reached through a way that can be cut."""
    made: list[TcpProxy] = []
    fleet = PlatformFleet(tmp_path, serve_behind_proxy(serve, made, is_engine), engines=1)
    (engine,) = fleet.engines
    engine.born = BORN
    fleet.register(engine.instance, "engines", made[0].address, born=BORN)
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


def start_again(fleet, way, told: bool = True) -> None:
    (engine,) = fleet.engines
    engine.start_again(BORN + 1)
    if told:
        fleet.register(engine.instance, "engines", way.address, born=BORN + 1)


def test_in_the_midst_of_samples(behind_ways):
    fleet, way = behind_ways
    begin_lot(fleet)
    time.sleep(0.5)
    start_again(fleet, way)
    before = len(fleet.engines[0].runs)
    wait_for(lambda: len(fleet.engines[0].runs) > before, "samples go on", SOON_S)
    assert len(fleet.whole(fleet.gateways[0], "lot1")) == SAMPLES


def test_in_the_midst_of_a_load(behind_ways):
    """The order went with the start that took it; the next one is ordered at once."""
    fleet, way = behind_ways
    (engine,) = fleet.engines
    engine.faults["load_s"] = 3.0
    fleet.publish_version(2)
    wait_for(lambda: engine.orders, "a load is ordered")
    engine.faults["load_s"] = 0.1
    start_again(fleet, way)
    wait_for(lambda: engine.versions["m"] == 2, "the version is loaded", SOON_S)
    assert engine.orders[-1]["expected"] == 0


def test_behind_a_cut(behind_ways):
    """It restarts while its connections pass nothing; nobody hears that the streams have ended."""
    fleet, way = behind_ways
    begin_lot(fleet)
    time.sleep(0.5)
    way.blackhole()
    start_again(fleet, way)
    before = len(fleet.engines[0].runs)
    wait_for(lambda: len(fleet.engines[0].runs) > before, "samples go on", SOON_S)
    assert len(fleet.whole(fleet.gateways[0], "lot1")) == SAMPLES


def test_where_only_its_report_tells_it(behind_ways):
    fleet, way = behind_ways
    begin_lot(fleet)
    start_again(fleet, way, told=False)
    sidecar = fleet.sidecars[0]
    wait_for(
        lambda: [row for row in sidecar.lines("engine_start") if row["born"] == BORN + 1],
        "the sidecar knows of the start",
        SOON_S,
    )
    assert len(fleet.whole(fleet.gateways[0], "lot1")) == SAMPLES


def test_an_older_start_that_writes_late_takes_nothing_back(behind_ways):
    fleet, way = behind_ways
    (engine,) = fleet.engines
    start_again(fleet, way)
    fleet.register(engine.instance, "engines", way.address, born=BORN, state="draining")
    time.sleep(1.0)
    assert fleet.hand_in(fleet.gateways[0], "lot1", samples=SAMPLES) == 202
    assert len(fleet.whole(fleet.gateways[0], "lot1")) == SAMPLES


def test_entries_of_other_writers_change_nothing(behind_ways):
    """Each of them once took the true engine's place at its address, or was given samples."""
    fleet, way = behind_ways
    fleet.register("x-1", "engines", way.address, state="fine")
    fleet.register("x-2", "nobody", way.address)
    fleet.register("x-3", "engines", way.address, slots="6")
    fleet.put("servers/x-4", b"\xff{")
    time.sleep(1.0)
    assert fleet.hand_in(fleet.gateways[0], "lot1", samples=SAMPLES) == 202
    assert len(fleet.whole(fleet.gateways[0], "lot1")) == SAMPLES
    for gateway in fleet.gateways:
        told = [row["key"] for row in gateway.lines("endpoint_unreadable")]
        assert sorted(told) == ["servers/x-1", "servers/x-3", "servers/x-4"]
        assert (
            'threadramp_events_total{kind="unreadable",label="endpoint"} 4.0' in gateway.metrics()
        )
