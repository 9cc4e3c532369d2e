"""Requests loads if no engine can run the waiting samples; ``policy/urgent_loads.py`` decides."""

from __future__ import annotations

from typing import TYPE_CHECKING

from threadramp.policy.urgent_loads import engines_for_urgent_load
from threadramp.report.log import log_state
from threadramp.wire.fleet import HurryLoad

if TYPE_CHECKING:
    from collections.abc import Sequence

    from threadramp.fleet.clock import Clock
    from threadramp.fleet.peers import Peers
    from threadramp.lots.owned import OwnedLots
    from threadramp.lots.sample_routes import SampleRoutes
    from threadramp.policy.sample_placement import RunnerView

REPEAT_INTERVAL_S = 0.4  # an engine that was asked reports loading within 0.2 s
ASK_TIMEOUT_S = 0.4


class UrgentLoads:
    """Asks sidecars to load the newest weights before it is their turn."""

    def __init__(self, owned: OwnedLots, peers: Peers, clock: Clock, routes: SampleRoutes) -> None:
        self.owned = owned
        self.peers = peers
        self.clock = clock
        self.routes = routes
        self.requested_at = 0.0

    def run_once(self, views: Sequence[RunnerView]) -> None:
        """Ask the selected sidecars, at most once per ``REPEAT_INTERVAL_S``."""
        now = self.clock.now()
        if now - self.requested_at <= REPEAT_INTERVAL_S:
            return
        asks = [
            (view.member, HurryLoad(*self.peers.sender_fields, model, view.member.endpoint))
            for model, min_version, pools in self._waiting(now)
            for view in engines_for_urgent_load(
                [view for view in views if view.pool in pools], model, min_version, now
            )
        ]
        if not asks:
            return
        self.requested_at = now
        log_state("urgent_loads_requested", sidecars={one.name: ask.model for one, ask in asks})
        self.peers.ask_members(asks, ASK_TIMEOUT_S)

    def _waiting(self, now: float) -> list[tuple[str, int, frozenset[str]]]:
        """Return model, oldest allowed version and pools for each lot with waiting samples."""
        with self.owned.lock:
            lots = [lot.tracker.lot for lot in self.owned.open() if lot.tracker.waiting(now)]
        return [(lot.model, lot.min_version, self.routes.of(lot).pools) for lot in lots]


__all__ = ["UrgentLoads"]
