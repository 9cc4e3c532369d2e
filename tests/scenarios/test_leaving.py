from __future__ import annotations

import threading
import time
from typing import TYPE_CHECKING

from pytest_bdd import parsers, scenarios, then, when
from tools.fleet import wait_for

from threadramp.wire.outcomes import Outcome

if TYPE_CHECKING:
    from collections.abc import Callable

    from tests.scenarios.lots import Trainer
    from tests.scenarios.world import World

scenarios("leaving.feature")

SEND_INTERVAL_S = 0.03
SETTLE_S = 1.5


@when("callers keep sending transfers")
def keep_sending(world: World) -> None:
    keep_on(world, world.send)


@when("callers keep making transfers by the client library")
def keep_making(world: World) -> None:
    keep_on(world, world.call_once)


def keep_on(world: World, make: Callable[[str, int], object]) -> None:
    """Make a transfer again and again, through the gateways in turn."""
    stop = threading.Event()

    def send_all() -> None:
        number = 0
        while not stop.wait(SEND_INTERVAL_S):
            make(f"n{number}", number % 2)
            number += 1

    thread = threading.Thread(target=send_all, daemon=True)
    thread.start()
    world.notes["stop"] = (stop, thread)


@when("the operator drains bank-0")
def operator_drains(world: World) -> None:
    world.fleet.cli("drain", "bank-0")


@when("the box of bank-0 leaves")
def box_leaves(world: World) -> None:
    world.fleet.fault("boxes", leaving=[world.fleet.addresses["bank-0"]])


@when("every gateway sees bank-0 leave")
def seen_leaving(world: World) -> None:
    def leaving() -> bool:
        seen = [
            endpoint.state
            for gateway in world.fleet.gateway_names
            for endpoint in world.fleet.operator(gateway).status().endpoints
            if endpoint.name == "bank-0"
        ]
        return set(seen) == {"leaving"}

    started = time.monotonic()
    wait_for(leaving, "every gateway sees bank-0 leave")
    print(f"seen to leave after {time.monotonic() - started:.2f} s (as measured)")


@then("bank-0 gets no new transfers")
def no_new(world: World) -> None:
    before = dict(world.fleet.record("bank-0")["runs"])
    time.sleep(SETTLE_S)  # long enough for some fifty more transfers
    after = world.fleet.record("bank-0")["runs"]
    stop, thread = world.notes["stop"]
    stop.set()
    thread.join()
    assert before
    assert after == before


@then("every transfer sent so far was answered")
def all_answered(world: World) -> None:
    results = {name: sends[0].result() for name, sends in world.sends.items()}
    assert {name: sent for name, sent in results.items() if sent.outcome != "ran"} == {}
    assert set(world.all_runs().values()) == {1}


@then(parsers.parse('the sidecar of {endpoint} stops and transfer "{name}" was answered'))
def stops_after(world: World, endpoint: str, name: str) -> None:
    assert world.fleet.processes[f"sidecar-{endpoint}"].wait() == 0
    assert world.sends[name][0].result().outcome == Outcome.RAN.value


@then(parsers.parse('gateway {number:d} stops and transfer "{name}" was answered'))
def gateway_stops(world: World, number: int, name: str) -> None:
    assert world.fleet.processes[f"gateway-{number}"].wait() == 0
    assert world.sends[name][0].result().outcome == Outcome.RAN.value


@then("no finished sample ran a second time")
def none_again(world: World, trainer: Trainer) -> None:
    tokens = sum(world.fleet.record(name)["tokens"] for name in world.engines())
    delivered = sum(count for lot in trainer.lots for s in lot.samples for _, count in s.pieces)
    assert tokens == delivered


@then("the trainer asked once")
def asked_once(trainer: Trainer) -> None:
    assert trainer.client.calls == 1
