"""What a gateway sends a sidecar about the sidecar's endpoint, from its current snapshot."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from threadramp.fleet.fleet_view import HOST_ROLE
from threadramp.policy.load_schedule import holds_all_models, load_schedule
from threadramp.wire.runner import ColdFacts, Facts

if TYPE_CHECKING:
    from collections.abc import Set

    from threadramp.fleet.fleet_view import FleetSnapshot, Member
    from threadramp.fleet.model import Endpoint


def facts_for(sidecar: Member, snapshot: FleetSnapshot, now: float) -> Facts:
    """Return the facts for a sidecar."""
    facts = Facts(
        endpoints_revision=snapshot.endpoints_revision,
        targets_revision=snapshot.targets_revision,
        listed=sidecar.role == HOST_ROLE or sidecar.name in snapshot.members,
        sidecars=len(snapshot.by_role.get("sidecar", ())),
        configuration_revision=snapshot.configuration_revision,
    )
    endpoint = snapshot.at_address(sidecar.endpoint)
    if endpoint is None or snapshot.configuration is None:
        return facts
    return _with_endpoint(facts, endpoint, snapshot, now)


def serves_any(sidecar: Member, models: Set[str], snapshot: FleetSnapshot) -> bool:
    """Return whether gateways use a sidecar's engine for samples of one of these models.

    In a small pool they use every engine, in a large one only those that keep such a model up to
    date, so that a lot's gateway need not contact all engines.
    """
    endpoint = snapshot.at_address(sidecar.endpoint)
    if endpoint is None:
        return True  # it may be registered in a moment; until then it accepts nothing
    position = snapshot.positions[endpoint.address]
    if holds_all_models(position.engines):
        return True
    share = load_schedule(position.rank, position.engines, snapshot.pool(endpoint.pool).models)
    return not models.isdisjoint(share.shifts)


def is_in_pools(sidecar: Member, pools: Set[str], snapshot: FleetSnapshot) -> bool:
    """Return whether a sidecar's engine belongs to one of these pools, or is not listed yet."""
    pool = snapshot.pool_at(sidecar.endpoint)
    return not pool or pool in pools


def _with_endpoint(facts: Facts, endpoint: Endpoint, snapshot: FleetSnapshot, now: float) -> Facts:
    """Add the sidecar's endpoint and its position in its pool."""
    pool = snapshot.pool(endpoint.pool)
    position = snapshot.positions[endpoint.address]
    share = load_schedule(position.rank, position.engines, pool.models)
    return msgspec.structs.replace(
        facts,
        instance=endpoint.instance,
        pool=endpoint.pool,
        born=endpoint.born,
        leaving=endpoint.leaving,
        share=share,
        slots=endpoint.slots or pool.slots,
        memory_tokens=pool.memory_tokens,
        targets=tuple(one for one in snapshot.targets if one.model in share.shifts),
        cold=_cold_facts(endpoint, snapshot, now),
    )


def _cold_facts(endpoint: Endpoint, snapshot: FleetSnapshot, now: float) -> ColdFacts | None:
    per_s = snapshot.pool(endpoint.pool).cold_per_s
    if not per_s:
        return None
    left_s = max(0.0, snapshot.cold_until.get(endpoint.instance, now) - now)
    return ColdFacts(per_s, left_s, snapshot.configuration.serves_calls(endpoint.pool))


__all__ = ["facts_for", "is_in_pools", "serves_any"]
