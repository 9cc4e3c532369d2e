"""Each kind of HTTP response that we read, cut after each of its bytes, by a close or by a reset.

Guards against a cut response that looks complete: whoever reads one reports its error or returns
the whole of it.
"""

from __future__ import annotations

import threading
from dataclasses import dataclass, field
from random import Random
from types import SimpleNamespace
from typing import TYPE_CHECKING, Any

import msgspec
import pytest
from urllib3.exceptions import HTTPError

from tests.cutting import Cut, CuttingServer, End, cuts, framed
from tests.stuttering import header_of
from threadramp.client.caller import CallerClient, CallResult, _texts
from threadramp.client.errors import ClientError
from threadramp.client.http import Api
from threadramp.client.operator import OperatorClient
from threadramp.client.trainer import TrainerClient
from threadramp.core.keys import EndpointResponse
from threadramp.core.lot_tracker import LotRules, LotTracker, Phase
from threadramp.core.served_versions import Order
from threadramp.edge.connection_pool import ConnectionPool
from threadramp.edge.endpoint_probe import EndpointState, fetch_start_time, probe_endpoint
from threadramp.edge.forward import Forwarder
from threadramp.fleet.clock import Clock
from threadramp.fleet.fleet_view import FleetSnapshot, FleetView
from threadramp.fleet.model import (
    Configuration,
    Endpoint,
    PoolShare,
    Route,
    RouteKind,
    WeightTarget,
)
from threadramp.gateway.calls import Calls
from threadramp.gateway.sender import Outgoing, Sender, Stream
from threadramp.lots.model import Lot, Reward, Sample
from threadramp.lots.scoring import Scoring
from threadramp.platform.boxes import BoxListClient
from threadramp.platform.duty_calls import DutyCalls, DutyOutcome
from threadramp.platform.engine import OrderOutcome
from threadramp.platform.headers import REQUEST_ID as ATTEMPT_ID
from threadramp.platform.headers import SIGNATURE
from threadramp.platform.store import StoreClient
from threadramp.platform.store_model import (
    Changes,
    Committed,
    Conflict,
    Item,
    LeaseGone,
    Listing,
    Put,
    StoreError,
    Transaction,
)
from threadramp.policy.endpoint_choice import EndpointSelector
from threadramp.policy.retries import RetryBudget
from threadramp.runner.engine import Engine
from threadramp.sidecar.engine import BrokenAnswerError, ChatRequest, EngineClient
from threadramp.wire import headers
from threadramp.wire.lots import EndLine, GroupRequest, ProgressLine, SampleLine, StepRequest
from threadramp.wire.outcomes import Outcome, Reason, Refusal
from threadramp.wire.response_limits import Framing
from threadramp.wire.runner import Facts
from threadramp.wire.seal import digest
from threadramp.wire.status import FleetStatus

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

TIME_S = 5.0
WHOLE_BYTES = 1_000_000
TOKEN = "token"  # noqa: S105 - of no gateway
JSON = {"Content-Type": "application/json"}
CHAT = ChatRequest("r1", "m", "prompt", 8, 1, 0).to_bytes()


@dataclass(frozen=True)
class Case:
    """One kind of response and who reads it.

    :param ask: asks at an address and returns what is taken for the response; raises or returns one
        of ``failures`` if there is none
    :param body: of the response
    :param named: returns the response's headers for a request
    :param whole: what the response says
    :param may_close: whether a response may end with its connection
    """

    ask: Callable[[str], Any]
    body: bytes
    whole: Any
    named: Callable[[bytes], dict[str, str]] = lambda request: {}
    status: str = "200 OK"
    errors: tuple[type[Exception], ...] = ()
    failures: tuple[Any, ...] = ()
    may_close: bool = True
    extra: dict[str, str] = field(default_factory=lambda: JSON)

    def answer(self, request: bytes, framing: Framing) -> bytes:
        """Return the whole response to a request."""
        return framed(framing, self.body, self.extra | self.named(request), self.status)

    def result(self, address: str) -> Any:
        """Return what the response is taken for, none for an error."""
        try:
            result = self.ask(address)
        except self.errors:
            return None
        return None if result in self.failures else result


def to_json(value: Any) -> bytes:
    return msgspec.json.encode(value)


def echo(request: bytes) -> dict[str, str]:
    """Return what answers of gateways and sidecars name."""
    return {headers.REQUEST_ID: header_of(request, headers.REQUEST_ID)}


def from_sidecar(request: bytes) -> dict[str, str]:
    return echo(request) | {headers.ATTEMPT: "1"}


def ran(body: bytes) -> Callable[[bytes], dict[str, str]]:
    named = {headers.OUTCOME: Outcome.RAN.value, headers.BODY_DIGEST: digest(body)}
    return lambda request: from_sidecar(request) | named


