"""Reads the logs of the platform's processes and counts good and bad events of each objective.

A caller's request is good if it was answered with success within the target latency of its route. A
sample is good if it was listed by the time at which its lot was due. The report shows when a day's
error budget was spent and, for comparison, when the store was unreachable.
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

MESSAGE_TYPE_PREFIX = "threadramp:"
FIRST_FAILURE_STATUS = 400
SAMPLES_OBJECTIVE = "samples in time"


@dataclass(frozen=True)
class DayEvent:
    """Good and bad events of an objective at one time.

    :param at: seconds since the epoch
    """

    objective: str
    at: float
    good: float
    bad: float


@dataclass(frozen=True)
class AcceptedLot:
    """A lot as it was accepted by its first gateway.

    :param at: time at which it was accepted, in seconds since the epoch
    :param due_s: seconds after that time until its results are due
    """

    at: float
    due_s: float
    model: str = ""
    step: int = 0


@dataclass(frozen=True)
class StoreOutage:
    """A period in which one process got no response from the store.

    :param ended_at: seconds since the epoch
    """

    ended_at: float
    duration_s: float


class DayLog:
    """Collects the events for the report from the log lines of all processes, in any order."""

    def __init__(self) -> None:
        self.route_events: list[DayEvent] = []
        self.lots: dict[str, AcceptedLot] = {}
        self.listings: list[tuple[str, float, int]] = []
        self.store_outages: list[StoreOutage] = []
        self.store_calls: Counter[tuple[str, str]] = Counter()
        self.runs = LotRuns()
        self.organisations = OrganisationShares()
        self.unreadable = 0
        self.last_at = 0.0

    def read(self, lines: Iterable[str]) -> None:
        """Read log lines; a prefix before the first brace, such as a box's name, is ignored."""
        for line in lines:
            start = line.find("{")
            if start < 0:
                continue
            try:
                row = msgspec.json.decode(line[start:])
            except msgspec.DecodeError:
                self.unreadable += 1  # the report states the number
                continue
            if isinstance(row, dict) and "timestamp" in row:
                self._handle(row)

    def events(self) -> list[DayEvent]:
        """Return all events, earliest first."""
        return sorted([*self.route_events, *self._sample_events()], key=lambda event: event.at)

    def records(self, target: float) -> list[ObjectiveRecord]:
        """Return the events by objective, with their ages at the time of the last line.

        :param target: target share of good events
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
        """Return the times of each lot, in the order of submission."""
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

    def _handle(self, row: dict[str, Any]) -> None:
        at = row["timestamp"]
        self.last_at = max(self.last_at, at)
        event = str(row.get("message_type", "")).removeprefix(MESSAGE_TYPE_PREFIX)
        handler = _HANDLERS.get(event)
        if handler is not None:
            handler(self, at, row)

    def _sample_events(self) -> list[DayEvent]:
        """Return an event for each listing; its samples are good if they were listed in time."""
        found = []
        for lot_id, at, samples in self.listings:
            lot = self.lots.get(lot_id)
            if lot is not None and lot.due_s:
                in_time = samples * (at <= lot.at + lot.due_s)
                found.append(
                    DayEvent(SAMPLES_OBJECTIVE, at, float(in_time), float(samples - in_time))
                )
        return found


def _handle_answered(log: DayLog, at: float, row: dict[str, Any]) -> None:
    late = bool(row.get("target_ms")) and row["ms"] > row["target_ms"]
    good = row["status"] < FIRST_FAILURE_STATUS and not late
    log.route_events.append(DayEvent(f"route {row['route']}", at, float(good), float(not good)))
    if row.get("organisation"):
        served = row["status"] < FIRST_FAILURE_STATUS
        log.organisations.record(row["organisation"], served, good)


def _handle_lot_taken(log: DayLog, at: float, row: dict[str, Any]) -> None:
    due_s = row.get("due_s", 0.0)
    log.lots.setdefault(
        row["lot"], AcceptedLot(at, due_s, row.get("model", ""), row.get("step", 0))
    )


def _handle_listed(log: DayLog, at: float, row: dict[str, Any]) -> None:
    log.listings.append((row["lot"], at, len(row["samples"])))


def _handle_store_regained(log: DayLog, at: float, row: dict[str, Any]) -> None:
    log.store_outages.append(StoreOutage(at, row["away_s"]))


def _handle_store_calls(log: DayLog, at: float, row: dict[str, Any]) -> None:
    for cause, count in row["calls"].items():
        log.store_calls[cause, row["role"]] += count


def _handle_samples_sent(log: DayLog, at: float, row: dict[str, Any]) -> None:
    log.runs.record_sent(at, row["taken"])


def _handle_run_ended(log: DayLog, at: float, row: dict[str, Any]) -> None:
    if row["outcome"] == RunOutcome.COMPLETE.value:
        log.runs.record_complete(row["lot"], row["sample"], row["events"])


_HANDLERS: dict[str, Callable[[DayLog, float, dict[str, Any]], None]] = {
    "answered": _handle_answered,
    "lot_taken": _handle_lot_taken,
    "listed": _handle_listed,
    "store_regained": _handle_store_regained,
    "store_calls": _handle_store_calls,
    "samples_sent": _handle_samples_sent,
    "run_ended": _handle_run_ended,
}

__all__ = ["AcceptedLot", "DayEvent", "DayLog", "StoreOutage"]
