"""Brings the engine to the declared weight versions and notices when it is not there."""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING

from threadramp.core.served_versions import Order
from threadramp.report.guard import start_loop
from threadramp.report.log import log_state
from threadramp.sidecar.state import now

if TYPE_CHECKING:
    from threadramp.sidecar.engine import EngineVersions
    from threadramp.sidecar.state import SidecarState

TICK_S = 0.1


class Reconciler:
    """One thread that orders and reads back, and one that only watches the clock."""

    def __init__(self, state: SidecarState) -> None:
        self.state = state
        self.core = state.core
        self.stopped = threading.Event()

    def start(self) -> None:
        """Start both threads."""
        start_loop(self._reconcile, self.stopped)
        start_loop(self._watch_clock, self.stopped)

    def stop(self) -> None:
        """End both threads."""
        self.stopped.set()

    def _watch_clock(self) -> None:
        while not self.stopped.wait(TICK_S):
            with self.state.lock:
                self.core.observe(now())
                waste = self.core.samples.take_waste()
            self.state.metrics.count("wasted_tokens", amount=waste.tokens)
            self.state.metrics.count("restarted_stale", amount=waste.restarts)

    def _reconcile(self) -> None:
        while not self.stopped.wait(TICK_S):
            with self.state.lock:
                serves_models = bool(self.core.declared_versions())
                due = self.core.next_engine_actions(now()) if serves_models else []
            for action in due:
                if isinstance(action, Order):
                    self._order(action)
                else:
                    self._read()

    def _order(self, order: Order) -> None:
        with self.state.lock:
            if not self.core.may_send_order(order, now()):
                return  # it lay here while another was carried out, and news has overtaken it
            self.core.served_versions.record_order_sent(order, now())
        log_state("order_sent", model=order.model, version=order.version, fence=order.fencing_token)
        accepted, fence = self.state.engine.order(order, lambda: self._may_order(order))
        self.state.metrics.count("order", "accepted" if accepted else "failed")
        with self.state.lock:
            self.core.served_versions.record_order_result(order.model, accepted, now(), fence)
        self._read()

    def _may_order(self, order: Order) -> bool:
        with self.state.lock:
            return self.core.may_send_order(order, now())

    def _read(self) -> None:
        with self.state.lock:
            self.core.observe(now())
            asked_at = self.core.served_versions.generation
        read = self.state.engine.versions()
        with self.state.work:
            before = self.core.served_versions.verified()
            self._take(read, asked_at)
            after = self.core.served_versions.verified()
            self.state.work.notify_all()
        if before != after:
            log_state("verified", before=before, after=after)

    def _take(self, read: EngineVersions | None, asked_at: int) -> None:
        """Take what the engine said unless something has changed since it was asked.

        Its answer may have lain here while this process stood still.

        :param asked_at: generation of the record at which it was asked
        """
        self.core.observe(now())
        if self.core.served_versions.generation != asked_at:
            log_state(
                "read_back_old", asked_at=asked_at, generation=self.core.served_versions.generation
            )
            return
        if read is None:
            self.core.served_versions.record_versions(self.core.served_versions.boot, {}, now())
        else:
            self.core.served_versions.record_versions(read.boot, read.weights, now())


__all__ = ["Reconciler"]
