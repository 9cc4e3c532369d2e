"""Decides whether an engine that broke the connection of a sample has crashed.

Behind a reverse proxy the engine's port goes on accepting connections. The runner is on the same
box as its engine, so no flapping link can break a connection between them. The next incarnation is
identified by the start time in the engine's report; a response of the same incarnation retracts a
crash that was attributed to the sample.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from threadramp.edge.connection_breaks import timed_probe
from threadramp.edge.endpoint_probe import EndpointState, probe_endpoint
from threadramp.policy.proxied_crashes import ConnectionBreak, may_have_crashed

if TYPE_CHECKING:
    from collections.abc import Callable


def has_crashed(
    address: str, lived_s: float, probe: Callable[[str], EndpointState] = probe_endpoint
) -> bool:
    """Return whether an engine has crashed, as far as a probe shows now.

    :param lived_s: seconds from sending a sample until its connection broke
    :param probe: returns what a new connection to the engine shows
    """
    found = timed_probe(address, probe)
    if found.state is EndpointState.BREAKS:
        return may_have_crashed(ConnectionBreak(lived_s, found.took_s))
    return found.state is EndpointState.ENDED


__all__ = ["has_crashed"]
