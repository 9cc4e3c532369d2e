"""What holds in the fleet, as one gateway sees it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from threadramp.wire.status import EndpointStatus, FleetStatus

if TYPE_CHECKING:
    from threadramp.core.membership import Member
    from threadramp.gateway.state import GatewayState


def fleet_status(state: GatewayState) -> FleetStatus:
    """Return what holds; never what was merely declared."""
    with state.lock:
        members = sorted(state.membership.members.values(), key=lambda member: member.name)
    endpoints = tuple(_endpoint(member) for member in members)
    in_force: dict[str, int] = {}
    for endpoint in endpoints:
        label = str(endpoint.revision)
        in_force[label] = in_force.get(label, 0) + 1
    return FleetStatus(
        state.settings.name,
        state.chain.revision,
        state.configuration.regressed,
        in_force,
        endpoints,
    )


def _endpoint(member: Member) -> EndpointStatus:
    report = member.report
    if report is None:
        return EndpointStatus(
            member.name,
            member.spec.pool,
            member.spec.data_centre,
            "not heard",
            -1,
            {},
            0,
            0,
            0,
            member.spec.slots,
            (),
        )
    state = "in service" if member.is_available else "leaving" if member.is_leaving else "not heard"
    return EndpointStatus(
        member.name,
        member.spec.pool,
        member.spec.data_centre,
        state,
        report.revision,
        report.weights,
        report.running,
        report.queued,
        report.rollouts,
        report.slots,
        report.problems,
    )


__all__ = ["fleet_status"]
