"""Counts the requests that endpoints start, and collects the counts of all gateways."""

from __future__ import annotations

import threading
from collections import Counter, deque
from dataclasses import dataclass
from typing import TYPE_CHECKING

from threadramp.policy.usage_windows import RETAINED_WINDOWS, UsageTotals, UsageWindows
from threadramp.wire.fleet import ReadUsage, UsageCounts

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from threadramp.duties.demand import Open
    from threadramp.fleet.fleet_view import Member
    from threadramp.fleet.peers import Peers
    from threadramp.policy.true_time import TrueTime

ASK_TIMEOUT_S = 0.5
NEVER = 0.0  # a true time before any window
STARTUP_S = 10.0  # after its start; by then a process has received the time from others
MOVABLE_S = 20.0  # for which a request may still be moved to another window


@dataclass
class _MovableCount:
    """A request that was counted before the time was reliable, or soon after the start.

    :param sent_at: time of the monotonic clock at which it was sent
    :param counted_at: its true time as known when it was counted
    """

    organisation: str
    sent_at: float
    counted_at: float
    count: int


class UsageCounter:
    """The request counts of this gateway.

    The clock of its box may be off, and it serves requests before other gateways have reported the
    time. What it counts before that is therefore moved to the right windows once the time is known.

    :param window_s: length of a window
    """

    def __init__(self, window_s: float, true_time: TrueTime, box: str, incarnation: str) -> None:
        self.windows = UsageWindows(window_s)
        self.true_time = true_time
        self.box = box
        self.incarnation = incarnation
        self.open: Callable[[], Open] = dict
        self.startup_ends_at = true_time.clock.now() + STARTUP_S
        self.movable: deque[_MovableCount] = deque()
        self.keeps_movable = True
        self.lock = threading.Lock()

    def count_sent(self, organisation: str | None, sent_at: float) -> None:
        """Count a request that an endpoint started, unless it has no organisation.

        :param sent_at: time of the monotonic clock at which it was sent
        """
        self._add(organisation, sent_at, 1)

    def uncount(self, organisation: str | None, sent_at: float) -> None:
        """Undo the count of a request, since its endpoint reports that it did not run."""
        self._add(organisation, sent_at, -1)

    def changed_since(self, seen: int) -> tuple[int, dict[int, dict[str, int]]]:
        """Return the number of the last change, and the windows changed after change ``seen``."""
        with self.lock:
            self._move_counts()
        return self.windows.changed_since(seen)

    def answer(self, ask: ReadUsage) -> UsageCounts:
        """Report to a collector what changed since its last question.

        The collector's question carries its time, which is recorded.
        """
        now = self.true_time.clock.now()
        self.true_time.add_reading(ask.sender, ask.true_time, now)
        seen = ask.seen if ask.incarnation == self.incarnation else 0
        # Read before the windows, since the time may be received at any moment.
        is_sure = self.true_time.is_reliable()
        changes, windows = self.changed_since(seen)
        time_of_day = self.true_time.clock.time_of_day()
        return UsageCounts(
            self.box, self.incarnation, changes, windows, time_of_day, self.open(), is_sure
        )

    def _add(self, organisation: str | None, sent_at: float, count: int) -> None:
        if not organisation:
            return
        at = self.true_time.at(sent_at)
        with self.lock:
            self.windows.add(organisation, at, count)
            if self.keeps_movable:
                self.movable.append(_MovableCount(organisation, sent_at, at, count))

    def _move_counts(self) -> None:
        """Move requests that were counted with a wrong time; the caller holds the lock."""
        now, offset = self.true_time.clock.now(), self.true_time.offset()
        for one in self.movable:
            at = one.sent_at + offset
            if self.windows.window_at(at) != self.windows.window_at(one.counted_at):
                self.windows.move(one.organisation, one.counted_at, at, one.count)
                one.counted_at = at
        while self.movable and self.movable[0].sent_at < now - MOVABLE_S:
            self.movable.popleft()
        self.keeps_movable = now < self.startup_ends_at or not self.true_time.is_reliable()


