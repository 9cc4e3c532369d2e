"""Limits the idle connections that a gateway keeps to one endpoint."""

from __future__ import annotations

MAX_IDLE = 8  # above the most that one gateway used at once to an endpoint in simulated days
IDLE_SHARE = 0.5  # of what an endpoint accepts; the rest is for connections in use and for bursts


def max_idle_connections(max_connections: int, gateways: int) -> int:
    """Return how many idle connections to one endpoint this gateway may keep, at least one.

    :param max_connections: number that the endpoint accepts from all callers together
    :param gateways: number of gateways that share them, including this one
    """
    fair = int(max_connections * IDLE_SHARE) // max(1, gateways)
    return max(1, min(MAX_IDLE, fair))


__all__ = ["max_idle_connections"]
