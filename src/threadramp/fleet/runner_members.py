"""Which processes a lot's gateway asks to run samples at which engine."""

from __future__ import annotations

from typing import TYPE_CHECKING

from msgspec.structs import replace

from threadramp.fleet.facts import serves_any
from threadramp.fleet.fleet_view import HOST_ROLE
from threadramp.policy.engine_host import gateway_for_engine
from threadramp.report.log import log_state

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable, Set

    from threadramp.fleet.clock import Clock
    from threadramp.fleet.fleet_view import FleetSnapshot, Member
    from threadramp.fleet.model import Endpoint
    from threadramp.fleet.peers import Peers

# Grace period for an engine that was never seen with a sidecar: when all processes start at once,
# the sidecars register within a second.
LISTING_GRACE_S = 1.0


class RunnerMembers:
    """Decides for each engine which process runs samples there, and logs each change."""

    def __init__(self, peers: Peers, clock: Clock) -> None:
        self.peers = peers
        self.clock = clock
        self.without_sidecar_since: dict[str, float] = {}
        self.by_engine: dict[str, str] = {}

    def members(
        self, models: Set[str], pools: Set[str], unresponsive: Collection[str]
    ) -> list[Member]:
        """Return the processes to ask for samples of these models.

        Unresponsive sidecars are included, so that their return is noticed.

        :param pools: pools that the samples may be sent to
        :param unresponsive: names of unresponsive sidecars and hosts
        """
        snapshot = self.peers.fleet_view.snapshot
        sidecars = self.peers.sidecars_for(models, pools)
        found = {one.endpoint: one for one in sidecars if one.name not in unresponsive}
        hosts = self._hosts(
            snapshot, models, pools, found, {one.endpoint for one in sidecars}, unresponsive
        )
        self._log_changes(found | hosts)
        return [*sidecars, *hosts.values()]

    def _hosts(
        self,
        snapshot: FleetSnapshot,
        models: Set[str],
        pools: Set[str],
        covered: Collection[str],
        listed: Collection[str],
        unresponsive: Collection[str],
    ) -> dict[str, Member]:
        """Return the gateways that host engines without a sidecar, by the engine's address."""
        now = self.clock.now()
        without_sidecar = [one for one in engines(snapshot) if one.address not in covered]
        self.without_sidecar_since = {
            one.address: self.without_sidecar_since.get(one.address, now) for one in without_sidecar
        }
        gateways = self.peers.live_gateways()
        unresponsive_hosts = {name.partition("@")[0] for name in unresponsive if "@" in name}
        hosts = {}
        for engine in without_sidecar:
            awaits_sidecar = engine.address not in listed
            if (
                awaits_sidecar
                and now - self.without_sidecar_since[engine.address] < LISTING_GRACE_S
            ):
                continue
            host = gateway_for_engine(
                engine.address, engine.data_centre, gateways, unresponsive_hosts
            )
            if host is None:
                log_state("engine_without_host", engine=engine.address)
                continue
            hosted = hosted_member(host, engine.address)
            if engine.pool in pools and serves_any(hosted, models, snapshot):
                hosts[engine.address] = hosted
        return hosts

    def _log_changes(self, by_engine: dict[str, Member]) -> None:
        """Log engines whose samples are run by another process than before."""
        names = {address: one.name for address, one in by_engine.items()}
        for address, name in names.items():
            before = self.by_engine.get(address, "")
            if name != before and ("@" in name or "@" in before):
                log_state("engine_taken_over", engine=address, by=name, before=before)
        self.by_engine = {**self.by_engine, **names}


def engines(snapshot: FleetSnapshot) -> Iterable[Endpoint]:
    """Return the endpoints that run samples and accept new work."""
    return [
        one
        for one in snapshot.endpoints.values()
        if not one.leaving and snapshot.pool(one.pool).models
    ]


def hosted_member(gateway: Member, engine: str) -> Member:
    """Return a gateway as the host of an engine that has no sidecar."""
    return replace(gateway, name=f"{gateway.name}@{engine}", role=HOST_ROLE, endpoint=engine)


__all__ = ["RunnerMembers", "engines", "hosted_member"]
