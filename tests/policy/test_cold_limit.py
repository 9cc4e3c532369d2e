"""How what a cold endpoint bears is divided between processes."""

from __future__ import annotations

from random import Random

import pytest

from threadramp.policy.cold_limit import (
    ColdRate,
    SlidingLimit,
    calls_total,
    gateway_share,
    samples_share,
)


def test_the_total_is_the_rate_with_overage_and_slack():
    assert ColdRate(5.0, 1.5, 5.0).total == 12
    assert ColdRate(0.0, 1.5, 5.0).total == 0


@pytest.mark.parametrize("total", range(40))
@pytest.mark.parametrize("serves_calls", [False, True])
def test_a_sidecar_two_hosts_and_calls_together_stay_within_the_total(total, serves_calls):
    """Two gateways with different member lists may host an engine while its sidecar is back."""
    sidecar = samples_share(total, serves_calls, is_host=False)
    host = samples_share(total, serves_calls, is_host=True)
    calls = calls_total(total, True, serves_calls)
    assert sidecar + host + calls <= total
    assert 2 * host + calls <= total
    assert sidecar >= min(1, total - calls)


@pytest.mark.parametrize("total", [0, 1, 7, 16, 50])
def test_the_shares_of_all_gateways_stay_within_the_total(total):
    """An equal share below one for each of 23 gateways would let each send one."""
    names = [f"front-{number}" for number in range(23)]
    shares = [gateway_share("i-1", name, names, total) for name in names]
    assert sum(shares) <= total
    assert sum(shares) > total / 2 or total == 0


def test_a_gateway_that_only_some_know_never_adds_to_the_total():
    """A new gateway waits until all know it; who knows it already makes room for it at once."""
    names = [f"front-{number}" for number in range(20)]
    with_new = [*names, "front-new"]
    for endpoint in ("i-1", "i-2", "i-3"):
        for knowing in range(21):
            total = sum(
                gateway_share(endpoint, name, with_new if place < knowing else names, 12)
                for place, name in enumerate(names)
            )
            assert total <= 12


def test_no_span_of_a_second_holds_more_than_the_limit():
    limit = SlidingLimit()
    random = Random(1)
    sent = []
    now = 0.0
    for _ in range(2000):
        now += random.expovariate(30.0)
        if limit.take(6, now):
            sent.append(now)
    assert max(sum(start <= at < start + 1.0 for at in sent) for start in sent) == 6


def test_nothing_is_sent_in_the_first_second_of_a_process():
    """A restarted process forgot what it sent within the last second."""
    limit = SlidingLimit(blocked_until=11.0)
    assert not limit.take(6, 10.9)
    assert limit.take(6, 11.0)


def test_a_request_that_was_delayed_needs_room_again():
    """After a pause the requests taken before it were sent together with new ones."""
    limit = SlidingLimit()
    assert all(limit.take(2, 0.1 * number) for number in range(2))
    assert limit.take(2, 1.5)
    assert limit.confirm(0.0, 2, 1.5)
    assert not limit.confirm(0.1, 2, 1.5)


def test_a_short_delay_before_sending_moves_the_request():
    limit = SlidingLimit()
    assert limit.take(1, 0.0)
    assert limit.confirm(0.0, 1, 0.5)
    assert not limit.take(1, 1.2)
    assert limit.take(1, 1.5)
