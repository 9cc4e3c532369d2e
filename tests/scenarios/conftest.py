"""Steps that several scenario files share."""

from __future__ import annotations

from concurrent.futures import ThreadPoolExecutor
from typing import TYPE_CHECKING

import pytest
from pytest_bdd import given, parsers, then, when
from tools.fleet import Fleet, wait_for

from tests.scenarios.lots import Trainer
from tests.scenarios.world import MODEL, World

if TYPE_CHECKING:
    from collections.abc import Iterator
    from pathlib import Path

CALLERS = 32


@pytest.fixture
def world(tmp_path: Path) -> Iterator[World]:
    """A scenario's world; all processes end with it."""
    with Fleet(tmp_path) as fleet, ThreadPoolExecutor(CALLERS) as pool:
        made = World(fleet, pool)
        yield made
        fleet.close()  # so that no caller waits on


@given(parsers.parse("a bank of {gateways:d} gateways and {services:d} workers"))
def bank(world: World, gateways: int, services: int) -> None:
    world.start(gateways, services=services)


@given(
    parsers.parse(
        "a bank of {gateways:d} gateways and {services:d} workers with a key window of {window:f} s"
    )
)
def bank_with_window(world: World, gateways: int, services: int, window: float) -> None:
    own = {"key_window_s": window}
    world.start(gateways, services=services, sidecar=own, gateway=own)


@given(parsers.parse("a bank of {gateways:d} gateways and {services:d} worker"))
def bank_of_one(world: World, gateways: int, services: int) -> None:
    world.start(gateways, services=services)


@given(parsers.parse("each transfer takes {seconds:f} s"))
def transfer_time(world: World, seconds: float) -> None:
    for name in world.services():
        world.fleet.fault(name, work_s=seconds)


@given("the key-value service is out")
@when("the key-value service is out")
def kv_out(world: World) -> None:
    world.fleet.fault("kv", outage=True)


@when("the key-value service is back")
def kv_back(world: World) -> None:
    world.fleet.fault("kv", outage=False, delay_s=0.0)


@given(parsers.parse("the key-value service loses the next {count:d} answers after the write"))
@when(parsers.parse("the key-value service loses the next {count:d} answers after the write"))
def kv_loses(world: World, count: int) -> None:
    world.fleet.fault("kv", lose_answers=count)


@given("the key-value service keeps a copy")
def keep_copy(world: World) -> None:
    world.fleet.fault("kv", stale=False)


@when("the key-value service is restored from the copy")
def restore(world: World) -> None:
    world.fleet.fault("kv", restore=True)


@when(parsers.parse("gateway {number:d} is killed"))
def kill_gateway(world: World, number: int) -> None:
    world.fleet.processes[f"gateway-{number}"].kill()


@when(parsers.parse("gateway {number:d} is frozen"))
def freeze_gateway(world: World, number: int) -> None:
    world.fleet.processes[f"gateway-{number}"].freeze()


@when(parsers.parse("gateway {number:d} wakes up"))
def wake_gateway(world: World, number: int) -> None:
    world.fleet.processes[f"gateway-{number}"].wake()


@when(parsers.parse("gateway {number:d} is started again"))
def restart_gateway(world: World, number: int) -> None:
    world.fleet.restart(f"gateway-{number}")


@when(parsers.parse("gateway {number:d} is asked to stop"))
def stop_gateway(world: World, number: int) -> None:
    world.fleet.processes[f"gateway-{number}"].ask_to_stop()


@when(parsers.parse("the sidecar of {endpoint} is killed"))
def kill_sidecar(world: World, endpoint: str) -> None:
    world.fleet.processes[f"sidecar-{endpoint}"].kill()


@when(parsers.parse("the sidecar of {endpoint} is frozen"))
def freeze_sidecar(world: World, endpoint: str) -> None:
    world.fleet.processes[f"sidecar-{endpoint}"].freeze()


@when(parsers.parse("the sidecar of {endpoint} wakes up"))
def wake_sidecar(world: World, endpoint: str) -> None:
    world.fleet.processes[f"sidecar-{endpoint}"].wake()


@when(parsers.parse("the sidecar of {endpoint} is started again"))
def restart_sidecar(world: World, endpoint: str) -> None:
    world.fleet.restart(f"sidecar-{endpoint}")


@when(parsers.parse("the sidecar of {endpoint} is asked to stop"))
def stop_sidecar(world: World, endpoint: str) -> None:
    world.fleet.processes[f"sidecar-{endpoint}"].ask_to_stop()


