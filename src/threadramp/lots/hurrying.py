"""Asks for loads where samples wait that no engine can run, by ``policy/urgent_loads.py``."""

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
    from threadramp.policy.sample_placement import RunnerView

AGAIN_S = 0.4  # an engine that was asked shows that it loads within 0.2 s
ASK_TIMEOUT_S = 0.4


class HurriedLoads:
    """Lets sidecars load out of their turn."""

    def __init__(self, owned: OwnedLots, peers: Peers, clock: Clock) -> None:
        self.owned = owned
        self.peers = peers
        self.clock = clock
        self.asked_at = 0.0

    def turn(self, views: Sequence[RunnerView]) -> None:
        """Ask some sidecars, unless that was done just now."""
        now = self.clock.now()
        if now - self.asked_at <= AGAIN_S:
            return
        asks = [
            (view.member, HurryLoad(*self.peers.myself, model, view.member.endpoint))
            for model, min_version in self._waiting(now)
            for view in engines_for_urgent_load(views, model, min_version, now)
        ]
        if not asks:
            return
        self.asked_at = now
        log_state("loads_hurried", sidecars={one.name: ask.model for one, ask in asks})
        self.peers.ask_members(asks, ASK_TIMEOUT_S)

    def _waiting(self, now: float) -> list[tuple[str, int]]:
        """Return model and oldest version allowed of each lot that has samples waiting."""
        with self.owned.lock:
            books = [lot.book for lot in self.owned.open()]
            return [(book.lot.model, book.lot.min_version) for book in books if book.waiting(now)]


__all__ = ["HurriedLoads"]
