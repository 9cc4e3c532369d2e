"""Keeps a mirror in step with the store: list, then watch, then list again when history is gone.

Where others watch for this gateway, it does neither, until they have no way or are silent.

That a watch brings nothing may mean that nothing changed or that its connection passes nothing any
more. So each wait is short enough for the bounds on what it would bring, one that stays out makes
all open connections suspect, and so does another call that stays out while the store answers.
"""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING

from threadramp.fleet.mirror import LAPSE_HOLD_S, difference
from threadramp.platform.store_model import GivenUpError, HistoryGone, StoreError
from threadramp.report.guard import start_loop
from threadramp.report.log import log_state

if TYPE_CHECKING:
    from collections.abc import Callable

    from threadramp.fleet.clock import Clock
    from threadramp.fleet.mirror import Mirror
    from threadramp.fleet.store_health import StoreHealth
    from threadramp.platform.store import StoreClient
    from threadramp.platform.store_model import Changes

WATCH_WAIT_S = 10.0  # each answer is a priced call; for what has no bound, or peers tell as well
# Of the time after which a disturbed box is held to its bounds again: for a watch that stays out
# (0.6), a listing, and the next beat to sidecars (0.5).
TOLD_S = 1.3
WATCH_WAIT_LEAST_S = 0.5  # each wait ends with a priced call
RETRY_PAUSE_S = 0.4
FOLLOW_LOOK_S = 0.1  # how often a gateway that follows others looks whether it still may
BATCH_WINDOW_S = 0.4  # changes of this time come with one answer, where a moment does not matter
# Of the time within which a leaving endpoint must get nothing new; the rest is for the answer, the
# way to those that follow, the sidecars' next question and a busy processor.
GATHER_SHARE = 0.2


