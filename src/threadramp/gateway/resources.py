"""HTTP resources of a gateway."""

from __future__ import annotations

import hmac
import uuid
from typing import TYPE_CHECKING, Any, TypeVar

import cherrypy
import msgspec

from threadramp.gateway.calls import DEFAULT_CLASS, RANKS, CallerAnswer, CallerRequest, CallerStream
from threadramp.gateway.configuration import Edit
from threadramp.gateway.crashing_calls import CALLER_HEADER
from threadramp.gateway.organisation_keys import OrganisationKeys
from threadramp.gateway.state import now
from threadramp.gateway.status import fleet_status
from threadramp.wire import headers
from threadramp.wire.http import answer_bytes, answer_json, arrived_at, edge, header, read_body
from threadramp.wire.lots import AckRequest, StepRequest
from threadramp.wire.outcomes import Outcome, Reason, Refusal, RefusedError, bad_request

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from threadramp.config.settings import AuthSettings
    from threadramp.gateway.calls import Calls
    from threadramp.gateway.keys import KeyBinder
    from threadramp.gateway.settle import Settler
    from threadramp.gateway.state import GatewayState
    from threadramp.gateway.steps import Steps

T = TypeVar("T")
READ_HEADERS = (
    headers.REQUEST_ID,
    headers.ATTEMPT,
    headers.DEADLINE_MS,
    headers.PRIORITY,
    headers.REPEATABLE,
    headers.TICKET,
    headers.IDEMPOTENCY_KEY,
    headers.REFUSAL,
    CALLER_HEADER,
    "Content-Type",
)
LINES_TYPE = "application/x-ndjson"
OPERATOR = "operator"
TRAINER = "trainer"
CALLER = "caller"
OTHER_CLASS = "other"


class TicketRequest(msgspec.Struct, frozen=True):
    """A request for a ticket."""

    pool: str


class Gate:
    """Checks bearer tokens by role; a key of an organisation is a caller's.

    :param holder_of: returns the organisation that holds a key, none if nobody does
    """

    def __init__(
        self, auth: AuthSettings, holder_of: Callable[[bytes], str | None] = lambda key: None
    ) -> None:
        self.holder_of = holder_of
        self.tokens = {
            OPERATOR: auth.operator_token,
            TRAINER: auth.trainer_token,
            CALLER: auth.caller_token,
        }

    def check(self, *roles: str) -> None:
        """Refuse the request unless it has one of the roles; its body is not read before.

        :raises RefusedError: if it has none of them
        """
        given = header("Authorization").removeprefix("Bearer ")
        for role in roles:
            token = self.tokens[role]
            if token and hmac.compare_digest(given.encode(), token.encode()):
                return
        keyed = bool(given) and self.holder_of(given.encode()) is not None
        if keyed and CALLER in roles:
            return
        cherrypy.response.headers["Connection"] = "close"  # the body stays unread
        known = keyed or any(
            token and hmac.compare_digest(given.encode(), token.encode())
            for token in self.tokens.values()
        )
        reason = Reason.FORBIDDEN if known else Reason.UNAUTHORIZED
        raise RefusedError(Refusal.not_run(reason, f"needs the role {' or '.join(roles)}"))


class Resource:
    """Base of the gateway's resources."""

    exposed = True

    def __init__(self, state: GatewayState, gate: Gate) -> None:
        self.state = state
        self.gate = gate

    def body(self, cls: type[T]) -> T:
        """Return the request's JSON body as ``cls``."""
        raw = read_body(self.state.settings.max_body_bytes)
        try:
            return msgspec.json.decode(raw, type=cls)
        except (msgspec.DecodeError, msgspec.ValidationError, UnicodeDecodeError) as error:
            raise bad_request("body", str(error)) from error


