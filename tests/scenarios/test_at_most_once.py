from __future__ import annotations

import threading
import time
from concurrent.futures import ThreadPoolExecutor, wait
from random import Random
from typing import TYPE_CHECKING

from pytest_bdd import parsers, scenarios, then, when

from tests.scenarios.world import LOST
from threadramp.wire.outcomes import Outcome

if TYPE_CHECKING:
    from tests.scenarios.world import World

scenarios("at_most_once.feature")

RAN = Outcome.RAN.value
NOT_RUN = Outcome.NOT_RUN.value
UNKNOWN = Outcome.UNKNOWN.value
MAX_SENDS = 4
STORM_CALLERS = 12
RACING_SHARE = 0.3


@when(
    parsers.parse(
        'a caller sends transfer "{name}" through gateway {gateway:d} '
        "and gives up after {patience:f} s"
    )
)
def sends_and_gives_up(world: World, name: str, gateway: int, patience: float) -> None:
    assert world.send(name, gateway, patience_s=patience).result().outcome == LOST


@when(parsers.parse('the caller sends transfer "{name}" through gateway {gateway:d}'))
def resends(world: World, name: str, gateway: int) -> None:
    world.send(name, gateway).result()


@when(parsers.parse('a caller first sends own key "{name}" through gateway {gateway:d}'))
def sends_own(world: World, name: str, gateway: int) -> None:
    world.send(name, gateway, key="own", attempt=1).result()


@when(parsers.parse('a caller sends own key "{name}" through gateway {gateway:d} without waiting'))
def sends_own_unawaited(world: World, name: str, gateway: int) -> None:
    world.send(name, gateway, key="own", attempt=1, deadline_s=20.0, patience_s=20.0)


@when(parsers.parse('an operator declares the data centre "{name}" through gateway {gateway:d}'))
def declares(world: World, name: str, gateway: int) -> None:
    world.fleet.operator(f"gateway-{gateway}").put("data_centre", name, {"region": "r"})


@when(parsers.parse("an operator confirms at gateway {gateway:d}"))
def confirms(world: World, gateway: int) -> None:
    operator = world.fleet.operator(f"gateway-{gateway}")
    assert operator.status().regressed
    operator.api.ask("POST", "/v1/regression/confirm")
    assert not operator.status().regressed


@when("both sidecars of the bank are frozen")
def freeze_both(world: World) -> None:
    for name in world.services():
        world.fleet.processes[f"sidecar-{name}"].freeze()


@when("both sidecars of the bank wake up")
def wake_both(world: World) -> None:
    for name in world.services():
        world.fleet.processes[f"sidecar-{name}"].wake()


@when(parsers.parse('the caller sends own key "{name}" again through gateway {gateway:d}'))
def resends_own(world: World, name: str, gateway: int) -> None:
    world.send(name, gateway, key="own", attempt=2).result()


@when(parsers.parse("a caller sends {count:d} own keys through both gateways at once"))
def race(world: World, count: int) -> None:
    for number in range(count):
        for gateway in (0, 1):
            world.send(f"race-{number}", gateway, key="own")
    for sends in world.sends.values():
        wait(sends)


@when(
    parsers.parse("{count:d} transfers are sent and resent under faults drawn from seed {seed:d}")
)
def storm(world: World, count: int, seed: int) -> None:
    random = Random(seed)
    names = [f"s{seed}-{number}" for number in range(count)]
    plans = [(name, random.choice(["ticket", "own"]), Random(random.random())) for name in names]
    done = threading.Event()
    faults = threading.Thread(target=inflict, args=(world, Random(seed), done))
    faults.start()
    try:
        with ThreadPoolExecutor(STORM_CALLERS) as callers:
            wait([callers.submit(send_until_settled, world, *plan) for plan in plans])
    finally:
        done.set()
        faults.join()


def send_until_settled(world: World, name: str, key: str, random: Random) -> None:
    """Send a transfer until its outcome is known, sometimes through both gateways at once."""
    if key == "ticket" and not take_ticket(world, name):
        return
    for attempt in range(1, MAX_SENDS + 1):
        gateway = random.randrange(2)
        patience = random.choice([0.05, 0.5, 3.0])
        sends = [world.send(name, gateway, key, 2.0, patience, attempt)]
        if attempt > 1 and random.random() < RACING_SHARE:
            sends.append(world.send(name, 1 - gateway, key, 2.0, 3.0, attempt))
        if any(sent.result().outcome in (RAN, NOT_RUN) for sent in sends):
            return
        time.sleep(random.random() * 0.3)


def take_ticket(world: World, name: str) -> bool:
    for _ in range(20):
        try:
            world.ticket(name)
        except Exception:  # noqa: BLE001 - no gateway or no worker just now
            time.sleep(0.2)
        else:
            return True
    return False


