"""How many idle connections a gateway may keep to one endpoint."""

from __future__ import annotations

MOST = 8  # more than one gateway had in use at once to an endpoint in the days that were played
KEPT_SHARE = 0.5  # of what an endpoint accepts; the rest is for connections in use and for bursts


def max_idle_connections(max_connections: int, gateways: int) -> int:
    """Return how many idle connections to one endpoint this gateway may keep, at least one.

    :param max_connections: that the endpoint accepts from all callers together
    :param gateways: that share them, this one among them
    """
    fair = int(max_connections * KEPT_SHARE) // max(1, gateways)
    return max(1, min(MOST, fair))


__all__ = ["max_idle_connections"]
