"""Runs one sample at the engine and reads its event stream."""

from __future__ import annotations

import socket
import threading
from contextlib import suppress
from typing import TYPE_CHECKING

from urllib3.exceptions import HTTPError

from threadramp.core.lot_tracker import RunOutcome
from threadramp.edge.exchange import (
    ExchangeError,
    is_connection_error,
    iter_body,
    streamed_response,
)
from threadramp.lots.scoped_ids import unscoped_id
from threadramp.platform.headers import (
    OTHER_INSTANCE_STATUS,
    is_event_stream,
    read_answer,
    sample_headers,
)
from threadramp.report.log import log_state
from threadramp.runner.crash_detection import has_crashed
from threadramp.runner.events import EventReader, OtherResponse
from threadramp.wire.response_limits import Framing

if TYPE_CHECKING:
    from urllib3 import BaseHTTPResponse

    from threadramp.edge.exchange import Exchange
    from threadramp.fleet.clock import Clock
    from threadramp.report.metrics import Metrics
    from threadramp.runner.engine import Engine
    from threadramp.runner.events import Event
    from threadramp.runner.run import Run
    from threadramp.runner.runs import RunTable
    from threadramp.wire.runner import RunOrder

CONNECT_TIMEOUT_S = 0.5
# The response head arrives with the first token, and an engine gets no more samples than it has
# slots: 1,599 of 1,599 heads arrived within 0.3 s on a day of high load.
HEAD_TIMEOUT_S = 0.3
# Responses without events in a row, besides the first end behind the last event, after which a text
# without a length counts as complete: a crash or a cut may end one right behind its head.
CONFIRMING_ENDS = 2
DEADLINE_MARGIN_S = 0.05  # whole milliseconds are sent, and the engine's clock is another one
MIN_TIME_LEFT_S = 1.0  # for the engine, of a sample that may be given up sooner
STREAM_IDLE_TIMEOUT_S = 5.0  # a stream without an event is cut; a load of weights takes 0.9 s


class ConnectionShutdown:
    """Shuts down the connection of a run from another thread, until the run has left it.

    Without the latter, a delayed call would end the response to the next sample on the connection.
    """

    def __init__(self, sock: socket.socket) -> None:
        self.sock: socket.socket | None = sock
        self.is_shut_down = False
        self.lock = threading.Lock()

    def shut_down(self) -> None:
        """Shut down the connection; its reader sees a regular end."""
        with self.lock:
            if self.sock is None:
                return
            self.is_shut_down = True
            with suppress(OSError):  # already closed
                self.sock.shutdown(socket.SHUT_RDWR)

    def leave(self) -> bool:
        """Record that the run is done with the connection; false if it was shut down before."""
        with self.lock:
            self.sock = None
            return not self.is_shut_down


