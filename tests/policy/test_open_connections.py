"""Which connections are closed for a new one; in virtual time."""

from __future__ import annotations

import pytest

from threadramp.policy.open_connections import (
    MIN_CONNECTIONS,
    WaitingConnection,
    connections_to_close,
    max_connections,
)
from threadramp.policy.request_buffers import HeldRequest

NOW = 1_000.0


def waiting(age_s: float, bytes_per_s: float = 0.0) -> WaitingConnection:
    return WaitingConnection(NOW - age_s, HeldRequest(rate=bytes_per_s, progress_at=NOW))


def test_what_has_waited_longest_is_closed():
    new, used, old = waiting(0.1), waiting(3.0), waiting(9.0)
    assert connections_to_close([new, old, used], 1, NOW) == [old]
    assert connections_to_close([new, old, used], 2, NOW) == [old, used]


def test_a_request_that_goes_on_arriving_is_kept():
    """One whose bytes drip in counts as waiting since it began."""
    moving, dripping, idle = waiting(60.0, 20_000.0), waiting(60.0, 2.0), waiting(1.0)
    assert connections_to_close([moving, dripping, idle], 2, NOW) == [dripping, idle]


@pytest.mark.parametrize(
    ("max_fds", "memory_mb", "least"), [(4_100, 150, 900), (1_638, 160, 700), (8_192, 552, 3_000)]
)
def test_boxes_of_the_deployments_keep_hundreds_of_connections(max_fds, memory_mb, least):
    assert least <= max_connections(max_fds, memory_mb) <= (max_fds - 200) / 2


def test_a_box_without_free_descriptors_still_serves_some():
    assert max_connections(100, 256) == MIN_CONNECTIONS
