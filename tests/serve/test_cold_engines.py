"""Engines that are cold after a start: how many samples a second they receive.

A cold engine bears a number of requests a second that the configuration states, times an overage,
plus a slack. Above that it falls over.
"""

from __future__ import annotations

from tests.serve.fleet import wait_for

COLD_PER_S = 5.0
COLD_OVERAGE = 1.5
COLD_SLACK = 5.0
MAX_PER_S = COLD_PER_S * COLD_OVERAGE + COLD_SLACK
COLD_MS = 60_000
SAMPLES = 60


def max_in_one_second(times: list[float]) -> int:
    """Return the largest number of times within one second."""
    return max(sum(start <= at < start + 1.0 for at in times) for start in times)


def test_a_cold_engine_receives_no_more_requests_a_second_than_it_bears(fleet):
    """Samples were sent to a cold engine as fast as its slots became free."""
    fleet.configure(version=4, engine_pool={"coldStartS": COLD_MS / 1000, "coldPerS": COLD_PER_S})
    for engine, side in zip(fleet.engines, fleet.sidecars, strict=True):
        engine.faults["events"] = 2
        address = side.settings["app"]
        fleet.register(engine.instance, "engines", address, coldMs=COLD_MS, seq=5)
    fleet.hand_in(fleet.gateways[0], "lot1", samples=SAMPLES)
    wait_for(lambda: any(engine.runs for engine in fleet.engines), "a sample began")
    wait_for(
        lambda: sum(len(engine.runs) for engine in fleet.engines) >= SAMPLES / 2,
        "half of them began",
    )
    for engine in fleet.engines:
        if engine.runs:
            assert max_in_one_second([run["at"] for run in engine.runs]) <= MAX_PER_S
