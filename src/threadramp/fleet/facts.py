"""What a gateway tells a sidecar of the sidecar's own endpoint, from what it believes."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from threadramp.policy.model_share import load_turn, models_for
from threadramp.wire.runner import Facts

if TYPE_CHECKING:
    from threadramp.fleet.model import Endpoint
    from threadramp.fleet.picture import Belief, Member


def facts_for(sidecar: Member, belief: Belief) -> Facts:
    """Return what a sidecar needs to know."""
    facts = Facts(
        endpoints_revision=belief.endpoints_revision,
        targets_revision=belief.targets_revision,
        listed=sidecar.name in belief.members,
        sidecars=len(belief.sidecars()),
    )
    endpoint = belief.at_address(sidecar.endpoint)
    if endpoint is None or belief.configuration is None:
        return facts
    return _with_endpoint(facts, endpoint, belief)


def _with_endpoint(facts: Facts, endpoint: Endpoint, belief: Belief) -> Facts:
    """Add what is known of the sidecar's endpoint and its place in its pool."""
    pool = belief.pool(endpoint.pool)
    addresses = sorted(one.address for one in belief.in_pool(endpoint.pool))
    rank = addresses.index(endpoint.address)
    models = models_for(rank, len(addresses), pool.models)
    return msgspec.structs.replace(
        facts,
        instance=endpoint.instance,
        leaving=endpoint.leaving,
        load_turn=load_turn(rank, len(addresses)),
        slots=endpoint.slots or pool.slots,
        memory_tokens=pool.memory_tokens,
        targets=tuple(one for one in belief.targets if one.model in models),
    )


__all__ = ["facts_for"]