def from_gateway(request: bytes) -> dict[str, str]:
    return echo(request) | {headers.OUTCOME: Outcome.RAN.value, headers.ENDPOINT: "bank-1"}


# Calls of a sidecar to its endpoint.
ANSWER = to_json({"id": "r1", "balance": 12345})
SERVICE_ANSWER = EndpointResponse(200, "application/json", ANSWER)


def call_endpoint(address: str) -> EndpointResponse:
    sent = {headers.REQUEST_ID: "r1", "Content-Type": "application/json"}
    return EngineClient(address).call("POST", "/transfers", sent, b"{}", TIME_S, echoes=True)


def piece(text: str, name: str = "r1") -> bytes:
    chunk = {"id": name, "choices": [{"delta": {"content": text}}], "weight_version": 1}
    return b"data: " + to_json(chunk) + b"\n\n"


STREAM = piece("one ") + piece("two ") + piece("data: [DONE] ") + b"data: [DONE]\n\n"
EVENTS = STREAM.split(b"\n\n")
TEXTS = ["one ", "two ", "data: [DONE] "]


def stream_endpoint(address: str) -> list[str]:
    return [chunk.text for chunk in EngineClient(address).stream(CHAT, "r1")]


def read_versions(address: str) -> dict[str, int | None] | None:
    found = EngineClient(address).versions()
    return None if found is None else found.weights


def order_version(address: str) -> tuple[bool, int]:
    return EngineClient(address).order(Order("m", 1, 3), lambda: True)


# Calls of a gateway to a sidecar.
REFUSAL = Refusal(Reason.OVERLOADED, Outcome.NOT_RUN, "no slot before its deadline", 1)


def send_to_sidecar(address: str, path: str = "/v1/call/transfers") -> Any:
    named = {headers.REQUEST_ID: "r1", headers.ATTEMPT: "1"}
    return Sender("token", 4).send(Outgoing("POST", address, path, named, b"{}", TIME_S))


def send_for_answer(address: str) -> EndpointResponse | None:
    result = send_to_sidecar(address)
    return result if isinstance(result, EndpointResponse) else None


def send_for_refusal(address: str) -> Refusal | None:
    result = send_to_sidecar(address)
    return result if isinstance(result, Refusal) else None


def pass_on_stream(address: str) -> list[bytes] | None:
    """Return the events that a gateway passes on, none if they end in an error event."""
    result = send_to_sidecar(address, "/v1/call/v1/chat/completions")
    if not isinstance(result, Stream):
        return None
    calls = SimpleNamespace(state=SimpleNamespace(opened=lambda name, change: None))
    *events, rest = b"".join(Calls._lines(calls, result, "llm-1")).split(b"\n\n")
    if rest == b"" and events[-1].startswith(b"event: error\ndata: "):
        return None if events[:-1] == EVENTS[: len(events) - 1] else events
    return [*events, rest]


# Calls of the client library to gateways.


def ask_gateway(address: str) -> bytes:
    return Api([f"http://{address}"], TOKEN).ask("GET", "/v1/requests/1").data


def caller(address: str) -> CallerClient:
    return CallerClient([f"http://{address}"], TOKEN)


def call_once(address: str) -> CallResult:
    return caller(address).call_once("bank", "/transfers", {}, ticket="t", deadline_s=0.01)


def chat(address: str) -> list[str]:
    path = "/v1/call/llm/v1/chat/completions"
    sent = {headers.REQUEST_ID: "r1"}
    response = caller(address).api.request("POST", path, {}, sent, stream=True)
    return list(_texts(response, "r1"))


SAMPLES = [SampleLine(f"s{number}", "g", number, "text", (1,), ((1, 4),)) for number in range(2)]
LOT_LINES = [ProgressLine(0, 2), *SAMPLES, EndLine("lot", 2, "digest")]
LOT_BODY = b"".join(to_json(line) + b"\n" for line in LOT_LINES)
STEP = StepRequest("run", 1, (GroupRequest("g", "prompt", 2),), TIME_S, 1)


def receive_lot(address: str) -> tuple[SampleLine, ...]:
    client = TrainerClient([f"http://{address}"], TOKEN, "t", "run", 1)
    return client._receive(1, STEP, None).samples


STATUS = FleetStatus("front-1", 7, False, {"7": 1}, ())


def read_status(address: str) -> FleetStatus:
    return OperatorClient([f"http://{address}"], TOKEN).status()


# Reports, orders, health checks and scoring calls.
REPORT = {"models": [{"name": "m", "version": 3}], "busy": False, "seq": 2, "born": 12345}


def engine_at(address: str) -> Engine:
    engine = Engine(address, "p", "box-1", Clock())
    engine.update_facts(Facts(1, "i-1", slots=4))
    return engine


