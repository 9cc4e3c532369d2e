"""Reports of an engine that sends duplicate responses, over real processes."""

from __future__ import annotations

import time

import pytest

from tests.serve.fleet import PlatformFleet, is_engine
from threadramp.platform.standins.stuttering import Moment, Second, Stutter, StutteringFront


@pytest.fixture
def stuttering(tmp_path, serve):
    """Start one engine with its sidecar, behind a proxy that can duplicate responses."""
    fronts: list[StutteringFront] = []

    def serve_behind_proxy(standin, *listen: str) -> str:
        address = serve(standin, *listen)
        if not is_engine(standin):
            return address
        fronts.append(StutteringFront(address))
        return fronts[0].address

    fleet = PlatformFleet(tmp_path, serve_behind_proxy, gateways=1, engines=1)
    try:
        fleet.start()
        yield fleet, fronts[0]
    finally:
        fleet.close()
        for front in fronts:
            front.close()


def test_an_engine_with_duplicate_responses_to_samples_stays_ready(stuttering):
    fleet, front = stuttering
    side = fleet.sidecars[0]
    front.stutter = Stutter(
        Second.WHOLE, Moment.AFTER_NEXT, concerns=lambda target, _: "/lots/" in target
    )
    assert fleet.hand_in(fleet.gateways[0], "lot1", samples=24) == 202
    fleet.whole(fleet.gateways[0], "lot1")
    time.sleep(1.0)
    assert [line["error"] for line in side.lines("engine_lost")] == []
