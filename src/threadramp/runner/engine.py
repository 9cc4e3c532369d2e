"""The engine beside a sidecar: what is known of it and how it is called."""

from __future__ import annotations

import threading
from collections import deque
from statistics import median
from typing import TYPE_CHECKING

from msgspec.structs import replace

from threadramp.edge.connection_pool import ConnectionPool
from threadramp.edge.exchange import ExchangeError
from threadramp.fleet.model import Endpoint, Start
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
from threadramp.report.log import log_state
from threadramp.wire.late_bytes import TooLateError, body_in_time, drop_what_is_late
from threadramp.wire.runner import ANY_MODEL, Facts

if TYPE_CHECKING:
    from collections.abc import Callable

    from threadramp.edge.exchange import EndpointResponse, Exchange
    from threadramp.fleet.clock import Clock
    from threadramp.fleet.model import WeightTarget

REPORT_TIMEOUT_S = 0.3  # from the same box; a silent connection is found out within this
ORDER_TIMEOUT_S = 0.3  # taken or refused within some ms; nothing else is looked at meanwhile
GAPS = 32  # of the last events, from which the usual gap is taken
GAP_AGE_S = 2.0  # older gaps count only while there are no newer ones
GAP_KEPT_S = 12.0  # an even older one says nothing; slow spells lasted 8 s
NOTHING_TOLD = Facts(endpoints_revision=-1, targets_revision=-1)  # older than all that is told


