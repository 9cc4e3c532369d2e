"""Counts the requests that endpoints begin, and collects the counts of all gateways."""

from __future__ import annotations

import threading
from collections import Counter
from dataclasses import dataclass
from typing import TYPE_CHECKING

from threadramp.policy.usage_windows import RETAINED_WINDOWS, UsageTotals, UsageWindows
from threadramp.wire.fleet import ReadUsage, UsageCounts

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from threadramp.duties.demand import Open
    from threadramp.fleet.peers import Peers
    from threadramp.fleet.picture import Member
    from threadramp.policy.true_time import TrueTime

ASK_TIMEOUT_S = 0.5
NEVER = 0.0  # a true time before all windows
EARLY_S = 10.0  # after its start; by then a process has heard from others what the time is


@dataclass
class _Early:
    """A request that was counted soon after the start.

    :param steady: time of the steady clock at which it was sent
    :param counted_at: true time of it as it was known when it was counted
    """

    organisation: str
    steady: float
    counted_at: float
    count: int


class UsageCounting:
    """The counts of this gateway.

    Its own time of day may be off, and it serves before others told it. So what it counts soon
    after its start is moved to the windows where it belongs once it knows better.

    :param window_s: length of a window
    """

    def __init__(self, window_s: float, true_time: TrueTime, box: str, incarnation: str) -> None:
        self.book = UsageWindows(window_s)
        self.true_time = true_time
        self.box = box
        self.incarnation = incarnation
        self.open: Callable[[], Open] = dict
        self.early_until = true_time.clock.now() + EARLY_S
        self.early: list[_Early] = []
        self.lock = threading.Lock()

    def began(self, organisation: str | None, steady: float) -> None:
        """Count a request that an endpoint began; one of nobody in particular is none.

        :param steady: time of the steady clock at which it was sent
        """
        self._note(organisation, steady, 1)

    def did_not_begin(self, organisation: str | None, steady: float) -> None:
        """Take it back, since its endpoint says that it did not run."""
        self._note(organisation, steady, -1)

    def changed_since(self, seen: int) -> tuple[int, dict[int, dict[str, int]]]:
        """Return the number of the last change, and the windows that changed after another one."""
        with self.lock:
            self._place_early()
        return self.book.changed_since(seen)

    def answer(self, ask: ReadUsage) -> UsageCounts:
        """Tell a collector what changed since it asked last; it also tells what time it is."""
        now = self.true_time.clock.now()
        self.true_time.add_reading(ask.sender, ask.true_time, now)
        seen = ask.seen if ask.incarnation == self.incarnation else 0
        is_sure = (
            self.true_time.is_reliable()
        )  # before its windows are read: others tell at any time
        changes, windows = self.changed_since(seen)
        time_of_day = self.true_time.clock.time_of_day()
        return UsageCounts(
            self.box, self.incarnation, changes, windows, time_of_day, self.open(), is_sure
        )

    def _note(self, organisation: str | None, steady: float, count: int) -> None:
        if not organisation:
            return
        at = self.true_time.at(steady)
        with self.lock:
            self.book.add(organisation, at, count)
            if steady < self.early_until:
                self.early.append(_Early(organisation, steady, at, count))

    def _place_early(self) -> None:
        """Move what was counted by another time than the one that is known now; the lock is held.

        What was early is looked at once more when that time is over, and then forgotten.
        """
        for one in self.early:
            at = self.true_time.at(one.steady)
            if self.book.window_at(at) != self.book.window_at(one.counted_at):
                self.book.move(one.organisation, one.counted_at, at, one.count)
                one.counted_at = at
        if self.true_time.clock.now() > self.early_until + EARLY_S:
            self.early.clear()


class UsageCollecting:
    """Asks all gateways for their counts, each as far as it is not known here yet."""

    def __init__(self, peers: Peers, counting: UsageCounting, true_time: TrueTime) -> None:
        self.peers = peers
        self.counting = counting
        self.true_time = true_time
        self.table = UsageTotals(counting.book.window_s)
        self.incarnations: dict[str, str] = {}
        self.unanswered: dict[str, int] = {}
        self.opened: dict[str, Open] = {}
        self.lock = threading.Lock()

    def round(self) -> int:
        """Ask all other gateways once; returns how many answered."""
        others = self.peers.gateways_lately()
        asks = {one.address: self._ask(one) for one in others}
        begun = self.peers.clock.now()
        replies = self.peers.ask_all(asks, ASK_TIMEOUT_S) if asks else {}
        middle = (begun + self.peers.clock.now()) / 2
        told = []
        for member in others:
            reply = replies.get(member.address)
            if isinstance(reply, UsageCounts) and reply.box == member.name:
                self.unanswered.pop(member.name, None)
                self.true_time.add_reading(reply.box, reply.time_of_day, middle)
                told.append(reply)
            else:
                self.unanswered[member.name] = self.unanswered.get(member.name, 0) + 1
        asked_at = self.true_time.at(begun)  # as the answers show the time, not as it was before
        for reply in told:
            self.take(reply, asked_at)
        self._take_own(asked_at)
        names = {one.name for one in others}
        self.unanswered = {name: n for name, n in self.unanswered.items() if name in names}
        self._forget_old({*names, self.counting.box})
        return len(replies)

    def _forget_old(self, names: set[str]) -> None:
        """Drop windows that nobody reports any more, and what is open at gateways that are gone.

        Also where this gateway collects beside the holder and reports nothing itself.
        """
        oldest = self.counting.book.window_at(self.true_time.now()) - RETAINED_WINDOWS
        with self.lock:
            self.table.drop_before(oldest)
            self.opened = {name: row for name, row in self.opened.items() if name in names}

    def take(self, told: UsageCounts, asked_at: float) -> None:
        """Take what a gateway told.

        :param asked_at: true time from which on it had not been asked
        """
        with self.lock:
            self.incarnations[told.box] = told.incarnation
            self.opened[told.box] = told.open
            at = asked_at if told.is_sure else NEVER
            self.table.merge(told.box, told.incarnation, told.changes, told.windows, at)

    def all_told(self, since: float) -> bool:
        """Return whether all gateways that are there answered after a true time."""
        with self.lock:
            return all(self.table.has_answered_after(name, since) for name in self._expected())

    def total(self, window: int) -> dict[str, int]:
        """Return the counts of a window."""
        with self.lock:
            return self.table.total(window)

    def open_at(self, pool: str) -> dict[str, float]:
        """Return what is open at a pool by data centre, over all gateways."""
        total: Counter[str] = Counter()
        with self.lock:
            for row in self.opened.values():
                total.update(row.get(pool, {}))
        return dict(total)

    def _expected(self) -> Iterable[str]:
        """Return the gateways that are listed, this one among them, and those heard lately."""
        listed = [one.name for one in self.peers.picture.belief.gateways()]
        return {*listed, self.peers.member.name}

    def _ask(self, member: Member) -> ReadUsage:
        incarnation = self.incarnations.get(member.name, "")
        seen = self.table.seen(member.name, incarnation)
        return ReadUsage(*self.peers.myself, incarnation, seen, self.true_time.now())

    def _take_own(self, asked_at: float) -> None:
        counting = self.counting
        seen = self.table.seen(counting.box, counting.incarnation)
        is_sure = self.true_time.is_reliable()
        changes, windows = counting.changed_since(seen)
        own = UsageCounts(
            counting.box, counting.incarnation, changes, windows, 0.0, counting.open(), is_sure
        )
        self.take(own, asked_at)


__all__ = ["UsageCollecting", "UsageCounting"]
