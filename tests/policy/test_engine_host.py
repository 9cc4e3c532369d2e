"""Which gateway replaces an engine's sidecar."""

from __future__ import annotations

from collections import Counter

from hypothesis import given
from hypothesis import strategies as st

from threadramp.fleet.fleet_view import Member
from threadramp.policy.engine_host import gateway_for_engine

ENGINES = [f"10.0.{n // 250}.{n % 250}:80" for n in range(600)]
NAMES = st.lists(st.integers(0, 60), min_size=1, max_size=20, unique=True)


def gateways(numbers) -> list[Member]:
    return [Member(f"g{n}", "gateway", "1", f"g{n}:1", f"dc{n % 3}", "") for n in numbers]


@given(numbers=NAMES, engine=st.sampled_from(ENGINES))
def test_all_gateways_choose_the_same_in_any_order(numbers, engine):
    fleet = gateways(numbers)
    chosen = gateway_for_engine(engine, "dc1", fleet)
    assert chosen == gateway_for_engine(engine, "dc1", reversed(fleet))
    near = [one for one in fleet if one.data_centre == "dc1"]
    assert chosen in (near or fleet)


@given(numbers=NAMES, gone=st.integers(0, 60), engine=st.sampled_from(ENGINES))
def test_losing_a_gateway_moves_only_its_own_engines(numbers, gone, engine):
    fleet = gateways(numbers)
    before = gateway_for_engine(engine, "dc1", fleet)
    left = [one for one in fleet if one.name != f"g{gone}"]
    after = gateway_for_engine(engine, "dc1", left)
    if before in left:
        assert after == before
    assert after == gateway_for_engine(engine, "dc1", fleet, unresponsive={f"g{gone}"})


def test_engines_are_spread_over_the_gateways():
    fleet = gateways(range(0, 30, 3))
    counts = Counter(gateway_for_engine(engine, "dc0", fleet).name for engine in ENGINES)
    assert len(counts) == 10
    assert max(counts.values()) < 100


def test_without_gateways_none_is_chosen():
    assert gateway_for_engine(ENGINES[0], "dc0", []) is None