class CallResource(Resource):
    """``/v1/call/POOL/PATH``: a caller's call."""

    _cp_config = {"response.stream": True}

    def __init__(self, state: GatewayState, gate: Gate, calls: Calls) -> None:
        super().__init__(state, gate)
        self.calls = calls

    @edge
    def GET(self, pool: str, *path: str, **query: str) -> Any:  # noqa: N802
        """Run a call without a body."""
        return self._run("GET", pool, path)

    @edge
    def POST(self, pool: str, *path: str, **query: str) -> Any:  # noqa: N802
        """Run a call."""
        return self._run("POST", pool, path)

    @edge
    def PUT(self, pool: str, *path: str, **query: str) -> Any:  # noqa: N802
        """Run a call."""
        return self._run("PUT", pool, path)

    def _run(self, method: str, pool: str, path: tuple[str, ...]) -> bytes | Iterator[bytes]:
        arrived = arrived_at()
        self.gate.check(CALLER, OPERATOR)
        body = read_body(self.state.settings.max_body_bytes)
        read = {name: header(name) for name in READ_HEADERS if header(name)}
        query = cherrypy.request.query_string
        target = "/" + "/".join(path) + (f"?{query}" if query else "")
        request = CallerRequest(pool, method, target, read, body, arrived)
        result = self._timed(request)
        echo = {headers.REQUEST_ID: result.request_id, headers.ENDPOINT: result.endpoint}
        echo[headers.OUTCOME] = Outcome.RAN.value
        if isinstance(result, CallerStream):
            cherrypy.response.headers["Content-Type"] = "text/event-stream"
            for name, value in echo.items():
                cherrypy.response.headers[name] = value
            return result.lines
        answer = result.answer
        return answer_bytes(answer.body, answer.status, answer.content_type, echo)

    def _timed(self, request: CallerRequest) -> CallerAnswer | CallerStream:
        """Run a call and record whether it was answered on time."""
        label = request.text(headers.PRIORITY) or DEFAULT_CLASS
        answered = False
        try:
            result = self.calls.run(request)
            answered = True
            return result
        finally:
            known = label in RANKS or self.state.chain.get("priority", label) is not None
            self.state.metrics.record_latency(
                label if known else OTHER_CLASS, now() - request.arrived
            )
            if label == DEFAULT_CLASS:
                self.state.record_burn("interactive", int(answered), int(not answered))


class TicketResource(Resource):
    """``/v1/tickets``: a key for one call that must not repeat."""

    def __init__(self, state: GatewayState, gate: Gate, binder: KeyBinder) -> None:
        super().__init__(state, gate)
        self.binder = binder

    @edge
    def POST(self) -> bytes:  # noqa: N802
        """Give a ticket; costs nothing at the key-value service."""
        self.gate.check(CALLER, OPERATOR)
        binding = self.binder.mint(self.body(TicketRequest).pool)
        return answer_json({"ticket": self.binder.ticket(binding)}, 201)


class RequestResource(Resource):
    """``/v1/requests/KEY``: what became of a request."""

    def __init__(self, state: GatewayState, gate: Gate, settler: Settler) -> None:
        super().__init__(state, gate)
        self.settler = settler

    @edge
    def GET(self, key: str, pool: str = "") -> bytes:  # noqa: N802
        """Settle an unknown outcome as far as it can be settled."""
        self.gate.check(CALLER, OPERATOR)
        return answer_json(self.settler.settle(key, pool))


class TrainerResource(Resource):
    """``/v1/trainers/TRAINER/steps/STEP[/ack]``: lots for trainers."""

    _cp_config = {"response.stream": True}

    def __init__(self, state: GatewayState, gate: Gate, steps: Steps) -> None:
        super().__init__(state, gate)
        self.steps = steps

    @edge
    def POST(self, trainer: str, *path: str) -> bytes | Iterator[bytes]:  # noqa: N802
        """Stream the lot of a step, or close it."""
        self.gate.check(TRAINER, OPERATOR)
        if len(path) < 2 or path[0] != "steps" or not path[1].isdigit():
            raise bad_request("path", "expected /v1/trainers/TRAINER/steps/STEP")
        step = int(path[1])
        if path[2:] == ("ack",):
            return answer_json(self.steps.close(trainer, step, self.body(AckRequest)))
        if path[2:]:
            raise bad_request("path", f"unknown part {path[2]!r}")
        lines = self.steps.run(trainer, step, self.body(StepRequest))
        cherrypy.response.headers["Content-Type"] = LINES_TYPE
        return lines


