"""The number of idle connections that a gateway may keep."""

from __future__ import annotations

import pytest

from threadramp.policy.idle_connections import max_idle_connections


@pytest.mark.parametrize(
    ("max_connections", "gateways", "kept"),
    [(110, 5, 8), (110, 25, 2), (170, 25, 3), (210, 350, 1), (0, 5, 1), (64, 0, 8)],
)
def test_gateways_share_the_connections_of_an_endpoint(max_connections, gateways, kept):
    assert max_idle_connections(max_connections, gateways) == kept


def test_all_gateways_together_stay_below_the_limit_of_an_endpoint():
    for gateways in range(1, 100):
        assert gateways * max_idle_connections(200, gateways) <= 200