@when(parsers.parse("the sidecar of {endpoint} has stopped"))
@then(parsers.parse("the sidecar of {endpoint} has stopped"))
def sidecar_stopped(world: World, endpoint: str) -> None:
    assert world.fleet.processes[f"sidecar-{endpoint}"].wait() == 0


@when(parsers.parse("the endpoint {endpoint} is drained through gateway {gateway:d}"))
def drain(world: World, endpoint: str, gateway: int) -> None:
    world.set_drain(endpoint, gateway, drained=True)


@when(parsers.parse("the drain of {endpoint} is undone through gateway {gateway:d}"))
def undrain(world: World, endpoint: str, gateway: int) -> None:
    world.set_drain(endpoint, gateway, drained=False)


@when(parsers.parse('a caller takes a ticket for transfer "{name}"'))
def takes_ticket(world: World, name: str) -> None:
    world.ticket(name)


@when(parsers.parse('a caller sends transfer "{name}" through gateway {gateway:d}'))
def sends(world: World, name: str, gateway: int) -> None:
    world.send(name, gateway)


@when(
    parsers.parse(
        'a caller sends transfer "{name}" through gateway {gateway:d} '
        "with a deadline of {deadline:f} s"
    )
)
def sends_with_deadline(world: World, name: str, gateway: int, deadline: float) -> None:
    world.send(name, gateway, deadline_s=deadline, patience_s=deadline)


@given(parsers.parse("the engines spoil the next {count:d} streams"))
def spoil(world: World, count: int) -> None:
    for name in world.engines():
        world.fleet.fault(name, cross=count, truncate=count)


@when(parsers.parse("{seconds:f} s pass"))
def time_passes(seconds: float) -> None:
    # Not a wait for a result: the failure itself has to last this long.
    import time

    time.sleep(seconds)


@when(parsers.parse("every gateway sees {endpoint} in service again"))
def seen_again(world: World, endpoint: str) -> None:
    world.fleet.wait_in_service({}, endpoint)


@when(parsers.parse("{count:d} transfers run at the workers"))
def transfers_run(world: World, count: int) -> None:
    def running() -> bool:
        seen = [world.fleet.record(name)["running"] for name in world.services()]
        return sum(seen) >= count

    wait_for(running, f"{count} transfers run")


@given(parsers.parse("a rollout fleet of {gateways:d} gateways and {engines:d} engines"))
def rollout_fleet(world: World, gateways: int, engines: int) -> None:
    world.start(gateways, engines=engines)


@given(
    parsers.parse(
        "a rollout fleet of {gateways:d} gateways and {engines:d} engines that name no versions"
    )
)
def unnamed_fleet(world: World, gateways: int, engines: int) -> None:
    world.start(
        gateways,
        engines=engines,
        engine={"names_versions": False},
        spec={"names_versions": False},
    )


@given(parsers.parse("a trainer with steps of {samples:d} samples"), target_fixture="trainer")
def trainer(world: World, samples: int) -> Trainer:
    return Trainer.from_world(world, samples, max_tokens=200, bound=1)


@when(parsers.parse("the trainer asks for step {step:d}"))
def asks(trainer: Trainer, step: int) -> None:
    trainer.begin(step)


@when("some samples of the step are finished")
def some_finished(world: World, trainer: Trainer) -> None:
    runs = sum(world.fleet.record(name)["runs"] for name in world.engines())

    def more_runs() -> bool:
        now = sum(world.fleet.record(name)["runs"] for name in world.engines())
        return now >= runs + trainer.samples // 2

    wait_for(more_runs, "half of the samples were begun")


@when("the trainer publishes new weights")
def publishes(trainer: Trainer) -> None:
    trainer.publish()


@when(parsers.parse("the trainer acknowledges step {step:d}"))
def acknowledges(trainer: Trainer, step: int) -> None:
    trainer.client.acknowledge(trainer.lots[step])


@then(parsers.parse("the trainer has the whole lot of step {step:d}"))
def has_lot(trainer: Trainer, step: int) -> None:
    assert trainer.running.result().step == step


@then(parsers.parse("every engine serves version {version:d} in the end"))
def all_serve(world: World, version: int) -> None:
    def served() -> bool:
        shown = [world.fleet.record(name)["weights"].get(MODEL) for name in world.engines()]
        return set(shown) == {version}

    wait_for(served, f"every engine serves {version}")
    world.fleet.wait_in_service({MODEL: version})
