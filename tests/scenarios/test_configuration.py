from __future__ import annotations

import time
from typing import TYPE_CHECKING

import pytest
from pytest_bdd import given, parsers, scenarios, then, when
from tools.fleet import free_address, wait_for

from tests.scenarios.world import MODEL, MODELS, TRAINER
from threadramp.client.errors import RequestRefusedError
from threadramp.wire.outcomes import Reason

if TYPE_CHECKING:
    from tests.scenarios.world import World

scenarios("configuration.feature")

WATCH_S = 2.0  # for how long no revision may fall


def spec_of(bound: int) -> dict:
    return {"model": MODEL, "pool": MODELS, "staleness_bound": bound}


def running_gateways(world: World) -> list[str]:
    processes = world.fleet.processes
    return [name for name in world.fleet.gateway_names if processes[name].is_running]


def revisions(world: World) -> dict[str, int]:
    """Return the revision in force on every reachable process."""
    found: dict[str, int] = {}
    for gateway in running_gateways(world):
        status = world.fleet.operator(gateway).status()
        found[gateway] = status.revision
        for endpoint in status.endpoints:
            found[f"{endpoint.name} by {gateway}"] = endpoint.revision
    return found


def accepted(world: World) -> int:
    return world.notes.setdefault("accepted", 0)


def note(world: World, revision: int) -> None:
    world.notes["accepted"] = max(accepted(world), revision)


@given(parsers.parse("gateway {number:d} is cut from the key-value service"))
def cut_gateway(world: World, number: int) -> None:
    name = f"gateway-{number}"
    seeds = [world.fleet.addresses[f"sync-{engine}"] for engine in world.engines()]
    world.fleet.resettle(name, kv=free_address(), seeds=seeds)
    world.fleet.processes[name].kill()
    world.fleet.restart(name)
    wait_for(lambda: world.fleet.operator(name).status().revision, f"{name} has a configuration")


@given("the key-value service answers reads from its present copy")
def stale(world: World) -> None:
    world.fleet.fault("kv", stale=False)
    world.fleet.fault("kv", stale=True)


@when(parsers.parse("an operator sets the trainer's bound to {bound:d} through gateway {number:d}"))
def set_bound(world: World, bound: int, number: int) -> None:
    started = time.monotonic()
    operator = world.fleet.operator(f"gateway-{number}")
    for _ in range(20):  # "unknown" and "come back" are answers too; the operator says it again
        try:
            note(world, operator.put("trainer", TRAINER, spec_of(bound)))
            break
        except RequestRefusedError as error:
            assert error.refusal.retry_after_s, error
            time.sleep(0.2)
    world.notes["asked"] = started
    world.notes["bound"] = bound


@when(
    parsers.parse(
        "two operators set the trainer's bound {times:d} times at the same revision each time"
    )
)
def race(world: World, times: int) -> None:
    operators = [world.fleet.operator(name) for name in ("gateway-0", "gateway-1")]
    world.notes["races"] = []
    for number in range(times):
        held = operators[0].get("trainer", TRAINER)
        wait_for(
            lambda at=held: operators[1].get("trainer", TRAINER)["revision"] == at["revision"],
            "both operators see the same revision",
        )

        def put(operator, bound: int, revision: int = held["revision"]) -> int | Reason:
            try:
                return operator.put("trainer", TRAINER, spec_of(bound), revision)
            except RequestRefusedError as error:
                return error.refusal.reason

        futures = [
            world.pool.submit(put, operator, 2 + 2 * number + index)
            for index, operator in enumerate(operators)
        ]
        results = [future.result() for future in futures]
        world.notes["races"].append(results)
        note(world, max(item for item in results if isinstance(item, int)))


@then("each time one was accepted and the other told of the lost race")
def one_each(world: World) -> None:
    for results in world.notes["races"]:
        assert sorted(type(item) is int for item in results) == [False, True]
        assert Reason.CONFLICT in results


@then("the accepted changes are in force on every process")
def in_force(world: World) -> None:
    wanted = accepted(world)
    started = time.monotonic()

    def all_there() -> bool:
        return all(revision >= wanted for revision in revisions(world).values())

    wait_for(all_there, f"revision {wanted} everywhere, now {revisions(world)}")
    print(f"in force everywhere after {time.monotonic() - started:.2f} s (as measured)")
    if "bound" in world.notes:
        for gateway in running_gateways(world):
            held = world.fleet.operator(gateway).get("trainer", TRAINER)
            assert held["spec"]["staleness_bound"] == world.notes["bound"]


@then("the operator's change was accepted once")
def accepted_once(world: World) -> None:
    held = world.fleet.operator("gateway-0").get("trainer", TRAINER)
    assert held["spec"]["staleness_bound"] == 5
    assert held["revision"] == accepted(world)


@then("no process falls back from the accepted revision")
def none_falls(world: World) -> None:
    in_force(world)
    until = time.monotonic() + WATCH_S
    while time.monotonic() < until:
        seen = revisions(world)
        assert min(seen.values()) >= accepted(world), seen
        time.sleep(0.1)


@when("an operator declares a trainer of an unknown pool with a negative bound")
def bad_trainer(world: World) -> None:
    operator = world.fleet.operator()
    before = operator.list()["revision"]
    spec = {"model": MODEL, "pool": "nowhere", "staleness_bound": -1, "staleness": 3}
    with pytest.raises(RequestRefusedError) as caught:
        operator.put("trainer", "bad", spec)
    world.notes["findings"] = caught.value.findings
    assert operator.list()["revision"] == before


@then("all findings come back and nothing has changed")
def findings(world: World) -> None:
    places = [finding.place for finding in world.notes["findings"]]
    assert places == ["trainer/bad.staleness"]
    hint = world.notes["findings"][0].hint
    assert "staleness_bound" in hint
