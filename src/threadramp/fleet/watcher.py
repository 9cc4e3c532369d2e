"""Keeps a mirror in sync with the store: list, watch, and list again after a history compaction.

While other gateways watch for this one, it does neither, until they cannot reach the store or do
not respond.

A watch without an answer may mean that nothing changed or that its connection is dead. So each wait
is short enough for the bounds on the changes that it would bring. A watch that times out makes all
open connections suspect, and so does another call that times out while the store answers.
"""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING

from threadramp.fleet.mirror import RETENTION_S, diff
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

WATCH_WAIT_S = 10.0  # each answer is a billed call; for data without a bound, or also sent by peers
# Part of the time after which a disturbed box must meet its bounds again: for the time-out of a
# watch (0.6 s), a listing, and the next heartbeat to sidecars (0.5 s).
PROPAGATION_S = 1.3
MIN_WATCH_WAIT_S = 0.5  # each wait ends with a billed call
RETRY_PAUSE_S = 0.4
FOLLOW_CHECK_INTERVAL_S = 0.1  # how often a following gateway checks whether it still may follow
BATCH_WINDOW_S = 0.4  # changes within this time come in one answer, where a short delay is harmless
# Share of the time after which a leaving endpoint must get no new work; the rest is for the answer,
# the push to followers, the sidecars' next request and a busy processor.
BATCH_SHARE = 0.2


class Watcher:
    """One thread that watches one prefix.

    :param batches: whether changes may be delayed so that several come in one billed answer
    :param batch_window_s: that delay
    :param wait_s: time after which the store answers although nothing changed
    :param follows: whether other gateways watch for this one now
    :param push_changes: sends the changes after a revision to the followers of this gateway
    :param peer_reaches_store: whether the store answered another gateway recently
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
        health.on_recovery.append(self._on_recovery)
        store.on_silence.append(self._abandon_watch)

    def start(self) -> None:
        """Start watching."""
        start_loop(self._run, self.stopped)

    def run_once(self) -> None:
        """Follow other gateways, or process one answer of the store."""
        if self.follows():
            self._follow()
            return
        try:
            self._watch_once()
        except GivenUpError as error:
            self._log_failure(error)
        except StoreError as error:
            self._handle_failure(error)

    def _run(self) -> None:
        while not self.stopped.is_set():
            self.run_once()

    def _handle_failure(self, error: StoreError) -> None:
        """Handle a watch that failed; a failed watch alone does not mean that entries expired."""
        self.stale = True
        if self.health.was_unreachable():
            self._distrust_removals(self.clock.now())
        self._log_failure(error)
        if self._timed_out():
            self.store.went_silent()
        else:
            self.stopped.wait(RETRY_PAUSE_S)

    def _timed_out(self) -> bool:
        """Return whether the last watch waited longer than the store may take to answer."""
        waited_s = self._waited_s()
        return waited_s is not None and waited_s > self.wait_s

    def _waited_s(self) -> float | None:
        """Return how long the watch waited, none if a listing failed."""
        return None if self.asked_at is None else self.clock.now() - self.asked_at

    def _log_failure(self, error: StoreError) -> None:
        """Log how long the watch waited, and when the store last answered other calls."""
        log_state(
            "watch_failed",
            prefix=self.mirror.prefix,
            error=str(error),
            waited_s=_rounded(self._waited_s()),
            confirmed_ago_s=_rounded(self.health.confirmed_ago_s()),
        )

    def _follow(self) -> None:
        """Leave updates of the mirror to others; list again before the next watch."""
        self.stale = True
        if self.health.is_unreachable:
            self._distrust_removals(self.clock.now())
        self.stopped.wait(FOLLOW_CHECK_INTERVAL_S)

    def _watch_once(self) -> None:
        if self.stale:
            self._list()
        self.asked_at = self.clock.now()
        changes = self.store.watch(self.mirror.prefix, self.mirror.revision, self.wait_s, self.line)
        if isinstance(changes, HistoryGone):
            self.stale = True
            log_state("watch_history_compacted", prefix=self.mirror.prefix)
            return
        before = self.mirror.revision
        now = self.clock.now()
        self.mirror.apply(changes, now)
        self.mirror.confirm_current(self._current_as_of(changes, now))
        self._push_changes(before, changes)
        if self.batches and changes.items:
            self.stopped.wait(self.batch_window_s)

    def _current_as_of(self, changes: Changes, now: float) -> float:
        """Return the latest time at which the store certainly had the state that a watch returned.

        The answer may have been buffered, or this thread may have waited for a processor. When
        answers were dated by their arrival, a configuration counted as confirmed later than it
        was, and a revoked key was accepted for that much longer. The store sends an empty answer
        when the wait is over, and any other answer some time after the watch was sent.
        """
        is_empty = not changes.items and not changes.removals
        waited = is_empty and now - self.asked_at >= self.wait_s
        return self.asked_at + self.wait_s if waited else self.asked_at

    def _list(self) -> None:
        """List the whole prefix, and push the differences to followers."""
        self.asked_at = None
        begun = self.clock.now()
        listing = self.store.list(self.mirror.prefix)
        self.stale = False
        before, known = self.mirror.snapshot(), self.mirror.revision
        if not self.mirror.replace(listing, self.clock.now()):
            return
        self.mirror.confirm_current(begun)
        if known:
            self._push_changes(known, diff(before, listing))

    def _push_changes(self, after: int, changes: Changes) -> None:
        self.push_changes(self.mirror.prefix, after, changes)

    def _distrust_removals(self, now: float) -> None:
        """Retain removed entries for a while, unless another gateway reaches the store.

        If one does, only the path from here is broken: entries are still renewed, and a removal is
        real. Retaining them sent requests to leaving endpoints beyond the bound for these.
        """
        if not self.peer_reaches_store():
            self.mirror.distrust_removals(now + RETENTION_S)

    def _on_recovery(self, now: float) -> None:
        """Abandon a watch that may hang on a dead connection since before the outage."""
        self._distrust_removals(now)
        self.store.give_up_lines()
        self._abandon_watch()

    def _abandon_watch(self) -> None:
        """Close the watch's connection, and list again what it may have missed."""
        self.stale = True
        self.line.give_up()


def watch_wait_s(contact_s: float) -> float:
    """Return how long a watch may wait if the delay of its changes is bounded.

    :param contact_s: time after a network disturbance when a box must meet the bounds again
    """
    return max(MIN_WATCH_WAIT_S, contact_s - PROPAGATION_S)


def batch_window_s(drain_s: float) -> float:
    """Return how long changes of endpoints may be batched.

    :param drain_s: time after which a leaving endpoint must get no new work
    """
    return max(BATCH_WINDOW_S, BATCH_SHARE * drain_s)


def _rounded(seconds: float | None) -> float | None:
    return None if seconds is None else round(seconds, 3)


__all__ = ["BATCH_WINDOW_S", "WATCH_WAIT_S", "Watcher", "batch_window_s", "watch_wait_s"]
