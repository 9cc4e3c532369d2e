"""Whether this gateway watches the store itself or hears of changes from those that do.

In each data centre one gateway watches, and tells the others there at once what changed. A gateway
follows it only while it knows that it had the store's own answer lately; where it has not, the
watcher of another data centre stands in, and is asked for what it has seen; else the gateway
watches itself. So what it believes is never older than a watch of its own plus ``FRESH_S``.

A gateway that the store turns away follows any gateway that has a way: calls that are refused, and
lists through peers, are priced and bring nothing that beats do not.
"""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING

from threadramp.policy.watcher_assignment import watchers_in, watchers_to_follow
from threadramp.report.log import log_state

if TYPE_CHECKING:
    from threadramp.fleet.clock import Clock
    from threadramp.fleet.picture import Member, Picture
    from threadramp.fleet.store_health import StoreHealth

FRESH_S = 1.2  # a renewal each 0.4 s, a question each 0.5 s, and a delay; bounds are 2 s and more
CALM_S = 3.0  # for so long a watcher must have been fresh before it is followed again


class Following:
    """Decides for one gateway."""

    def __init__(self, member: Member, picture: Picture, health: StoreHealth, clock: Clock) -> None:
        self.member = member
        self.picture = picture
        self.health = health
        self.clock = clock
        self.confirmed: dict[str, float] = {}
        self.fresh_since: float | None = None
        self.following = False
        self.lock = threading.Lock()

    def watchers(self) -> list[Member]:
        """Return the gateways that watch for this data centre."""
        return watchers_in(self.member.data_centre, self.picture.belief.gateways())

    def leaders(self) -> list[Member]:
        """Return the gateways that this one may follow, its own data centre's watcher first."""
        return watchers_to_follow(self.member.data_centre, self.picture.belief.gateways())

    def hears_at_once(self) -> bool:
        """Return whether a watcher that tells this gateway what changes had a way lately."""
        return self._is_fresh(self.watchers(), self.clock.now())

    def peer_is_served(self) -> bool:
        """Return whether the store answered another gateway lately."""
        return self._is_fresh(self._others(), self.clock.now())

    def is_watcher(self) -> bool:
        """Return whether this gateway watches for its data centre, or must for itself."""
        watchers = self.watchers()
        return not watchers or any(one.name == self.member.name for one in watchers)

    def followers(self) -> list[Member]:
        """Return the gateways that hear from this one, none if it does not watch for others."""
        watchers = {one.name for one in self.watchers()}
        if self.member.name not in watchers:
            return []
        return [
            one
            for one in self.picture.belief.gateways()
            if one.data_centre == self.member.data_centre and one.name not in watchers
        ]

    def note(self, name: str, confirmed_ago_s: float | None) -> None:
        """Note how long ago a gateway had the store's own answer; none if it has no way."""
        if confirmed_ago_s is None:
            return
        at = self.clock.now() - confirmed_ago_s
        self.confirmed[name] = max(at, self.confirmed.get(name, at))

    def follows(self) -> bool:
        """Return whether this gateway needs no watch of its own now."""
        now = self.clock.now()
        away = self.health.is_away
        fresh = self._is_fresh(self._leaders(away), now)
        with self.lock:
            if not fresh:
                self.fresh_since = None
            elif self.fresh_since is None:
                self.fresh_since = now
            follows = fresh and (away or now - self.fresh_since >= CALM_S)
            changed, self.following = follows != self.following, follows
        if changed:
            names = [one.name for one in self.leaders()]
            log_state("follows" if follows else "watches_itself", watchers=names, away=away)
        return follows

    def _leaders(self, away: bool) -> list[Member]:
        """Return the gateways that this one may follow now."""
        if away:
            return self._others()
        return [] if self.is_watcher() else self.leaders()

    def _others(self) -> list[Member]:
        """Return the other gateways."""
        return [one for one in self.picture.belief.gateways() if one.name != self.member.name]

    def _is_fresh(self, leaders: list[Member], now: float) -> bool:
        """Return whether the store answered one of these lately."""
        ages = [now - self.confirmed[one.name] for one in leaders if one.name in self.confirmed]
        return any(age < FRESH_S for age in ages)


__all__ = ["FRESH_S", "Following"]
