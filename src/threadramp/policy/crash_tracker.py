"""Tracks requests that may crash endpoints and decides which are refused; no I/O, no clock.

Every request that is open at an endpoint when the endpoint crashes becomes a suspect. Most suspects
did not cause the crash, so they are retried. A request is refused once different incarnations
crashed one after the other while running it, without a successful answer in between; one answer
that the endpoint survives clears it. Work of an accepted lot is owed: its crashes delay it for a
few seconds at most, and it is never refused. Processes may merge their observations in any order
and more than once, with the same result.

All times are seconds since the epoch, because they are compared between boxes and must include the
time for which a box was suspended.
"""

from __future__ import annotations

import threading
from collections import OrderedDict
from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

import msgspec

from threadramp.policy.proxied_crashes import StartTimes
from threadramp.wire.crashes import Crash, CrashNews, Living, Suspect

if TYPE_CHECKING:
    from collections.abc import Callable

    from threadramp.fleet.model import Incarnation

# A harmless request that runs beside a crashing one is often part of one crash, and of two if both
# are retried at the same endpoint. From then on it is sent to endpoints without other suspects.
ISOLATE_FROM_CRASHES = 2
REFUSE_FROM_CRASHES = 3  # requirement: recognised after at most three crashed endpoints
# Trial runs of a refused request, over all boxes, in seconds after its last crash; endpoints are
# back after 1 to 3 s. Requirement: at most three more crashed endpoints in total. Two trials leave
# one for a gateway that learns of the refusal too late.
TRIAL_DELAYS_S = (3.0, 60.0)
# Delay of owed work after its third, its fourth and any later crash, counted from the last one. It
# bounds how often work that does crash endpoints takes one down; endpoints are back after 1 to 3 s.
OWED_DELAYS_S = (1.0, 2.0, 3.0)
RETENTION_S = 600.0  # after the last observation; equals the longest lease of the store
LATE_ANSWER_S = 2.0  # an answer may arrive up to this long after its endpoint crashed
# Behind a proxy that keeps listening, the next incarnation answers under the same id, so an answer
# does not disprove a crash. The box that saw the connection break resolves the crash within this
# time, unless that box is lost.
RESOLVED_WITHIN_S = 10.0
MAX_SUSPECTS = 2048  # 1.5 MB; a crash affects up to 12 running requests and those queued
MAX_ALIVE = 512
MAX_CRASHES_PER_REQUEST = 8
MAX_PERSISTED = 512  # suspects that one process persists in the store: up to 100 KB
MIN_RETRY_AFTER_S = 1.0  # sent with a refusal; another box may make the trial that is due
MAX_CLOCK_AHEAD_S = 5.0  # clocks of boxes differ by less; later times are clamped


class SuspicionLevel(Enum):
    """How strongly a request is suspected, which decides how it is routed."""

    NONE = "free"
    SUSPECTED = "suspected"
    ISOLATED = "apart"
    REFUSED = "refused"


@dataclass(frozen=True)
class Assessment:
    """The current state of one request.

    :param crashes: endpoints that crashed while running it, without a successful answer since
    :param trial: number of the trial run that is due now, 0 if none is due
    :param retry_after_s: until a trial is due or the suspicion expires, or until owed work may be
        sent; 0 if it may be sent now
    :param last_crash_at: time of the last crash if it delays owed work, else 0
    """

    level: SuspicionLevel = SuspicionLevel.NONE
    crashes: int = 0
    trial: int = 0
    retry_after_s: float = 0.0
    last_crash_at: float = 0.0

    @property
    def is_held(self) -> bool:
        """Return whether the request must not be sent now."""
        return self.retry_after_s > 0.0


NO_SUSPICION = Assessment()


