"""Which requests are held back since endpoints ended under them, without I/O and without a clock.

A request that was open at an endpoint when that ended is suspected: alone, or one of all that stood
there. Most are innocent, so it goes on; what convicts is that different starts ended under it, one
after the other, and that it had no answer in between. One answer after which the endpoint lives on
acquits. Every process may add what it saw in any order and more than once; the sum is the same.

All times are seconds since the epoch: they are compared between boxes, and time for which a box was
suspended counts.
"""

from __future__ import annotations

import threading
from collections import OrderedDict
from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

import msgspec

from threadramp.policy.hidden_ends import Births
from threadramp.wire.crashes import Crash, CrashNews, Living, Suspect

if TYPE_CHECKING:
    from collections.abc import Callable

    from threadramp.fleet.model import Incarnation

# Beside one that crashes endpoints an innocent stands in one crash often, in two where both are
# tried again at the same endpoint; from then on it is sent where no other suspect is.
APART_FROM = 2
REFUSED_FROM = 3  # the users allow three endpoints before it must be known
# Trials of a refused request, by all boxes together, by seconds after its last crash: endpoints are
# back after 1 to 3 s. The users allow three more endpoints in all; one is left for a gateway that
# did not know in time.
TRIALS_AFTER_S = (3.0, 60.0)
KEPT_S = 600.0  # after it was last seen; the store's longest lease
LIVES_AFTER_S = 2.0  # an answer may have been on its way for so long when its endpoint ended
# Behind a port that goes on listening the next start answers under the same id, so an answer tells
# little; the box that saw the break settles it within this, unless that box is lost.
SETTLED_WITHIN_S = 10.0
SUSPECTS_MOST = 2048  # 1.5 MB; an endpoint ends with up to 12 open requests, and its queue
LIVING_MOST = 512
CRASHES_KEPT = 8  # of one request
TO_KEEP_MOST = 512  # requests that one process keeps in the store: 100 KB at most
AGAIN_LEAST_S = 1.0  # told with a refusal; the trial that is due may be another box's
AHEAD_MOST_S = 5.0  # clocks of boxes differ by less; what is told from the future counts as now


class Verdict(Enum):
    """What a request may do."""

    FREE = "free"
    SUSPECTED = "suspected"
    APART = "apart"
    REFUSED = "refused"


@dataclass(frozen=True)
class Ruling:
    """What holds for one request now.

    :param crashes: endpoints that ended under it without an answer since
    :param trial: number of the trial that is due now, 0 if none is
    :param again_s: seconds until a trial is due, or until it is forgotten; 0 if it is not refused
    """

    verdict: Verdict = Verdict.FREE
    crashes: int = 0
    trial: int = 0
    again_s: float = 0.0


FREE = Ruling()


