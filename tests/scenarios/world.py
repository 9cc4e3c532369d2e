"""What the steps of a scenario share: the fleet, callers that may lose answers, their results."""

from __future__ import annotations

from concurrent.futures import Future, ThreadPoolExecutor
from dataclasses import dataclass, field
from typing import Any

import msgspec
from tools.fleet import EndpointPlan, Fleet, wait_for
from urllib3.exceptions import HTTPError

from threadramp.client.errors import OutcomeUnknownError, RequestRefusedError
from threadramp.client.http import refusal_of
from threadramp.wire import headers
from threadramp.wire.outcomes import Outcome

MODEL = "assistant"
BANK = "bank"
MODELS = "llm"
TRAINER = "assistant-trainer"
LOST = "lost"


@dataclass(frozen=True)
class Sent:
    """What one send came to: an outcome, or ``LOST`` if no answer came."""

    outcome: str
    reason: str = ""
    body: bytes = b""
    replayed: bool = False


@dataclass
class World:
    """One scenario."""

    fleet: Fleet
    pool: ThreadPoolExecutor
    tickets: dict[str, str] = field(default_factory=dict)
    sends: dict[str, list[Future[Sent]]] = field(default_factory=dict)
    sizes: dict[str, int] = field(default_factory=dict)
    notes: dict[str, Any] = field(default_factory=dict)

    def start(
        self,
        gateways: int,
        engines: int = 0,
        services: int = 0,
        bound: int = 1,
        engine: dict[str, Any] | None = None,
        sidecar: dict[str, Any] | None = None,
        spec: dict[str, Any] | None = None,
        slots: int = 8,
        gateway: dict[str, Any] | None = None,
    ) -> None:
        """Start a fleet and declare all of it."""
        self.sizes = {"engines": engines, "services": services}
        fleet = self.fleet
        fleet.platform()
        fleet.gateways(gateways, **(gateway or {}))
        own = {"stop_grace_s": 20.0, "buffer_grace_s": 10.0} | (sidecar or {})
        for index in range(engines):
            plan = EndpointPlan(
                f"engine-{index}",
                MODELS,
                options=engine or {},
                sidecar=own,
                spec=spec or {},
                slots=slots,
            )
            fleet.endpoint(plan)
        for index in range(services):
            fleet.endpoint(EndpointPlan(f"bank-{index}", BANK, "service", sidecar=own))
        fleet.wait_ready()
        seeds = [fleet.addresses[f"sync-{name}"] for name in fleet.endpoints]
        for name in fleet.gateway_names:
            fleet.resettle(name, seeds=seeds)  # from which it learns when it is started again
        models = {MODEL: 1} if engines else {}
        trainer = {"model": MODEL, "pool": MODELS, "staleness_bound": bound}
        path = fleet.document({TRAINER: trainer} if engines else {}, models)
        fleet.cli("apply", str(path))
        fleet.wait_in_service(models)

    def ticket(self, name: str) -> str:
        """Return the ticket of a transfer, taken once."""
        if name not in self.tickets:
            self.tickets[name] = self.fleet.caller().ticket(BANK)
        return self.tickets[name]

    def send(
        self,
        name: str,
        gateway: int,
        key: str = "ticket",
        deadline_s: float = 5.0,
        patience_s: float = 10.0,
        attempt: int = 0,
    ) -> Future[Sent]:
        """Send a transfer once, in the background.

        :param key: ``ticket``, or ``own`` for the caller's own key
        :param patience_s: seconds after which the caller loses the answer
        """
        sent = {headers.DEADLINE_MS: str(int(deadline_s * 1000))}
        if key == "own":
            sent[headers.IDEMPOTENCY_KEY] = name
        else:
            sent[headers.TICKET] = self.ticket(name)
        if attempt:
            sent[headers.ATTEMPT] = str(attempt)
        future = self.pool.submit(self._send, f"gateway-{gateway}", name, sent, patience_s)
        self.sends.setdefault(name, []).append(future)
        return future

    def call_once(self, name: str, gateway: int) -> Future[Sent]:
        """Make a transfer by the client library, in the background."""
        future = self.pool.submit(self._call_once, f"gateway-{gateway}", name)
        self.sends.setdefault(name, []).append(future)
        return future

    def _call_once(self, gateway: str, name: str) -> Sent:
        body = {"id": name, "amount": 25}
        try:
            result = self.fleet.caller(gateway).call_once(BANK, "/transfers", body, deadline_s=5.0)
        except RequestRefusedError as error:
            return Sent(error.refusal.outcome.value, error.refusal.reason.value)
        except OutcomeUnknownError as error:
            return Sent(Outcome.UNKNOWN.value, str(error))
        return Sent(Outcome.RAN.value, "", result.body)

    def _send(self, gateway: str, name: str, sent: dict[str, str], patience_s: float) -> Sent:
        api = self.fleet.caller(gateway).api
        body = {"id": name, "amount": 25}
        try:
            response = api.request("POST", "/v1/call/bank/transfers", body, sent, patience_s)
        except HTTPError as error:
            return Sent(LOST, type(error).__name__)
        if headers.ENDPOINT in response.headers:
            replayed = headers.REPLAYED in response.headers
            return Sent(Outcome.RAN.value, "", response.data, replayed)
        refusal, _ = refusal_of(response.data)
        return Sent(refusal.outcome.value, refusal.reason.value, response.data)

    def set_drain(self, endpoint: str, gateway: int, drained: bool) -> None:
        """Declare or take back a drain and wait until the sidecar has it."""
        operator = self.fleet.operator(f"gateway-{gateway}")
        held = operator.get("endpoint", endpoint)
        revision = operator.put("endpoint", endpoint, held["spec"] | {"drain": drained})

        def in_force() -> bool:
            seen = {item.name: item.revision for item in operator.status().endpoints}
            return seen[endpoint] >= revision

        wait_for(in_force, f"{endpoint} is at revision {revision}")

    def runs(self, name: str) -> int:
        """Return how often a transfer ran, at all workers together."""
        return self.all_runs().get(name, 0)

    def all_runs(self) -> dict[str, int]:
        """Return how often each transfer ran, by the services' own count."""
        total: dict[str, int] = {}
        for index in range(self.sizes["services"]):
            for ident, count in self.fleet.record(f"bank-{index}")["runs"].items():
                total[ident] = total.get(ident, 0) + count
        return total

    def services(self) -> list[str]:
        """Return the names of the service workers."""
        return [f"bank-{index}" for index in range(self.sizes["services"])]

    def engines(self) -> list[str]:
        """Return the names of the engines."""
        return [f"engine-{index}" for index in range(self.sizes["engines"])]

    def sidecar_of(self, name: str) -> str:
        """Return the process name of the sidecar that a transfer's ticket is bound to."""
        import base64

        from threadramp.core.keys import Binding
        from threadramp.wire.seal import TAG_BYTES

        raw = base64.urlsafe_b64decode(self.ticket(name))[TAG_BYTES:]
        return f"sidecar-{msgspec.msgpack.decode(raw, type=Binding).endpoint}"


__all__ = ["BANK", "LOST", "MODEL", "MODELS", "Sent", "TRAINER", "World"]