class UsageCollector:
    """Asks all gateways for the counts that are not known here yet."""

    def __init__(self, peers: Peers, counter: UsageCounter, true_time: TrueTime) -> None:
        self.peers = peers
        self.counter = counter
        self.true_time = true_time
        self.table = UsageTotals(counter.windows.window_s)
        self.incarnations: dict[str, str] = {}
        self.missed_rounds: dict[str, int] = {}
        self.open_by_gateway: dict[str, Open] = {}
        self.has_reliable_time = False  # in the last round
        self.lock = threading.Lock()

    def round(self) -> int:
        """Ask all other gateways once; returns how many answered."""
        others = self.peers.recent_gateways()
        asks = {one.address: self._ask(one) for one in others}
        started_at = self.peers.clock.now()
        replies = self.peers.ask_all(asks, ASK_TIMEOUT_S) if asks else {}
        midpoint = (started_at + self.peers.clock.now()) / 2
        counts = []
        for member in others:
            reply = replies.get(member.address)
            if isinstance(reply, UsageCounts) and reply.box == member.name:
                self.missed_rounds.pop(member.name, None)
                self.true_time.add_reading(reply.box, reply.time_of_day, midpoint)
                counts.append(reply)
            else:
                self.missed_rounds[member.name] = self.missed_rounds.get(member.name, 0) + 1
        # With the time corrected by the answers, and before any counts are read with it.
        self.has_reliable_time = self.true_time.is_reliable()
        asked_at = self.true_time.at(started_at) if self.has_reliable_time else NEVER
        for reply in counts:
            self.record(reply, asked_at)
        self._record_own(asked_at)
        names = {one.name for one in others}
        self.missed_rounds = {name: n for name, n in self.missed_rounds.items() if name in names}
        self._forget_old({*names, self.counter.box})
        return len(replies)

    def _forget_old(self, names: set[str]) -> None:
        """Drop windows that are no longer reported, and the open requests of gateways that left.

        A gateway that collects in addition to the holder, and reports nothing itself, drops them
        too.
        """
        oldest = self.counter.windows.window_at(self.true_time.now()) - RETAINED_WINDOWS
        with self.lock:
            self.table.drop_before(oldest)
            self.open_by_gateway = {
                name: row for name, row in self.open_by_gateway.items() if name in names
            }

    def record(self, counts: UsageCounts, asked_at: float) -> None:
        """Record the counts that a gateway reported.

        :param asked_at: true time before which it was not asked, ``NEVER`` if it is not known
        """
        with self.lock:
            self.incarnations[counts.box] = counts.incarnation
            self.open_by_gateway[counts.box] = counts.open
            at = asked_at if counts.is_sure else NEVER
            self.table.merge(counts.box, counts.incarnation, counts.changes, counts.windows, at)

    def all_answered(self, since: float) -> bool:
        """Return whether all known gateways answered a question asked after a true time."""
        with self.lock:
            return all(self.table.has_answered_after(name, since) for name in self._expected())

    def total(self, window: int) -> dict[str, int]:
        """Return the counts of a window."""
        with self.lock:
            return self.table.total(window)

    def open_at(self, pool: str) -> dict[str, float]:
        """Return the open requests at a pool by data centre, over all gateways."""
        total: Counter[str] = Counter()
        with self.lock:
            for row in self.open_by_gateway.values():
                total.update(row.get(pool, {}))
        return dict(total)

    def _expected(self) -> Iterable[str]:
        """Return the names of the gateways in the member list, and of this one."""
        listed = [one.name for one in self.peers.fleet_view.snapshot.gateways()]
        return {*listed, self.peers.member.name}

    def _ask(self, member: Member) -> ReadUsage:
        incarnation = self.incarnations.get(member.name, "")
        seen = self.table.seen(member.name, incarnation)
        return ReadUsage(*self.peers.sender_fields, incarnation, seen, self.true_time.now())

    def _record_own(self, asked_at: float) -> None:
        counter = self.counter
        seen = self.table.seen(counter.box, counter.incarnation)
        changes, windows = counter.changed_since(seen)
        own = UsageCounts(counter.box, counter.incarnation, changes, windows, 0.0, counter.open())
        self.record(own, asked_at)


__all__ = ["UsageCollector", "UsageCounter"]
