from __future__ import annotations

from collections import Counter

import pytest

from threadramp.policy.subset import gateway_subset, trainer_shard


@pytest.mark.parametrize(("endpoints", "gateways"), [(2700, 350), (1000, 100), (40, 12)])
def test_each_endpoint_gets_heartbeats_and_no_gateway_has_many_endpoints(
    endpoints: int, gateways: int
) -> None:
    names = [f"e{index}" for index in range(endpoints)]
    heard: Counter[str] = Counter()
    sizes = []
    for index in range(gateways):
        subset = gateway_subset(names, index, gateways, coverage=3)
        sizes.append(len(subset))
        heard.update(subset)
    assert set(heard) == set(names)
    assert max(sizes) <= 3 * (endpoints // gateways + 1)
    assert sum(1 for name in names if heard[name] < 2) < endpoints // 10


def test_in_small_pools_every_gateway_has_every_endpoint() -> None:
    assert gateway_subset(["b", "a"], 3, 5, 2) == ["a", "b"]


def test_a_trainer_shard_is_the_same_everywhere_and_changes_little() -> None:
    names = [f"e{index}" for index in range(2700)]
    shard = trainer_shard("t", names, trainers=9)
    assert shard == trainer_shard("t", list(reversed(names)), trainers=9)
    assert len(shard) == 450
    without = trainer_shard("t", [name for name in names if name != shard[0]], trainers=9)
    assert len(set(shard) - set(without)) <= 2
