"""Samples run at the services that their route names, whatever the configuration becomes.

Guards against samples that run at a service of another route, only because its engines serve the
same model (review/3), and against those that begin at the old service after a change.

Checked is what the engines ran, and when.
"""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import pytest

from tests.serve.fleet import CALLS, HOST, PlatformFleet, wait_for
from threadramp.platform.standins.endpoint import PlatformEngine

if TYPE_CHECKING:
    from collections.abc import Iterator

APPLY_S = 2.0  # bound configApplyMs of the users' deployments
EVENTS, GAP_S = 20, 0.2  # a sample runs longer than a configuration takes to apply
SAMPLES = 30  # more than the slots and the places in the queues of the sidecars
OLD, NEW = "engines", "others"
GONE_S = 6.0  # within which samples without a route are given up and listed


class RoutedFleet(PlatformFleet):
    """A fleet with a second service, whose engines serve the same model and have no sidecars."""

    def __init__(self, folder, serve) -> None:
        super().__init__(folder, serve)
        self.others = [PlatformEngine({"instance": f"i-o{n}"}) for n in range(2)]
        for engine in (*self.engines, *self.others):
            engine.faults.update(events=EVENTS, gap_s=GAP_S)
        for engine in self.others:
            self.register(engine.instance, NEW, serve(engine))

    def route_lots(self, version: int, **weights_by_prefix: dict[str, float]) -> float:
        """Put a configuration in force; return when it was acknowledged.

        :param weights_by_prefix: weights by service of the routes for lots
        """
        calls = {
            "name": "calls", "hostname": CALLS, "pathPrefix": "/", "kind": "safe",
            "timeoutMs": 1500, "targetLatencyMs": 400, "backend": "calls", "maxAttempts": 4,
        }  # fmt: skip
        lots = [
            {
                "name": prefix, "hostname": HOST, "pathPrefix": f"/{prefix.replace('_', '/')}/",
                "kind": "rollout", "timeoutMs": 10000, "targetLatencyMs": 400,
                "runTargetMs": 7500, "queueTtlS": 40, "maxAttempts": 3,
                "trafficSplit": [{"backend": name, "weight": one} for name, one in weights.items()],
            }
            for prefix, weights in weights_by_prefix.items()
        ]  # fmt: skip
        model = {"slots": 6, "models": [{"name": "m"}]}
        services = [{"name": name, "engine": model} for name in (OLD, NEW)]
        self.put(
            "op/config",
            {
                "version": version,
                "routes": [calls, *lots],
                "backends": [*services, {"name": "calls"}],
            },
        )
        return time.time()

    def runs_at(self, service: str, since: float = 0.0) -> list[str]:
        """Return the samples that the engines of a service began after a time."""
        engines = self.engines if service == OLD else self.others
        return [run["id"] for one in engines for run in list(one.runs) if run["at"] > since]


@pytest.fixture
def fleet(tmp_path, serve) -> Iterator[RoutedFleet]:
    made = RoutedFleet(tmp_path, serve)
    try:  # a failed setup must not leave processes behind either
        made.route_lots(3, lots={OLD: 1.0})
        made.start()
        yield made
    finally:
        made.close()


def hand_in(fleet: RoutedFleet) -> None:
    """Submit a lot and wait until its first samples run and others are queued."""
    assert fleet.hand_in(fleet.gateways[0], "lot1", samples=SAMPLES) == 202
    wait_for(lambda: len(fleet.runs_at(OLD)) >= 12, "samples run")


def finish(fleet: RoutedFleet) -> dict[str, str]:
    """Wait until the lot is whole; return the states of its samples."""
    rows = fleet.whole(fleet.gateways[1], "lot1")
    assert len({row["id"] for row in rows}) == len(rows) == SAMPLES
    return {row["id"]: row["state"] for row in rows}


def test_no_sample_runs_at_a_service_of_another_route_with_the_same_model(fleet):
    assert fleet.hand_in(fleet.gateways[0], "lot1", samples=SAMPLES) == 202
    assert set(finish(fleet).values()) == {"succeeded"}
    assert fleet.runs_at(NEW) == []


