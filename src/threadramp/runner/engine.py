"""The engine that a sidecar serves: its known state, and the requests sent to it."""

from __future__ import annotations

import threading
from collections import deque
from statistics import median
from typing import TYPE_CHECKING

from msgspec.structs import replace

from threadramp.edge.connection_pool import ConnectionPool
from threadramp.edge.exchange import ExchangeError
from threadramp.fleet.model import Endpoint, Incarnation
from threadramp.platform.engine import (
    ORDER_PATH,
    REPORT_PATH,
    EngineReport,
    OrderOutcome,
    order_body,
    read_order_answer,
    read_report,
)
from threadramp.platform.headers import order_headers
from threadramp.platform.settings import Bounds
from threadramp.report.log import log_state
from threadramp.runner.send_limit import SendLimit
from threadramp.wire.late_bytes import TooLateError, body_in_time, drop_what_is_late
from threadramp.wire.runner import ANY_MODEL, Facts

if TYPE_CHECKING:
    from collections.abc import Callable

    from threadramp.edge.exchange import EndpointResponse, Exchange
    from threadramp.fleet.clock import Clock
    from threadramp.fleet.model import WeightTarget

# The engine is on the same box; a connection that passes nothing is detected within this time.
REPORT_TIMEOUT_S = 0.3
# An order is accepted or refused within a few ms; the engine loop does nothing else meanwhile.
ORDER_TIMEOUT_S = 0.3
MAX_GAPS = 32  # latest gaps between events, from which the median is computed
RECENT_GAP_S = 2.0  # older gaps are used only while there are no newer ones
GAP_TTL_S = 12.0  # even older gaps are ignored; slow periods lasted 8 s
NO_FACTS = Facts(endpoints_revision=-1, targets_revision=-1)  # older than any received facts


