"""Decides whether this gateway watches the store itself or follows gateways that do.

In each data centre one gateway, the watcher, watches the store and pushes changes to the others. A
gateway follows it only while the store has recently answered the watcher. Otherwise it follows the
watcher of another data centre and polls it for changes; failing that, it watches the store itself.
So its view is never older than with a watch of its own plus ``FRESHNESS_S``.

A gateway that the store refuses follows any gateway that can reach the store: refused calls and
listings through peers are billed and bring nothing that heartbeats do not.
"""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING

from threadramp.policy.watcher_assignment import watchers_in, watchers_to_follow
from threadramp.report.log import log_state

if TYPE_CHECKING:
    from threadramp.fleet.clock import Clock
    from threadramp.fleet.fleet_view import FleetView, Member
    from threadramp.fleet.store_health import StoreHealth

FRESHNESS_S = 1.2  # a renewal each 0.4 s, a heartbeat each 0.5 s, and a delay; bounds are >= 2 s
STABLE_S = 3.0  # time for which a watcher must have been fresh before it is followed again


class WatchDelegation:
    """Decides for one gateway whom it follows."""

    def __init__(
        self, member: Member, fleet_view: FleetView, health: StoreHealth, clock: Clock
    ) -> None:
        self.member = member
        self.fleet_view = fleet_view
        self.health = health
        self.clock = clock
        self.confirmed_at: dict[str, float] = {}
        self.fresh_since: float | None = None
        self.following = False
        self.lock = threading.Lock()

    def watchers(self) -> list[Member]:
        """Return the gateways that watch the store for this data centre."""
        return watchers_in(self.member.data_centre, self.fleet_view.snapshot.gateways())

    def leaders(self) -> list[Member]:
        """Return the gateways that this one may follow, its own data centre's watcher first."""
        return watchers_to_follow(self.member.data_centre, self.fleet_view.snapshot.gateways())

    def receives_pushed_changes(self) -> bool:
        """Return whether a watcher that pushes changes here reached the store recently."""
        return self._is_fresh(self.watchers(), self.clock.now())

    def peer_reaches_store(self) -> bool:
        """Return whether the store answered another gateway recently."""
        return self._is_fresh(self._others(), self.clock.now())

    def is_watcher(self) -> bool:
        """Return whether this gateway watches for its data centre, or has no watcher to follow."""
        watchers = self.watchers()
        return not watchers or any(one.name == self.member.name for one in watchers)

    def followers(self) -> list[Member]:
        """Return the gateways that follow this one, none if it is no watcher."""
        watchers = {one.name for one in self.watchers()}
        if self.member.name not in watchers:
            return []
        return [
            one
            for one in self.fleet_view.snapshot.gateways()
            if one.data_centre == self.member.data_centre and one.name not in watchers
        ]

    def record_confirmation(self, name: str, confirmed_ago_s: float | None) -> None:
        """Record how long ago the store answered a gateway; none if it cannot reach the store."""
        if confirmed_ago_s is None:
            return
        at = self.clock.now() - confirmed_ago_s
        self.confirmed_at[name] = max(at, self.confirmed_at.get(name, at))

    def follows(self) -> bool:
        """Return whether this gateway needs no watch of its own now; logs each change."""
        now = self.clock.now()
        unreachable = self.health.is_unreachable
        fresh = self._is_fresh(self._current_leaders(unreachable), now)
        with self.lock:
            if not fresh:
                self.fresh_since = None
            elif self.fresh_since is None:
                self.fresh_since = now
            follows = fresh and (unreachable or now - self.fresh_since >= STABLE_S)
            changed, self.following = follows != self.following, follows
        if changed:
            names = [one.name for one in self.leaders()]
            log_state("follows" if follows else "watches_itself", watchers=names, away=unreachable)
        return follows

    def _current_leaders(self, unreachable: bool) -> list[Member]:
        """Return the gateways that this one may follow now."""
        if unreachable:
            return self._others()
        return [] if self.is_watcher() else self.leaders()

    def _others(self) -> list[Member]:
        """Return the other gateways."""
        return [one for one in self.fleet_view.snapshot.gateways() if one.name != self.member.name]

    def _is_fresh(self, leaders: list[Member], now: float) -> bool:
        """Return whether the store answered one of these recently."""
        ages = [
            now - self.confirmed_at[one.name] for one in leaders if one.name in self.confirmed_at
        ]
        return any(age < FRESHNESS_S for age in ages)


__all__ = ["FRESHNESS_S", "WatchDelegation"]
