"""Forwards requests of streaming routes.

An interrupted stream is resumed at another endpoint after the last event that the caller received,
if its route allows that. Else the caller's connection is cut, so that the stream cannot look
complete.

A stream that ended with its connection may lack its last events. It is asked for again after its
last event, where that is possible, until a response shows that there are no more; the caller waits
for the end of its response alone. Other streams count as complete if their endpoint lives on.
"""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from threadramp.edge.attempt_loop import REJECTION_PAUSE_S, AttemptLoop, EndpointAccess
from threadramp.edge.caller_stream import (
    CallerDisconnectedError,
    CallerStream,
    StreamBrokenError,
    StreamEnd,
)
from threadramp.edge.exchange import ExchangeError, streamed_response
from threadramp.edge.job import Ending, Outcome
from threadramp.edge.start_check import StartState
from threadramp.platform.headers import is_event_stream, read_answer, stream_headers
from threadramp.report.log import log_state

if TYPE_CHECKING:
    from urllib3 import BaseHTTPResponse

    from threadramp.edge.disconnect_watcher import DisconnectWatcher
    from threadramp.edge.exchange import EndpointResponse, Exchange
    from threadramp.edge.job import Job
    from threadramp.edge.server import CallerRequest
    from threadramp.fleet.model import Endpoint
    from threadramp.platform.headers import AnswerHead

STALL_TIMEOUT_S = 1.2  # loading weights pauses streams for 0.9 s; callers give up after 2 s
MIN_READ_TIMEOUT_S = 0.05
DEADLINE_MARGIN_S = 0.02  # whole milliseconds are sent, and the endpoint's clock is another one
MAX_RETURNS = 3  # times that a stream is resumed at an endpoint where it was interrupted
# Responses without an event in a row, besides the first end behind the last event, after which a
# stream without a length is complete: a crash or a cut may end one right behind its head.
CONFIRMING_ENDS = 2


class StreamForwarder:
    """Forwards requests of streaming routes."""

    def __init__(self, access: EndpointAccess, watcher: DisconnectWatcher) -> None:
        self.access = access
        self.watcher = watcher

    def run(self, job: Job, request: CallerRequest, closes: bool) -> Outcome:
        """Forward a request; with the outcome ``STREAMED`` the response has been sent.

        :param closes: whether the caller's connection is closed after the response
        """
        return _StreamLoop(self, job, request, closes).run()