class CrashBook:
    """What one process knows; its methods may be called from any thread.

    :param on_news: called when there is something to tell others
    """

    def __init__(self, on_news: Callable[[], None] = lambda: None) -> None:
        self.on_news = on_news
        self.suspects: OrderedDict[bytes, Suspect] = OrderedDict()
        self.living: OrderedDict[Incarnation, float] = OrderedDict()
        self.untold: dict[bytes, None] = {}
        self.untold_living: dict[Incarnation, None] = {}
        self.own: set[bytes] = set()
        self.accused: set[Incarnation] = set()
        self.births = Births()
        self.lock = threading.RLock()

    @property
    def is_empty(self) -> bool:
        """Return whether no request is suspected; nothing is worked out for requests then."""
        return not self.suspects

    def ruling(self, fingerprint: bytes, now: float) -> Ruling:
        """Return what holds for a request."""
        with self.lock:
            return _ruling(self.suspects.get(fingerprint), now)

    def crashed(
        self, fingerprint: bytes, start: Incarnation, now: float, listens: bool = False
    ) -> Ruling:
        """Note that a start ended while a request was open there.

        :param listens: whether its port goes on taking connections, so that it only may have ended
        """
        with self.lock:
            seen = Suspect(fingerprint, (Crash(start, now, listens),), seen_at=now)
            self._add_own(seen)
            return _ruling(self.suspects.get(fingerprint), now)

    def proven(self, fingerprint: bytes, start: Incarnation, at: float, next_born: int) -> None:
        """Note that another start came after one that broke under a request."""
        with self.lock:
            crash = Crash(start, at, True, next_born)
            self._add_own(Suspect(fingerprint, (crash,), seen_at=at))

    def current(self, start: Incarnation) -> Incarnation:
        """Return the start that is current where an entry names one; entries may stay behind."""
        with self.lock:
            return self.births.current(start)

    def ended_before(self, start: Incarnation, at: float) -> bool:
        """Return whether a start is said to have ended before a time."""
        with self.lock:
            return start in self.accused and bool(self._accusing(start, at))

    def ran_well(self, fingerprint: bytes, now: float) -> bool:
        """Note an answer after which its endpoint lived on; false if nothing stood against it."""
        with self.lock:
            known = self.suspects.get(fingerprint)
            if known is None or not known.standing:
                return False
            self._add_own(Suspect(fingerprint, well_at=now, seen_at=now))
            return True

    def tried(self, fingerprint: bytes, trial: int, now: float) -> None:
        """Note that a trial of a refused request is made."""
        with self.lock:
            self._add_own(Suspect(fingerprint, trials=trial, seen_at=now))

    def came_again(self, fingerprint: bytes, now: float) -> None:
        """Note that a refused request came again, so that it is not forgotten while it does."""
        with self.lock:
            known = self.suspects.get(fingerprint)
            if known is not None and now - known.seen_at > KEPT_S / 2:
                self._add_own(Suspect(fingerprint, seen_at=now))

    def lives(self, start: Incarnation, now: float) -> bool:
        """Note that a start answered; true if it was said to have ended well before."""
        with self.lock:
            if start not in self.accused or not self._is_taken_back(start, now):
                return False
            self._note_living(start, now)
        self.on_news()
        return True

    def lived_on(self, start: Incarnation, now: float, born: int) -> None:
        """Note that a start that may have ended told its birth, and is the same one.

        :param born: 0 if it tells none
        """
        with self.lock:
            self.births.note(start.instance, born)
            self._note_living(start, now)
        self.on_news()

    def merge(self, news: CrashNews, now: float) -> list[bytes]:
        """Take over what another process knows; returns the requests that are refused by it."""
        with self.lock:
            for living in news.living:
                self._add_living(msgspec.structs.replace(living, at=_bounded(living.at, now)))
            before = {one.fingerprint for one in news.suspects if self._is_refused(one, now)}
            for suspect in news.suspects:
                self._add(_all_bounded(suspect, now))
            after = [one.fingerprint for one in news.suspects if self._is_refused(one, now)]
        return [one for one in after if one not in before]

    def take_news(self) -> CrashNews:
        """Return what others were not told yet; it counts as told from then on."""
        with self.lock:
            suspects = tuple(self.suspects[one] for one in self.untold if one in self.suspects)
            living = tuple(
                Living(one, self.living[one]) for one in self.untold_living if one in self.living
            )
            self.untold.clear()
            self.untold_living.clear()
        return CrashNews(suspects, living)

    def to_keep(self) -> CrashNews:
        """Return what has to outlast this process: what it has a part in, and is near a verdict."""
        with self.lock:
            rows = [
                one
                for one in self.suspects.values()
                if one.fingerprint in self.own and len(one.crashes) >= APART_FROM
            ]
        return CrashNews(tuple(rows[-TO_KEEP_MOST:]))

    def was_own(self, news: CrashNews) -> None:
        """Note that this box had a part in these before its process started again."""
        with self.lock:
            self.own.update(one.fingerprint for one in news.suspects)

    def find(self, shown: str) -> Suspect | None:
        """Return a request by its fingerprint as it stands in logs, none if it is not suspected."""
        with self.lock:
            rows = [one for key, one in self.suspects.items() if key.hex().startswith(shown)]
        return rows[0] if shown and len(rows) == 1 else None

    def expire(self, now: float) -> None:
        """Forget the requests of which nothing was seen for long."""
        with self.lock:
            for gone in [key for key, one in self.suspects.items() if _is_old(one, now)]:
                self._drop(gone)
            self.accused = {one.start for row in self.suspects.values() for one in row.crashes}
            if not self.suspects:
                self.living.clear()

    def _accusing(self, start: Incarnation, before: float) -> list[bytes]:
        return [
            one.fingerprint
            for one in self.suspects.values()
            if any(
                crash.start == start and crash.at < before and not crash.is_proven
                for crash in one.crashes
            )
        ]

    def _is_taken_back(self, start: Incarnation, now: float) -> bool:
        """Return whether an answer of a start takes back that it ended."""
        return any(
            crash.at < now - (SETTLED_WITHIN_S if crash.listens else LIVES_AFTER_S)
            for one in self.suspects.values()
            for crash in one.crashes
            if crash.start == start and not crash.is_proven
        )

    def _note_living(self, start: Incarnation, now: float) -> None:
        self._add_living(Living(start, now))
        self.untold_living[start] = None

    def _is_refused(self, suspect: Suspect, now: float) -> bool:
        ruling = _ruling(self.suspects.get(suspect.fingerprint), now)
        return ruling.verdict is Verdict.REFUSED

    def _add_own(self, seen: Suspect) -> None:
        self._add(seen)
        self.own.add(seen.fingerprint)
        self.untold[seen.fingerprint] = None
        self.on_news()

    def _add(self, seen: Suspect) -> None:
        known = self.suspects.get(seen.fingerprint, Suspect(seen.fingerprint))
        crashes = {one.start: one for one in known.crashes}
        for one in seen.crashes:
            held = crashes.get(one.start)
            crashes[one.start] = one if held is None else held.merged(one)
            self.births.note(one.start.instance, one.next_born)
        live = [
            one
            for one in crashes.values()
            if one.is_proven or one.at >= self.living.get(one.start, 0.0)
        ]
        live.sort(key=lambda one: one.at)
        self.accused.update(one.start for one in live)
        self.suspects[seen.fingerprint] = Suspect(
            seen.fingerprint,
            tuple(live[-CRASHES_KEPT:]),
            max(known.well_at, seen.well_at),
            max(known.trials, seen.trials),
            max(known.seen_at, seen.seen_at),
        )
        self.suspects.move_to_end(seen.fingerprint)
        if len(self.suspects) > SUSPECTS_MOST:
            self._make_room()

    def _add_living(self, living: Living) -> None:
        """Take back what was held against requests for the end of a start that lives."""
        self.living[living.start] = max(living.at, self.living.get(living.start, 0.0))
        self.living.move_to_end(living.start)
        while len(self.living) > LIVING_MOST:
            self.living.popitem(last=False)
        for fingerprint in self._accusing(living.start, living.at):
            known = self.suspects[fingerprint]
            left = tuple(one for one in known.crashes if one.start != living.start or one.is_proven)
            self.suspects[fingerprint] = msgspec.structs.replace(known, crashes=left)

    def _make_room(self) -> None:
        """Forget first what has the least against it, and of that what was seen longest ago."""
        least = min(self.suspects.values(), key=lambda one: len(one.standing))
        self._drop(least.fingerprint)

    def _drop(self, fingerprint: bytes) -> None:
        self.suspects.pop(fingerprint, None)
        self.untold.pop(fingerprint, None)
        self.own.discard(fingerprint)


