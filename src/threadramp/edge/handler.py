"""Handles the HTTP requests of a gateway: routing, authentication, forwarding and lot calls."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from threadramp.config.findings import FindingsError
from threadramp.edge.job import Ending, Job, Outcome
from threadramp.edge.server import BodyTooLongError, NoRoomError
from threadramp.fleet.model import CallerLimits, RouteKind
from threadramp.lots.remote_lots import LotUnknownError
from threadramp.lots.retried_writes import RETRY_FOR_S
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
from threadramp.policy.callers import Caller, identify_caller
from threadramp.policy.request_buffers import DEFAULT_MAX_LOT_BYTES, LOT_COPIES, decoded_bytes
from threadramp.report.limited_log import LimitedLog
from threadramp.report.log import log_state
from threadramp.wire.receiving import RETRY_S

if TYPE_CHECKING:
    from collections.abc import Callable

    from threadramp.edge.forward import Forwarder
    from threadramp.edge.server import CallerRequest
    from threadramp.edge.streaming import StreamForwarder
    from threadramp.fleet.clock import Clock
    from threadramp.fleet.fleet_view import FleetView
    from threadramp.fleet.model import Configuration, Route
    from threadramp.lots.owner import LotOwner
    from threadramp.lots.reading import LotReader
    from threadramp.platform.trainer_calls import LotCall
    from threadramp.report.metrics import Metrics

DEFAULT_TIME_S = 10.0  # for a caller that sends no deadline
START_RETRY_S = 0.5  # a starting process receives the configuration within this time
STORE_RETRY_S = 1.0  # outages of the store take seconds
RETRY_TIME_SHARE = 0.4  # of the time that a trainer waits, spent on submitting its lot
MAX_RETRY_TIME_S = 5.0  # less than the time between a SIGTERM and a kill
MAX_WAIT_S = 1.0  # upper bound of a long poll for results
JSON = ("Content-Type", "application/json")
CHALLENGE = ("WWW-Authenticate", "Bearer")


class EdgeHandler:
    """Handles requests of callers and trainers.

    :param max_key_age_s: seconds after which the known API keys are too old to be trusted
    :param max_lot_bytes: of the samples of all lots that this process owns
    """

    def __init__(
        self,
        fleet_view: FleetView,
        forwarder: Forwarder,
        stream_forwarder: StreamForwarder,
        owner: LotOwner,
        reader: LotReader,
        metrics: Metrics,
        clock: Clock,
        max_key_age_s: float = math.inf,
        max_lot_bytes: int = DEFAULT_MAX_LOT_BYTES,
    ) -> None:
        self.max_lot_bytes = max_lot_bytes
        self.max_key_age_s = max_key_age_s
        self.fleet_view = fleet_view
        self.forwarder = forwarder
        self.stream_forwarder = stream_forwarder
        self.owner = owner
        self.reader = reader
        self.metrics = metrics
        self.clock = clock
        self.stopping = False
        self.limited_log = LimitedLog()

    def handle(self, request: CallerRequest) -> None:
        """Handle a request; an unexpected error is logged and answered with status 500."""
        try:
            self._serve(request)
        except Exception as error:  # the process continues; the effect of the request is unknown
            log_state("internal_error", request=request_id(request.headers), error=repr(error))
            self.metrics.count("answer", "internal_error")
            if request.raw.sent_headers:
                request.abort()  # else the server would end the chunked body as if complete
            else:
                request.respond(500, close=True)

    def serve_ready(self, request: CallerRequest) -> None:
        """Respond whether this gateway is ready for new connections."""
        if request.path != READY_PATH:
            request.respond(404)
            return
        ready = self.fleet_view.is_complete and not self.stopping
        request.respond(200 if ready else 503)

    def _serve(self, request: CallerRequest) -> None:
        started = request.arrived_at
        configuration = self.fleet_view.snapshot.configuration
        if configuration is None:
            self._refuse(request, 503, START_RETRY_S, "no configuration yet")
            return
        if request.path.startswith(OWN_ROOT):
            self._serve_lot_call(request, configuration)
            return
        route = configuration.route_for(request.host, request.path)
        if route is None:
            log_state("no_route", host=request.host, path=request.path)
            request.respond(404)
            return
        identity = self._authenticate(request, configuration, route.public)
        body = self._read_body(request, configuration.limits) if identity is not None else None
        if body is None:
            return
        if route.kind is RouteKind.SAMPLES:
            self._submit_lot(request, identity.with_priority(route), body, identity)
        else:
            self._forward(request, identity.with_priority(route), body, started, identity)

    def _authenticate(
        self, request: CallerRequest, configuration: Configuration, public: bool
    ) -> Caller | None:
        """Return the caller; none if the request was rejected, in which case nothing of it ran.

        :param public: whether no key is needed
        """
        result = identify_caller(configuration.organisations, caller_key(request.headers), public)
        if isinstance(result, Caller):
            return result if self._check_key_age(request, result) else None
        log_state(
            "caller_unknown",
            request=request_id(request.headers),
            path=request.path,
            reason=result.value,
            version=configuration.version,
        )
        self.metrics.count("answer", result.value)
        request.respond(401, [CHALLENGE], close=self.stopping)
        return None

    def _check_key_age(self, request: CallerRequest, identity: Caller) -> bool:
        """Return whether the known API keys are recent enough; else refuse the request.

        A box that is cut off from the store goes on for as long as it may: refusing would turn
        away all callers because of the few whose keys were revoked meanwhile.
        """
        age_s = self.fleet_view.configuration_age_s(self.clock.now())
        if not identity.organisation or age_s <= self.max_key_age_s:
            return True
        self._refuse(request, 503, START_RETRY_S, f"the known API keys are {age_s:.1f} s old")
        return False

    def _read_body(self, request: CallerRequest, limits: CallerLimits) -> bytes | None:
        try:
            return request.read_body(limits.body_bytes)
        except BodyTooLongError as error:
            self._log_body(request, "body_too_long", error)
            request.respond(413, close=True)
        except NoRoomError as error:
            self._refuse(request, 503, RETRY_S, str(error))
        except OSError as error:
            self._log_body(request, "body_not_read", error)
            request.close_without_response()
        return None

    def _log_body(self, request: CallerRequest, kind: str, error: Exception) -> None:
        """Log and count that a body was not read; a crowd of callers may bring this about."""
        self.metrics.count("answer", kind)
        name = request_id(request.headers)
        self.limited_log.log(log_state, kind, request=name, error=repr(error))

    def _forward(
        self, request: CallerRequest, route: Route, body: bytes, started: float, identity: Caller
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
            identity=identity,
            arrived_at=started,
        )
        if route.kind is RouteKind.STREAM:
            outcome = self.stream_forwarder.run(job, request, self.stopping)
        else:
            outcome = self.forwarder.run(job)
        took_s = self.clock.now() - started
        self.metrics.record_latency(route.name, took_s)
        if outcome.first_event_s is not None:
            self.metrics.record_latency(f"{route.name} first event", outcome.first_event_s)
        self.metrics.count("answer", outcome.ending.value)
        self._send_outcome(request, outcome, route, took_s, identity)

    def _send_outcome(
        self,
        request: CallerRequest,
        outcome: Outcome,
        route: Route,
        took_s: float,
        identity: Caller,
    ) -> None:
        response = outcome.response
        status = 0
        if outcome.ending is Ending.CALLER_DISCONNECTED:
            request.close_without_response()
        elif response is not None:
            status = response.head.status
            headers = to_caller(response.headers)
            request.respond(status, headers, response.body, response.reason, close=self.stopping)
        elif outcome.ending in (Ending.STREAMED, Ending.CUT):
            status = 200
        elif outcome.ending is Ending.NOT_RUN:
            status = 503
            self._send_retry_after(request, 503, outcome.retry_after_s)
        else:
            status = 504 if outcome.ending is Ending.TIMED_OUT else 502
            request.respond(status, close=self.stopping)
        log_state(
            "answered",
            request=request_id(request.headers),
            route=route.name,
            organisation=identity.organisation,
            status=status,
            ending=outcome.ending.value,
            ms=round(took_s * 1000, 1),
            target_ms=round(route.target_s * 1000),
        )

    def _submit_lot(
        self, request: CallerRequest, route: Route, body: bytes, identity: Caller
    ) -> None:
        lot_id = request_id(request.headers)
        if request.method != "POST" or not lot_id:
            request.respond(400, body=b"a lot is handed in by POST, with an id")
            return
        decoded = decoded_bytes(body)
        if decoded > request.max_request_bytes:
            log_state("lot_too_large", lot=lot_id, decoded_bytes=decoded)
            request.respond(413, body=b"the lot has too many samples", close=True)
            return
        try:
            with request.reserved(LOT_COPIES * len(body) + decoded):
                self._store_lot(request, route, body, identity)
        except NoRoomError as error:
            self.metrics.count("lot", "no_room")
            self._refuse(request, 503, RETRY_S, str(error))

    def _store_lot(
        self, request: CallerRequest, route: Route, body: bytes, identity: Caller
    ) -> None:
        """Store a lot.

        :raises NoRoomError: if this process holds too much of other lots
        """
        lot_id = request_id(request.headers)
        try:
            lot = read_lot(lot_id, request.host, request.path, body, identity.organisation)
        except FindingsError as error:
            log_state("lot_unreadable", lot=lot_id, findings=[str(f) for f in error.findings])
            request.respond(400, body=str(error).encode())
            return
        held = self.owner.owned.body_bytes(but=lot.id)
        if held and held + lot.body_bytes > self.max_lot_bytes:
            raise NoRoomError(f"{held} bytes of lots are held of {self.max_lot_bytes}")
        try:
            self.owner.submit(lot, route, _retry_time_s(request))
        except StoreRefusedError as error:
            self._refuse(request, 503, STORE_RETRY_S, f"lot not stored: {error}")
        except StoreError as error:
            log_state("lot_outcome_unknown", lot=lot_id, error=str(error))
            self.metrics.count("lot", "unknown")
            request.respond(504, close=self.stopping)
        else:
            self.metrics.count("lot", "taken")
            request.respond(202, close=self.stopping)

    def _serve_lot_call(self, request: CallerRequest, configuration: Configuration) -> None:
        """Handle a call about a lot; a lot of another organisation is reported as not found."""
        public = configuration.accepts_anonymous_lots(request.host)
        identity = self._authenticate(request, configuration, public)
        if identity is None:
            return
        given = read_call(request.method, request.target)
        if given is None:
            request.respond(404)
            return
        call = given.of(identity.organisation)
        handlers: dict[LotCallKind, Callable[[CallerRequest, LotCall], None]] = {
            LotCallKind.RESULTS: self._results,
            LotCallKind.BODY: self._sample_body,
            LotCallKind.END: self._end_lot,
        }
        try:
            handlers[call.kind](request, call)
        except LotUnknownError:
            log_state("lot_not_found", lot=call.lot, call=call.kind.value)
            request.respond(404)
        except StoreError as error:
            if call.kind is LotCallKind.END and not isinstance(error, StoreRefusedError):
                self._answer_unknown_end(request, call, error)
                return
            self._refuse(request, 503, STORE_RETRY_S, f"{call.kind.value} {call.lot}: {error}")

    def _answer_unknown_end(self, request: CallerRequest, call: LotCall, error: StoreError) -> None:
        """Answer the end of a lot that may be stored: 503 would promise that it never is."""
        log_state("lot_end_unknown", lot=call.lot, status=504, error=str(error))
        self.metrics.count("lot", "end_unknown")
        request.respond(504, close=self.stopping)

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

    def _end_lot(self, request: CallerRequest, call: LotCall) -> None:
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
        self._send_retry_after(request, status, after_s)

    def _send_retry_after(self, request: CallerRequest, status: int, after_s: float) -> None:
        request.respond(status, [(RETRY_AFTER, f"{after_s:.2f}")], close=self.stopping)


def _retry_time_s(request: CallerRequest) -> float:
    """Return the seconds to retry a submission while the store is unreachable.

    Outages of the store take 4 to 6 s. The rest of the trainer's time is left for an attempt at
    another gateway.
    """
    left = time_left_s(request.headers)
    return RETRY_FOR_S if left is None else min(MAX_RETRY_TIME_S, left * RETRY_TIME_SHARE)


__all__ = ["EdgeHandler"]
