"""The facts sent to sidecars, and which sidecars a lot's gateway asks."""

from __future__ import annotations

import time

import pytest

from threadramp.fleet.facts import facts_for, serves_any
from threadramp.fleet.fleet_view import FleetSnapshot, Member
from threadramp.fleet.model import Configuration, Endpoint, Pool, WeightTarget

MODELS = tuple(f"m{n}" for n in range(9))


def fleet(engines: int, models: tuple[str, ...] = MODELS) -> FleetSnapshot:
    endpoints = {
        f"i-{n}": Endpoint(f"i-{n}", "engines", f"10.0.{n // 250}.{n % 250}:80", "a", 8)
        for n in range(engines)
    }
    members = {
        f"s{n}": Member(f"s{n}", "sidecar", "1", f"s{n}:1", "a", one.address)
        for n, one in enumerate(endpoints.values())
    }
    return FleetSnapshot(
        configuration=Configuration(pools={"engines": Pool("engines", models=models)}),
        endpoints=endpoints,
        members=members,
        targets=tuple(WeightTarget(model, 2, 5) for model in models),
    )


def asked(snapshot: FleetSnapshot, *models: str) -> list[Member]:
    return [one for one in snapshot.sidecars() if serves_any(one, set(models), snapshot)]


def test_in_a_small_pool_every_engine_is_asked():
    assert len(asked(fleet(21), "m0")) == 21


@pytest.mark.parametrize(("models", "engines"), [(("m0",), 300), (("m0", "m5"), 600)])
def test_in_a_large_pool_those_are_asked_that_keep_the_model_up_to_date(models, engines):
    snapshot = fleet(2_700)
    found = asked(snapshot, *models)
    assert len(found) == engines
    named = {target.model for one in found for target in facts_for(one, snapshot, 0.0).targets}
    assert named == set(models)


def test_an_engine_that_is_not_listed_yet_is_asked():
    snapshot = fleet(100)
    late = Member("late", "sidecar", "1", "late:1", "a", "10.9.9.9:80")
    assert serves_any(late, {"m0"}, snapshot)


def test_with_one_model_every_engine_keeps_it():
    assert len(asked(fleet(100, ("m",)), "m")) == 100


def test_computing_facts_takes_no_longer_in_a_large_fleet():
    """Every request to a sidecar carries its facts; computing them iterated over all endpoints."""
    snapshot = fleet(2_700)
    sidecars = snapshot.sidecars()
    facts_for(sidecars[0], snapshot, 0.0)
    started = time.process_time()
    for one in sidecars:
        facts_for(one, snapshot, 0.0)
    assert time.process_time() - started < 1.0  # 2,700 sorts of 2,700 addresses took 2.5 s
