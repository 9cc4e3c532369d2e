"""Keeps a mirror in step with the store: list, then watch, then list again when history is gone.

Where others watch for this gateway, it does neither, until they have no way or are silent.
"""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING

from threadramp.fleet.mirror import LAPSE_HOLD_S
from threadramp.platform.store_model import HistoryGone, StoreError
from threadramp.report.guard import start_loop
from threadramp.report.log import log_state

if TYPE_CHECKING:
    from collections.abc import Callable

    from threadramp.fleet.clock import Clock
    from threadramp.fleet.mirror import Mirror
    from threadramp.fleet.store_health import StoreHealth
    from threadramp.platform.store import StoreClient
    from threadramp.platform.store_model import Changes

WATCH_WAIT_S = 10.0  # each answer is a priced call; a lost store is noticed by lease renewals
RETRY_PAUSE_S = 0.4
AWAY_S = 1.0  # longer than between two renewals; entries lapse after 2.2 s without one at the least
FOLLOW_LOOK_S = 0.1  # how often a gateway that follows others looks whether it still may
GATHER_S = 0.4  # changes of this time come with one answer, where a moment does not matter


class Watcher:
    """One thread that watches one prefix.

    :param gathers: whether changes may wait a little, so that several come with one priced answer
    :param follows: whether others watch for this gateway now
    :param spread: tells the gateways that follow this one what changed after a revision
    """

    def __init__(
        self,
        mirror: Mirror,
        store: StoreClient,
        health: StoreHealth,
        clock: Clock,
        gathers: bool,
        follows: Callable[[], bool] = lambda: False,
        spread: Callable[[str, int, Changes], None] = lambda prefix, after, changes: None,
    ) -> None:
        self.mirror = mirror
        self.gathers = gathers
        self.follows = follows
        self.spread = spread
        self.store = store
        self.health = health
        self.clock = clock
        self.pool = store.watch_pool()
        self.stale = True
        self.asked_at = clock.now()
        self.stopped = threading.Event()
        health.on_return.append(self._returned)

    def start(self) -> None:
        """Start watching."""
        start_loop(self._run, self.stopped)

    def one_turn(self) -> None:
        """Follow others, or take one answer of the store."""
        if self.follows():
            self._follow()
            return
        try:
            self._turn()
        except StoreError as error:
            self._cut(error)

    def _run(self) -> None:
        while not self.stopped.is_set():
            self.one_turn()

    def _cut(self, error: StoreError) -> None:
        """Take note of a watch that was cut; that alone says nothing of the entries."""
        self.stale = True
        if self._was_away():
            self._doubt_removals(self.clock.now())
        self._log_cut(error)
        self.stopped.wait(RETRY_PAUSE_S)

    def _log_cut(self, error: StoreError) -> None:
        """Log for how long it had waited, beside when the store last answered other calls."""
        confirmed_ago_s = self.health.confirmed_ago_s()
        log_state(
            "watch_cut",
            prefix=self.mirror.prefix,
            error=str(error),
            waited_s=round(self.clock.now() - self.asked_at, 3),
            confirmed_ago_s=None if confirmed_ago_s is None else round(confirmed_ago_s, 3),
        )

    def _was_away(self) -> bool:
        """Return whether the store may have been away for long enough that entries lapsed."""
        ago = self.health.confirmed_ago_s()
        return ago is None or ago > AWAY_S

    def _follow(self) -> None:
        """Leave the mirror to what others tell; what this watch knew is old by its next turn."""
        self.stale = True
        if self.health.is_away:
            self._doubt_removals(self.clock.now())
        self.stopped.wait(FOLLOW_LOOK_S)

    def _turn(self) -> None:
        if self.stale:
            listing = self.store.list(self.mirror.prefix)
            self.stale = False
            self.mirror.replace(listing, self.clock.now())
        self.asked_at = self.clock.now()
        changes = self.store.watch(
            self.mirror.prefix, self.mirror.revision, WATCH_WAIT_S, self.pool
        )
        if isinstance(changes, HistoryGone):
            self.stale = True
            log_state("watch_history_gone", prefix=self.mirror.prefix)
            return
        before = self.mirror.revision
        self.mirror.apply(changes, self.clock.now())
        self.spread(self.mirror.prefix, before, changes)
        if self.gathers and changes.items:
            self.stopped.wait(GATHER_S)

    def _doubt_removals(self, now: float) -> None:
        """Doubt removals for a while from now, since the store was away."""
        self.mirror.disturbed(now + LAPSE_HOLD_S)

    def _returned(self, now: float) -> None:
        """Give up a watch that may hang on a dead connection since before the outage."""
        self.stale = True
        self._doubt_removals(now)
        old, self.pool = self.pool, self.store.watch_pool()
        old.close()


__all__ = ["Watcher"]
