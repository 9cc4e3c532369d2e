"""Forwards requests of streaming routes.

A stream that breaks off goes on at another endpoint behind the last event that the caller has, if
its route allows that; else its connection is cut, so that it can not look complete.
"""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from threadramp.edge.attempt_loop import Attempts, EndpointAccess
from threadramp.edge.caller_stream import (
    CallerLeftError,
    CallerStream,
    StreamBrokenError,
)
from threadramp.edge.exchange import ExchangeError, streamed_response
from threadramp.edge.job import Ending, Outcome
from threadramp.platform.headers import read_answer, stream_headers
from threadramp.report.log import log_state

if TYPE_CHECKING:
    from urllib3 import BaseHTTPResponse

    from threadramp.edge.disconnect_watcher import DisconnectWatcher
    from threadramp.edge.exchange import Exchange
    from threadramp.edge.job import Job
    from threadramp.edge.server import CallerRequest
    from threadramp.fleet.model import Endpoint
    from threadramp.platform.headers import AnswerHead

SILENT_S = 1.2  # a load of weights pauses streams for 0.9 s; callers leave after 2 s of silence
LEAST_WAIT_S = 0.05
GO_BACK_MOST = 3  # times that a stream goes on at an endpoint where it broke off before
EVENTS_TYPE = "text/event-stream"


class StreamForwarder:
    """Forwards requests of streaming routes."""

    def __init__(self, access: EndpointAccess, watch: DisconnectWatcher) -> None:
        self.access = access
        self.watch = watch

    def run(self, job: Job, request: CallerRequest, closes: bool) -> Outcome:
        """Forward a request; its answer is on its way to the caller if the outcome is ``STREAMED``.

        :param closes: whether the caller's connection is closed behind the answer
        """
        return _Stream(self, job, request, closes).run()


class _Stream(Attempts):
    """One stream on its way; an engine begins it with its first token, which brings the head."""

    begins_when_sent = False

    def __init__(
        self, parts: StreamForwarder, job: Job, request: CallerRequest, closes: bool
    ) -> None:
        super().__init__(parts.access, job)
        self.watch = parts.watch
        self.request = request
        self.stream = CallerStream(job, request, closes, self.now)
        self.went_back = 0

    def headers(self, time_left: float, instance: str) -> dict[str, str]:
        """Return the headers with which the stream begins or goes on."""
        job = self.job
        rank = job.route.priority
        last = self.stream.last
        return stream_headers(
            job.headers, time_left, instance, last, rank, job.identity.organisation
        )

    def await_answer(self) -> Outcome | None:
        """Pass on what the one open exchange brings."""
        exchange = self.tries.open[0]
        try:
            with self.watch.watching(self.request.socket, exchange):
                return self._take(exchange)
        except CallerLeftError:
            exchange.close()
            return self._left()
        except (ExchangeError, StreamBrokenError) as error:
            exchange.close()
            return self._broken(exchange, error)
        finally:
            self.closed(exchange)

    def next_try(self) -> Outcome | None:
        """Send to one more endpoint, or back to one where the stream broke off."""
        again = self._where_to_go_back()
        if not again:
            return super().next_try()
        self.went_back += 1
        chosen = self.parts.choice.choose(again, self.tries.rejected, self.now())
        if chosen is None:
            return self.given_up(Ending.UNKNOWN)
        self.send(chosen)
        return None

    def _where_to_go_back(self) -> list[Endpoint]:
        """Return the endpoints where it broke off, if there are no others that it may go to."""
        route = self.job.route
        if not self.stream.begun or not route.may_repeat or self.went_back >= GO_BACK_MOST:
            return []
        pool = self.parts.picture.belief.in_pool(self.pool)
        ran = self.tries.ran
        if len(ran) < route.max_attempts and len(pool) > len(ran):
            return []
        return [one for one in pool if one.start in ran]

    def ended(self, outcome: Outcome) -> Outcome:
        """Return the outcome; a stream that has begun and is not whole is cut."""
        if self.stream.begun and outcome.ending is not Ending.STREAMED:
            self.stream.cut(outcome.ending)
            return Outcome(Ending.CUT)
        return replace(outcome, first_event_s=self.stream.first_event_s)

    def _broken(
        self, exchange: Exchange, error: ExchangeError | StreamBrokenError
    ) -> Outcome | None:
        """Note a stream that broke off; it may go on elsewhere."""
        if self.watch.has_left(self.request.socket):
            return self._left()
        if not isinstance(error, ExchangeError):
            error = ExchangeError(True, str(error), broken=error.broken)
        self.endpoint_failed(exchange.endpoint, error, ran=True)
        return None

    def _left(self) -> Outcome:
        log_state("caller_gone", request=self.job.request_id, events=self.stream.passed)
        return Outcome(Ending.CALLER_GONE)

    def _take(self, exchange: Exchange) -> Outcome | None:
        response = exchange.read_own_head(self._patience_s())
        head = read_answer(response.status, response.headers)
        if not self.is_own(exchange, head):
            return None
        if head.not_run:
            exchange.close()
            self.rejected(exchange.endpoint, head.status)
            return None
        if response.status != 200 or not head.signature or not _is_stream(response):
            return self._other_answer(exchange, response, head)
        self.begun(exchange.endpoint, self.now())
        self.stream.begin(response)
        self.stream.pass_events(exchange, response, self._patience_s)
        self.holding.answered(exchange.endpoint.start)
        self.parts.keep(exchange, streamed_response(response))
        self.parts.choice.answered(exchange.endpoint, head.load, self.now())
        return Outcome(Ending.STREAMED)

    def _other_answer(
        self, exchange: Exchange, response: BaseHTTPResponse, head: AnswerHead
    ) -> Outcome | None:
        """Take an answer that is no stream: a failure, or one whose endpoint is at fault."""
        answer = exchange.rest(response)
        if head.signature:  # else it may be a front's, for an endpoint that has ended
            self.holding.answered(exchange.endpoint.start)
        if 200 <= head.status < 300 and not head.signature:
            raise StreamBrokenError(exchange.endpoint.instance, "no signature")
        if head.status >= 500:
            pause = self.parts.choice.erred(exchange.endpoint, self.now())
            reason = ExchangeError(True, f"status {head.status}")
            self.note_failure(exchange.endpoint, reason, True, pause)
            self.tries.last_failure = answer
            return None
        if self.stream.begun:
            raise StreamBrokenError(exchange.endpoint.instance, f"status {head.status}")
        return Outcome(Ending.ANSWERED, answer)

    def _patience_s(self) -> float:
        """Return for how long an endpoint may be silent now."""
        left = self.job.deadline - self.now()
        if self._may_go_on_elsewhere():
            left = min(left, SILENT_S)
        return max(LEAST_WAIT_S, left)

    def _may_go_on_elsewhere(self) -> bool:
        route = self.job.route
        others = len(self.parts.picture.belief.in_pool(self.pool)) > len(self.tries.ran) + 1
        return route.may_repeat and others and len(self.tries.ran) + 1 < route.max_attempts


def _is_stream(response: BaseHTTPResponse) -> bool:
    return response.headers.get("Content-Type", "").startswith(EVENTS_TYPE)


__all__ = ["StreamForwarder"]
