"""Intervals of lease renewals by the size of the fleet."""

from __future__ import annotations

import pytest

from threadramp.policy.renewals import MIN_SIDECAR_RENEWAL_S, RATE_SHARE, renewal_interval_s


@pytest.mark.parametrize(("sidecars", "reads"), [(0, 2000), (7, 2000), (22, 6000), (600, 2000)])
def test_small_fleets_renew_at_the_shortest_interval(sidecars, reads):
    assert renewal_interval_s(sidecars, reads) == MIN_SIDECAR_RENEWAL_S


def test_large_fleets_stay_within_their_share_of_reads():
    interval_s = renewal_interval_s(2_700, 2_000)
    assert interval_s == pytest.approx(9.0)
    assert 2_700 / interval_s <= RATE_SHARE * 2_000 + 1e-9


def test_without_a_read_limit_the_shortest_interval_is_used():
    assert renewal_interval_s(2_700, 0) == MIN_SIDECAR_RENEWAL_S
