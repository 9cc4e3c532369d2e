"""Reads the logs of the platform's processes and counts good and bad events of each objective.

A caller's request is good if it was answered with success within the target of its route, a sample
if it was listed by the time at which its lot was due. So one sees when a day's error budget was
spent, and beside it when the store was away.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import msgspec

from threadramp.core.burn import BurnPoint, ObjectiveRecord
from threadramp.core.lot_tracker import RunOutcome
from threadramp.report.lot_times import LotRuns, LotTimes
from threadramp.report.organisation_shares import OrganisationShares

if TYPE_CHECKING:
    from collections.abc import Iterable

KIND_PREFIX = "threadramp:"
FIRST_FAILURE_STATUS = 400
SAMPLES = "samples in time"


@dataclass(frozen=True)
class DayEvent:
    """Good and bad events of an objective at one moment.

    :param at: seconds of the time of day
    """

    objective: str
    at: float
    good: float
    bad: float


@dataclass(frozen=True)
class TakenLot:
    """A lot as its first gateway took it.

    :param due_s: seconds after its hand-in at which its results are due
    """

    at: float
    due_s: float
    model: str = ""
    step: int = 0


@dataclass(frozen=True)
class StoreAway:
    """A time without an answer of the store, as one process saw it."""

    until: float
    seconds: float


class DayLog:
    """Collects what counts from the lines of all processes, in any order."""

    def __init__(self) -> None:
        self.answers: list[DayEvent] = []
        self.lots: dict[str, TakenLot] = {}
        self.listings: list[tuple[str, float, int]] = []
        self.store_away: list[StoreAway] = []
        self.store_calls: Counter[tuple[str, str]] = Counter()
        self.runs = LotRuns()
        self.organisations = OrganisationShares()
        self.unreadable = 0
        self.last_at = 0.0

    def read(self, lines: Iterable[str]) -> None:
        """Take lines; what stands before the first brace, such as a box's name, is passed over."""
        for line in lines:
            start = line.find("{")
            if start < 0:
                continue
            try:
                row = msgspec.json.decode(line[start:])
            except msgspec.DecodeError:
                self.unreadable += 1  # told in the report
                continue
            if isinstance(row, dict) and "timestamp" in row:
                self._take(row)

    def events(self) -> list[DayEvent]:
        """Return all events in the order of their times."""
        return sorted([*self.answers, *self._sample_events()], key=lambda event: event.at)

    def records(self, target: float) -> list[ObjectiveRecord]:
        """Return the events by objective, with their ages at the end of the day.

        :param target: share of events that should be good
        """
        points: dict[str, list[BurnPoint]] = {}
        for event in self.events():
            point = BurnPoint(self.last_at - event.at, event.good, event.bad)
            points.setdefault(event.objective, []).append(point)
        return [ObjectiveRecord(name, target, tuple(row)) for name, row in sorted(points.items())]

    @property
    def span_s(self) -> float:
        """Return the seconds from the first event to the last line."""
        events = self.events()
        return self.last_at - events[0].at if events else 0.0

    def lot_times(self) -> list[LotTimes]:
        """Return what became of each lot, in the order of their hand-in."""
        listed: dict[str, float] = {}
        for lot_id, at, _ in self.listings:
            listed[lot_id] = max(at, listed.get(lot_id, at))
        return [
            LotTimes(
                lot=lot_id,
                model=lot.model,
                step=lot.step,
                due_s=lot.due_s,
                listed_s=listed[lot_id] - lot.at if lot_id in listed else None,
                wait_s=self.runs.wait_of_longest(lot_id, lot.at),
            )
            for lot_id, lot in sorted(self.lots.items(), key=lambda item: item[1].at)
        ]

    def _take(self, row: dict[str, Any]) -> None:
        at = row["timestamp"]
        self.last_at = max(self.last_at, at)
        kind = str(row.get("message_type", "")).removeprefix(KIND_PREFIX)
        taker = _TAKERS.get(kind)
        if taker is not None:
            taker(self, at, row)

    def _sample_events(self) -> list[DayEvent]:
        """Return an event for each listing, as good as its samples were in time."""
        found = []
        for lot_id, at, samples in self.listings:
            lot = self.lots.get(lot_id)
            if lot is not None and lot.due_s:
                in_time = samples * (at <= lot.at + lot.due_s)
                found.append(DayEvent(SAMPLES, at, float(in_time), float(samples - in_time)))
        return found


def _take_answer(log: DayLog, at: float, row: dict[str, Any]) -> None:
    late = bool(row.get("target_ms")) and row["ms"] > row["target_ms"]
    good = row["status"] < FIRST_FAILURE_STATUS and not late
    log.answers.append(DayEvent(f"route {row['route']}", at, float(good), float(not good)))
    if row.get("organisation"):
        served = row["status"] < FIRST_FAILURE_STATUS
        log.organisations.note(row["organisation"], served, good)


def _take_lot(log: DayLog, at: float, row: dict[str, Any]) -> None:
    due_s = row.get("due_s", 0.0)
    log.lots.setdefault(row["lot"], TakenLot(at, due_s, row.get("model", ""), row.get("step", 0)))


def _take_listing(log: DayLog, at: float, row: dict[str, Any]) -> None:
    log.listings.append((row["lot"], at, len(row["samples"])))


def _take_return(log: DayLog, at: float, row: dict[str, Any]) -> None:
    log.store_away.append(StoreAway(at, row["away_s"]))


def _take_calls(log: DayLog, at: float, row: dict[str, Any]) -> None:
    for cause, count in row["calls"].items():
        log.store_calls[cause, row["role"]] += count


def _take_sent(log: DayLog, at: float, row: dict[str, Any]) -> None:
    log.runs.sent(at, row["taken"])


def _take_run(log: DayLog, at: float, row: dict[str, Any]) -> None:
    if row["outcome"] == RunOutcome.COMPLETE.value:
        log.runs.whole(row["lot"], row["sample"], row["events"])


_TAKERS: dict[str, Callable[[DayLog, float, dict[str, Any]], None]] = {
    "answered": _take_answer,
    "lot_taken": _take_lot,
    "listed": _take_listing,
    "store_regained": _take_return,
    "store_calls": _take_calls,
    "samples_sent": _take_sent,
    "run_ended": _take_run,
}

__all__ = ["DayEvent", "DayLog", "StoreAway", "TakenLot"]
