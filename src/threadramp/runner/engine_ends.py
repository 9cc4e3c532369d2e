"""Tells whether an engine ended that broke the connection of a sample.

Behind a front its port goes on taking connections. The runner stands beside its engine, so no link
lies between that could flap, and it names the next start by the birth that the engine reports: an
answer of the same start takes back what was held.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from threadramp.edge.connection_breaks import timed_probe
from threadramp.edge.endpoint_probe import EndpointState, probe_endpoint
from threadramp.policy.hidden_ends import Break, may_have_ended

if TYPE_CHECKING:
    from collections.abc import Callable


def has_ended(
    address: str, lived_s: float, look: Callable[[str], EndpointState] = probe_endpoint
) -> bool:
    """Return whether an engine has ended, as far as can be seen now.

    :param lived_s: seconds from the sending of a sample until its connection broke
    """
    found = timed_probe(address, look)
    if found.state is EndpointState.BREAKS:
        return may_have_ended(Break(lived_s, found.took_s))
    return found.state is EndpointState.ENDED


__all__ = ["has_ended"]
