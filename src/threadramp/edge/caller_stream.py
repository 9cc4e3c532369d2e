"""Relays the events of a stream to its caller, each only when it is complete."""

from __future__ import annotations

from contextlib import suppress
from enum import Enum
from typing import TYPE_CHECKING

from urllib3.exceptions import HTTPError

from threadramp.edge.exchange import is_connection_error, iter_body
from threadramp.platform.headers import resume_after, to_caller
from threadramp.report.log import log_state
from threadramp.runner.events import EventReader, OtherResponse
from threadramp.wire.response_limits import Framing

if TYPE_CHECKING:
    from collections.abc import Callable

    from urllib3 import BaseHTTPResponse

    from threadramp.edge.exchange import Exchange
    from threadramp.edge.job import Ending, Job
    from threadramp.edge.server import CallerRequest
    from threadramp.runner.events import Event

DEADLINE_SLACK_S = 0.05  # for the last event of a stream
COPY_TIMEOUT_S = 0.5  # for another response behind a stream
HEAD_END = b"\r\n\r\n"


class StreamEnd(Enum):
    """What ended a stream between two events; the values are logged.

    Only ``FRAMED``, its last chunk or its length, shows that it is complete.
    """

    FRAMED = "framed"
    CLOSED = "closed"
    OTHER_RESPONSE = "followed by another response"


class StreamBrokenError(Exception):
    """A stream that was interrupted before its end.

    :param instance: id of the endpoint that it came from
    :param broken: whether the endpoint closed or reset the connection
    """

    def __init__(self, instance: str, reason: str, broken: bool = False) -> None:
        self.instance = instance
        self.broken = broken
        super().__init__(reason)


class CallerDisconnectedError(Exception):
    """The caller disconnected."""


class CallerStream:
    """A stream as its caller receives it, from one or more endpoints in turn."""

    def __init__(
        self, job: Job, request: CallerRequest, closes: bool, now: Callable[[], float]
    ) -> None:
        self.job = job
        self.request = request
        self.closes = closes
        self.now = now
        self.started = False
        self.resumed_after = resume_after(request.headers)  # last event of an earlier response
        self.last_event = self.resumed_after
        self.created_at = now()
        self.first_event_at = 0.0

    @property
    def event_count(self) -> int:
        """Return the number of events that were relayed."""
        return self.last_event - self.resumed_after

    @property
    def first_event_s(self) -> float | None:
        """Return the seconds until the first event was relayed, none if none was."""
        return self.first_event_at - self.created_at if self.first_event_at else None

    def start(self, response: BaseHTTPResponse) -> None:
        """Send the response head; after a resumption the head of the first endpoint stays."""
        if self.started:
            log_state("stream_resumed", request=self.job.request_id, after=self.last_event)
            return
        self.started = True
        headers = to_caller(tuple(response.headers.iteritems()))
        self.request.start_response(response.status, headers, response.reason or "", self.closes)

    def relay(
        self, exchange: Exchange, response: BaseHTTPResponse, read_timeout_s: Callable[[], float]
    ) -> StreamEnd:
        """Relay complete events until the end of the stream.

        :param read_timeout_s: returns the seconds to wait for the next event of the endpoint
        :raises StreamBrokenError: if the stream is interrupted
        :raises CallerDisconnectedError: if the caller disconnected
        """
        ends_by_close = exchange.framing is Framing.CLOSE
        reader = EventReader(stops_at_response=ends_by_close)
        instance = exchange.endpoint.instance
        try:
            exchange.start_event(read_timeout_s())
            for data in iter_body(response):
                events = reader.feed(data)
                for event in events:
                    self._relay_event(event, instance)
                if reader.other_response is not OtherResponse.NONE:
                    break
                if events:
                    exchange.start_event(read_timeout_s())
        except (OSError, HTTPError, ValueError, AttributeError) as error:
            raise StreamBrokenError(instance, repr(error), is_connection_error(error)) from error
        if reader.other_response is OtherResponse.BETWEEN_EVENTS:
            return self._end_before_copy(exchange, response, reader.rest)
        if reader.other_response is OtherResponse.WITHIN_EVENT:
            raise StreamBrokenError(instance, "an event contains another response", broken=True)
        if not reader.is_between_events:
            raise StreamBrokenError(instance, "the stream ended within an event", broken=True)
        return StreamEnd.CLOSED if ends_by_close else StreamEnd.FRAMED

    def _end_before_copy(
        self, exchange: Exchange, response: BaseHTTPResponse, copy: bytes
    ) -> StreamEnd:
        """End the stream before another response, of which nothing goes to the caller.

        :param copy: the bytes of the other response so far
        :raises StreamBrokenError: if it is a copy that goes on behind the last event
        """
        if self.job.route.may_repeat:
            return StreamEnd.OTHER_RESPONSE  # the stream is asked for again
        exchange.start_event(COPY_TIMEOUT_S)
        with suppress(OSError, HTTPError, ValueError, AttributeError):
            for data in iter_body(response):
                copy += data
        events = EventReader().feed(copy.partition(HEAD_END)[2])
        if any(event.number > self.last_event for event in events):
            raise StreamBrokenError(
                exchange.endpoint.instance, "a copy of the response is longer", broken=True
            )
        return StreamEnd.OTHER_RESPONSE

    def abort(self, ending: Ending) -> None:
        """Cut the caller's connection, so that the stream cannot look complete."""
        self.request.abort()
        log_state(
            "stream_cut", request=self.job.request_id, ending=ending.value, events=self.event_count
        )

    def _relay_event(self, event: Event, instance: str) -> None:
        """Relay one event.

        :raises StreamBrokenError: if it is not the next event
        :raises CallerDisconnectedError: if the caller disconnected
        """
        follows = event.number == self.last_event + 1
        if not follows and (self.job.route.may_repeat or event.number <= self.last_event):
            raise StreamBrokenError(
                instance, f"event {event.number} follows event {self.last_event}"
            )
        if self.now() > self.job.deadline + DEADLINE_SLACK_S:
            raise StreamBrokenError(instance, "events after the deadline")
        try:
            self.request.write(event.raw)
        except OSError as error:
            raise CallerDisconnectedError from error
        self.last_event = event.number
        self.first_event_at = self.first_event_at or self.now()


__all__ = ["CallerDisconnectedError", "CallerStream", "StreamBrokenError", "StreamEnd"]
