"""A gateway's answers: a pipe of filters from the request to its route, each with one job."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from threadramp.config.findings import FindingsError
from threadramp.edge.job import Ending, Job, Outcome
from threadramp.edge.server import BodyTooLongError
from threadramp.fleet.model import CallerLimits, RouteKind
from threadramp.lots.elsewhere import LotUnknownError
from threadramp.lots.repeated_writes import SETTLE_S
from threadramp.platform.headers import (
    RETRY_AFTER,
    caller_key,
    request_id,
    time_left_s,
    to_caller,
    wait_s,
)
from threadramp.platform.store_model import StoreError, StoreRefusedError
from threadramp.platform.trainer_calls import (
    OWN_ROOT,
    READY_PATH,
    LotCallKind,
    read_call,
    read_lot,
    results_body,
)
from threadramp.policy.callers import Caller, who_calls
from threadramp.report.log import log_state

if TYPE_CHECKING:
    from collections.abc import Callable

    from threadramp.edge.forward import Forwarder
    from threadramp.edge.server import CallerRequest
    from threadramp.edge.streaming import StreamForwarder
    from threadramp.fleet.clock import Clock
    from threadramp.fleet.model import Configuration, Route
    from threadramp.fleet.picture import Picture
    from threadramp.lots.owner import LotOwner
    from threadramp.lots.reading import LotReader
    from threadramp.platform.trainer_calls import LotCall
    from threadramp.report.metrics import Metrics

DEFAULT_TIME_S = 10.0  # for a caller that does not say how long it waits
START_RETRY_S = 0.5  # a process that starts knows the configuration within this time
STORE_RETRY_S = 1.0  # outages of the store take seconds
PATIENCE_SHARE = 0.4  # of the time that a trainer waits, for which its hand-in is tried
PATIENCE_MOST_S = 5.0  # less than the time between a SIGTERM and a kill
MAX_WAIT_S = 1.0  # longest time for which a reader of results is let wait
JSON = ("Content-Type", "application/json")
CHALLENGE = ("WWW-Authenticate", "Bearer")


class EdgeHandler:
    """Answers callers and trainers.

    :param keys_within_s: seconds after which what is known of keys does not count any more
    """

    def __init__(
        self,
        picture: Picture,
        forwarder: Forwarder,
        streams: StreamForwarder,
        owner: LotOwner,
        reader: LotReader,
        metrics: Metrics,
        clock: Clock,
        keys_within_s: float = math.inf,
    ) -> None:
        self.keys_within_s = keys_within_s
        self.picture = picture
        self.forwarder = forwarder
        self.streams = streams
        self.owner = owner
        self.reader = reader
        self.metrics = metrics
        self.clock = clock
        self.stopping = False

    def handle(self, request: CallerRequest) -> None:
        """Answer a request, whatever happens."""
        try:
            self._serve(request)
        except Exception as error:  # the process goes on; what was done is not known
            log_state("internal_error", request=request_id(request.headers), error=repr(error))
            self.metrics.count("answer", "internal_error")
            if request.raw.sent_headers:
                request.cut()  # the server would end its pieces as if all had come
            else:
                request.respond(500, close=True)

    def serve_ready(self, request: CallerRequest) -> None:
        """Say whether this gateway wants new connections."""
        if request.path != READY_PATH:
            request.respond(404)
            return
        ready = self.picture.is_complete and not self.stopping
        request.respond(200 if ready else 503)

    def _serve(self, request: CallerRequest) -> None:
        started = request.arrived
        configuration = self.picture.belief.configuration
        if configuration is None:
            self._refuse(request, 503, START_RETRY_S, "no configuration yet")
            return
        if request.path.startswith(OWN_ROOT):
            self._serve_call(request, configuration)
            return
        route = configuration.route_for(request.host, request.path)
        if route is None:
            log_state("no_route", host=request.host, path=request.path)
            request.respond(404)
            return
        who = self._who(request, configuration, route.public)
        body = self._body(request, configuration.limits) if who is not None else None
        if body is None:
            return
        if route.kind is RouteKind.SAMPLES:
            self._hand_in(request, who.ranked(route), body, who)
        else:
            self._forward(request, who.ranked(route), body, started, who)

    def _who(
        self, request: CallerRequest, configuration: Configuration, public: bool
    ) -> Caller | None:
        """Return who calls; none if it was turned away, before anything of its request ran.

        :param public: whether no key is needed
        """
        found = who_calls(configuration.organisations, caller_key(request.headers), public)
        if isinstance(found, Caller):
            return found if self._may_trust(request, found) else None
        log_state(
            "caller_unknown",
            request=request_id(request.headers),
            path=request.path,
            reason=found.value,
            version=configuration.version,
        )
        self.metrics.count("answer", found.value)
        request.respond(401, [CHALLENGE], close=self.stopping)
        return None

    def _may_trust(self, request: CallerRequest, who: Caller) -> bool:
        """Return whether what is known of keys is new enough; else the caller is told so.

        Where a box that is cut off may go on, it does: refusing would turn away all callers for
        the few whose keys were taken away meanwhile.
        """
        age_s = self.picture.configuration_age_s(self.clock.now())
        if not who.organisation or age_s <= self.keys_within_s:
            return True
        self._refuse(request, 503, START_RETRY_S, f"keys are known as of {age_s:.1f} s ago")
        return False

    def _body(self, request: CallerRequest, limits: CallerLimits) -> bytes | None:
        try:
            return request.body(limits.body_bytes)
        except BodyTooLongError as error:
            log_state("body_too_long", request=request_id(request.headers), error=str(error))
            request.respond(413, close=True)
        except OSError as error:
            log_state("body_not_read", request=request_id(request.headers), error=repr(error))
            request.drop()
        return None

    def _forward(
        self, request: CallerRequest, route: Route, body: bytes, started: float, who: Caller
    ) -> None:
        left = time_left_s(request.headers)
        limits = [DEFAULT_TIME_S if left is None else left]
        if route.timeout_s:
            limits.append(route.timeout_s)
        job = Job(
            request_id=request_id(request.headers),
            method=request.method,
            target=request.target,
            headers=tuple(request.headers.items()),
            body=body,
            route=route,
            deadline=started + min(limits),
            caller_socket=request.socket,
            identity=who,
        )
        if route.kind is RouteKind.STREAM:
            outcome = self.streams.run(job, request, self.stopping)
        else:
            outcome = self.forwarder.run(job)
        took = self.clock.now() - started
        self.metrics.latency(route.name, took)
        if outcome.first_event_s is not None:
            self.metrics.latency(f"{route.name} first event", outcome.first_event_s)
        self.metrics.count("answer", outcome.ending.value)
        self._pass_on(request, outcome, route, took, who)

    def _pass_on(
        self, request: CallerRequest, outcome: Outcome, route: Route, took: float, who: Caller
    ) -> None:
        answer = outcome.response
        status = 0
        if outcome.ending is Ending.CALLER_GONE:
            request.drop()
        elif answer is not None:
            status = answer.head.status
            headers = to_caller(answer.headers)
            request.respond(status, headers, answer.body, answer.reason, close=self.stopping)
        elif outcome.ending in (Ending.STREAMED, Ending.CUT):
            status = 200
        elif outcome.ending is Ending.NOT_RUN:
            status = 503
            self._answer_later(request, 503, outcome.retry_after_s)
        else:
            status = 504 if outcome.ending is Ending.TIME_OVER else 502
            request.respond(status, close=self.stopping)
        log_state(
            "answered",
            request=request_id(request.headers),
            route=route.name,
            organisation=who.organisation,
            status=status,
            ending=outcome.ending.value,
            ms=round(took * 1000, 1),
            target_ms=round(route.target_s * 1000),
        )

    def _hand_in(self, request: CallerRequest, route: Route, body: bytes, who: Caller) -> None:
        lot_id = request_id(request.headers)
        if request.method != "POST" or not lot_id:
            request.respond(400, body=b"a lot is handed in by POST, with an id")
            return
        try:
            lot = read_lot(lot_id, request.host, request.path, body, who.organisation)
        except FindingsError as error:
            log_state("lot_unreadable", lot=lot_id, findings=[str(f) for f in error.findings])
            request.respond(400, body=str(error).encode())
            return
        try:
            self.owner.hand_in(lot, route, _patience_s(request))
        except StoreRefusedError as error:
            self._refuse(request, 503, STORE_RETRY_S, f"lot not kept: {error}")
        except StoreError as error:
            log_state("lot_unknown", lot=lot_id, error=str(error))
            self.metrics.count("lot", "unknown")
            request.respond(504, close=self.stopping)
        else:
            self.metrics.count("lot", "taken")
            request.respond(202, close=self.stopping)

    def _serve_call(self, request: CallerRequest, configuration: Configuration) -> None:
        """Answer a call about a lot; one of another organisation is as unknown as any."""
        public = configuration.takes_lots_of_anybody(request.host)
        who = self._who(request, configuration, public)
        if who is None:
            return
        given = read_call(request.method, request.target)
        if given is None:
            request.respond(404)
            return
        call = given.of(who.organisation)
        answers: dict[LotCallKind, Callable[[CallerRequest, LotCall], None]] = {
            LotCallKind.RESULTS: self._results,
            LotCallKind.BODY: self._sample_body,
            LotCallKind.END: self._end,
        }
        try:
            answers[call.kind](request, call)
        except LotUnknownError:
            log_state("lot_missing", lot=call.lot, call=call.kind.value)
            request.respond(404)
        except StoreError as error:
            self._refuse(request, 503, STORE_RETRY_S, f"{call.kind.value} {call.lot}: {error}")

    def _results(self, request: CallerRequest, call: LotCall) -> None:
        wait = min(MAX_WAIT_S, wait_s(request.headers))
        page = self.reader.results(call.lot, call.after, wait)
        request.respond(200, [JSON], results_body(page.total, call.after, page.results))

    def _sample_body(self, request: CallerRequest, call: LotCall) -> None:
        body = self.reader.body(call.lot, call.sample)
        if body is None:
            request.respond(404)
        else:
            request.respond(200, [("Content-Type", "application/octet-stream")], body)

    def _end(self, request: CallerRequest, call: LotCall) -> None:
        self.reader.end(call.lot)
        request.respond(200)

    def _refuse(self, request: CallerRequest, status: int, after_s: float, reason: str) -> None:
        log_state(
            "refused",
            request=request_id(request.headers),
            status=status,
            after_s=after_s,
            reason=reason,
        )
        self.metrics.count("answer", "refused")
        self._answer_later(request, status, after_s)

    def _answer_later(self, request: CallerRequest, status: int, after_s: float) -> None:
        request.respond(status, [(RETRY_AFTER, f"{after_s:.2f}")], close=self.stopping)


def _patience_s(request: CallerRequest) -> float:
    """Return for how long a hand-in is tried while the store is away; outages take 4 to 6 s.

    The rest of the trainer's time is left for another try at another gateway.
    """
    left = time_left_s(request.headers)
    return SETTLE_S if left is None else min(PATIENCE_MOST_S, left * PATIENCE_SHARE)


__all__ = ["EdgeHandler"]
