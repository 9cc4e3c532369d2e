"""Endpoints ordered for a day's wave, a jump and an outage, against two simple ways.

Seen from callers: the share of the demand that found a place; seen from who pays: endpoint seconds.
The simple ways: the most all day, and just what the demand of the moment takes.
"""

from __future__ import annotations

from math import ceil, cos, pi
from random import Random

import pytest

from threadramp.fleet.model import Autoscale
from threadramp.policy.scaling import LOWER_AFTER_S, Demand, Scaling

BOUNDS = Autoscale(min_replicas=2, max_replicas=20, boot_s=30.0)
SLOTS = 8
LOOK_S = 5.0
DAY_S = 3600.0  # a day's wave, shortened
PLACES = ("dc-a", "dc-b")


def wave(place: int, at: float) -> float:
    return 70.0 - 50.0 * cos(2 * pi * (at / DAY_S + place * 0.1))


def jump(place: int, at: float) -> float:
    return 100.0 if 1200.0 <= at < 2400.0 and place == 0 else 20.0


class AsTheMoment:
    """Just what the demand of the moment takes."""

    def decide(self, demands, now):
        found = {}
        for name, one in demands.items():
            found[name] = min(
                BOUNDS.max_replicas, max(BOUNDS.min_replicas, ceil(one.busy / one.slots))
            )
        return found


class AtTheMost:
    def decide(self, demands, now):
        return dict.fromkeys(demands, BOUNDS.max_replicas)


def play(way, load, silent=(0.0, 0.0)):
    """Return the share served, the endpoint seconds, and how often the number changed.

    :param silent: from when to when no call is taken
    """
    random = Random(1)
    serving = dict.fromkeys(PLACES, 4)
    booting: list[tuple[float, str]] = []
    asked = served = paid = 0.0
    changes = 0
    at = 0.0
    while at < DAY_S:
        for when, name in [one for one in booting if one[0] <= at]:
            serving[name] += 1
            booting.remove((when, name))
        demands = {}
        for place, name in enumerate(PLACES):
            busy = load(place, at) * random.uniform(0.9, 1.1)
            asked += busy
            served += min(busy, serving[name] * SLOTS)
            ordered = serving[name] + sum(one == name for _, one in booting)
            paid += ordered * LOOK_S
            demands[name] = Demand(busy, ordered, SLOTS)
        wanted = way.decide(demands, at)
        if not silent[0] <= at < silent[1]:
            for name, count in wanted.items():
                changes += count != demands[name].endpoints
                more = count - demands[name].endpoints
                booting += [(at + BOUNDS.boot_s, name)] * max(0, more)
                serving[name] += min(0, more)
        at += LOOK_S
    return served / asked, paid, changes


@pytest.mark.parametrize("load", [wave, jump])
def test_it_serves_nearly_as_the_most_does_for_far_less(load):
    share, paid, changes = play(Scaling(BOUNDS), load)
    share_at_most, paid_at_most, _ = play(AtTheMost(), load)
    share_of_moment, _, changes_of_moment = play(AsTheMoment(), load)
    assert share >= share_at_most - 0.02
    assert paid < 0.75 * paid_at_most
    assert share >= share_of_moment
    assert changes < changes_of_moment / 3


def test_an_interface_that_takes_no_calls_for_a_while_is_made_up_for():
    share, _, _ = play(Scaling(BOUNDS), wave, silent=(1000.0, 1200.0))
    assert share > 0.95


def test_the_bounds_hold_whatever_the_demand():
    scaling = Scaling(BOUNDS)
    for busy, wanted in ((0.0, BOUNDS.min_replicas), (10_000.0, BOUNDS.max_replicas)):
        scaling = Scaling(BOUNDS)
        found = {}
        for turn in range(40):
            demands = {"dc-a": Demand(busy, found.get("dc-a", 4), SLOTS)}
            found = scaling.decide(demands, turn * LOOK_S)
        assert found == {"dc-a": wanted}


def test_fewer_are_ordered_only_after_a_while():
    scaling = Scaling(BOUNDS)
    assert scaling.decide({"dc-a": Demand(0.0, 10, SLOTS)}, 0.0) == {"dc-a": 10}
    found = {}
    for turn in range(1, int(LOWER_AFTER_S / LOOK_S) + 1):
        found = scaling.decide({"dc-a": Demand(0.0, 10, SLOTS)}, turn * LOOK_S)
    assert found == {"dc-a": BOUNDS.min_replicas}


def test_one_data_centre_that_has_its_most_is_helped_by_another():
    found = Scaling(BOUNDS).decide(
        {"dc-a": Demand(140.0, 20, SLOTS), "dc-b": Demand(10.0, 2, SLOTS)}, 0.0
    )
    assert found["dc-a"] == BOUNDS.max_replicas
    assert found["dc-b"] > BOUNDS.min_replicas
