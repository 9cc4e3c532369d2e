"""Appends results to lots in the store; readers see only what the store has acknowledged."""

from __future__ import annotations

import threading
from concurrent.futures import ThreadPoolExecutor
from typing import TYPE_CHECKING

from threadramp.lots.head_change import append_change
from threadramp.lots.journal import LotMissingError, NotOwnerError
from threadramp.lots.model import text_bytes
from threadramp.platform.store_model import StoreError, StoreUnknownError
from threadramp.report.guard import start_loop
from threadramp.report.log import log_state

if TYPE_CHECKING:
    from collections.abc import Callable

    from threadramp.fleet.clock import Clock
    from threadramp.lots.head_change import HeadChange
    from threadramp.lots.head_writer import HeadWriter
    from threadramp.lots.model import Result, StoredHead
    from threadramp.lots.owned import OwnedLot, OwnedLots
    from threadramp.report.metrics import Metrics

POLL_INTERVAL_S = 0.05
WRITE_THREADS = 4
RETRY_PAUSE_S = 0.4  # after a failed write


class ResultAppender:
    """Writes the results of all owned lots, one write at a time for each lot.

    A write that failed is sent again unchanged, until it is known whether it was done.

    :param on_owner_changed: called when another gateway owns a lot
    :param on_ended: called with the head of a lot that another gateway has ended
    :param newest_version: returns the newest published version of a model, 0 if there is none
    """

    def __init__(
        self,
        owned: OwnedLots,
        writer: HeadWriter,
        clock: Clock,
        on_owner_changed: Callable[[OwnedLot], None],
        on_ended: Callable[[StoredHead], object],
        metrics: Metrics,
        newest_version: Callable[[str], int],
    ) -> None:
        self.owned = owned
        self.writer = writer
        self.clock = clock
        self.on_owner_changed = on_owner_changed
        self.on_ended = on_ended
        self.metrics = metrics
        self.newest_version = newest_version
        self.pool = ThreadPoolExecutor(WRITE_THREADS, thread_name_prefix="append")
        self.stopped = threading.Event()
        writer.on_listed = self._record_listed

    def start(self) -> None:
        """Start the loop that appends results."""
        start_loop(self._run, self.stopped)

    def _run(self) -> None:
        while not self.stopped.wait(POLL_INTERVAL_S):
            self.run_once()

    def run_once(self) -> None:
        """Begin to write the results that are due."""
        now = self.clock.now()
        for lot in self.owned.open():
            with self.owned.lock:
                expired = lot.tracker.give_up_overdue(now)
                chunk = lot.tracker.next_chunk(now)
                change = append_change(lot.stored, chunk) if chunk else None
            if expired:
                log_state("samples_expired", lot=lot.lot_id, samples=expired)
            if change is not None:
                self.pool.submit(self._append, lot, change)

    def _append(self, lot: OwnedLot, change: HeadChange) -> None:
        started = self.clock.now()
        try:
            stored = self.writer.write(lot, change)
        except (NotOwnerError, LotMissingError) as error:
            log_state("lot_owner_changed", lot=lot.lot_id, error=str(error))
            self.on_owner_changed(lot)
        except StoreError as error:
            is_unknown = isinstance(error, StoreUnknownError)
            log_state(
                "append_failed",
                lot=lot.lot_id,
                results=len(change.results),
                may_be_done=is_unknown,
                error=str(error),
            )
            self._repeat(lot, change)
        except Exception as error:  # the thread pool would discard it
            log_state("append_error", lot=lot.lot_id, error=repr(error))
            self._repeat(lot, change)
        else:
            self.metrics.record_latency("append", self.clock.now() - started)
            if stored.head.ended:
                self.on_ended(stored)

    def _repeat(self, lot: OwnedLot, change: HeadChange) -> None:
        """Send a failed write again after a pause, unless its outcome is known by then.

        A write that was not done is replaced by one with the results of that time.
        """
        self.stopped.wait(RETRY_PAUSE_S)
        with self.owned.lock:
            is_unresolved = change.nonce in lot.unresolved
            if not is_unresolved and lot.stored.revision == change.before.revision:
                lot.tracker.append_failed()
        is_owned = self.owned.get(lot.lot_id) is lot and not lot.tracker.ended
        if is_unresolved and is_owned and not self.stopped.is_set():
            self.pool.submit(self._append, lot, change)

    def _record_listed(self, lot: OwnedLot, results: tuple[Result, ...]) -> None:
        for result in results:
            self.metrics.count("listed", result.state.value)
            _log_result(lot, result)
        behind = self._versions_behind(lot, results)
        log_state(
            "listed",
            lot=lot.lot_id,
            samples=[result.sample for result in results],
            behind=behind,
            positions=lot.stored.head.listed,
            revision=lot.stored.revision,
        )

    def _versions_behind(self, lot: OwnedLot, chunk: tuple[Result, ...]) -> list[int]:
        """Count how far the oldest version in each text is behind the newest published one."""
        newest = self.newest_version(lot.tracker.lot.model)
        behind = [max(0, newest - min(result.versions)) for result in chunk if result.versions]
        for versions in behind:
            self.metrics.count("versions_behind", str(versions))
        return behind


def _log_result(lot: OwnedLot, result: Result) -> None:
    """Log how the text of a result came about, as far as this gateway made it."""
    state = lot.tracker.states[result.sample]
    log_state(
        "sample_listed",
        sample=result.sample,
        lot=lot.lot_id,
        state=result.state.value,
        bytes=text_bytes(result.text),
        events=len(state.events),
        runs=state.runs,
        source=state.source.value,
    )


__all__ = ["ResultAppender"]
