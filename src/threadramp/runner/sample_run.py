"""Runs one sample at the engine and takes its events."""

from __future__ import annotations

import socket
from typing import TYPE_CHECKING

from urllib3.exceptions import HTTPError

from threadramp.core.lot_book import RunOutcome
from threadramp.edge.exchange import (
    ExchangeError,
    is_connection_error,
    iter_body,
    streamed_response,
)
from threadramp.lots.names import given_name
from threadramp.platform.headers import OTHER_INSTANCE_STATUS, read_answer, sample_headers
from threadramp.report.log import log_state
from threadramp.runner.engine_ends import has_ended
from threadramp.runner.events import EventReader

if TYPE_CHECKING:
    from urllib3 import BaseHTTPResponse

    from threadramp.edge.exchange import Exchange
    from threadramp.fleet.clock import Clock
    from threadramp.report.metrics import Metrics
    from threadramp.runner.engine import Engine
    from threadramp.runner.events import Event
    from threadramp.runner.run import Run
    from threadramp.runner.runs import RunTable

CONNECT_S = 0.5
# The head comes with the first token, and an engine is given no more samples than it has slots:
# 1,599 of 1,599 came within 0.3 s on a day of high load.
HEAD_S = 0.3
SILENT_S = 5.0  # a stream that brings nothing for so long is cut; a load of weights takes 0.9 s


class SampleRun:
    """One run of one sample."""

    def __init__(
        self, engine: Engine, table: RunTable, run: Run, clock: Clock, metrics: Metrics
    ) -> None:
        self.metrics = metrics
        self.started = clock.now()
        self.sent_at = self.started
        self.engine = engine
        self.table = table
        self.run = run
        self.life = run.life
        self.clock = clock
        self.start = engine.start
        self.version = 0
        self.last_event = 0.0

    def execute(self) -> None:
        """Run it to its end, or put it back if the engine did not begin with it."""
        try:
            self._execute_once_more_if_stale()
        except ExchangeError as error:
            self._finish(self._outcome_of_end(error.broken), str(error))
        except Exception as error:  # the sample would hang for ever else
            self._finish(RunOutcome.CUT, repr(error))

    def _execute_once_more_if_stale(self) -> None:
        """Run it, again at once where a kept connection had been dropped or passes nothing."""
        try:
            self._execute()
        except ExchangeError as error:
            if not (error.stale or error.unresponsive) or self._is_over():
                raise
            if self._outcome_of_end(error.broken) is RunOutcome.CRASHED:
                raise  # the next start is not for it to end as well
            log_state("connection_stale", sample=self.run.order.sample.id, error=str(error))
            self.engine.forget_connections()  # the others were dropped by then as well
            self._execute()

    def _is_over(self) -> bool:
        """Return whether the run was ended, or begun anew, by others."""
        with self.table.changed:
            return self.run.life != self.life or not self.run.is_open

    def _execute(self) -> None:
        endpoint = self.engine.endpoint()
        ident = given_name(self.run.order.sample.id)
        now = self.clock.now()
        exchange = self.engine.connections.acquire(endpoint, now, CONNECT_S, request_id=ident)
        if not self._register(exchange):
            exchange.close()
            return
        self._send(exchange)
        response = exchange.read_own_head(HEAD_S)
        if exchange.duplicates:
            self.metrics.count("answer_not_own", "named")
        head = read_answer(response.status, response.headers)
        if not exchange.is_own(head):  # a second answer of a sample before it, or nobody's
            exchange.close()
            self.metrics.count("answer_not_own", "named" if head.request_id else "unnamed")
            self._finish(RunOutcome.CUT, f"the answer to {head.request_id or 'nobody knows what'}")
            return
        if head.not_run:
            exchange.close()
            self._not_begun(head.status)
            return
        if head.status != 200:
            exchange.close()
            self._finish(_outcome_of(head.status), f"status {head.status}")
            return
        self.version = head.version
        self._take_stream(exchange, response)

    def _send(self, exchange: Exchange) -> None:
        """Send the sample, to go on behind the events that are here."""
        order = self.run.order
        headers = sample_headers(
            (*order.sample.headers, ("Host", order.host)),
            given_name(order.sample.id),
            max(1.0, order.give_up_in_s),
            self.start.instance,
            self.run.count,
            order.rank,
            order.organisation,
        )
        self.sent_at = self.clock.now()
        exchange.send("POST", order.sample.path, headers, order.sample.body)

    def _not_begun(self, status: int) -> None:
        """Put the sample back; another start of the engine is not asked again as this one."""
        if status == OTHER_INSTANCE_STATUS:
            self.engine.is_another(self.start)
        self.table.put_back(self.run, self.life)
        self.metrics.count("sample_not_begun", str(status))
        log_state(
            "sample_not_begun",
            sample=self.run.order.sample.id,
            instance=self.start.instance,
            status=status,
            rejections=self.run.rejections,
        )

    def _register(self, exchange: Exchange) -> bool:
        """Let others close the connection; false if the run is over already."""
        stream = exchange.connection.sock

        def cancel() -> None:
            try:
                stream.shutdown(socket.SHUT_RDWR)
            except OSError:  # it is closed already
                return

        with self.table.changed:
            if self._is_over():
                return False
            self.run.cancel = cancel
            self.run.start = self.start
            return True

    def _take_stream(self, exchange: Exchange, response: BaseHTTPResponse) -> None:
        reader = EventReader()
        exchange.connection.sock.settimeout(SILENT_S)
        self.last_event = self.clock.now()
        try:
            for data in iter_body(response):
                for event in reader.feed(data):
                    if not self._take_event(event):
                        exchange.close()
                        return
        except (OSError, HTTPError, ValueError, AttributeError) as error:
            exchange.close()
            self._finish(self._outcome_of_end(is_connection_error(error)), repr(error))
            return
        if not reader.is_between_events:
            exchange.close()
            self._finish(self._outcome_of_end(True), "it stopped within an event")
            return
        self.engine.keep(exchange, streamed_response(response))
        self._finish(RunOutcome.WHOLE, "")

    def _take_event(self, event: Event) -> bool:
        """Add one event; false if the run ends here."""
        now = self.clock.now()
        self.engine.add_gap(now - self.last_event)
        self.last_event = now
        self.version = event.version or self.version
        if event.number != self.run.count + 1:
            self._finish(RunOutcome.CUT, f"event {event.number} after {self.run.count}")
            return False
        return self.table.add_event(self.run, self.life, event.text, self.version)

    def _outcome_of_end(self, broken: bool) -> RunOutcome:
        """Return how a run ended that brought no whole text.

        :param broken: whether the engine broke the connection
        """
        if not broken or self.engine.is_leaving:
            return RunOutcome.CUT
        ended = has_ended(self.engine.address, self.clock.now() - self.sent_at)
        return RunOutcome.CRASHED if ended else RunOutcome.CUT

    def _finish(self, outcome: RunOutcome, reason: str) -> None:
        if not self.table.finish(self.run, self.life, outcome):
            return
        self.metrics.count("sample_ended", outcome.value)
        self.metrics.latency("sample", self.clock.now() - self.started)
        log_state(
            "sample_ended",
            sample=self.run.order.sample.id,
            outcome=outcome.value,
            events=self.run.count,
            instance=self.start.instance,
            reason=reason,
        )


def _outcome_of(status: int) -> RunOutcome:
    if status == 500:
        return RunOutcome.FAILED
    return RunOutcome.IMPOSSIBLE if status == 422 else RunOutcome.CUT


__all__ = ["SampleRun"]
