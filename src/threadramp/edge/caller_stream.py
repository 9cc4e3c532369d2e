"""Passes the events of a stream on to its caller as they come, each one whole."""

from __future__ import annotations

from typing import TYPE_CHECKING

from urllib3.exceptions import HTTPError

from threadramp.edge.exchange import is_connection_error, iter_body
from threadramp.platform.headers import resume_after, to_caller
from threadramp.report.log import log_state
from threadramp.runner.events import EventReader

if TYPE_CHECKING:
    from collections.abc import Callable

    from urllib3 import BaseHTTPResponse

    from threadramp.edge.exchange import Exchange
    from threadramp.edge.job import Ending, Job
    from threadramp.edge.server import CallerRequest
    from threadramp.runner.events import Event


class StreamBrokenError(Exception):
    """A stream that stopped before its end.

    :param instance: endpoint that it came from
    :param broken: whether the endpoint closed or reset the connection
    """

    def __init__(self, instance: str, reason: str, broken: bool = False) -> None:
        self.instance = instance
        self.broken = broken
        super().__init__(reason)


class CallerLeftError(Exception):
    """The caller takes no more."""


class CallerStream:
    """A stream as its caller has it, whichever endpoints it came from."""

    def __init__(
        self, job: Job, request: CallerRequest, closes: bool, now: Callable[[], float]
    ) -> None:
        self.job = job
        self.request = request
        self.closes = closes
        self.now = now
        self.begun = False
        self.first = resume_after(request.headers)  # what the caller had before
        self.last = self.first
        self.opened_at = now()
        self.first_event_at = 0.0

    @property
    def passed(self) -> int:
        """Return the number of events that were passed on."""
        return self.last - self.first

    @property
    def first_event_s(self) -> float | None:
        """Return the seconds until the first event was passed on, none if none was."""
        return self.first_event_at - self.opened_at if self.first_event_at else None

    def begin(self, response: BaseHTTPResponse) -> None:
        """Send the head, which stays that of the first endpoint."""
        if self.begun:
            log_state("stream_resumed", request=self.job.request_id, after=self.last)
            return
        self.begun = True
        headers = to_caller(tuple(response.headers.iteritems()))
        self.request.begin(response.status, headers, response.reason or "", self.closes)

    def pass_events(
        self, exchange: Exchange, response: BaseHTTPResponse, patience_s: Callable[[], float]
    ) -> None:
        """Pass whole events on until the stream's end.

        :param patience_s: returns for how long the endpoint may be silent now
        :raises StreamBrokenError: if it stops before
        :raises CallerLeftError: if the caller takes no more
        """
        reader = EventReader()
        instance = exchange.endpoint.instance
        try:
            exchange.connection.sock.settimeout(patience_s())
            for data in iter_body(response):
                for event in reader.feed(data):
                    self._pass_one(event, instance)
                exchange.connection.sock.settimeout(patience_s())
        except (OSError, HTTPError, ValueError, AttributeError) as error:
            raise StreamBrokenError(instance, repr(error), is_connection_error(error)) from error
        if not reader.is_between_events:
            raise StreamBrokenError(instance, "it stopped within an event", broken=True)

    def cut(self, ending: Ending) -> None:
        """Cut the caller's connection, so that the stream can not look complete."""
        self.request.cut()
        log_state(
            "stream_cut", request=self.job.request_id, ending=ending.value, events=self.passed
        )

    def _pass_one(self, event: Event, instance: str) -> None:
        """Pass an event on.

        :raises StreamBrokenError: if it is not the next one
        :raises CallerLeftError: if the caller takes no more
        """
        follows = event.number == self.last + 1
        if not follows and (self.job.route.may_repeat or event.number <= self.last):
            raise StreamBrokenError(instance, f"event {event.number} after {self.last}")
        try:
            self.request.write(event.raw)
        except OSError as error:
            raise CallerLeftError from error
        self.last = event.number
        self.first_event_at = self.first_event_at or self.now()


__all__ = ["CallerLeftError", "CallerStream", "StreamBrokenError"]