class SampleRun:
    """One run of one sample."""

    def __init__(
        self, engine: Engine, table: RunTable, run: Run, clock: Clock, metrics: Metrics
    ) -> None:
        self.metrics = metrics
        self.started_at = clock.now()
        self.sent_at = self.started_at
        self.engine = engine
        self.table = table
        self.run = run
        self.generation = run.generation
        self.taken_at: float | None = run.last_progress_at  # of the send limit
        self.clock = clock
        self.incarnation = engine.incarnation
        self.version = 0
        self.last_event_at = 0.0
        self.resumed_after = run.event_count
        self.framing = ""
        self.must_confirm_end = False
        self.deadline = float("inf")  # at which the engine stops working on it
        self.shutdown: ConnectionShutdown | None = None

    def execute(self) -> None:
        """Run the sample to its end, or requeue it if the engine did not begin it."""
        try:
            self._execute_with_retry()
            while self.must_confirm_end:
                self._confirm_end()
        except ExchangeError as error:
            ended = self.must_confirm_end and error.refused  # the end came with the engine's
            self._finish(self._outcome_of_break(error.broken or ended), str(error))
        except Exception as error:  # otherwise the sample would never end
            self._finish(RunOutcome.CUT, repr(error))

    def _execute_with_retry(self) -> None:
        """Run the sample; retry at once if a reused connection was closed or passes nothing."""
        try:
            self._execute()
        except ExchangeError as error:
            if not (error.stale or error.unresponsive) or self._is_over():
                raise
            if self._outcome_of_break(error.broken) is RunOutcome.CRASHED:
                raise  # a retry could crash the next incarnation as well
            log_state("connection_stale", sample=self.run.order.sample.id, error=str(error))
            self.engine.close_idle_connections()  # the others are closed by now as well
            self._execute()

    def _confirm_end(self) -> None:
        """Ask the engine to go on behind the last event, on a new connection."""
        if not self.table.may_ask_again(self.run):
            self.must_confirm_end = False
            self._finish(RunOutcome.CUT, "end of the connection, not confirmed")
            return
        self._execute(on_new=True)

    def _is_over(self) -> bool:
        """Return whether another thread has ended or restarted the run."""
        with self.table.changed:
            return self.run.generation != self.generation or not self.run.is_open

    def _execute(self, on_new: bool = False) -> None:
        endpoint = self.engine.endpoint()
        request_id = unscoped_id(self.run.order.sample.id)
        now = self.clock.now()
        exchange = self.engine.connections.acquire(
            endpoint, now, CONNECT_TIMEOUT_S, force_new=on_new, request_id=request_id
        )
        self.must_confirm_end = False
        if not self._register_cancel(exchange):
            exchange.close()
            return
        if not self._send(exchange):
            exchange.close()
            self.table.requeue(self.run, self.generation)
            return
        response = exchange.read_own_head(HEAD_TIMEOUT_S)
        if exchange.duplicates:
            self.metrics.count("answer_not_own", "named")
        head = read_answer(response.status, response.headers)
        if not exchange.is_own(head):  # duplicate response to an earlier sample, or unknown
            exchange.close()
            self.metrics.count("answer_not_own", "named" if head.request_id else "unnamed")
            self._finish(RunOutcome.CUT, f"response to {head.request_id or 'an unnamed request'}")
            return
        if head.not_run:
            exchange.close()
            self._handle_not_begun(head.status)
            return
        if head.status != 200:
            exchange.close()
            self._finish(_outcome_of_status(head.status), f"status {head.status}")
            return
        if not head.signature or not is_event_stream(response.headers):
            exchange.close()  # of a proxy; it would end a text that is resumed
            self._finish(RunOutcome.CUT, "not a signed stream of events")
            return
        self.version = head.version
        self.framing = exchange.framing.value
        self._read_stream(exchange, response)

    def _send(self, exchange: Exchange) -> bool:
        """Send the sample, to be resumed after the events that are already here.

        :returns: false if its lot has ended, if a cold engine must not receive it yet, or this
            engine not any more
        """
        order = self.run.order
        if not self.run.wanted or not self._is_routed_here(order):
            return False
        left_s = max(MIN_TIME_LEFT_S, order.give_up_in_s)
        headers = sample_headers(
            (*order.sample.headers, ("Host", order.host)),
            unscoped_id(order.sample.id),
            left_s,
            self.incarnation.instance,
            self.run.event_count,
            order.rank,
            order.organisation,
        )
        self.sent_at = self.clock.now()
        self.deadline = self.sent_at + left_s - DEADLINE_MARGIN_S
        if not self.engine.send_limit.confirm(self.taken_at, self.sent_at):
            return False
        self.taken_at = None  # a retry is another request
        timeout_s = min(left_s, STREAM_IDLE_TIMEOUT_S)
        exchange.send("POST", order.sample.path, headers, order.sample.body, timeout_s=timeout_s)
        return True

    def _is_routed_here(self, order: RunOrder) -> bool:
        """Return whether the engine is still one that the sample's route allows.

        Another pool may reuse the address of an engine that is gone.
        """
        pool = self.engine.facts.pool
        is_routed = order.pool in ("", pool) and self.table.is_routed(self.run)
        if not is_routed:
            log_state(
                "sample_rerouted",
                sample=order.sample.id,
                instance=self.incarnation.instance,
                pool=pool,
                chosen_pool=order.pool,
                routed_at=self.run.routed_at,
                configuration_revision=self.table.configuration_revision,
            )
        return is_routed

    def _handle_not_begun(self, status: int) -> None:
        """Requeue the sample; if the engine was replaced, mark this incarnation as superseded."""
        if status == OTHER_INSTANCE_STATUS:
            self.engine.mark_superseded(self.incarnation)
        self.table.requeue(self.run, self.generation)
        self.metrics.count("sample_not_begun", str(status))
        log_state(
            "sample_not_begun",
            sample=self.run.order.sample.id,
            instance=self.incarnation.instance,
            status=status,
            rejections=self.run.rejections,
        )

    def _register_cancel(self, exchange: Exchange) -> bool:
        """Register a function that closes the connection; false if the run is already over."""
        shutdown = ConnectionShutdown(exchange.connection.sock)
        with self.table.changed:
            if self._is_over():
                return False
            self.run.cancel = shutdown.shut_down
            self.run.incarnation = self.incarnation
            self.shutdown = shutdown
            return True

    def _read_stream(self, exchange: Exchange, response: BaseHTTPResponse) -> None:
        is_unframed = exchange.framing is Framing.CLOSE
        reader = EventReader(stops_at_response=is_unframed)
        exchange.start_event(STREAM_IDLE_TIMEOUT_S)
        self.last_event_at = self.clock.now()
        try:
            for data in iter_body(response):
                events = reader.feed(data)
                if not all(self._add_event(event) for event in events):
                    exchange.close()
                    return
                if reader.other_response is not OtherResponse.NONE:
                    break
                if events:
                    exchange.start_event(STREAM_IDLE_TIMEOUT_S)
        except (OSError, HTTPError, ValueError, AttributeError) as error:
            exchange.close()
            self._finish(self._outcome_of_break(is_connection_error(error)), repr(error))
            return
        if self._ended_early(exchange, reader):
            return
        if is_unframed:
            exchange.close()
            self._add_unconfirmed_end()
            return
        self.engine.release_connection(exchange, streamed_response(response))
        confirms = " to a request that confirms an earlier end" if self.run.unconfirmed_ends else ""
        self._finish(RunOutcome.COMPLETE, f"end of the response{confirms}")

    def _ended_early(self, exchange: Exchange, reader: EventReader) -> bool:
        """Cut the run if its stream ended without an error, but not by the engine's last event."""
        outcome = RunOutcome.CUT
        if reader.other_response is OtherResponse.WITHIN_EVENT:
            self.metrics.count("answer_mixed", "within an event")
            reason = "another response within an event"
        elif not reader.is_between_events:
            outcome = self._outcome_of_break(True)
            reason = "the stream ended within an event"
        elif not self.shutdown.leave():
            reason = "the connection was shut down here"
        elif self.clock.now() >= self.deadline:
            reason = "the engine's deadline has passed"
        else:
            return False
        exchange.close()
        self._finish(outcome, reason)
        return True

    def _add_unconfirmed_end(self) -> None:
        """Record the end of a response that ended with its connection.

        A killed engine's connections end in the same way, as do those that a proxy closes. Only an
        engine that has nothing to add when it is asked to go on shows that the text is whole.
        """
        ends = self.table.add_unconfirmed_end(self.run, self.generation)
        if not ends:
            return
        log_state(
            "sample_end_unconfirmed",
            sample=self.run.order.sample.id,
            instance=self.incarnation.instance,
            events=self.run.event_count,
            ends=ends,
        )
        self.metrics.count("sample_end_unconfirmed", str(ends))
        if ends > CONFIRMING_ENDS:
            self._finish(RunOutcome.COMPLETE, f"{ends} ends of connections behind the last event")
            return
        self.must_confirm_end = True

    def _add_event(self, event: Event) -> bool:
        """Add one event to the run; false if the run is over."""
        now = self.clock.now()
        self.engine.add_event_gap(now - self.last_event_at)
        self.last_event_at = now
        self.version = event.version or self.version
        if event.number != self.run.event_count + 1:
            self._finish(RunOutcome.CUT, f"event {event.number} after {self.run.event_count}")
            return False
        return self.table.add_event(self.run, self.generation, event.text, self.version)

    def _outcome_of_break(self, broken: bool) -> RunOutcome:
        """Return the outcome of a run whose text is incomplete.

        :param broken: whether the engine broke the connection
        """
        if not broken or self.engine.is_leaving:
            return RunOutcome.CUT
        crashed = has_crashed(self.engine.address, self.clock.now() - self.sent_at)
        return RunOutcome.CRASHED if crashed else RunOutcome.CUT

    def _finish(self, outcome: RunOutcome, reason: str) -> None:
        if not self.table.finish(self.run, self.generation, outcome):
            return
        self.metrics.count("sample_ended", outcome.value)
        self.metrics.count("sample_response", self.framing or "no head")
        self.metrics.record_latency("sample", self.clock.now() - self.started_at)
        log_state(
            "sample_ended",
            sample=self.run.order.sample.id,
            outcome=outcome.value,
            events=self.run.event_count,
            instance=self.incarnation.instance,
            resumed_after=self.resumed_after,
            framing=self.framing,
            reason=reason,
        )


def _outcome_of_status(status: int) -> RunOutcome:
    if status == 500:
        return RunOutcome.FAILED
    return RunOutcome.IMPOSSIBLE if status == 422 else RunOutcome.CUT


__all__ = ["SampleRun"]
