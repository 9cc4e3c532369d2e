"""What the threads of one gateway share."""

from __future__ import annotations

import threading
import uuid
from dataclasses import asdict
from random import Random
from typing import TYPE_CHECKING, Any

from threadramp.core.burn import BurnRecorder
from threadramp.core.chain import ConfigurationChain
from threadramp.core.closed_steps import ClosedSteps
from threadramp.core.membership import Membership
from threadramp.fleet.clock import steady_s
from threadramp.gateway.configuration import Configuration
from threadramp.platform.kv import KvClient
from threadramp.policy.locality import prefer_region
from threadramp.policy.retries import RetryBudget, TokenBucket
from threadramp.policy.routing import ROUTINGS
from threadramp.policy.subset import gateway_subset
from threadramp.report.metrics import Metrics
from threadramp.wire.outcomes import (
    DEFAULT_RETRY_AFTER_S,
    Outcome,
    Reason,
    Refusal,
    RefusedError,
)
from threadramp.wire.seal import Seal
from threadramp.wire.sync import SyncClient

if TYPE_CHECKING:
    from collections.abc import Sequence

    from threadramp.config.settings import Settings
    from threadramp.core.membership import Member

BASE_REPORT_AGE_S = 3.0
BEATS_PER_REPORT_AGE = 3
KEY_WRITE_BURST_S = 2.0


class GatewayState:
    """A gateway's soft state; all of it can be rebuilt by asking others.

    :ivar lock: held around chain, membership and marks
    :ivar wake: set when the next beat should not wait
    :ivar stopping: set while open requests finish before a planned stop
    :ivar stopped: set when the background threads should end
    """

    def __init__(self, settings: Settings) -> None:
        own = settings.gateway
        self.settings = own
        self.policy = settings.policy
        self.auth = settings.auth
        self.incarnation = uuid.uuid4().hex[:12]
        self.seal = Seal(settings.auth.fleet_key)
        self.lock = threading.RLock()
        self.wake = threading.Event()
        self.stopping = threading.Event()
        self.stopped = threading.Event()
        self.chain = ConfigurationChain()
        self.marks = ClosedSteps()
        self.membership = Membership()
        self.kv = KvClient(settings.platform.kv, settings.platform.kv_timeout_s)
        self.configuration = Configuration(
            self.chain, self.kv, self.configuration_changed, self.lock
        )
        self.sync = SyncClient(self.seal)
        self.metrics = Metrics("threadramp_gateway")
        self.random = Random(own.index)
        self.routing = ROUTINGS[self.policy.routing](self.random)
        self.retries = RetryBudget()
        burst = max(1.0, own.key_writes_per_s * KEY_WRITE_BURST_S)
        self.key_writes = TokenBucket(own.key_writes_per_s, burst, now())
        self.burn = BurnRecorder(asdict(settings.objectives))
        self.outstanding: dict[str, int] = {}

    @classmethod
    def from_config(cls, settings: Settings) -> GatewayState:
        """Build the state from checked settings."""
        return cls(settings)

    def configuration_changed(self) -> None:
        """Take over a new revision, and beat at once so that it spreads."""
        endpoints = self.chain.of_kind("endpoint")
        own = self.settings
        wanted = set()
        for pool in {spec.pool for spec in endpoints.values()}:
            names = [name for name, spec in endpoints.items() if spec.pool == pool]
            wanted.update(gateway_subset(names, own.index, own.count, own.coverage))
        with self.lock:
            self.membership.declare({name: endpoints[name] for name in wanted})
        self.wake.set()

    def declared(self, kind: str, name: str) -> Any:
        """Return the typed specification of a declared resource.

        :raises RefusedError: if it is not declared, or not known yet after the start
        """
        spec = self.chain.get(kind, name)
        if spec is not None:
            return spec
        if not self.configuration.informed:
            message = "this gateway has not learned the configuration yet"
            raise RefusedError(Refusal.not_run(Reason.NOT_READY, message, DEFAULT_RETRY_AFTER_S))
        message = f"no {kind} {name!r} is declared"
        raise RefusedError(Refusal(Reason.NOT_FOUND, Outcome.NOT_RUN, message, place="path"))

    def members(self, pool: str) -> list[Member]:
        """Return the members of a pool; what is old, as after a freeze, is not trusted."""
        oldest = now() - BASE_REPORT_AGE_S - BEATS_PER_REPORT_AGE * self.settings.sync_interval_s
        with self.lock:
            return self.membership.of_pool(pool, oldest)

    def record_burn(self, objective: str, good: float, bad: float) -> None:
        """Count events of an objective."""
        with self.lock:
            self.burn.record(objective, good, bad, now())

    def available(self, pool: str) -> list[Member]:
        """Return the members of a pool that take new work."""
        return [member for member in self.members(pool) if member.is_available]

    def candidates(self, pool: str) -> Sequence[Member]:
        """Return those to which a new call may go: in the own region while it has room."""
        data_centres = self.chain.of_kind("data_centre")
        return prefer_region(self.available(pool), self.settings.data_centre, data_centres)

    def opened(self, endpoint: str, change: int) -> None:
        """Count a call to an endpoint that begins (1) or ends (-1)."""
        with self.lock:
            self.outstanding[endpoint] = self.outstanding.get(endpoint, 0) + change


def now() -> float:
    """Return seconds that only rise, also while the process is stopped or its box suspended."""
    return steady_s()


__all__ = ["GatewayState", "now"]
