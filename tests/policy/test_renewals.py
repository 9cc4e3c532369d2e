"""Renewals by the size of the fleet."""

from __future__ import annotations

import pytest

from threadramp.policy.renewals import MIN_SIDECAR_RENEWAL_S, RATE_SHARE, renewal_interval_s


@pytest.mark.parametrize(("sidecars", "reads"), [(0, 2000), (7, 2000), (22, 6000), (600, 2000)])
def test_small_fleets_renew_as_often_as_they_may(sidecars, reads):
    assert renewal_interval_s(sidecars, reads) == MIN_SIDECAR_RENEWAL_S


def test_large_fleets_stay_within_their_share_of_the_reads():
    every = renewal_interval_s(2_700, 2_000)
    assert every == pytest.approx(9.0)
    assert 2_700 / every <= RATE_SHARE * 2_000 + 1e-9


def test_a_store_without_a_limit_is_asked_as_often_as_may_be():
    assert renewal_interval_s(2_700, 0) == MIN_SIDECAR_RENEWAL_S
