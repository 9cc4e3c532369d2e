"""Who stands in for an engine's sidecar."""

from __future__ import annotations

from collections import Counter

from hypothesis import given
from hypothesis import strategies as st

from threadramp.fleet.fleet_view import Member
from threadramp.policy.engine_host import host_of

ENGINES = [f"10.0.{n // 250}.{n % 250}:80" for n in range(600)]
NAMES = st.lists(st.integers(0, 60), min_size=1, max_size=20, unique=True)


def gateways(numbers) -> list[Member]:
    return [Member(f"g{n}", "gateway", "1", f"g{n}:1", f"dc{n % 3}", "") for n in numbers]


@given(numbers=NAMES, engine=st.sampled_from(ENGINES))
def test_all_choose_the_same_whatever_the_order(numbers, engine):
    fleet = gateways(numbers)
    chosen = host_of(engine, "dc1", fleet)
    assert chosen == host_of(engine, "dc1", reversed(fleet))
    near = [one for one in fleet if one.data_centre == "dc1"]
    assert chosen in (near or fleet)


@given(numbers=NAMES, gone=st.integers(0, 60), engine=st.sampled_from(ENGINES))
def test_one_that_goes_moves_only_its_own_engines(numbers, gone, engine):
    fleet = gateways(numbers)
    before = host_of(engine, "dc1", fleet)
    left = [one for one in fleet if one.name != f"g{gone}"]
    after = host_of(engine, "dc1", left)
    if before in left:
        assert after == before
    assert after == host_of(engine, "dc1", fleet, silent={f"g{gone}"})


def test_engines_are_spread():
    fleet = gateways(range(0, 30, 3))
    counts = Counter(host_of(engine, "dc0", fleet).name for engine in ENGINES)
    assert len(counts) == 10
    assert max(counts.values()) < 100


def test_without_a_gateway_there_is_nobody():
    assert host_of(ENGINES[0], "dc0", []) is None
