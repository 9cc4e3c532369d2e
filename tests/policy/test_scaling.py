"""Scaling under a daily wave, a jump and an outage, compared with two simple policies.

Measured are the share of the demand that was served and the endpoint seconds that are paid for. The
simple policies order the maximum all day, and exactly what the current demand needs.
"""

from __future__ import annotations

from math import ceil, cos, pi
from random import Random

import pytest

from threadramp.fleet.model import Autoscale
from threadramp.policy.scaling import SCALE_DOWN_AFTER_S, Demand, Scaling

BOUNDS = Autoscale(min_replicas=2, max_replicas=20, boot_s=30.0)
SLOTS = 8
TICK_S = 5.0
DAY_S = 3600.0  # period of the daily wave, shortened
DATA_CENTRES = ("dc-a", "dc-b")


def wave(place: int, at: float) -> float:
    return 70.0 - 50.0 * cos(2 * pi * (at / DAY_S + place * 0.1))


def jump(place: int, at: float) -> float:
    return 100.0 if 1200.0 <= at < 2400.0 and place == 0 else 20.0


class CurrentDemand:
    """Orders exactly what the current demand needs."""

    def decide(self, demands, now):
        found = {}
        for name, one in demands.items():
            found[name] = min(
                BOUNDS.max_replicas, max(BOUNDS.min_replicas, ceil(one.busy / one.slots))
            )
        return found


class AlwaysMaximum:
    def decide(self, demands, now):
        return dict.fromkeys(demands, BOUNDS.max_replicas)


def simulate(policy, load, outage=(0.0, 0.0)):
    """Return the share served, the endpoint seconds, and the number of changes.

    :param outage: from when to when no orders are accepted
    """
    random = Random(1)
    serving = dict.fromkeys(DATA_CENTRES, 4)
    booting: list[tuple[float, str]] = []
    demanded = served = paid = 0.0
    changes = 0
    at = 0.0
    while at < DAY_S:
        for when, name in [one for one in booting if one[0] <= at]:
            serving[name] += 1
            booting.remove((when, name))
        demands = {}
        for place, name in enumerate(DATA_CENTRES):
            busy = load(place, at) * random.uniform(0.9, 1.1)
            demanded += busy
            served += min(busy, serving[name] * SLOTS)
            ordered = serving[name] + sum(one == name for _, one in booting)
            paid += ordered * TICK_S
            demands[name] = Demand(busy, ordered, SLOTS)
        wanted = policy.decide(demands, at)
        if not outage[0] <= at < outage[1]:
            for name, count in wanted.items():
                changes += count != demands[name].endpoints
                more = count - demands[name].endpoints
                booting += [(at + BOUNDS.boot_s, name)] * max(0, more)
                serving[name] += min(0, more)
        at += TICK_S
    return served / demanded, paid, changes


@pytest.mark.parametrize("load", [wave, jump])
def test_it_serves_nearly_as_much_as_the_maximum_for_far_less(load):
    share, paid, changes = simulate(Scaling(BOUNDS), load)
    share_of_maximum, paid_of_maximum, _ = simulate(AlwaysMaximum(), load)
    share_of_current, _, changes_of_current = simulate(CurrentDemand(), load)
    assert share >= share_of_maximum - 0.02
    assert paid < 0.75 * paid_of_maximum
    assert share >= share_of_current
    assert changes < changes_of_current / 3


def test_it_recovers_from_an_outage_of_the_order_interface():
    share, _, _ = simulate(Scaling(BOUNDS), wave, outage=(1000.0, 1200.0))
    assert share > 0.95


def test_the_bounds_hold_for_any_demand():
    scaling = Scaling(BOUNDS)
    for busy, wanted in ((0.0, BOUNDS.min_replicas), (10_000.0, BOUNDS.max_replicas)):
        scaling = Scaling(BOUNDS)
        found = {}
        for turn in range(40):
            demands = {"dc-a": Demand(busy, found.get("dc-a", 4), SLOTS)}
            found = scaling.decide(demands, turn * TICK_S)
        assert found == {"dc-a": wanted}


def test_fewer_endpoints_are_ordered_only_after_a_while():
    scaling = Scaling(BOUNDS)
    assert scaling.decide({"dc-a": Demand(0.0, 10, SLOTS)}, 0.0) == {"dc-a": 10}
    found = {}
    for turn in range(1, int(SCALE_DOWN_AFTER_S / TICK_S) + 1):
        found = scaling.decide({"dc-a": Demand(0.0, 10, SLOTS)}, turn * TICK_S)
    assert found == {"dc-a": BOUNDS.min_replicas}


def test_a_data_centre_at_its_maximum_is_helped_by_another():
    found = Scaling(BOUNDS).decide(
        {"dc-a": Demand(140.0, 20, SLOTS), "dc-b": Demand(10.0, 2, SLOTS)}, 0.0
    )
    assert found["dc-a"] == BOUNDS.max_replicas
    assert found["dc-b"] > BOUNDS.min_replicas