class ConfigurationResource(Resource):
    """``/v1/resources[/KIND[/NAME]]``: what operators declare."""

    @edge
    def GET(self, kind: str = "", name: str = "") -> bytes:  # noqa: N802
        """Return one resource with its revision as ``ETag``, or a list."""
        self.gate.check(OPERATOR, TRAINER)
        chain = self.state.chain
        if not name:
            held = [item for item in list(chain.resources.values()) if kind in ("", item.kind)]
            return answer_json({"revision": chain.revision, "resources": held})
        held = chain.resources.get((kind, name))
        if held is None:
            message = f"no {kind}/{name} is declared"
            raise RefusedError(Refusal(Reason.NOT_FOUND, Outcome.NOT_RUN, message, place="path"))
        return answer_json(held, headers={"ETag": f'"{held.revision}"'})

    @edge
    def PUT(self, kind: str, name: str) -> bytes:  # noqa: N802
        """Declare a resource; ``If-Match`` guards against a lost race."""
        self._check(kind)
        return self._edit(kind, name, self.body(dict))

    @edge
    def DELETE(self, kind: str, name: str) -> bytes:  # noqa: N802
        """Take a resource back."""
        self._check("")
        return self._edit(kind, name, None)

    def _check(self, kind: str) -> None:
        roles = (OPERATOR, TRAINER) if kind == "weights" else (OPERATOR,)
        self.gate.check(*roles)

    def _edit(self, kind: str, name: str, spec: dict | None) -> bytes:
        change_id = header(headers.CHANGE_ID) or uuid.uuid4().hex
        edit = Edit(change_id, kind, name, spec, _expected())
        change = self.state.configuration.edit(edit)
        body = {"revision": change.revision, "change_id": change.change_id}
        return answer_json(
            body, headers={"ETag": f'"{change.revision}"', headers.CHANGE_ID: change_id}
        )


class ChangeResource(Resource):
    """``/v1/changes/ID``: whether a change was accepted."""

    @edge
    def GET(self, change_id: str) -> bytes:  # noqa: N802
        """Settle a change whose answer was lost."""
        self.gate.check(OPERATOR, TRAINER)
        change = self.state.configuration.find_change(change_id)
        if change is None:
            message = "not among the newest changes known here"
            raise RefusedError(Refusal.unknown(Reason.NOT_FOUND, message, 1))
        return answer_json({"revision": change.revision, "change_id": change_id})


class StatusResource(Resource):
    """``/v1/status``: what holds, apart from what is declared."""

    @edge
    def GET(self) -> bytes:  # noqa: N802
        """Return the status of the fleet as this gateway sees it."""
        self.gate.check(OPERATOR)
        return answer_json(fleet_status(self.state))


class BurnResource(Resource):
    """``/v1/burn``: events of each objective, for the report on service-level burn."""

    @edge
    def GET(self) -> bytes:  # noqa: N802
        """Return this gateway's events."""
        self.gate.check(OPERATOR)
        with self.state.lock:
            return answer_json(self.state.burn.records(now()))


class ConfirmResource(Resource):
    """``/v1/regression/confirm``: the operator has seen that the service forgot writes."""

    @edge
    def POST(self) -> bytes:  # noqa: N802
        """Take callers' own keys again."""
        self.gate.check(OPERATOR)
        self.state.configuration.regressed = False
        return answer_json({"regressed": False})


class MetricsResource(Resource):
    """``/metrics``: counters and latencies in the usual text form."""

    def GET(self) -> bytes:  # noqa: N802
        """Return the metrics."""
        return answer_bytes(self.state.metrics.text(), 200, "text/plain; version=0.0.4")


class HealthResource(Resource):
    """``/healthz``: for the platform's balancer."""

    def GET(self) -> bytes:  # noqa: N802
        """Say whether to send requests here."""
        ready = self.state.configuration.informed and not self.state.stopping.is_set()
        return answer_json({"ok": ready}, 200 if ready else 503)


class Node:
    """A place in the tree of resources that answers nothing itself."""


def gateway_root(
    state: GatewayState, calls: Calls, binder: KeyBinder, settler: Settler, steps: Steps
) -> Node:
    """Return the tree of resources."""
    keys = OrganisationKeys(state.chain)
    gate = Gate(state.auth, keys.holder)
    root = Node()
    root.metrics = MetricsResource(state, gate)
    root.healthz = HealthResource(state, gate)
    root.v1 = Node()
    root.v1.call = CallResource(state, gate, calls)
    root.v1.tickets = TicketResource(state, gate, binder)
    root.v1.requests = RequestResource(state, gate, settler)
    root.v1.trainers = TrainerResource(state, gate, steps)
    root.v1.resources = ConfigurationResource(state, gate)
    root.v1.changes = ChangeResource(state, gate)
    root.v1.burn = BurnResource(state, gate)
    root.v1.status = StatusResource(state, gate)
    root.v1.regression = Node()
    root.v1.regression.confirm = ConfirmResource(state, gate)
    return root


def _expected() -> int | None:
    if header("If-None-Match") == "*":
        return 0
    text = header("If-Match").strip('"')
    if not text:
        return None
    if not text.isdigit():
        raise bad_request("header If-Match", "expected a revision")
    return int(text)


__all__ = ["gateway_root"]