def read_report(address: str) -> tuple[int, int] | None:
    engine = engine_at(address)
    return (engine.report.orders, engine.report.born) if engine.read_report() else None


def send_order(address: str) -> OrderOutcome:
    return engine_at(address).send_order(WeightTarget("m", 2, 10), 1, 2, lambda: True)


REWARD = Reward("reward-1", "h", "/score", b"{}")
STAMP = "3e1b.07.5a2.600.0.c9f2a4d1"


def score(address: str) -> str | None:
    """Return the score of a sample whose scoring call is answered once."""
    sample = Sample("s", "/p", (), b"", 1, "g", REWARD, 0)
    lot = Lot("lot", "h", "/", 1, "m", 0, 1, (sample,))
    tracker = LotTracker(lot, LotRules(3, False, 1e9, 1e9))
    tracker.states["s"].phase = Phase.SCORING
    route = Route("r", "h", "/", RouteKind.ONCE, (PoolShare("p", 1.0),), TIME_S, 1.0, 1)
    view = FleetView()
    view.snapshot = FleetSnapshot(
        configuration=Configuration(1, (route,)),
        endpoints={"i-1": Endpoint("i-1", "p", address, "a", 6)},
    )
    forwarder = Forwarder(
        view, ConnectionPool(), EndpointSelector(Random(1)), RetryBudget(), Clock()
    )
    scoring = Scoring(SimpleNamespace(lock=threading.Lock()), view, forwarder, Clock())
    outcome, used = scoring._call(REWARD)
    scoring._record_outcome(SimpleNamespace(lot_id="lot", tracker=tracker), "s", outcome, used)
    scoring.stop()
    result = tracker.states["s"].result
    return None if result is None else result.score


# Calls to the platform.
ITEMS = (Item("members/1", b"one", 5, 0), Item("members/2", b"two", 6, 9))
WIRE_ITEMS = [
    {"key": one.key, "value": one.value, "rev": one.revision, "lease": one.lease} for one in ITEMS
]
WRITE = Transaction({"members/1": 5}, (Put("members/1", b"three"),))


def store(address: str) -> StoreClient:
    return StoreClient(address, timeout_s=TIME_S)


def watch(address: str) -> Changes:
    client = store(address)
    return client.watch("members/", 4, TIME_S, client.watch_line())


def report_usage(address: str) -> DutyOutcome:
    return DutyCalls(address, "front").usage(1, 1, {"o": 1}, lambda: True).outcome


