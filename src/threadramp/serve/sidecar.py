"""The sidecar's process: its parts, put together."""

from __future__ import annotations

import math
import time
from typing import TYPE_CHECKING

from threadramp.fleet.clock import Clock
from threadramp.fleet.fleet_view import Member
from threadramp.fleet.membership import Membership
from threadramp.fleet.relaying import StoreRelay
from threadramp.fleet.store_health import StoreHealth
from threadramp.platform.store import StoreClient
from threadramp.policy.renewals import renewal_interval_s
from threadramp.report.beliefs import Beliefs
from threadramp.report.call_tally import CallTally
from threadramp.report.metrics import Metrics
from threadramp.runner.engine import Engine
from threadramp.runner.engine_lock import make_engine_lock
from threadramp.runner.inspector import RunnerInspector
from threadramp.runner.runs import RunTable
from threadramp.runner.sidecar import Sidecar
from threadramp.runner.weight_loader import WeightLoader
from threadramp.serve.api import ROLES, Process, in_background
from threadramp.serve.figures import serve_metrics
from threadramp.wire.fleet import decode_ask, decode_reply
from threadramp.wire.packing import Packing
from threadramp.wire.sync import SyncClient, SyncServer

if TYPE_CHECKING:
    from threadramp.platform.store_model import Call, RawAnswer

THREADS = 16  # gateways that may wait for news at once, with room for short questions
LAST_WORDS_S = 1.5  # gateways collect the last events of the samples that were ended
LEAVE_S = 0.5  # the list of members drops a process that does not take itself out as well


@ROLES.register("sidecar")
class SidecarProcess(Process):
    """Runs samples at the engine beside it."""

    def start(self) -> None:
        """Start all parts."""
        own = self.settings
        clock = Clock()
        address = f"{own.ip}:{own.peer_port}"
        member = Member(
            own.name, "sidecar", self.incarnation, address, own.data_centre, own.endpoint
        )
        self.metrics = Metrics("threadramp")
        health = StoreHealth(
            clock, silence_limit_s=math.inf
        )  # renewals of large fleets are 9 s apart
        client = SyncClient(Packing(), decode_reply, redial=True)
        tally = CallTally(self.metrics, "sidecar")
        tally.start()
        store = StoreClient(own.store.address, self._relay, health.observe, count=tally.note)
        engine = Engine(own.endpoint, own.pool, own.name, clock)
        apart_s = own.bounds.holders_apart_s
        right = make_engine_lock(store, own.endpoint, own.name, apart_s, clock)
        weights = WeightLoader(engine, clock, right, self.own.weights.versions_apart)
        table = RunTable(clock.now)
        self.sidecar = Sidecar(member, engine, weights, table, client, clock, self.metrics)
        self.membership = Membership(member, store, own.store.lease_min_s)
        self.membership.renew_s = lambda: renewal_interval_s(
            self.sidecar.sidecar_count, own.store.reads_per_s
        )
        self.sidecar.on_unlisted = self.membership.mark_unlisted
        self.sidecar.store_relay = StoreRelay(store, health)
        beliefs = Beliefs()
        beliefs.add("endpoint", RunnerInspector(self.sidecar).endpoint)
        self.sidecar.beliefs = beliefs
        self.server = SyncServer(address, Packing(), self.sidecar.handle, THREADS, decode_ask)
        self.membership.start()
        self.sidecar.start()
        self.figures = serve_metrics(own.ip, self.metrics)

    def _relay(self, call: Call) -> RawAnswer | None:
        return self.sidecar.relay(call)

    def finish(self) -> None:
        """Give the samples back, then leave."""
        self.sidecar.leave()
        time.sleep(LAST_WORDS_S)
        in_background(self.membership.leave).join(LEAVE_S)


__all__ = ["SidecarProcess"]