@pytest.mark.parametrize("weights", [{NEW: 1.0}, {OLD: 0.0, NEW: 1.0}], ids=["moved", "weights"])
def test_no_sample_begins_at_the_old_service_after_a_change_amid_its_lot(fleet, weights):
    """Samples that wait in the queues of sidecars too are sent to the new service."""
    hand_in(fleet)
    # Late samples are queued at the sidecars; by then the slots are taken a second time.
    wait_for(lambda: len(fleet.runs_at(OLD)) >= 24, "the slots are taken again")
    time.sleep(0.3)
    acknowledged_at = fleet.route_lots(7, lots=weights)
    assert set(finish(fleet).values()) == {"succeeded"}
    assert fleet.runs_at(OLD, since=acknowledged_at + APPLY_S) == []
    assert len(fleet.runs_at(NEW)) >= 4


def test_a_longer_prefix_moves_only_the_samples_below_it(fleet):
    assert fleet.hand_in(fleet.gateways[0], "first", samples=2) == 202
    fleet.route_lots(7, lots={OLD: 1.0}, lots_1={NEW: 1.0})
    time.sleep(APPLY_S)
    body = fleet.lot("lot1", samples=6).replace(b'"/lots/1"', b'"/lots/1/x"')
    answer = fleet.gateways[0].call("POST", "/lots/lot1", body=body, X_Attempt_Id="lot1")
    assert answer.status == 202
    fleet.whole(fleet.gateways[1], "lot1")
    assert fleet.runs_at(NEW) == ["lot1-s1"]


def test_a_route_that_moves_there_and_back_within_a_second_stays(fleet):
    hand_in(fleet)
    fleet.route_lots(7, lots={NEW: 1.0})
    time.sleep(0.5)
    acknowledged_at = fleet.route_lots(12, lots={OLD: 1.0})
    assert set(finish(fleet).values()) == {"succeeded"}
    assert fleet.runs_at(NEW, since=acknowledged_at + APPLY_S) == []


def test_a_split_route_uses_both_services(fleet):
    fleet.route_lots(7, lots={OLD: 0.5, NEW: 0.5})
    time.sleep(APPLY_S)
    assert fleet.hand_in(fleet.gateways[0], "lot1", samples=SAMPLES) == 202
    finish(fleet)
    assert min(len(fleet.runs_at(OLD)), len(fleet.runs_at(NEW))) >= SAMPLES // 6


def test_samples_whose_route_is_dropped_are_given_up_and_begin_nowhere(fleet):
    """Those that an engine has begun end as usual."""
    hand_in(fleet)
    acknowledged_at = fleet.route_lots(7, other={OLD: 1.0})
    states = finish(fleet)
    listed_s = time.time() - acknowledged_at
    begun = set(fleet.runs_at(OLD))
    assert {one for one, state in states.items() if state == "succeeded"} == begun
    assert fleet.runs_at(OLD, since=acknowledged_at + APPLY_S) == []
    assert fleet.runs_at(NEW) == []
    assert listed_s < max(GONE_S, APPLY_S + EVENTS * GAP_S + 1.0)


def test_samples_whose_route_is_soon_brought_back_run(fleet):
    hand_in(fleet)
    fleet.route_lots(7, other={OLD: 1.0})
    time.sleep(0.8)
    fleet.route_lots(9, lots={OLD: 1.0})
    assert set(finish(fleet).values()) == {"succeeded"}


def test_no_queued_sample_begins_at_another_service_that_reuses_the_address(fleet):
    """Engines crash, and engines of another service register at their addresses."""
    hand_in(fleet)
    addresses = [box.settings["app"] for box in fleet.sidecars]
    for engine, address in zip(fleet.engines, addresses, strict=True):
        fleet.remove(f"servers/{engine.instance}")
        engine.instance = engine.instance.replace("i-e", "i-x")
        fleet.register(engine.instance, NEW, address)
    time.sleep(EVENTS * GAP_S + APPLY_S)
    runs = [run for engine in fleet.engines for run in engine.runs]
    assert [run["id"] for run in runs if run["headers"]["x-expect-instance"][:3] == "i-x"] == []