class Engine:
    """The one engine of a sidecar.

    :param holder: name of the box that sends the orders
    :param send_limit: how many samples a second it may receive from this process
    """

    def __init__(
        self,
        address: str,
        pool: str,
        holder: str,
        clock: Clock,
        send_limit: SendLimit | None = None,
    ) -> None:
        self.address = address
        self.pool = pool
        self.holder = holder
        self.clock = clock
        self.connections = ConnectionPool()  # for samples
        # For reports and orders. They carry no request id, so a response left over on a connection
        # from a sample or another report would be taken for theirs.
        self.control_connections = ConnectionPool()
        self.facts = NO_FACTS
        self.report: EngineReport | None = None
        self.responsive_since = float("inf")  # infinite while the engine does not answer
        self.last_report_failed = False
        self.pending_order: WeightTarget | None = None
        self.pending_model = ""
        self.superseded: Incarnation | None = None
        self.reported_born = 0
        self.known_incarnation: Incarnation | None = None
        self.on_new_incarnation: Callable[[], None] = lambda: None
        self.event_gaps: deque[tuple[float, float]] = deque(maxlen=MAX_GAPS)
        self.on_suspect_connections: Callable[[], None] = lambda: None
        self.send_limit = send_limit or SendLimit(Bounds(), False, clock.now())
        self.lock = threading.Lock()

    @property
    def is_loading(self) -> bool:
        """Return whether the engine is loading weights or has been ordered to."""
        return self.pending_order is not None or (self.report is not None and self.report.busy)

    @property
    def loading_model(self) -> str:
        """Return the model whose weights are being loaded or about to be, empty if there is none.

        Only samples of that model are rejected meanwhile; those of other models run as usual. The
        result is ``ANY_MODEL`` for an order of an earlier process, whose model is not known.
        """
        return (self.pending_model or ANY_MODEL) if self.is_loading else ""

    @property
    def is_confirmed(self) -> bool:
        """Return whether the engine answers and is the incarnation that gateways reported."""
        has_id = bool(self.facts.instance)
        return self.report is not None and has_id and self.incarnation != self.superseded

    @property
    def incarnation(self) -> Incarnation:
        """Return the newest incarnation, by the gateways' facts and the engine's own report.

        An engine may restart under the same id and report that before the gateways do. If it
        restarts under another id, it refuses requests that name this one.
        """
        return Incarnation(self.facts.instance, max(self.facts.born, self.reported_born))

    @property
    def is_ready(self) -> bool:
        """Return whether a sample would start at the engine now."""
        return self.is_confirmed and not self.is_leaving

    @property
    def is_leaving(self) -> bool:
        """Return whether the engine wants no new work, by its report or the list of endpoints.

        The list is ignored where it describes an older incarnation than the reporting one.
        """
        listed = self.facts.leaving and not 0 < self.facts.born < self.reported_born
        return listed or (self.report is not None and self.report.leaving)

    def endpoint(self) -> Endpoint:
        """Return the engine as an endpoint to send requests to."""
        incarnation = self.incarnation
        return Endpoint(
            incarnation.instance,
            self.pool,
            self.address,
            "",
            self.facts.slots,
            born=incarnation.born,
        )

    def update_facts(self, facts: Facts) -> None:
        """Store the facts that a gateway sent, except for what is older than the stored facts.

        The published versions are compared by the revision of the targets, everything else by the
        revision of the list of endpoints. Of the configuration only the newest revision is kept.
        """
        with self.lock:
            stored = self.facts
            listed = facts if facts.endpoints_revision >= stored.endpoints_revision else stored
            if facts.instance == stored.instance and facts.start.started_before(stored.start):
                listed = stored
            published = facts if facts.targets_revision >= stored.targets_revision else stored
            if listed.instance != stored.instance:
                self.reported_born = 0
            self.facts = replace(
                listed,
                slots=listed.slots or stored.slots,
                targets=published.targets,
                targets_revision=published.targets_revision,
                configuration_revision=max(
                    facts.configuration_revision, stored.configuration_revision
                ),
            )
        self.send_limit.update(self.facts, self.clock.now())
        self._check_incarnation()

    def _check_incarnation(self) -> None:
        """Drop the state of the previous incarnation once there is a new one.

        That is a pending order, the event gaps and the idle connections. Samples that were sent to
        the previous incarnation make no more progress.
        """
        with self.lock:
            incarnation, before = self.incarnation, self.known_incarnation
            if incarnation == before:
                return
            self.known_incarnation = incarnation
        log_state(
            "engine_start",
            instance=incarnation.instance,
            born=incarnation.born,
            before=before,
            revision=self.facts.endpoints_revision,
        )
        self._reset_incarnation_state()

    def _reset_incarnation_state(self) -> None:
        self.pending_order = None
        self.event_gaps.clear()
        self.close_idle_connections()
        self.on_new_incarnation()

    def close_idle_connections(self) -> None:
        """Close all idle connections; if one passes nothing any more, the others may not either."""
        self.connections.retain_only(set())
        self.control_connections.retain_only(set())

    def set_counter(self, count: Callable[[str, str], None]) -> None:
        """Set the function that counts unrequested responses on connections, by kind and label."""
        self.connections.count = count
        self.control_connections.count = count

    def mark_superseded(self, incarnation: Incarnation) -> None:
        """Record that this incarnation is gone; gateways will report the next one."""
        if self.superseded != incarnation:
            self.superseded = incarnation
            log_state("engine_superseded", instance=incarnation.instance, born=incarnation.born)

    def read_report(self) -> bool:
        """Request the engine's report.

        :returns: whether a current report was received
        """
        had_report = self.report is not None
        try:
            report = self._fetch_consistent_report()
        except (ExchangeError, ValueError) as error:
            if had_report:
                log_state("engine_lost", error=str(error))
            self.report = None
            self.responsive_since = float("inf")
            self.last_report_failed = True
            return False
        self.last_report_failed = False
        if report is not None and not had_report:
            self.responsive_since = self.clock.now()
            log_state("engine_recovered", versions=report.versions, orders=report.orders)
        if report is not None and 0 < report.born < self.facts.born:
            log_state("outdated_report", born=report.born, known=self.facts.born)
            return False  # from a previous incarnation
        self._log_leaving(report)
        before, self.report = self.report, report
        if report is not None:
            self.reported_born = max(self.reported_born, report.born)
        self._check_incarnation()
        if before is not None and report is not None and report.orders < before.orders:
            log_state("engine_counters_reset", orders=report.orders, before=before.orders)
            # Only a restart resets the count, also where the report has no start time.
            self._reset_incarnation_state()
        return report is not None

    def send_order(
        self,
        target: WeightTarget,
        fence: int,
        orders_before: int,
        is_verified: Callable[[], bool],
    ) -> OrderOutcome:
        """Order the engine to load a version of a model.

        :param fence: fencing token of the engine lock
        :param orders_before: number of orders that the engine had accepted by its last report
        :param is_verified: returns whether the verification of the engine lock is still valid
        """
        body = order_body(target.model, target.version, self.holder, fence, orders_before)
        headers = order_headers(self.address, self.facts.instance, len(body))
        try:
            exchange = self._open_control_exchange(ORDER_TIMEOUT_S, on_new=True)
        except ExchangeError as error:
            log_state("order_not_sent", version=target.version, reason=str(error))
            return OrderOutcome.NOT_SENT
        try:
            drop_what_is_late(exchange.connection.sock, ORDER_TIMEOUT_S)
            exchange.send("POST", ORDER_PATH, headers, body_in_time(body, is_verified))
            response = exchange.read(ORDER_TIMEOUT_S)
        except TooLateError:
            log_state(
                "order_not_sent",
                version=target.version,
                reason="the verification of the engine lock expired",
            )
            return OrderOutcome.NOT_SENT
        except ExchangeError as error:
            log_state("order_unanswered", version=target.version, error=str(error))
            return OrderOutcome.UNKNOWN
        finally:
            exchange.close()
        return read_order_answer(response.head.status)

    def release_connection(self, exchange: Exchange, response: EndpointResponse) -> None:
        """Return the connection to the pool; at most one idle connection per slot is kept."""
        self.connections.release(exchange, response, self.clock.now(), self.facts.slots)

    def add_event_gap(self, seconds: float) -> None:
        """Record the time between two events of a sample."""
        self.event_gaps.append((self.clock.now(), seconds))

    def median_gap_ms(self) -> float:
        """Return the median milliseconds between two recent events, 0 if there were none."""
        now = self.clock.now()
        valid = [(at, seconds) for at, seconds in list(self.event_gaps) if at >= now - GAP_TTL_S]
        recent = [seconds for at, seconds in valid if at >= now - RECENT_GAP_S]
        chosen = recent or [seconds for _, seconds in valid]
        return median(chosen) * 1000 if chosen else 0.0

    def _fetch_consistent_report(self) -> EngineReport | None:
        """Return the engine's report; one that regresses is requested again on a new connection.

        Order count and versions never decrease within an incarnation. A duplicate of an older
        report shows lower values, as a new incarnation does, and its content does not tell which.

        :raises ExchangeError: if no response arrived
        :raises ValueError: if the report cannot be decoded
        """
        report, is_first = self._fetch_report_with_retry()
        before = self.report
        if is_first or report is None or before is None or not report.is_behind(before):
            return report
        log_state("report_regressed", orders=report.orders, before=before.orders)
        self.control_connections.retain_only(set())
        return self._fetch_report(self._open_control_exchange(REPORT_TIMEOUT_S))

    def _fetch_report_with_retry(self) -> tuple[EngineReport | None, bool]:
        """Return the engine's report, retried on a new connection if the first request failed.

        :returns: the report, and whether it is the first response on its connection
        :raises ExchangeError: if no response arrived
        :raises ValueError: if the report cannot be decoded
        """
        first = exchange = self._open_control_exchange(REPORT_TIMEOUT_S)
        errors: list[Exception] = []
        while True:
            try:
                report = self._fetch_report(exchange)
                break
            except (ExchangeError, ValueError) as error:
                errors.append(error)
                if not exchange.reused and not self._may_have_paused(errors):
                    raise
            self.close_idle_connections()
            exchange = self._open_control_exchange(REPORT_TIMEOUT_S)
        if errors and first.reused and _is_timeout(errors[0]):
            # The engine answers, so the first connection was at fault.
            log_state("engine_connections_suspect", error=str(errors[0]))
            self.on_suspect_connections()
        elif errors:
            log_state("report_retried", error=str(errors[-1]))
        return report, not exchange.reused

    def _may_have_paused(self, errors: list[Exception]) -> bool:
        """Return whether a pause of the box explains why the last request brought no report.

        A pause uses up the timeout of the request that it hits, and the next one is answered. An
        engine that is already lost is requested only once per pass, so that its recovery is not
        detected later.

        :param errors: errors of this pass's requests
        """
        timeouts = sum(_is_timeout(error) for error in errors)
        return _is_timeout(errors[-1]) and timeouts == 1 and not self.last_report_failed

    def _fetch_report(self, exchange: Exchange) -> EngineReport | None:
        exchange.send("GET", REPORT_PATH, {"Host": self.address}, b"")
        response = exchange.read(REPORT_TIMEOUT_S)
        self.control_connections.release(exchange, response, self.clock.now())
        return read_report(response.body) if response.head.status == 200 else None

    def _open_control_exchange(self, timeout_s: float, on_new: bool = False) -> Exchange:
        now = self.clock.now()
        return self.control_connections.acquire(self.endpoint(), now, timeout_s, on_new)

    def _log_leaving(self, report: EngineReport | None) -> None:
        """Log when the engine first reports that it is leaving."""
        was_leaving = self.report is not None and self.report.leaving
        if report is not None and report.leaving and not was_leaving:
            log_state("engine_leaving", instance=self.facts.instance, listed=self.facts.leaving)


def _is_timeout(error: Exception) -> bool:
    return isinstance(error, ExchangeError) and error.timed_out


__all__ = ["Engine"]