def inflict(world: World, random: Random, done: threading.Event) -> None:
    """Bring about faults, one or two at a time, until the transfers are through."""
    faults = [kill_gateway, kill_sidecar, freeze_sidecar, freeze_gateway]
    faults += [kv_out, kv_slow, kv_loses, broken_answers]
    while not done.is_set():
        chosen = random.sample(faults, random.choice([1, 1, 2]))
        threads = [threading.Thread(target=fault, args=(world, random)) for fault in chosen]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        done.wait(0.2)


def kill_gateway(world: World, random: Random) -> None:
    name = f"gateway-{random.randrange(2)}"
    world.fleet.processes[name].kill()
    world.fleet.restart(name)


def kill_sidecar(world: World, random: Random) -> None:
    name = f"sidecar-{random.choice(world.services())}"
    world.fleet.processes[name].kill()
    world.fleet.restart(name)


def freeze_sidecar(world: World, random: Random) -> None:
    freeze(world, f"sidecar-{random.choice(world.services())}", 3.5)


def freeze_gateway(world: World, random: Random) -> None:
    freeze(world, f"gateway-{random.randrange(2)}", 1.5)


def freeze(world: World, name: str, seconds: float) -> None:
    process = world.fleet.processes[name]
    if process.is_running:
        process.freeze()
        time.sleep(seconds)
        process.wake()


def kv_out(world: World, random: Random) -> None:
    world.fleet.fault("kv", outage=True)
    time.sleep(1.0)
    world.fleet.fault("kv", outage=False)


def kv_slow(world: World, random: Random) -> None:
    world.fleet.fault("kv", delay_s=0.8)
    time.sleep(1.5)
    world.fleet.fault("kv", delay_s=0.0)


def kv_loses(world: World, random: Random) -> None:
    world.fleet.fault("kv", lose_answers=5)


def broken_answers(world: World, random: Random) -> None:
    name = random.choice(world.services())
    world.fleet.fault(name, cross=3, truncate=3)


@then(parsers.parse('the caller has the answer of transfer "{name}"'))
def has_answer(world: World, name: str) -> None:
    last = world.sends[name][-1].result()
    assert last.outcome == RAN, last
    assert f'"id":"{name}"'.encode() in last.body


@then(parsers.parse('the last send of transfer "{name}" came to "{outcome}"'))
def came_to(world: World, name: str, outcome: str) -> None:
    last = world.sends[name][-1].result()
    assert last.outcome == outcome, last


@then(parsers.parse('no send of transfer "{name}" came to "not_run" although it ran'))
def no_false_word(world: World, name: str) -> None:
    outcomes = [sent.result().outcome for sent in world.sends[name]]
    assert NOT_RUN not in outcomes or world.runs(name) == 0, outcomes


@then(parsers.parse('all sends of transfer "{name}" have ended'))
def all_ended(world: World, name: str) -> None:
    wait(world.sends[name])


@then(parsers.parse('transfer "{name}" ran once'))
def ran_once(world: World, name: str) -> None:
    assert world.runs(name) == 1


@then(parsers.parse('transfer "{name}" ran at most once'))
def ran_at_most_once(world: World, name: str) -> None:
    assert world.runs(name) <= 1


@then(parsers.parse('transfer "{name}" ran {count:d} times'))
def ran_times(world: World, name: str, count: int) -> None:
    assert world.runs(name) == count


@then(parsers.parse("every one of the {count:d} own keys ran once and both sends have its answer"))
def all_raced(world: World, count: int) -> None:
    runs = world.all_runs()
    for number in range(count):
        name = f"race-{number}"
        assert runs[name] == 1
        assert [sent.result().outcome for sent in world.sends[name]] == [RAN, RAN]


@then("no transfer ran twice")
def none_twice(world: World) -> None:
    assert {name: runs for name, runs in world.all_runs().items() if runs > 1} == {}


@then('every transfer called "not run" ran 0 times')
def not_run_holds(world: World) -> None:
    runs = world.all_runs()
    called = [
        name
        for name, sends in world.sends.items()
        if any(sent.result().outcome == NOT_RUN for sent in sends)
    ]
    wrong = {name: outcomes(world, name) for name in called if runs.get(name, 0)}
    assert wrong == {}


@then("every transfer that has an answer ran once")
def answered_ran(world: World) -> None:
    runs = world.all_runs()
    answered = [
        name
        for name, sends in world.sends.items()
        if any(sent.result().outcome == RAN for sent in sends)
    ]
    tally = {
        outcome: sum(1 for sends in world.sends.values() if sends[-1].result().outcome == outcome)
        for outcome in (RAN, NOT_RUN, UNKNOWN, LOST)
    }
    print("last outcomes:", tally)
    assert [name for name in answered if runs.get(name, 0) != 1] == []
    assert len(answered) > len(world.sends) // 4  # the faults left something to prove


def outcomes(world: World, name: str) -> list[tuple[str, str]]:
    return [(sent.result().outcome, sent.result().reason) for sent in world.sends[name]]