class CrashTracker:
    """The suspects that one process knows of; thread-safe.

    :param on_update: called when there are updates to send to other processes
    """

    def __init__(self, on_update: Callable[[], None] = lambda: None) -> None:
        self.on_update = on_update
        self.suspects: OrderedDict[bytes, Suspect] = OrderedDict()
        self.alive: OrderedDict[Incarnation, float] = OrderedDict()
        self.unsent: dict[bytes, None] = {}
        self.unsent_alive: dict[Incarnation, None] = {}
        self.own: set[bytes] = set()
        self.reported_crashed: set[Incarnation] = set()
        self.start_times = StartTimes()
        self.lock = threading.RLock()

    @property
    def is_empty(self) -> bool:
        """Return whether no request is suspected, so that fingerprints need not be computed."""
        return not self.suspects

    def assess(self, fingerprint: bytes, now: float) -> Assessment:
        """Return the current state of a request."""
        with self.lock:
            return _assess(self.suspects.get(fingerprint), now)

    def record_crash(
        self,
        fingerprint: bytes,
        incarnation: Incarnation,
        now: float,
        listens: bool = False,
        owed: bool = False,
    ) -> Assessment:
        """Record that an endpoint crashed while a request was open there.

        :param listens: whether its port still accepts connections, so that the crash is unconfirmed
        :param owed: whether the request is work of an accepted lot
        """
        with self.lock:
            crash = Crash(incarnation, now, listens)
            seen = Suspect(fingerprint, (crash,), seen_at=now, owed=owed)
            self._record(seen)
            return _assess(self.suspects.get(fingerprint), now)

    def confirm_crash(
        self, fingerprint: bytes, incarnation: Incarnation, at: float, next_start_time: int
    ) -> None:
        """Record that a later incarnation replaced one that crashed while running a request."""
        with self.lock:
            crash = Crash(incarnation, at, True, next_start_time)
            self._record(Suspect(fingerprint, (crash,), seen_at=at))

    def current_incarnation(self, incarnation: Incarnation) -> Incarnation:
        """Return the latest known incarnation; the entry of an endpoint may be outdated."""
        with self.lock:
            return self.start_times.current(incarnation)

    def is_reported_crashed(self, incarnation: Incarnation, at: float) -> bool:
        """Return whether an incarnation is reported to have crashed before a time."""
        with self.lock:
            return incarnation in self.reported_crashed and bool(self._suspects_of(incarnation, at))

    def record_success(self, fingerprint: bytes, now: float) -> bool:
        """Record a successful answer; returns false if the request was not suspected."""
        with self.lock:
            known = self.suspects.get(fingerprint)
            if known is None or not known.standing:
                return False
            self._record(Suspect(fingerprint, well_at=now, seen_at=now))
            return True

    def record_trial(self, fingerprint: bytes, trial: int, now: float) -> None:
        """Record a trial run of a refused request."""
        with self.lock:
            self._record(Suspect(fingerprint, trials=trial, seen_at=now))

    def record_repeat(self, fingerprint: bytes, now: float) -> None:
        """Record that a refused request was sent again, so that its suspicion does not expire."""
        with self.lock:
            known = self.suspects.get(fingerprint)
            if known is not None and now - known.seen_at > RETENTION_S / 2:
                self._record(Suspect(fingerprint, seen_at=now))

    def record_answer(self, incarnation: Incarnation, now: float) -> bool:
        """Record an answer; returns true if it disproves a crash that was reported earlier."""
        with self.lock:
            if incarnation not in self.reported_crashed or not self._is_retracted_by(
                incarnation, now
            ):
                return False
            self._record_alive(incarnation, now)
        self.on_update()
        return True

    def retract_crash(self, incarnation: Incarnation, now: float, start_time: int) -> None:
        """Record that an incarnation that may have crashed still runs.

        :param start_time: the start time that it reports, 0 if it reports none
        """
        with self.lock:
            self.start_times.record(incarnation.instance, start_time)
            self._record_alive(incarnation, now)
        self.on_update()

    def merge(self, update: CrashNews, now: float) -> list[bytes]:
        """Merge another process's update; returns the requests that are refused because of it."""
        with self.lock:
            for report in update.living:
                self._merge_alive(msgspec.structs.replace(report, at=_clamped(report.at, now)))
            before = {one.fingerprint for one in update.suspects if self._is_refused(one, now)}
            for suspect in update.suspects:
                self._merge_suspect(_all_clamped(suspect, now))
            after = [one.fingerprint for one in update.suspects if self._is_refused(one, now)]
        return [one for one in after if one not in before]

    def take_updates(self) -> CrashNews:
        """Return the updates that were not sent yet and mark them as sent."""
        with self.lock:
            suspects = tuple(self.suspects[one] for one in self.unsent if one in self.suspects)
            alive = tuple(
                Living(one, self.alive[one]) for one in self.unsent_alive if one in self.alive
            )
            self.unsent.clear()
            self.unsent_alive.clear()
        return CrashNews(suspects, alive)

    def records_to_persist(self) -> CrashNews:
        """Return the own suspects to keep over a restart: those near isolation or refusal.

        If there are too many, owed work is left out first: without its record it is only sent
        earlier, while a call would not be refused.
        """
        with self.lock:
            rows = [
                one
                for one in self.suspects.values()
                if one.fingerprint in self.own and len(one.crashes) >= ISOLATE_FROM_CRASHES
            ]
        rows.sort(key=lambda one: not one.owed)
        return CrashNews(tuple(rows[-MAX_PERSISTED:]))

    def restore_own(self, update: CrashNews) -> None:
        """Take over the suspects that this box persisted before its process restarted."""
        with self.lock:
            self.own.update(one.fingerprint for one in update.suspects)

    def find(self, prefix: str) -> Suspect | None:
        """Return the suspect with a short fingerprint, none if there is none or several."""
        with self.lock:
            rows = [one for key, one in self.suspects.items() if key.hex().startswith(prefix)]
        return rows[0] if prefix and len(rows) == 1 else None

    def expire(self, now: float) -> None:
        """Forget requests without recent observations."""
        with self.lock:
            for expired in [key for key, one in self.suspects.items() if _is_old(one, now)]:
                self._forget(expired)
            self.reported_crashed = {
                one.start for row in self.suspects.values() for one in row.crashes
            }
            if not self.suspects:
                self.alive.clear()

    def _suspects_of(self, incarnation: Incarnation, before: float) -> list[bytes]:
        return [
            one.fingerprint
            for one in self.suspects.values()
            if any(
                crash.start == incarnation and crash.at < before and not crash.is_proven
                for crash in one.crashes
            )
        ]

    def _is_retracted_by(self, incarnation: Incarnation, now: float) -> bool:
        """Return whether an answer of an incarnation disproves that it crashed."""
        return any(
            crash.at < now - (RESOLVED_WITHIN_S if crash.listens else LATE_ANSWER_S)
            for one in self.suspects.values()
            for crash in one.crashes
            if crash.start == incarnation and not crash.is_proven
        )

    def _record_alive(self, incarnation: Incarnation, now: float) -> None:
        self._merge_alive(Living(incarnation, now))
        self.unsent_alive[incarnation] = None

    def _is_refused(self, suspect: Suspect, now: float) -> bool:
        assessment = _assess(self.suspects.get(suspect.fingerprint), now)
        return assessment.level is SuspicionLevel.REFUSED

    def _record(self, seen: Suspect) -> None:
        self._merge_suspect(seen)
        self.own.add(seen.fingerprint)
        self.unsent[seen.fingerprint] = None
        self.on_update()

    def _merge_suspect(self, seen: Suspect) -> None:
        known = self.suspects.get(seen.fingerprint, Suspect(seen.fingerprint))
        crashes = {one.start: one for one in known.crashes}
        for one in seen.crashes:
            held = crashes.get(one.start)
            crashes[one.start] = one if held is None else held.merged(one)
            self.start_times.record(one.start.instance, one.next_born)
        remaining = [
            one
            for one in crashes.values()
            if one.is_proven or one.at >= self.alive.get(one.start, 0.0)
        ]
        remaining.sort(key=lambda one: one.at)
        self.reported_crashed.update(one.start for one in remaining)
        self.suspects[seen.fingerprint] = Suspect(
            seen.fingerprint,
            tuple(remaining[-MAX_CRASHES_PER_REQUEST:]),
            max(known.well_at, seen.well_at),
            max(known.trials, seen.trials),
            max(known.seen_at, seen.seen_at),
            known.owed or seen.owed,
        )
        self.suspects.move_to_end(seen.fingerprint)
        if len(self.suspects) > MAX_SUSPECTS:
            self._evict_one()

    def _merge_alive(self, alive: Living) -> None:
        """Retract the unconfirmed crashes of an incarnation that still runs."""
        self.alive[alive.start] = max(alive.at, self.alive.get(alive.start, 0.0))
        self.alive.move_to_end(alive.start)
        while len(self.alive) > MAX_ALIVE:
            self.alive.popitem(last=False)
        for fingerprint in self._suspects_of(alive.start, alive.at):
            known = self.suspects[fingerprint]
            remaining = tuple(
                one for one in known.crashes if one.start != alive.start or one.is_proven
            )
            self.suspects[fingerprint] = msgspec.structs.replace(known, crashes=remaining)

    def _evict_one(self) -> None:
        """Forget owed work first, then the suspect with the fewest crashes since a success."""
        least = min(self.suspects.values(), key=lambda one: (not one.owed, len(one.standing)))
        self._forget(least.fingerprint)

    def _forget(self, fingerprint: bytes) -> None:
        self.suspects.pop(fingerprint, None)
        self.unsent.pop(fingerprint, None)
        self.own.discard(fingerprint)


