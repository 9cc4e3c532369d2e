"""Whom a lot's gateway asks to run samples at which engine."""

from __future__ import annotations

from typing import TYPE_CHECKING

from msgspec.structs import replace

from threadramp.fleet.facts import serves_any
from threadramp.fleet.picture import HOST_ROLE
from threadramp.policy.engine_host import gateway_for_engine
from threadramp.report.log import log_state

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable, Set

    from threadramp.fleet.clock import Clock
    from threadramp.fleet.model import Endpoint
    from threadramp.fleet.peers import Peers
    from threadramp.fleet.picture import Belief, Member

# An engine that was never seen with a sidecar is left alone for so long: after the start of all
# processes the sidecars list themselves within a second.
NOT_LISTED_S = 1.0


class RunnerMembers:
    """Says for each engine which process runs samples there, and logs each change."""

    def __init__(self, peers: Peers, clock: Clock) -> None:
        self.peers = peers
        self.clock = clock
        self.bare_since: dict[str, float] = {}
        self.by_engine: dict[str, str] = {}

    def members(self, models: Set[str], silent: Collection[str]) -> list[Member]:
        """Return the processes to ask for samples of these models.

        Silent sidecars stay among them, so that one that is back is noticed.

        :param silent: names of those that do not answer
        """
        belief = self.peers.picture.belief
        sidecars = self.peers.sidecars_for(models)
        found = {one.endpoint: one for one in sidecars if one.name not in silent}
        hosts = self._hosts(belief, models, found, {one.endpoint for one in sidecars}, silent)
        self._log(found | hosts)
        return [*sidecars, *hosts.values()]

    def _hosts(
        self,
        belief: Belief,
        models: Set[str],
        covered: Collection[str],
        listed: Collection[str],
        silent: Collection[str],
    ) -> dict[str, Member]:
        """Return what stands in for a sidecar, by the address of its engine."""
        now = self.clock.now()
        bare = [one for one in engines(belief) if one.address not in covered]
        self.bare_since = {one.address: self.bare_since.get(one.address, now) for one in bare}
        gateways = self.peers.live_gateways()
        not_answering = {name.partition("@")[0] for name in silent if "@" in name}
        hosts = {}
        for engine in bare:
            waits = engine.address not in listed
            if waits and now - self.bare_since[engine.address] < NOT_LISTED_S:
                continue
            host = gateway_for_engine(engine.address, engine.data_centre, gateways, not_answering)
            if host is None:
                log_state("engine_has_nobody", engine=engine.address)
                continue
            hosted = hosted_member(host, engine.address)
            if serves_any(hosted, models, belief):
                hosts[engine.address] = hosted
        return hosts

    def _log(self, by_engine: dict[str, Member]) -> None:
        """Log which engines are run by another process than before."""
        names = {address: one.name for address, one in by_engine.items()}
        for address, name in names.items():
            before = self.by_engine.get(address, "")
            if name != before and ("@" in name or "@" in before):
                log_state("engine_taken_over", engine=address, by=name, before=before)
        self.by_engine = {**self.by_engine, **names}


def engines(belief: Belief) -> Iterable[Endpoint]:
    """Return the endpoints that run samples and want new work."""
    return [
        one for one in belief.endpoints.values() if not one.leaving and belief.pool(one.pool).models
    ]


def hosted_member(gateway: Member, engine: str) -> Member:
    """Return a gateway as the runner of an engine that has no sidecar."""
    return replace(gateway, name=f"{gateway.name}@{engine}", role=HOST_ROLE, endpoint=engine)


__all__ = ["RunnerMembers", "engines", "hosted_member"]