class Watcher:
    """One thread that watches one prefix.

    :param batches: whether changes may wait a little, so that several come with one priced answer
    :param batch_window_s: for so long they may wait then
    :param wait_s: after which the store answers though nothing changed
    :param follows: whether others watch for this gateway now
    :param push_changes: tells the gateways that follow this one what changed after a revision
    :param peer_is_served: whether the store answered another gateway lately
    """

    def __init__(
        self,
        mirror: Mirror,
        store: StoreClient,
        health: StoreHealth,
        clock: Clock,
        batches: bool,
        wait_s: float = WATCH_WAIT_S,
        batch_window_s: float = BATCH_WINDOW_S,
        follows: Callable[[], bool] = lambda: False,
        push_changes: Callable[[str, int, Changes], None] = lambda prefix, after, changes: None,
        peer_reaches_store: Callable[[], bool] = lambda: False,
    ) -> None:
        self.mirror = mirror
        self.batches = batches
        self.wait_s = wait_s
        self.batch_window_s = batch_window_s
        self.follows = follows
        self.push_changes = push_changes
        self.peer_reaches_store = peer_reaches_store
        self.store = store
        self.health = health
        self.clock = clock
        self.line = store.watch_line()
        self.stale = True
        self.asked_at: float | None = None
        self.stopped = threading.Event()
        health.on_return.append(self._returned)
        store.on_silence.append(self._give_up)

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
        except GivenUpError as error:
            self._log_cut(error)
        except StoreError as error:
            self._cut(error)

    def _run(self) -> None:
        while not self.stopped.is_set():
            self.one_turn()

    def _cut(self, error: StoreError) -> None:
        """Take note of a watch that was cut; that alone says nothing of the entries."""
        self.stale = True
        if self.health.was_away():
            self._doubt_removals(self.clock.now())
        self._log_cut(error)
        if self._stayed_out():
            self.store.went_silent()
        else:
            self.stopped.wait(RETRY_PAUSE_S)

    def _stayed_out(self) -> bool:
        """Return whether the last watch waited for longer than the store may take to answer."""
        waited_s = self._waited_s()
        return waited_s is not None and waited_s > self.wait_s

    def _waited_s(self) -> float | None:
        """Return for how long the watch waited, none if a listing failed."""
        return None if self.asked_at is None else self.clock.now() - self.asked_at

    def _log_cut(self, error: StoreError) -> None:
        """Log for how long it had waited, beside when the store last answered other calls."""
        log_state(
            "watch_cut",
            prefix=self.mirror.prefix,
            error=str(error),
            waited_s=_rounded(self._waited_s()),
            confirmed_ago_s=_rounded(self.health.confirmed_ago_s()),
        )

    def _follow(self) -> None:
        """Leave the mirror to what others tell; what this watch knew is old by its next turn."""
        self.stale = True
        if self.health.is_away:
            self._doubt_removals(self.clock.now())
        self.stopped.wait(FOLLOW_LOOK_S)

    def _turn(self) -> None:
        if self.stale:
            self._list()
        self.asked_at = self.clock.now()
        changes = self.store.watch(self.mirror.prefix, self.mirror.revision, self.wait_s, self.line)
        if isinstance(changes, HistoryGone):
            self.stale = True
            log_state("watch_history_gone", prefix=self.mirror.prefix)
            return
        before = self.mirror.revision
        now = self.clock.now()
        self.mirror.apply(changes, now)
        self.mirror.was_current(self._current_as_of(changes, now))
        self._spread(before, changes)
        if self.batches and changes.items:
            self.stopped.wait(self.batch_window_s)

    def _current_as_of(self, changes: Changes, now: float) -> float:
        """Return the latest time at which the store certainly showed what a watch brought.

        The answer may have lain in a buffer, or this thread may have waited for a processor. Dated
        by its arrival, a configuration passed for newer than the store had confirmed it, and a key
        was accepted for that much longer after it was taken away. An empty answer leaves the store
        once the wait is over, and any other one some time after the watch was sent.
        """
        is_empty = not changes.items and not changes.removals
        waited = is_empty and now - self.asked_at >= self.wait_s
        return self.asked_at + self.wait_s if waited else self.asked_at

    def _list(self) -> None:
        """Read the prefix as a whole, and tell those that follow what differs."""
        self.asked_at = None
        begun = self.clock.now()
        listing = self.store.list(self.mirror.prefix)
        self.stale = False
        before, known = self.mirror.snapshot(), self.mirror.revision
        if not self.mirror.replace(listing, self.clock.now()):
            return
        self.mirror.was_current(begun)
        if known:
            self._spread(known, difference(before, listing))

    def _spread(self, after: int, changes: Changes) -> None:
        self.push_changes(self.mirror.prefix, after, changes)

    def _doubt_removals(self, now: float) -> None:
        """Doubt removals for a while from now, if the store was away.

        Where it serves another gateway only the way from here is shut: entries are renewed, and
        one that goes has gone. Doubted, it got requests beyond the bound for leaving endpoints.
        """
        if not self.peer_reaches_store():
            self.mirror.disturbed(now + LAPSE_HOLD_S)

    def _returned(self, now: float) -> None:
        """Give up a watch that may hang on a dead connection since before the outage."""
        self._doubt_removals(now)
        self.store.give_up_lines()
        self._give_up()

    def _give_up(self) -> None:
        """Give up the connection of the watch, and list what it may have missed."""
        self.stale = True
        self.line.give_up()


def watch_wait_s(contact_s: float) -> float:
    """Return for how long a watch may wait whose changes are bounded.

    :param contact_s: after a disturbance of its connections, a box is held to the bounds again
    """
    return max(WATCH_WAIT_LEAST_S, contact_s - TOLD_S)


def batch_window_s(drain_s: float) -> float:
    """Return for how long changes of endpoints may be gathered.

    :param drain_s: a leaving endpoint gets no new work after this many seconds
    """
    return max(BATCH_WINDOW_S, GATHER_SHARE * drain_s)


def _rounded(seconds: float | None) -> float | None:
    return None if seconds is None else round(seconds, 3)


__all__ = ["BATCH_WINDOW_S", "WATCH_WAIT_S", "Watcher", "batch_window_s", "watch_wait_s"]