def _ruling(known: Suspect | None, now: float) -> Ruling:
    if known is None or _is_old(known, now):
        return FREE
    standing = known.standing
    count = len(standing)
    if count < REFUSED_FROM:
        verdict = (Verdict.FREE, Verdict.SUSPECTED, Verdict.APART)[count]
        return Ruling(verdict, count)
    if known.trials >= len(TRIALS_AFTER_S):
        return Ruling(Verdict.REFUSED, count, 0, max(AGAIN_LEAST_S, known.seen_at + KEPT_S - now))
    due = max(one.at for one in standing) + TRIALS_AFTER_S[known.trials]
    trial = known.trials + 1 if now >= due else 0
    return Ruling(Verdict.REFUSED, count, trial, max(AGAIN_LEAST_S, due - now))


def _is_old(known: Suspect, now: float) -> bool:
    return now - known.seen_at > KEPT_S


def _bounded(at: float, now: float) -> float:
    """Return a time that a sound clock may tell; what is none, such as NaN, is long ago."""
    return min(at, now + AHEAD_MOST_S) if at >= 0 else 0.0


def _all_bounded(suspect: Suspect, now: float) -> Suspect:
    """Return a suspect without times that no clock of a sound box tells."""
    return msgspec.structs.replace(
        suspect,
        crashes=tuple(
            msgspec.structs.replace(one, at=_bounded(one.at, now)) for one in suspect.crashes
        ),
        well_at=_bounded(suspect.well_at, now),
        trials=min(suspect.trials, len(TRIALS_AFTER_S)),
        seen_at=_bounded(suspect.seen_at, now),
    )


__all__ = ["APART_FROM", "FREE", "KEPT_S", "REFUSED_FROM", "CrashBook", "Ruling", "Verdict"]