class _StreamLoop(AttemptLoop):
    """Forwards one stream; an engine sends the head with the first token, so it starts then."""

    starts_when_sent = False

    def __init__(
        self, forwarder: StreamForwarder, job: Job, request: CallerRequest, closes: bool
    ) -> None:
        super().__init__(forwarder.access, job)
        self.watcher = forwarder.watcher
        self.request = request
        self.stream = CallerStream(job, request, closes, self.now)
        self.return_count = 0
        self.empty_ends = 0  # besides the first end behind the last event
        self.ended_after: int | None = None  # the event that they are counted for
        self.is_unconfirmed = False  # whether all events may have been relayed
        self.complete_response: EndpointResponse | None = None
        self.confirm_at: Endpoint | None = None  # to ask first whether there are more

    def headers(self, time_left: float, instance: str) -> dict[str, str]:
        """Return the headers that start or resume the stream."""
        job = self.job
        rank = job.route.priority
        last = self.stream.last_event
        return stream_headers(
            job.headers, time_left, instance, last, rank, job.identity.organisation
        )

    def await_response(self) -> Outcome | None:
        """Relay the response of the one open exchange."""
        exchange = self.history.open_exchanges[0]
        try:
            with self.watcher.watching(self.request.socket, exchange):
                outcome = self._relay(exchange)
            self._release_complete(exchange)
            return outcome
        except CallerDisconnectedError:
            exchange.close()
            return self._end_disconnected()
        except (ExchangeError, StreamBrokenError) as error:
            exchange.close()
            return self._handle_break(exchange, error)
        finally:
            self.record_closed(exchange)
            # A later rejection there says nothing of this run.
            self.history.started_at.pop(exchange.endpoint.incarnation, None)

    def _release_complete(self, exchange: Exchange) -> None:
        """Return the connection of a complete stream to the pool.

        The watcher must not shut it down any more: another request may use it by then.
        """
        if self.complete_response is not None:
            self.access.release_connection(exchange, self.complete_response)

    def start_attempt(self) -> Outcome | None:
        """Send to one more endpoint, or again to one where the stream was interrupted or ended."""
        if self.is_unconfirmed and self.watcher.has_disconnected(self.request.socket):
            return self._end_disconnected()
        if self._ask_where_it_ended():
            return None
        again = self._endpoints_to_return_to()
        if not again:
            if self.is_unconfirmed:  # its end waits for a slot until the deadline
                self.history.rejection_rounds = 0
            return super().start_attempt()
        if self.is_unconfirmed and all(one.incarnation in self.history.rejected for one in again):
            self.history.rejected.clear()
            return self._pause(REJECTION_PAUSE_S)
        self.return_count += 1
        chosen = self.access.choice.choose(again, self.history.rejected, self.now())
        if chosen is None:
            return self.give_up(Ending.UNKNOWN)
        self.send(chosen)
        return None

    def _ask_where_it_ended(self) -> bool:
        """Ask the endpoint where the stream ended for more events; false if it is not listed."""
        asked, self.confirm_at = self.confirm_at, None
        if asked is None:
            return False
        listed = [one for one in self.endpoints() if one.incarnation == asked.incarnation]
        chosen = self.access.choice.choose(listed, self.access.blocked(listed), self.now())
        if chosen is None:
            return False
        # The end of a connection that was idle would say nothing, and a copy of the response that
        # came before may follow on one that carried it.
        self.send(chosen, force_new=True)
        return True

    def _endpoints_to_return_to(self) -> list[Endpoint]:
        """Return the endpoints where it was interrupted, if no others may be tried."""
        route = self.job.route
        if not self.stream.started or not route.may_repeat or self.return_count >= MAX_RETURNS:
            return []
        pool = self.endpoints()
        ran = self.history.possibly_ran
        if len(ran) < route.max_attempts and len(pool) > len(ran):
            return []
        return [one for one in pool if one.incarnation in ran]

    def finish(self, outcome: Outcome) -> Outcome:
        """Return the outcome; a stream that has started and is incomplete is cut."""
        if self.stream.started and outcome.ending is not Ending.STREAMED:
            self.stream.abort(outcome.ending)
            return Outcome(Ending.CUT)
        return replace(outcome, first_event_s=self.stream.first_event_s)

    def _handle_break(
        self, exchange: Exchange, error: ExchangeError | StreamBrokenError
    ) -> Outcome | None:
        """Record an interrupted stream, which may be resumed elsewhere."""
        if self.watcher.has_disconnected(self.request.socket):
            return self._end_disconnected()
        if not isinstance(error, ExchangeError):
            error = ExchangeError(True, str(error), broken=error.broken)
        self.record_exchange_error(exchange.endpoint, error, ran=error.sent)
        return None

    def record_exchange_error(self, endpoint: Endpoint, error: ExchangeError, ran: bool) -> None:
        """Record that an endpoint gave no valid response.

        One that refuses to be asked for the rest of a stream crashed while it served it.
        """
        if (
            self.is_unconfirmed
            and error.refused
            and endpoint.incarnation in self.history.possibly_ran
        ):
            error, ran = ExchangeError(True, str(error), broken=True), True
        super().record_exchange_error(endpoint, error, ran)

    def _end_disconnected(self) -> Outcome:
        log_state(
            "caller_disconnected", request=self.job.request_id, events=self.stream.event_count
        )
        return Outcome(Ending.CALLER_DISCONNECTED)

    def _relay(self, exchange: Exchange) -> Outcome | None:
        self._send_rest(exchange)
        response = exchange.read_own_head(self._read_timeout_s())
        head = read_answer(response.status, response.headers)
        if not self.is_own(exchange, head):
            return None
        if head.not_run:
            exchange.close()
            self.record_rejection(exchange.endpoint, head.status)
            self.return_count = max(0, self.return_count - 1)  # it was not resumed there
            return None
        if response.status != 200 or not head.signature or not is_event_stream(response.headers):
            return self._handle_other_response(exchange, response, head)
        self.record_start(exchange.endpoint, self.now())
        self.stream.start(response)
        end = self.stream.relay(exchange, response, self._read_timeout_s)
        if not self._is_complete(exchange, end):
            return None
        self.admission.record_response(exchange.endpoint.incarnation)
        self.complete_response = streamed_response(response)
        self.access.choice.record_success(exchange.endpoint, head.load, self.now())
        return Outcome(Ending.STREAMED)

    def _is_complete(self, exchange: Exchange, end: StreamEnd) -> bool:
        """Return whether the stream is complete; if not, it has to be asked for again.

        :raises CallerDisconnectedError: if the connection was closed here for that
        :raises StreamBrokenError: if its endpoint crashed and it cannot be asked for again, or
            stopped at the deadline
        """
        endpoint = exchange.endpoint
        if self.now() >= self.job.deadline - DEADLINE_MARGIN_S:
            raise StreamBrokenError(endpoint.instance, f"{end.value} at the deadline")
        is_complete = end is StreamEnd.FRAMED
        if not is_complete:
            if self.watcher.has_disconnected(self.request.socket):
                raise CallerDisconnectedError
            if self._may_ask_again(endpoint):
                is_complete = self._is_confirmed(endpoint)
            else:
                state = self.check_close(endpoint, events=self.stream.event_count)
                if state is not StartState.SAME:
                    exchange.close()
                    raise StreamBrokenError(endpoint.instance, f"closed: {state.value}", True)
                is_complete = True
        log_state(
            "stream_response_ended",
            request=self.job.request_id,
            instance=endpoint.instance,
            framing=exchange.framing.value,
            end=end.value,
            events=self.stream.event_count,
            confirmed=is_complete,
        )
        if end is StreamEnd.OTHER_RESPONSE:
            exchange.close()  # the rest of that response is still to come
        label = f"{end.value}, {'complete' if is_complete else 'asked again'}"
        self.access.connection_pool.count("stream_end", label)
        if not is_complete:
            exchange.close()
            self.history.possibly_ran.add(endpoint.incarnation)
            self.history.may_have_run = True
            self.is_unconfirmed, self.confirm_at = True, endpoint
        return is_complete

    def _is_confirmed(self, endpoint: Endpoint) -> bool:
        """Count an end by a close; return whether enough of them are behind the last event.

        :raises StreamBrokenError: if they are ends of a stream without any event
        """
        if self.ended_after != self.stream.last_event:
            self.ended_after, self.empty_ends = self.stream.last_event, 0
        else:
            self.empty_ends += 1
        is_confirmed = self.empty_ends >= CONFIRMING_ENDS
        if is_confirmed and not self.stream.last_event:
            raise StreamBrokenError(endpoint.instance, "closed without an event")
        return is_confirmed

    def _may_ask_again(self, endpoint: Endpoint) -> bool:
        """Return whether a stream that this endpoint ended may be asked for again anywhere.

        An endpoint that is leaving gets no new request.
        """
        route = self.job.route
        ran = self.history.possibly_ran | {endpoint.incarnation}
        may_try_another = len(ran) < route.max_attempts
        return route.may_repeat and any(
            not one.leaving and (may_try_another or one.incarnation in ran)
            for one in self.endpoints()
        )

    def _send_rest(self, exchange: Exchange) -> None:
        """Send the rest of a long body, until a response arrives."""
        while exchange.is_sending and exchange.send_more(self._read_timeout_s()):
            if self.now() >= self.job.deadline:
                raise ExchangeError(True, "deadline reached while sending")

    def _handle_other_response(
        self, exchange: Exchange, response: BaseHTTPResponse, head: AnswerHead
    ) -> Outcome | None:
        """Handle a response that is not a stream: an error, or a fault of the endpoint."""
        complete_response = exchange.read_body(response, self._read_timeout_s())
        if head.signature:  # else a reverse proxy may have sent it for a crashed endpoint
            self.admission.record_response(exchange.endpoint.incarnation)
        if 200 <= head.status < 300 and not head.signature:
            raise StreamBrokenError(exchange.endpoint.instance, "no signature")
        if head.status >= 500 or head.promises_too_much:
            pause = self.access.choice.record_server_error(exchange.endpoint, self.now())
            reason = ExchangeError(True, f"status {head.status}")
            self.record_failure(exchange.endpoint, reason, True, pause)
            if not head.promises_too_much:
                self.history.last_error_response = complete_response
            return None
        if self.stream.started:
            raise StreamBrokenError(exchange.endpoint.instance, f"status {head.status}")
        return Outcome(Ending.ANSWERED, complete_response)

    def _read_timeout_s(self) -> float:
        """Return the seconds to wait for the next event of the endpoint."""
        left = self.job.deadline - self.now()
        if self._can_resume_elsewhere():
            left = min(left, STALL_TIMEOUT_S)
        return max(MIN_READ_TIMEOUT_S, left)

    def _can_resume_elsewhere(self) -> bool:
        route = self.job.route
        others = len(self.endpoints()) > len(self.history.possibly_ran) + 1
        return (
            route.may_repeat and others and len(self.history.possibly_ran) + 1 < route.max_attempts
        )


__all__ = ["StreamForwarder"]
