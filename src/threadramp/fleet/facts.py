"""What a gateway tells a sidecar of the sidecar's own endpoint, from what it believes."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from threadramp.fleet.picture import HOST_ROLE
from threadramp.policy.load_schedule import holds_all_models, load_schedule
from threadramp.wire.runner import Facts

if TYPE_CHECKING:
    from collections.abc import Set

    from threadramp.fleet.model import Endpoint
    from threadramp.fleet.picture import Belief, Member


def facts_for(sidecar: Member, belief: Belief) -> Facts:
    """Return what a sidecar needs to know."""
    facts = Facts(
        endpoints_revision=belief.endpoints_revision,
        targets_revision=belief.targets_revision,
        listed=sidecar.role == HOST_ROLE or sidecar.name in belief.members,
        sidecars=len(belief.by_role.get("sidecar", ())),
    )
    endpoint = belief.at_address(sidecar.endpoint)
    if endpoint is None or belief.configuration is None:
        return facts
    return _with_endpoint(facts, endpoint, belief)


def serves_any(sidecar: Member, models: Set[str], belief: Belief) -> bool:
    """Return whether a sidecar's engine is one that a gateway asks for samples of these models.

    In a small pool every engine is asked, in a large one those that keep such a model up to date,
    so that a lot's gateway need not know all engines.
    """
    endpoint = belief.at_address(sidecar.endpoint)
    if endpoint is None:
        return True  # it may be listed in a moment; until then it takes nothing
    place = belief.places[endpoint.address]
    if holds_all_models(place.engines):
        return True
    share = load_schedule(place.rank, place.engines, belief.pool(endpoint.pool).models)
    return not models.isdisjoint(share.shifts)


def _with_endpoint(facts: Facts, endpoint: Endpoint, belief: Belief) -> Facts:
    """Add what is known of the sidecar's endpoint and its place in its pool."""
    pool = belief.pool(endpoint.pool)
    place = belief.places[endpoint.address]
    share = load_schedule(place.rank, place.engines, pool.models)
    return msgspec.structs.replace(
        facts,
        instance=endpoint.instance,
        born=endpoint.born,
        leaving=endpoint.leaving,
        share=share,
        slots=endpoint.slots or pool.slots,
        memory_tokens=pool.memory_tokens,
        targets=tuple(one for one in belief.targets if one.model in share.shifts),
    )


__all__ = ["facts_for", "serves_any"]