def _assess(known: Suspect | None, now: float) -> Assessment:
    if known is None or _is_old(known, now):
        return NO_SUSPICION
    standing = known.standing
    count = len(standing)
    if count < REFUSE_FROM_CRASHES:
        level = (SuspicionLevel.NONE, SuspicionLevel.SUSPECTED, SuspicionLevel.ISOLATED)[count]
        return Assessment(level, count)
    last_crash_at = max(one.at for one in standing)
    if known.owed:
        return _assess_owed(count, last_crash_at, now)
    if known.trials >= len(TRIAL_DELAYS_S):
        return Assessment(
            SuspicionLevel.REFUSED,
            count,
            0,
            max(MIN_RETRY_AFTER_S, known.seen_at + RETENTION_S - now),
        )
    due = last_crash_at + TRIAL_DELAYS_S[known.trials]
    trial = known.trials + 1 if now >= due else 0
    return Assessment(SuspicionLevel.REFUSED, count, trial, max(MIN_RETRY_AFTER_S, due - now))


def _assess_owed(count: int, last_crash_at: float, now: float) -> Assessment:
    """Return the assessment of owed work for which a call would be refused."""
    delay_s = OWED_DELAYS_S[min(count - REFUSE_FROM_CRASHES, len(OWED_DELAYS_S) - 1)]
    remaining_s = min(delay_s, max(0.0, last_crash_at + delay_s - now))
    return Assessment(SuspicionLevel.ISOLATED, count, 0, remaining_s, last_crash_at)


def _is_old(known: Suspect, now: float) -> bool:
    return now - known.seen_at > RETENTION_S


def _clamped(at: float, now: float) -> float:
    """Return a time clamped to the near future; invalid times such as NaN become 0."""
    return min(at, now + MAX_CLOCK_AHEAD_S) if at >= 0 else 0.0


def _all_clamped(suspect: Suspect, now: float) -> Suspect:
    """Return a suspect with invalid or far future times clamped."""
    return msgspec.structs.replace(
        suspect,
        crashes=tuple(
            msgspec.structs.replace(one, at=_clamped(one.at, now)) for one in suspect.crashes
        ),
        well_at=_clamped(suspect.well_at, now),
        trials=min(suspect.trials, len(TRIAL_DELAYS_S)),
        seen_at=_clamped(suspect.seen_at, now),
    )


__all__ = [
    "ISOLATE_FROM_CRASHES",
    "NO_SUSPICION",
    "OWED_DELAYS_S",
    "REFUSE_FROM_CRASHES",
    "RETENTION_S",
    "Assessment",
    "CrashTracker",
    "SuspicionLevel",
]
