from __future__ import annotations

import threading
from random import Random
from typing import TYPE_CHECKING

import msgspec
import pytest
from pytest_bdd import parsers, scenarios, then, when

from tests.scenarios.lots import Trainer
from tests.scenarios.world import TRAINER
from threadramp.client.errors import RequestRefusedError
from threadramp.wire.lots import StepRequest
from threadramp.wire.outcomes import Reason

if TYPE_CHECKING:

    from tests.scenarios.world import World

scenarios("whole_lots.feature")


def raw_lines(world: World, trainer: Trainer, step: int, gateway: int, most: int = 0) -> list[dict]:
    """Post a step as a plain HTTP client would; stop reading after ``most`` samples."""
    request = StepRequest("run-1", trainer.version, tuple(trainer.groups(step)), 60.0, call=1)
    api = world.fleet.trainer(TRAINER, 1, f"gateway-{gateway}").api
    path = f"/v1/trainers/{TRAINER}/steps/{step}"
    response = api.request("POST", path, request, timeout_s=60, stream=True)
    lines = []
    rest = b""
    for block in response.stream(1024):
        *full, rest = (rest + block).split(b"\n")
        lines += [msgspec.json.decode(line) for line in full if line]
        if most and len(samples_of(lines)) >= most:
            break
    response.close()
    return lines


def samples_of(lines: list[dict]) -> dict[str, dict]:
    return {line["id"]: line for line in lines if line.get("type") == "sample"}


def is_whole(lines: list[dict]) -> bool:
    return bool(lines) and lines[-1].get("type") == "end"


@when(parsers.parse("the trainer's connection is cut after {count:d} samples of step {step:d}"))
def cut(world: World, trainer: Trainer, count: int, step: int) -> None:
    world.notes["cut"] = samples_of(raw_lines(world, trainer, step, 0, most=count))
    trainer.client.calls = 1  # the calls so far


@then("the samples before the cut are those of the lot")
def same_samples(world: World, trainer: Trainer) -> None:
    lot = {sample.id: sample.text for sample in trainer.lots[0].samples}
    seen = {name: line["text"] for name, line in world.notes["cut"].items()}
    assert len(seen) >= 10
    assert seen == {name: lot[name] for name in seen}


@when(parsers.parse("the trainer acknowledges step {step:d} and loses the answer"))
def acknowledges_lost(trainer: Trainer, step: int) -> None:
    path = f"/v1/trainers/{TRAINER}/steps/{step}/ack"
    body = {"run": "run-1", "lot": trainer.lots[step].lot}
    response = trainer.client.api.request("POST", path, body, stream=True)
    response.close()


@then(parsers.parse("step {step:d} is refused as already delivered through gateway {gateway:d}"))
def refused(world: World, trainer: Trainer, step: int, gateway: int) -> None:
    other = Trainer.from_world(world, trainer.samples, 200, 1, f"gateway-{gateway}")
    other.client.calls = 50
    with pytest.raises(RequestRefusedError) as caught:
        other.take(step)
    assert caught.value.refusal.reason is Reason.ALREADY_DELIVERED


@when(parsers.parse("step {step:d} is sent to both gateways at once with the same call number"))
def both(world: World, trainer: Trainer, step: int) -> None:
    world.notes["calls"] = [
        world.pool.submit(raw_lines, world, trainer, step, gateway) for gateway in (0, 1)
    ]


@then("one call brought the whole lot and the other none")
def one_lot(world: World, trainer: Trainer) -> None:
    calls = [future.result() for future in world.notes["calls"]]
    assert sorted(is_whole(lines) for lines in calls) == [False, True]
    whole = next(lines for lines in calls if is_whole(lines))
    assert len(samples_of(whole)) == trainer.samples


@when(parsers.parse("the trainer asks for step {step:d} through gateway {gateway:d} only"))
def asks_one(world: World, trainer: Trainer, step: int, gateway: int) -> None:
    world.notes["old"] = world.pool.submit(raw_lines, world, trainer, step, gateway)


@when(parsers.parse("the trainer asks for step {step:d} through gateway {gateway:d}"))
def asks_other(world: World, trainer: Trainer, step: int, gateway: int) -> None:
    trainer.client = world.fleet.trainer(TRAINER, 1, f"gateway-{gateway}")
    trainer.client.calls = 1
    trainer.begin(step)


@then(parsers.parse("the call through gateway {gateway:d} brought no lot"))
def no_lot(world: World, gateway: int) -> None:
    lines = world.notes["old"].result()
    assert not is_whole(lines)
    assert lines[-1]["error"]["reason"] in (Reason.SUPERSEDED, Reason.ALREADY_DELIVERED)


@when(parsers.parse("the trainer takes {steps:d} steps under faults drawn from seed {seed:d}"))
def many_steps(world: World, trainer: Trainer, steps: int, seed: int) -> None:
    done = threading.Event()
    faults = threading.Thread(target=inflict, args=(world, Random(seed), done))
    faults.start()
    try:
        for step in range(steps):
            lot = trainer.take(step)
            trainer.client.acknowledge(lot)
            if step % 3 == 2:
                trainer.publish()
    finally:
        done.set()
        faults.join()


def inflict(world: World, random: Random, done: threading.Event) -> None:
    """Bring about faults one after another, sometimes two together."""
    processes = world.fleet.processes
    while not done.is_set():
        engine = random.choice(world.engines())
        gateway = f"gateway-{random.randrange(2)}"
        choice = random.randrange(6)
        if choice in (0, 5):
            processes[gateway].kill()
            world.fleet.restart(gateway)
        if choice in (1, 5):
            processes[f"sidecar-{engine}"].kill()
            world.fleet.restart(f"sidecar-{engine}")
        if choice == 2:
            processes[f"sidecar-{engine}"].freeze()
            done.wait(2.5)
            processes[f"sidecar-{engine}"].wake()
        if choice == 3:
            world.fleet.fault(engine, swap_fails=1, truncate=2, cross=2)
        if choice == 4:
            world.fleet.fault("kv", outage=True)
            done.wait(1.5)
            world.fleet.fault("kv", outage=False)
        done.wait(0.5)


@then(parsers.parse("all {steps:d} lots were whole and no sample came twice"))
def all_whole(trainer: Trainer, steps: int) -> None:
    ids = [sample.id for lot in trainer.lots for sample in lot.samples]
    assert len(ids) == steps * trainer.samples
    assert len(set(ids)) == len(ids)


@then("every closed step is refused")
def closed_refused(world: World, trainer: Trainer) -> None:
    for lot in trainer.lots:
        refused(world, trainer, lot.step, lot.step % 2)
