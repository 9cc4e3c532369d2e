from __future__ import annotations

from typing import TYPE_CHECKING

from pytest_bdd import given, parsers, scenarios, then, when

from tests.scenarios.world import MODEL

if TYPE_CHECKING:
    from tests.scenarios.lots import Trainer
    from tests.scenarios.world import World

scenarios("labels.feature")


@given(parsers.parse("the next {count:d} swaps of each engine fail partway"))
def swaps_fail(world: World, count: int) -> None:
    for name in world.engines():
        world.fleet.fault(name, swap_fails=count)


@given(parsers.parse("every swap of {engine} fails partway"))
def swaps_fail_for_good(world: World, engine: str) -> None:
    world.fleet.fault(engine, swap_fails=1_000_000)


@given("the engines ignore fencing numbers and obey the next order late")
def late_orders(world: World) -> None:
    for name in world.engines():
        world.fleet.fault(name, ignore_fence=True, late_orders=1, late_s=2.0)


@when(parsers.parse("{engine} comes back with version {version:d}"))
def comes_back(world: World, engine: str, version: int) -> None:
    world.fleet.fault(engine, set_weights={MODEL: version})


@then(parsers.parse("every sample of step {step:d} is of version {version:d} or newer"))
def all_fresh(trainer: Trainer, step: int, version: int) -> None:
    assert min(min(sample.versions) for sample in trainer.lots[step].samples) >= version