class Engine:
    """The one engine of a sidecar."""

    def __init__(self, address: str, pool: str, holder: str, clock: Clock) -> None:
        self.address = address
        self.pool = pool
        self.holder = holder
        self.clock = clock
        self.connections = ConnectionPool()  # for samples
        # Reports and orders name no id: what a sample or another report left on a connection would
        # pass for their answer.
        self.report_connections = ConnectionPool()
        self.facts = NOTHING_TOLD
        self.report: EngineReport | None = None
        self.answers_since = float("inf")
        self.is_unanswered = False  # the turn before brought no report
        self.ordered: WeightTarget | None = None
        self.ordered_model = ""
        self.over: Start | None = None
        self.told_born = 0
        self.known_start: Start | None = None
        self.on_start: Callable[[], None] = lambda: None
        self.gaps: deque[tuple[float, float]] = deque(maxlen=GAPS)
        self.on_silence: Callable[[], None] = lambda: None
        self.lock = threading.Lock()

    @property
    def is_loading(self) -> bool:
        """Return whether it changes weights or is about to."""
        return self.ordered is not None or (self.report is not None and self.report.busy)

    @property
    def loading(self) -> str:
        """Return the model whose weights change now or are about to, empty if none do.

        Only its samples are rejected meanwhile; those of other models run as ever. What an order
        concerns that an earlier process gave is not known.
        """
        return (self.ordered_model or ANY_MODEL) if self.is_loading else ""

    @property
    def is_known(self) -> bool:
        """Return whether it answers and is the start that gateways told."""
        named = bool(self.facts.instance)
        return self.report is not None and named and self.start != self.over

    @property
    def start(self) -> Start:
        """Return its newest start, by what gateways told and by what it says of itself.

        It may start again under its id and say so before gateways do; if its id is another one,
        it refuses what is sent to this one.
        """
        return Start(self.facts.instance, max(self.facts.born, self.told_born))

    @property
    def is_ready(self) -> bool:
        """Return whether a sample would start there now."""
        return self.is_known and not self.is_leaving

    @property
    def is_leaving(self) -> bool:
        """Return whether it wants no new work, by its own word or by the list of endpoints.

        What the list says of an older start than the one that reports does not count.
        """
        listed = self.facts.leaving and not 0 < self.facts.born < self.told_born
        return listed or (self.report is not None and self.report.leaving)

    def endpoint(self) -> Endpoint:
        """Return the engine as an endpoint to send requests to."""
        start = self.start
        return Endpoint(
            start.instance, self.pool, self.address, "", self.facts.slots, born=start.born
        )

    def learn(self, facts: Facts) -> None:
        """Take over what a gateway knows, unless it is older than what is known.

        The named versions are as new as their own revision, all else as the list of endpoints.
        """
        with self.lock:
            held = self.facts
            listed = facts if facts.endpoints_revision >= held.endpoints_revision else held
            if facts.instance == held.instance and facts.start.is_older_than(held.start):
                listed = held
            named = facts if facts.targets_revision >= held.targets_revision else held
            if listed.instance != held.instance:
                self.told_born = 0
            self.facts = replace(
                listed,
                slots=listed.slots or held.slots,
                targets=named.targets,
                targets_revision=named.targets_revision,
            )
        self._look_at_start()

    def _look_at_start(self) -> None:
        """Forget what belongs to the start before once there is another one.

        A pending order, the usual gap and the kept connections; its samples stand still.
        """
        with self.lock:
            start, before = self.start, self.known_start
            if start == before:
                return
            self.known_start = start
        log_state(
            "engine_start",
            instance=start.instance,
            born=start.born,
            before=before,
            revision=self.facts.endpoints_revision,
        )
        self._begin_start()

    def _begin_start(self) -> None:
        self.ordered = None
        self.gaps.clear()
        self.forget_connections()
        self.on_start()

    def forget_connections(self) -> None:
        """Close what is kept; if one passes nothing any more, the others may not either."""
        self.connections.retain_only(set())
        self.report_connections.retain_only(set())

    def count_with(self, count: Callable[[str, str], None]) -> None:
        """Let what comes on connections and is not asked for be counted, by kind and label."""
        self.connections.count = count
        self.report_connections.count = count

    def is_another(self, start: Start) -> None:
        """Note that the engine is not that start any more; gateways will tell the next one."""
        if self.over != start:
            self.over = start
            log_state("engine_is_another", instance=start.instance, born=start.born)

    def read_report(self) -> bool:
        """Ask the engine for its report; false if it did not answer."""
        had = self.report is not None
        try:
            report = self._sure_report()
        except (ExchangeError, ValueError) as error:
            if had:
                log_state("engine_lost", error=str(error))
            self.report = None
            self.answers_since = float("inf")
            self.is_unanswered = True
            return False
        self.is_unanswered = False
        if report is not None and not had:
            self.answers_since = self.clock.now()
            log_state("engine_regained", versions=report.versions, orders=report.orders)
        if report is not None and 0 < report.born < self.facts.born:
            log_state("older_report", born=report.born, known=self.facts.born)
            return False  # of a start that is over
        self._note_leaving(report)
        before, self.report = self.report, report
        if report is not None:
            self.told_born = max(self.told_born, report.born)
        self._look_at_start()
        if before is not None and report is not None and report.orders < before.orders:
            log_state("engine_counts_anew", orders=report.orders, before=before.orders)
            self._begin_start()  # only a new start does, also where it does not tell its birth
        return report is not None

    def order(
        self,
        target: WeightTarget,
        fence: int,
        orders_before: int,
        still_proven: Callable[[], bool],
    ) -> OrderOutcome:
        """Order the engine to change to a version of a model.

        :param still_proven: whether this process may order yet
        """
        body = order_body(target.model, target.version, self.holder, fence, orders_before)
        headers = order_headers(self.address, self.facts.instance, len(body))
        try:
            exchange = self._open_for_report(ORDER_TIMEOUT_S, on_new=True)
        except ExchangeError as error:
            log_state("order_not_sent", version=target.version, reason=str(error))
            return OrderOutcome.NOT_SENT
        try:
            drop_what_is_late(exchange.connection.sock, ORDER_TIMEOUT_S)
            exchange.send("POST", ORDER_PATH, headers, body_in_time(body, still_proven))
            answer = exchange.read(ORDER_TIMEOUT_S)
        except TooLateError:
            log_state("order_not_sent", version=target.version, reason="the proof is too old")
            return OrderOutcome.NOT_SENT
        except ExchangeError as error:
            log_state("order_unanswered", version=target.version, error=str(error))
            return OrderOutcome.UNKNOWN
        finally:
            exchange.close()
        return read_order_answer(answer.head.status)

    def keep(self, exchange: Exchange, answer: EndpointResponse) -> None:
        """Keep a connection for the next sample, one for each slot."""
        self.connections.release(exchange, answer, self.clock.now(), self.facts.slots)

    def add_gap(self, seconds: float) -> None:
        """Note the time between two events of a sample."""
        self.gaps.append((self.clock.now(), seconds))

    def gap_ms(self) -> float:
        """Return the usual time between two events lately, 0 if there were none."""
        now = self.clock.now()
        kept = [(at, seconds) for at, seconds in list(self.gaps) if at >= now - GAP_KEPT_S]
        recent = [seconds for at, seconds in kept if at >= now - GAP_AGE_S]
        chosen = recent or [seconds for _, seconds in kept]
        return median(chosen) * 1000 if chosen else 0.0

    def _sure_report(self) -> EngineReport | None:
        """Return the engine's report; what falls is asked for again, on a new connection.

        Counts and versions rise while a start lives. A second copy of an older report shows lower
        ones, as a new start does, and nothing in it tells them apart.

        :raises ExchangeError: if no answer came
        :raises ValueError: if it cannot be read
        """
        report, is_first = self._asked_report()
        before = self.report
        if is_first or report is None or before is None or not report.is_behind(before):
            return report
        log_state("report_falls", orders=report.orders, before=before.orders)
        self.report_connections.retain_only(set())
        return self._ask_for_report(self._open_for_report(REPORT_TIMEOUT_S))

    def _asked_report(self) -> tuple[EngineReport | None, bool]:
        """Return the engine's report, by a new connection if the first question brought none.

        :returns: with it, whether it is the first answer on its connection
        :raises ExchangeError: if no answer came
        :raises ValueError: if it cannot be read
        """
        first = exchange = self._open_for_report(REPORT_TIMEOUT_S)
        errors: list[Exception] = []
        while True:
            try:
                report = self._ask_for_report(exchange)
                break
            except (ExchangeError, ValueError) as error:
                errors.append(error)
                if not exchange.reused and not self._may_have_paused(errors):
                    raise
            self.forget_connections()
            exchange = self._open_for_report(REPORT_TIMEOUT_S)
        if errors and first.reused and _is_silence(errors[0]):
            # The engine answers, so the connection was what failed.
            log_state("engine_connections_suspect", error=str(errors[0]))
            self.on_silence()
        elif errors:
            log_state("report_repeated", error=str(errors[-1]))
        return report, not exchange.reused

    def _may_have_paused(self, errors: list[Exception]) -> bool:
        """Return whether a pause of the box explains that the last question brought no report.

        One uses up the time of the question that it meets, and the next one is answered. An engine
        that is lost is asked once a turn, so that one that comes back is seen no later.

        :param errors: what the questions of this turn ended in
        """
        silences = sum(_is_silence(error) for error in errors)
        return _is_silence(errors[-1]) and silences == 1 and not self.is_unanswered

    def _ask_for_report(self, exchange: Exchange) -> EngineReport | None:
        exchange.send("GET", REPORT_PATH, {"Host": self.address}, b"")
        answer = exchange.read(REPORT_TIMEOUT_S)
        self.report_connections.release(exchange, answer, self.clock.now())
        return read_report(answer.body) if answer.head.status == 200 else None

    def _open_for_report(self, timeout_s: float, on_new: bool = False) -> Exchange:
        now = self.clock.now()
        return self.report_connections.acquire(self.endpoint(), now, timeout_s, on_new)

    def _note_leaving(self, report: EngineReport | None) -> None:
        """Log that the engine says for the first time that it leaves."""
        said = self.report is not None and self.report.leaving
        if report is not None and report.leaving and not said:
            log_state("engine_leaves", instance=self.facts.instance, listed=self.facts.leaving)


def _is_silence(error: Exception) -> bool:
    return isinstance(error, ExchangeError) and error.timed_out


__all__ = ["Engine"]
