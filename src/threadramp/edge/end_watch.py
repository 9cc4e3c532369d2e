"""Settles whether endpoints ended that broke all connections while their ports go on answering."""

from __future__ import annotations

import threading
import time
from typing import TYPE_CHECKING

from threadramp.edge.endpoint_probe import born_at
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

WATCHED_MOST = 64  # endpoints at once, each with a thread
AFTER_S = 0.001


class EndWatch:
    """Asks endpoints that may have ended for their births until they answer; one for a process.

    :param ask: returns the birth that the endpoint at an address tells
    :param pause: waits between two looks
    :param is_replaced: whether a start of another id is listed at an address
    """

    def __init__(
        self,
        book: CrashTracker,
        clock: Clock,
        ask: Callable[[str], int | None] = born_at,
        pause: Callable[[float], None] = time.sleep,
        is_replaced: Callable[[Incarnation, str], bool] = lambda start, address: False,
    ) -> None:
        self.book = book
        self.clock = clock
        self.ask = ask
        self.pause = pause
        self.is_replaced = is_replaced
        self.held: dict[Incarnation, dict[bytes, float]] = {}
        self.lock = threading.Lock()

    def watch(self, start: Incarnation, address: str, fingerprint: bytes) -> None:
        """Find out whether a start ended, which a request was open at when it broke."""
        at = self.clock.time_of_day()
        with self.lock:
            if start in self.held:
                self.held[start].setdefault(fingerprint, at)
                return
            if len(self.held) >= WATCHED_MOST:
                return
            self.held[start] = {fingerprint: at}
        try:
            threading.Thread(target=self._settle, args=(start, address), daemon=True).start()
        except RuntimeError as error:  # no room for a thread; an answer takes it back later
            with self.lock:
                del self.held[start]
            log_state("end_not_settled", instance=start.instance, error=str(error))

    def _settle(self, start: Incarnation, address: str) -> None:
        try:
            found, told = self._look_until_settled(start, address)
        finally:
            with self.lock:
                held = self.held.pop(start)
        if found is CrashResolution.CRASHED:
            for fingerprint, at in held.items():
                if told:
                    self.book.confirm_crash(fingerprint, start, at, told)
                else:  # its id is not used again, so that no answer takes this back
                    self.book.record_crash(fingerprint, start, at)
            log_state("end_proven", instance=start.instance, born=start.born, next_born=told)
        elif found is CrashResolution.ALIVE:
            self.book.retract_crash(start, self._after(held), told)
            log_state("endpoint_lives", instance=start.instance, born=told)
        else:
            log_state("end_not_settled", instance=start.instance, born=start.born)

    def _after(self, held: dict[bytes, float]) -> float:
        """Return the time now, after all that is held also where the time of day was put back."""
        return max(self.clock.time_of_day(), max(held.values()) + AFTER_S)

    def _look_until_settled(self, start: Incarnation, address: str) -> tuple[CrashResolution, int]:
        broke_at = self.clock.time_of_day()
        answered_s = None  # seconds since it first answered without a birth
        for pause_s in probe_delays():
            self.pause(pause_s)
            told = self.ask(address)
            if self.is_replaced(start, address):
                return CrashResolution.CRASHED, told or 0
            if told == 0 or (told is None and answered_s is not None):
                answered_s = 0.0 if answered_s is None else answered_s + pause_s
                if answered_s >= ENTRY_DELAY_S:
                    return CrashResolution.ALIVE, 0
                continue
            found = resolve_crash(start.born, told, broke_at)
            if found is not CrashResolution.PENDING:
                return found, told or 0
        return CrashResolution.PENDING, 0


__all__ = ["EndWatch"]