SIDECAR = (BrokenAnswerError,)
CLIENT = (ClientError, HTTPError)
STORE = (StoreError,)
STREAM_HEAD = {"Content-Type": "text/event-stream"}
ORDER_FAILURES = (OrderOutcome.UNKNOWN, OrderOutcome.NOT_SENT)
CASES = {
    "sidecar: answer of a service": Case(
        call_endpoint, ANSWER, SERVICE_ANSWER, echo, errors=SIDECAR
    ),
    "sidecar: stream of an engine": Case(
        stream_endpoint, STREAM, TEXTS, errors=SIDECAR, extra=STREAM_HEAD
    ),
    "sidecar: versions of an engine": Case(
        read_versions, to_json({"boot": "b", "weights": {"m": 12}}), {"m": 12}
    ),
    "sidecar: order that is carried out": Case(
        order_version, b"{}", (True, 0), failures=((False, 0),)
    ),
    "sidecar: order under an old fencing token": Case(
        order_version,
        to_json({"fence": 12}),
        (False, 12),
        status="409 Conflict",
        failures=((False, 0),),
    ),
    "gateway: answer of a sidecar": Case(send_for_answer, ANSWER, SERVICE_ANSWER, ran(ANSWER)),
    "gateway: refusal of a sidecar": Case(
        send_for_refusal, to_json({"error": REFUSAL}), REFUSAL, from_sidecar, "503 Busy"
    ),
    "gateway: stream of a sidecar": Case(
        pass_on_stream,
        STREAM,
        EVENTS,
        from_sidecar,
        extra=STREAM_HEAD,
    ),
    "client: answer of a gateway": Case(
        ask_gateway, ANSWER, ANSWER, echo, errors=CLIENT, may_close=False
    ),
    "client: call": Case(
        lambda address: caller(address).call("bank", "/balance", {}),
        ANSWER,
        CallResult(200, ANSWER, "bank-1"),
        from_gateway,
        errors=CLIENT,
        may_close=False,
    ),
    "client: call that must not run twice": Case(
        call_once,
        ANSWER,
        CallResult(200, ANSWER, "bank-1"),
        from_gateway,
        errors=CLIENT,
        may_close=False,
    ),
    "client: stream": Case(chat, STREAM, TEXTS, from_gateway, errors=CLIENT, extra=STREAM_HEAD),
    "client: lot": Case(
        receive_lot, LOT_BODY, tuple(SAMPLES), echo, errors=(*CLIENT, msgspec.DecodeError)
    ),
    "client: status": Case(
        read_status, to_json(STATUS), STATUS, echo, errors=CLIENT, may_close=False
    ),
    "gateway: list of boxes": Case(
        lambda address: BoxListClient(f"http://{address}").leaving(),
        to_json([{"address": "1.2.3.4:5", "state": "leaving"}]),
        frozenset({"1.2.3.4:5"}),
    ),
    "runner: report of an engine": Case(read_report, to_json(REPORT), (2, 12345)),
    "runner: order to an engine": Case(
        send_order, b"{}", OrderOutcome.TAKEN, status="202 Taken", failures=ORDER_FAILURES
    ),
    "edge: start time of an endpoint": Case(fetch_start_time, to_json(REPORT), 12345),
    "edge: probe of an endpoint": Case(
        probe_endpoint, to_json(REPORT), EndpointState.LISTENS, failures=(EndpointState.BREAKS,)
    ),
    "lots: score": Case(
        score,
        b"good",
        STAMP,
        lambda request: {ATTEMPT_ID: header_of(request, ATTEMPT_ID), SIGNATURE: STAMP},
    ),
    "store: key": Case(
        lambda address: store(address).get("members/1"),
        to_json({**WIRE_ITEMS[0], "storeRevision": 7}),
        ITEMS[0],
        errors=STORE,
    ),
    "store: absent key": Case(
        lambda address: (store(address).get("members/1"),),
        to_json({"error": "no such key"}),
        (None,),
        status="404 Not Found",
        errors=STORE,
    ),
    "store: list": Case(
        lambda address: store(address).list("members/"),
        to_json({"requests": WIRE_ITEMS, "truncated": False, "storeRevision": 7}),
        Listing(ITEMS, 7),
        errors=STORE,
    ),
    "store: watch": Case(
        watch,
        to_json({"events": WIRE_ITEMS, "storeRevision": 7}),
        Changes(ITEMS, (), 7),
        errors=STORE,
    ),
    "store: transaction": Case(
        lambda address: store(address).transact(WRITE),
        to_json({"rev": 12}),
        Committed(12),
        errors=STORE,
    ),
    "store: conflict": Case(
        lambda address: store(address).transact(WRITE),
        to_json({"requests": WIRE_ITEMS}),
        Conflict({one.key: one for one in ITEMS}),
        status="412 Conflict",
        errors=STORE,
    ),
    "store: transaction under a lease that is over": Case(
        lambda address: store(address).transact(WRITE),
        b"{}",
        LeaseGone(),
        status="404 Not Found",
        errors=STORE,
    ),
    "store: new lease": Case(
        lambda address: store(address).grant_lease(5.0),
        to_json({"lease": 1234}),
        1234,
        errors=STORE,
    ),
    "store: renewed lease": Case(
        lambda address: store(address).renew_lease(12), b"{}", True, errors=STORE
    ),
    "store: lease that is over": Case(
        lambda address: (store(address).renew_lease(12),),
        b"{}",
        (False,),
        status="404 Not Found",
        errors=STORE,
    ),
    "platform: call of a duty": Case(
        report_usage, b"{}", DutyOutcome.TAKEN, failures=(DutyOutcome.UNKNOWN,)
    ),
}


@pytest.fixture(params=list(CASES))
def case(request) -> Case:
    return CASES[request.param]


@pytest.fixture
def server(case) -> Iterator[CuttingServer]:
    made = CuttingServer(case.answer)
    yield made
    made.close()


@pytest.fixture(autouse=True)
def no_pause(monkeypatch) -> None:
    monkeypatch.setattr("threadramp.client.caller.RESEND_PAUSE_S", 0.02)


@pytest.mark.parametrize("framing", list(Framing))
def test_whole_response_is_read(case, server, framing):
    server.cut = Cut(framing, WHOLE_BYTES, End.CLOSE)
    assert case.result(server.address) == (
        case.whole if case.may_close or framing is not Framing.CLOSE else None
    )


def test_cut_response_is_an_error_or_whole(case, server):
    wrong = []
    for cut in cuts(lambda framing: sized(case, server, framing)):
        server.cut = cut
        result = case.result(server.address)
        if result is not None and result != case.whole:
            wrong.append((cut, result))
    assert wrong == []


def sized(case: Case, server: CuttingServer, framing: Framing) -> bytes:
    """Return the whole response as the server sends it."""
    server.cut = Cut(framing, WHOLE_BYTES, End.CLOSE)
    case.result(server.address)
    assert server.sent
    return server.sent
