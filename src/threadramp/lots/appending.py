"""Appends results to lots in the store; readers see only what the store has acknowledged."""

from __future__ import annotations

import threading
from concurrent.futures import ThreadPoolExecutor
from typing import TYPE_CHECKING

from threadramp.lots.journal import LotMissingError, NotOwnerError
from threadramp.platform.store_model import StoreError
from threadramp.report.guard import start_loop
from threadramp.report.log import log_state

if TYPE_CHECKING:
    from collections.abc import Callable

    from threadramp.fleet.clock import Clock
    from threadramp.lots.journal import LotJournal
    from threadramp.lots.model import Result, StoredHead
    from threadramp.lots.owned import OwnedLot, OwnedLots
    from threadramp.report.metrics import Metrics

POLL_INTERVAL_S = 0.05
WRITE_THREADS = 4
RETRY_PAUSE_S = 0.4  # after a failed write


class ResultAppender:
    """Writes the results of all owned lots, one write at a time for each lot.

    :param on_owner_changed: called when another gateway owns a lot
    :param newest_version: returns the newest published version of a model, 0 if there is none
    """

    def __init__(
        self,
        owned: OwnedLots,
        journal: LotJournal,
        clock: Clock,
        on_owner_changed: Callable[[OwnedLot], None],
        metrics: Metrics,
        newest_version: Callable[[str], int],
    ) -> None:
        self.owned = owned
        self.journal = journal
        self.clock = clock
        self.on_owner_changed = on_owner_changed
        self.metrics = metrics
        self.newest_version = newest_version
        self.pool = ThreadPoolExecutor(WRITE_THREADS, thread_name_prefix="append")
        self.stopped = threading.Event()

    def start(self) -> None:
        """Start the loop that appends results."""
        start_loop(self._run, self.stopped)

    def _run(self) -> None:
        while not self.stopped.wait(POLL_INTERVAL_S):
            now = self.clock.now()
            for lot in self.owned.open():
                with self.owned.lock:
                    expired = lot.tracker.give_up_overdue(now)
                    chunk = lot.tracker.next_chunk(now)
                if expired:
                    log_state("samples_expired", lot=lot.lot_id, samples=expired)
                if chunk:
                    self.pool.submit(self._append, lot, chunk)

    def _append(self, lot: OwnedLot, chunk: tuple[Result, ...]) -> None:
        started = self.clock.now()
        try:
            stored = self.journal.append(lot.stored, chunk)
            self.metrics.latency("append", self.clock.now() - started)
        except (NotOwnerError, LotMissingError) as error:
            log_state("lot_owner_changed", lot=lot.lot_id, error=str(error))
            self.on_owner_changed(lot)
        except StoreError as error:
            log_state("append_failed", lot=lot.lot_id, results=len(chunk), error=str(error))
            self.stopped.wait(RETRY_PAUSE_S)
            with self.owned.lock:
                lot.tracker.append_failed()
        except Exception as error:  # the thread pool would discard it
            log_state("append_error", lot=lot.lot_id, error=repr(error))
            with self.owned.lock:
                lot.tracker.append_failed()
        else:
            self._record_listed(lot, stored, chunk, started)

    def _record_listed(
        self, lot: OwnedLot, stored: StoredHead, chunk: tuple[Result, ...], started: float
    ) -> None:
        with self.owned.lock:
            lot.ownership_confirmed_at = started
            lot.stored = stored
            lot.tracker.appended(chunk)
            self.owned.notify_readers()
        for result in chunk:
            self.metrics.count("listed", result.state.value)
        behind = self._versions_behind(lot, chunk)
        log_state(
            "listed",
            lot=lot.lot_id,
            samples=[result.sample for result in chunk],
            behind=behind,
            positions=stored.head.listed,
            revision=stored.revision,
        )

    def _versions_behind(self, lot: OwnedLot, chunk: tuple[Result, ...]) -> list[int]:
        """Count how far the oldest version in each text is behind the newest published one."""
        newest = self.newest_version(lot.tracker.lot.model)
        behind = [max(0, newest - min(result.versions)) for result in chunk if result.versions]
        for versions in behind:
            self.metrics.count("versions_behind", str(versions))
        return behind


__all__ = ["ResultAppender"]
