"""Finds out whether endpoints crashed that broke all connections while their ports stayed open."""

from __future__ import annotations

import threading
import time
from typing import TYPE_CHECKING

from threadramp.edge.endpoint_probe import fetch_start_time
from threadramp.policy.proxied_crashes import (
    ENTRY_DELAY_S,
    CrashResolution,
    probe_delays,
    resolve_crash,
)
from threadramp.report.log import log_state

if TYPE_CHECKING:
    from collections.abc import Callable

    from threadramp.fleet.clock import Clock
    from threadramp.fleet.model import Incarnation
    from threadramp.policy.crash_tracker import CrashTracker

MAX_PENDING = 64  # endpoints at once, each with a thread
MIN_STEP_S = 0.001


class CrashResolver:
    """Queries the start times of endpoints that may have crashed; one for each process.

    :param query_start_time: returns the start time that the endpoint at an address reports
    :param sleep: waits between two queries
    :param is_replaced: returns whether an endpoint with another id is listed at an address
    """

    def __init__(
        self,
        tracker: CrashTracker,
        clock: Clock,
        query_start_time: Callable[[str], int | None] = fetch_start_time,
        sleep: Callable[[float], None] = time.sleep,
        is_replaced: Callable[[Incarnation, str], bool] = lambda incarnation, address: False,
    ) -> None:
        self.tracker = tracker
        self.clock = clock
        self.query_start_time = query_start_time
        self.sleep = sleep
        self.is_replaced = is_replaced
        self.pending: dict[Incarnation, dict[bytes, float]] = {}
        self.lock = threading.Lock()

    def resolve(self, incarnation: Incarnation, address: str, fingerprint: bytes) -> None:
        """Find out whether an incarnation crashed that broke the connection of a request."""
        at = self.clock.time_of_day()
        with self.lock:
            if incarnation in self.pending:
                self.pending[incarnation].setdefault(fingerprint, at)
                return
            if len(self.pending) >= MAX_PENDING:
                return
            self.pending[incarnation] = {fingerprint: at}
        try:
            threading.Thread(target=self._resolve, args=(incarnation, address), daemon=True).start()
        except RuntimeError as error:  # no thread; a later response retracts the crash
            with self.lock:
                del self.pending[incarnation]
            log_state("crash_not_resolved", instance=incarnation.instance, error=str(error))

    def _resolve(self, incarnation: Incarnation, address: str) -> None:
        try:
            resolution, start_time = self._probe_until_resolved(incarnation, address)
        finally:
            with self.lock:
                pending = self.pending.pop(incarnation)
        if resolution is CrashResolution.CRASHED:
            for fingerprint, at in pending.items():
                if start_time:
                    self.tracker.confirm_crash(fingerprint, incarnation, at, start_time)
                else:  # its id is not reused, so no response will retract this
                    self.tracker.record_crash(fingerprint, incarnation, at)
            log_state(
                "crash_confirmed",
                instance=incarnation.instance,
                born=incarnation.born,
                next_born=start_time,
            )
        elif resolution is CrashResolution.ALIVE:
            self.tracker.retract_crash(incarnation, self._retraction_time(pending), start_time)
            log_state("endpoint_alive", instance=incarnation.instance, born=start_time)
        else:
            log_state("crash_not_resolved", instance=incarnation.instance, born=incarnation.born)

    def _retraction_time(self, pending: dict[bytes, float]) -> float:
        """Return the current time, or one after all pending crashes if the clock was set back."""
        return max(self.clock.time_of_day(), max(pending.values()) + MIN_STEP_S)

    def _probe_until_resolved(
        self, incarnation: Incarnation, address: str
    ) -> tuple[CrashResolution, int]:
        broke_at = self.clock.time_of_day()
        responding_s = None  # seconds since its first response without a start time
        for pause_s in probe_delays():
            self.sleep(pause_s)
            start_time = self.query_start_time(address)
            if self.is_replaced(incarnation, address):
                return CrashResolution.CRASHED, start_time or 0
            if start_time == 0 or (start_time is None and responding_s is not None):
                responding_s = 0.0 if responding_s is None else responding_s + pause_s
                if responding_s >= ENTRY_DELAY_S:
                    return CrashResolution.ALIVE, 0
                continue
            resolution = resolve_crash(incarnation.born, start_time, broke_at)
            if resolution is not CrashResolution.PENDING:
                return resolution, start_time or 0
        return CrashResolution.PENDING, 0


__all__ = ["CrashResolver"]
