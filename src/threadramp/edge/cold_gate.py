"""Limits the calls that this gateway sends to cold endpoints."""

from __future__ import annotations

from typing import TYPE_CHECKING

from threadramp.policy.cold_limit import (
    WINDOW_S,
    ColdRate,
    SlidingLimit,
    calls_total,
    gateway_share,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from threadramp.fleet.clock import Clock
    from threadramp.fleet.model import Endpoint, Incarnation
    from threadramp.fleet.peers import Peers
    from threadramp.platform.settings import Bounds

# All gateways have received a change of the member list by then (their watches last as long), and
# they remember a gateway that was removed from it for as long.
SETTLED_S = 10.0


class ColdGate:
    """Decides which cold endpoints may receive a call from this gateway now.

    :param is_listed: returns whether the store is sure to list this gateway at a time
    """

    def __init__(
        self, peers: Peers, bounds: Bounds, clock: Clock, is_listed: Callable[[float], bool]
    ) -> None:
        self.is_listed = is_listed
        self.peers = peers
        self.bounds = bounds
        self.clock = clock
        self.started_at = clock.now()
        self.listed_since: float | None = None
        self.limits: dict[Incarnation, SlidingLimit] = {}
        peers.fleet_view.members.listeners.append(self._members_changed)

    def blocked(self, endpoints: Iterable[Endpoint]) -> set[Incarnation]:
        """Return the cold endpoints that must not receive another call now."""
        cold_until = self.peers.fleet_view.snapshot.cold_until
        if not cold_until:
            return set()
        now = self.clock.now()
        return {
            one.incarnation
            for one in endpoints
            if self._is_limited(one, now)
            and not self._limit_of(one).has_room(self._share(one, now), now)
        }

    def take(self, endpoint: Endpoint) -> bool:
        """Record a call that is about to be sent; returns false if it must not be sent."""
        now = self.clock.now()
        if not self._is_limited(endpoint, now):
            return True
        return self._limit_of(endpoint).take(self._share(endpoint, now), now)

    def retain(self, incarnations: set[Incarnation]) -> None:
        """Drop the records of all other incarnations."""
        for gone in self.limits.keys() - incarnations:
            self.limits.pop(gone, None)

    def _is_limited(self, endpoint: Endpoint, now: float) -> bool:
        snapshot = self.peers.fleet_view.snapshot
        is_cold = now < snapshot.cold_until.get(endpoint.instance, now)
        return is_cold and snapshot.pool(endpoint.pool).cold_per_s > 0

    def _limit_of(self, endpoint: Endpoint) -> SlidingLimit:
        blocked_until = self.started_at + WINDOW_S
        return self.limits.setdefault(endpoint.incarnation, SlidingLimit(blocked_until))

    def _share(self, endpoint: Endpoint, now: float) -> int:
        """Return this gateway's calls a second, 0 if others may not know that it is listed."""
        if self.listed_since is None or now - self.listed_since < SETTLED_S:
            return 0
        if not self.is_listed(now):
            return 0
        pool = self.peers.fleet_view.snapshot.pool(endpoint.pool)
        rate = ColdRate(pool.cold_per_s, self.bounds.cold_overage, self.bounds.cold_slack)
        total = calls_total(rate.total, bool(pool.models), True)
        own = self.peers.member.name
        names = {own, *(one.name for one in self.peers.recent_gateways())}
        return gateway_share(endpoint.instance, own, names, total)

    def _members_changed(self) -> None:
        is_listed = self.peers.member.name in self.peers.fleet_view.snapshot.members
        if not is_listed:
            self.listed_since = None
        elif self.listed_since is None:
            self.listed_since = self.clock.now()


__all__ = ["ColdGate"]
