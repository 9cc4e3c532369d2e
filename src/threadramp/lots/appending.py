"""Appends results to lots in the store; only what the store has acknowledged may be read."""

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
    from threadramp.lots.model import KeptHead, Result
    from threadramp.lots.owned import OwnedLot, OwnedLots
    from threadramp.report.metrics import Metrics

TURN_S = 0.05
THREADS = 4
RETRY_PAUSE_S = 0.4  # after a write that the store did not take


class Appending:
    """Writes the results of all owned lots, one write at a time for each.

    :param on_other_owner: called when a lot has changed hands
    :param newest: returns the newest version that is named of a model, 0 if none is
    """

    def __init__(
        self,
        owned: OwnedLots,
        journal: LotJournal,
        clock: Clock,
        on_other_owner: Callable[[OwnedLot], None],
        metrics: Metrics,
        newest: Callable[[str], int],
    ) -> None:
        self.owned = owned
        self.journal = journal
        self.clock = clock
        self.on_other_owner = on_other_owner
        self.metrics = metrics
        self.newest = newest
        self.pool = ThreadPoolExecutor(THREADS, thread_name_prefix="append")
        self.stopped = threading.Event()

    def start(self) -> None:
        """Start appending."""
        start_loop(self._run, self.stopped)

    def _run(self) -> None:
        while not self.stopped.wait(TURN_S):
            now = self.clock.now()
            for lot in self.owned.open():
                with self.owned.lock:
                    late = lot.book.give_up_overdue(now)
                    chunk = lot.book.next_chunk(now)
                if late:
                    log_state("given_up_late", lot=lot.lot_id, samples=late)
                if chunk:
                    self.pool.submit(self._append, lot, chunk)

    def _append(self, lot: OwnedLot, chunk: tuple[Result, ...]) -> None:
        started = self.clock.now()
        try:
            grown = self.journal.append(lot.kept, chunk)
            self.metrics.record_latency("append", self.clock.now() - started)
        except (NotOwnerError, LotMissingError) as error:
            log_state("lot_changed_hands", lot=lot.lot_id, error=str(error))
            self.on_other_owner(lot)
        except StoreError as error:
            log_state("append_failed", lot=lot.lot_id, results=len(chunk), error=str(error))
            self.stopped.wait(RETRY_PAUSE_S)
            with self.owned.lock:
                lot.book.append_failed()
        except Exception as error:  # a thread of the pool would swallow it
            log_state("append_broken", lot=lot.lot_id, error=repr(error))
            with self.owned.lock:
                lot.book.append_failed()
        else:
            self._listed(lot, grown, chunk, started)

    def _listed(
        self, lot: OwnedLot, grown: KeptHead, chunk: tuple[Result, ...], started: float
    ) -> None:
        with self.owned.lock:
            lot.sure_at = started
            lot.kept = grown
            lot.book.appended(chunk)
            self.owned.tell_listed()
        for result in chunk:
            self.metrics.count("listed", result.state.value)
        behind = self._versions_behind(lot, chunk)
        log_state(
            "listed",
            lot=lot.lot_id,
            samples=[result.sample for result in chunk],
            behind=behind,
            positions=grown.head.listed,
            revision=grown.revision,
        )

    def _versions_behind(self, lot: OwnedLot, chunk: tuple[Result, ...]) -> list[int]:
        """Count how far the oldest version in each text is behind the newest that is named."""
        newest = self.newest(lot.book.lot.model)
        behind = [max(0, newest - min(result.versions)) for result in chunk if result.versions]
        for versions in behind:
            self.metrics.count("versions_behind", str(versions))
        return behind


__all__ = ["Appending"]
